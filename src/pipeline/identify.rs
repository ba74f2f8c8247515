//! Identifies the organisation of a request by its bearer key.

use {
    super::refusal::CallerRefusal,
    crate::{
        ids::{DigestHex, OrganisationId},
        inventory::AssetRegister,
        observe::metrics::refusal,
    },
    sha2::{Digest, Sha256},
    std::collections::BTreeMap,
};

/// Organisations by the SHA-256 digest of their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    organisations: BTreeMap<DigestHex, OrganisationId>,
}

impl KeyIndex {
    /// Indexes the organisations of a register.
    pub fn new(register: &AssetRegister) -> Self {
        let organisations = register
            .organisations
            .iter()
            .flat_map(|record| {
                record.key_digests.iter().map(|digest| (digest.clone(), record.id.clone()))
            })
            .collect();
        KeyIndex { organisations }
    }

    /// Finds the organisation for the value of an `Authorization` header.
    ///
    /// # Errors
    /// 401 if the header has no bearer key, or one that is not in the register.
    pub fn identify(&self, authorization: Option<&str>) -> Result<OrganisationId, CallerRefusal> {
        let key = authorization
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim())
            .ok_or_else(|| {
                CallerRefusal::before_run(401, refusal::NO_KEY, "send `Authorization: Bearer KEY`")
            })?;
        // Looking up the digest keeps the timing independent of the contents of other keys.
        let digest = hex::encode(Sha256::digest(key.as_bytes()));
        self.organisations.get(&digest).cloned().ok_or_else(|| {
            let message = "unknown API key; ask your operators for a valid one";
            CallerRefusal::before_run(401, refusal::UNKNOWN_KEY, message)
        })
    }
}
