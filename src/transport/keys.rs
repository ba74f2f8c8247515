//! Keys of daemons: a certificate authority signs a certificate for each VM, which contains the VM's
//! name.

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

/// The subject of every authority; two authorities differ only by their keys.
const AUTHORITY_NAME: &str = "oleandermount authority";
/// Years for which an authority is valid: longer than the machines that it signs for are in use.
const AUTHORITY_YEARS: i32 = 10;
/// Calendar years for which a VM's certificate is valid, counting the current one, so that a stolen
/// certificate expires by itself.
const CERTIFICATE_YEARS: i32 = 2;
/// Mean length of a Gregorian year in seconds.
const YEAR_SECONDS: u64 = 31_556_952;

/// The key files of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificates of the trusted authorities; both of them while an authority is being replaced.
    pub authority: PathBuf,
    /// The certificate of this daemon.
    pub certificate: PathBuf,
    /// The private key of this daemon.
    pub key: PathBuf,
}

/// A certificate and its private key, both in PEM format.
#[derive(Clone)]
pub struct KeyPairPem {
    /// The certificate in PEM format.
    pub certificate: String,
    /// The private key in PEM format; it must not be logged.
    pub key: String,
}

/// The keys of one daemon, loaded and parsed.
pub struct LoadedKeys {
    /// Certificates of the trusted authorities; empty if peers are not authenticated.
    pub authorities: Vec<CertificateDer<'static>>,
    /// The certificate chain of this daemon, its own certificate first; never empty.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key of this daemon.
    pub key: PrivateKeyDer<'static>,
}

/// Why keys cannot be created or used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// {path}: {reason}; create it with `oleandermountctl keys create` and make it readable for the daemon
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system or of the parser.
        reason: String,
    },
    /// the VM name "{vm}" is not valid in a certificate; use lower-case letters, digits and hyphens
    InvalidVm {
        /// The rejected name.
        vm: VmId,
    },
    /// the key cannot be created: {reason}; check that the authority's key is a PEM private key
    Creation {
        /// The error of the certificate library.
        reason: String,
    },
    /// the certificate and key are not accepted: {reason}; create both with the same `keys create` call
    Unusable {
        /// The error of the TLS library.
        reason: String,
    },
}

impl std::error::Error for KeyError {}

/// Creates an authority, which signs the certificates of one deployment.
///
/// # Errors
/// [`KeyError::Creation`].
pub fn create_authority() -> Result<KeyPairPem, KeyError> {
    let key = KeyPair::generate().map_err(creation_error)?;
    let certificate = authority_params().self_signed(&key).map_err(creation_error)?;
    Ok(KeyPairPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Creates the certificate of one VM, signed by `authority`.
///
/// # Errors
/// [`KeyError::InvalidVm`] or [`KeyError::Creation`].
pub fn create_certificate(authority: &KeyPairPem, vm: &VmId) -> Result<KeyPairPem, KeyError> {
    check_vm_name(vm)?;
    let key = KeyPair::generate().map_err(creation_error)?;
    let mut params = CertificateParams::new(vec![vm.clone()]).map_err(creation_error)?;
    params.distinguished_name.push(DnType::CommonName, vm.clone());
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    params.not_before = date_time_ymd(this_year() - 1, 1, 1);
    params.not_after = date_time_ymd(this_year() + CERTIFICATE_YEARS, 1, 1);
    let signer = KeyPair::from_pem(&authority.key).map_err(creation_error)?;
    let issuer = Issuer::new(authority_params(), signer);
    let certificate = params.signed_by(&key, &issuer).map_err(creation_error)?;
    Ok(KeyPairPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Checks that a VM's name is preserved in a certificate, and converts it for TLS.
///
/// Names in certificates are compared without case, so with upper-case letters two VMs could share one
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
/// [`KeyError::Unreadable`], which contains the path of the file.
pub fn load_keys(files: &KeyFiles) -> Result<LoadedKeys, KeyError> {
    Ok(LoadedKeys {
        authorities: load_certificates(&files.authority)?,
        chain: load_certificates(&files.certificate)?,
        key: PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| unreadable_error(&files.key, &error))?,
    })
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| unreadable_error(path, &error))?;
    if found.is_empty() {
        return Err(unreadable_error(path, &"the file contains no certificate"));
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

fn unreadable_error(path: &Path, reason: &impl ToString) -> KeyError {
    KeyError::Unreadable { path: path.display().to_string(), reason: reason.to_string() }
}

fn creation_error(error: rcgen::Error) -> KeyError {
    KeyError::Creation { reason: error.to_string() }
}
