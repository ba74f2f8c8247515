//! Keys of daemons: one authority signs a certificate for each VM, whose name it carries.

use {
    crate::ids::VmId,
    displaydoc::Display,
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer,
        KeyPair, KeyUsagePurpose, date_time_ymd,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    std::{
        path::{Path, PathBuf},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// The subject of every authority; two authorities differ by their keys alone.
const AUTHORITY_NAME: &str = "oleandermount authority";
/// Years that an authority is good for: longer than the machines it signs for.
const AUTHORITY_YEARS: i32 = 10;
/// A VM's certificate ends with the next calendar year, so that a stolen one dies by itself.
const CERTIFICATE_YEARS: i32 = 2;
/// Mean length of a Gregorian year in seconds.
const YEAR_SECONDS: u64 = 31_556_952;

/// Where a daemon's keys lie.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificates of the authorities that are trusted; while an authority is replaced, both.
    pub authority: PathBuf,
    /// This daemon's certificate.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// A certificate and its private key, both as PEM.
#[derive(Clone)]
pub struct KeyPairPem {
    /// The certificate.
    pub certificate: String,
    /// The private key; it stands in no log.
    pub key: String,
}

/// The keys of one daemon, loaded and parsed.
pub struct LoadedKeys {
    /// Trusted authorities; at least one.
    pub authorities: Vec<CertificateDer<'static>>,
    /// This daemon's certificate chain; at least one.
    pub chain: Vec<CertificateDer<'static>>,
    /// Its private key.
    pub key: PrivateKeyDer<'static>,
}

/// Why keys can't be made or used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// {path}: {reason}; make it with `oleandermountctl keys create` and let the daemon read it
    Unreadable {
        /// The file.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// the VM name "{vm}" can't stand in a certificate; use lower-case letters, digits and hyphens
    InvalidVm {
        /// The name.
        vm: VmId,
    },
    /// the key can't be made: {reason}; check that the authority's key is a PEM private key
    Creation {
        /// What the library says.
        reason: String,
    },
    /// certificate and key are not accepted: {reason}; make both with the same `keys create` call
    Unusable {
        /// What the library says.
        reason: String,
    },
}

impl std::error::Error for KeyError {}

/// Makes an authority, which signs the certificates of one installation.
///
/// # Errors
/// [`KeyError::Creation`].
pub fn create_authority() -> Result<KeyPairPem, KeyError> {
    let key = KeyPair::generate().map_err(creation)?;
    let certificate = authority_params().self_signed(&key).map_err(creation)?;
    Ok(KeyPairPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Makes the certificate of one VM.
///
/// # Errors
/// [`KeyError::InvalidVm`] or [`KeyError::Creation`].
pub fn create_certificate(authority: &KeyPairPem, vm: &VmId) -> Result<KeyPairPem, KeyError> {
    check_vm_name(vm)?;
    let key = KeyPair::generate().map_err(creation)?;
    let mut params = CertificateParams::new(vec![vm.clone()]).map_err(creation)?;
    params.distinguished_name.push(DnType::CommonName, vm.clone());
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    params.not_before = date_time_ymd(this_year() - 1, 1, 1);
    params.not_after = date_time_ymd(this_year() + CERTIFICATE_YEARS, 1, 1);
    let signer = KeyPair::from_pem(&authority.key).map_err(creation)?;
    let issuer = Issuer::new(authority_params(), signer);
    let certificate = params.signed_by(&key, &issuer).map_err(creation)?;
    Ok(KeyPairPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Holds a VM's name to what a certificate carries without change.
///
/// Certificates compare names without case: were upper case allowed, two VMs could answer to one
/// certificate.
///
/// # Errors
/// [`KeyError::InvalidVm`].
pub fn check_vm_name(vm: &str) -> Result<ServerName<'static>, KeyError> {
    let invalid = || KeyError::InvalidVm { vm: vm.to_owned() };
    if vm.bytes().any(|byte| byte.is_ascii_uppercase() || byte == b'*') {
        return Err(invalid());
    }
    match ServerName::try_from(vm.to_owned()) {
        Ok(name @ ServerName::DnsName(_)) => Ok(name),
        Ok(_) | Err(_) => Err(invalid()),
    }
}

/// Reads and parses a daemon's keys.
///
/// # Errors
/// [`KeyError::Unreadable`], which names the file.
pub fn load_keys(files: &KeyFiles) -> Result<LoadedKeys, KeyError> {
    Ok(LoadedKeys {
        authorities: load_certificates(&files.authority)?,
        chain: load_certificates(&files.certificate)?,
        key: PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| unreadable(&files.key, &error))?,
    })
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| unreadable(path, &error))?;
    if found.is_empty() {
        return Err(unreadable(path, &"holds no certificate"));
    }
    Ok(found)
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.not_before = date_time_ymd(this_year() - 1, 1, 1);
    params.not_after = date_time_ymd(this_year() + AUTHORITY_YEARS, 1, 1);
    params
}

fn this_year() -> i32 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    1970 + i32::try_from(elapsed.as_secs() / YEAR_SECONDS).unwrap_or_default()
}

fn unreadable(path: &Path, reason: &impl ToString) -> KeyError {
    KeyError::Unreadable { path: path.display().to_string(), reason: reason.to_string() }
}

fn creation(error: rcgen::Error) -> KeyError {
    KeyError::Creation { reason: error.to_string() }
}
