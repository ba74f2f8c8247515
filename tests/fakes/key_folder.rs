//! Keys of test daemons in a temporary folder.

use {
    oleandermount::transport::{
        KeyFiles, KeyPairPem,
        keys::{create_authority, create_certificate},
    },
    std::{fs, path::PathBuf},
    tempfile::TempDir,
};

/// A certificate authority and the key files that it signed.
pub struct KeyFolder {
    folder: TempDir,
    pub authority: KeyPairPem,
}

impl KeyFolder {
    pub fn new() -> Self {
        let authority = create_authority().expect("an authority can be created");
        Self { folder: TempDir::new().expect("a temporary folder can be created"), authority }
    }

    /// Writes the key files of one VM, signed by this folder's authority.
    pub fn files(&self, vm: &str) -> KeyFiles {
        let files = KeyFiles {
            authority: self.path(vm, "authority"),
            certificate: self.path(vm, "certificate"),
            key: self.path(vm, "key"),
        };
        self.renew(&files, vm, &self.authority, &[&self.authority]);
        files
    }

    /// Replaces `files` by new ones.
    pub fn renew(&self, files: &KeyFiles, vm: &str, signer: &KeyPairPem, trusted: &[&KeyPairPem]) {
        let pair =
            create_certificate(signer, &vm.to_owned()).expect("a certificate can be created");
        let roots: String = trusted.iter().map(|pair| pair.certificate.as_str()).collect();
        fs::write(&files.authority, roots).expect("the folder is writable");
        fs::write(&files.certificate, pair.certificate).expect("the folder is writable");
        fs::write(&files.key, pair.key).expect("the folder is writable");
    }

    fn path(&self, vm: &str, name: &str) -> PathBuf {
        self.folder.path().join(format!("{vm}.{name}.pem"))
    }
}
