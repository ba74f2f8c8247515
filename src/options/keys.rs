//! Options of the certificate and key files that authenticate a daemon to other daemons.

use {
    super::{
        IdentityOptions, OptionFault,
        values::{file, text},
    },
    crate::transport::keys::KeyFiles,
    bpaf::{Parser, construct},
};

#[derive(Clone, Debug)]
pub(super) struct RawKeys {
    authority: Option<String>,
    certificate: Option<String>,
    key: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawKeys> {
    let authority = text(
        "authority",
        "OLEANDERMOUNT_AUTHORITY",
        "FILE",
        "Certificate of the authority of all daemons (PEM)",
    );
    let certificate =
        text("certificate", "OLEANDERMOUNT_CERTIFICATE", "FILE", "Certificate of this VM (PEM)");
    let key = text("key", "OLEANDERMOUNT_KEY", "FILE", "Private key of the certificate (PEM)");
    construct!(RawKeys { authority, certificate, key })
}

pub(super) fn check(
    raw: RawKeys,
    identity: &IdentityOptions,
    faults: &mut Vec<OptionFault>,
) -> Option<KeyFiles> {
    let remedy = format!(
        "daemons authenticate each other by certificates; create them with `oleandermountctl keys \
         create --out DIR --vm {}` and give all three files",
        identity.vm
    );
    let mut required_file = |option: &str, given: Option<String>| {
        if given.is_none() {
            let option = option.to_owned();
            faults.push(OptionFault::Missing { option, remedy: remedy.clone() });
        }
        given.map(|given| file(faults, option, given))
    };
    let authority = required_file("--authority", raw.authority);
    let certificate = required_file("--certificate", raw.certificate);
    let key = required_file("--key", raw.key);
    Some(KeyFiles { authority: authority?, certificate: certificate?, key: key? })
}
