//! Commands that do not contact a daemon: validating files and creating keys.

use {
    super::{error::ClientError, report::ClientReport, table::TextTable},
    crate::{
        ids::VmId,
        inventory::validate::{InventoryFault, check_files as check_texts, digest},
        transport::keys::{KeyPairPem, create_authority, create_certificate},
    },
    serde::Serialize,
    std::{
        fs,
        io::Write,
        os::unix::fs::OpenOptionsExt,
        path::{Path, PathBuf},
    },
};

/// Length of an organisation's API key in bytes; too long to guess, so its digest needs no salt.
const KEY_BYTES: usize = 32;
/// File mode of private keys, which only the owner may read.
const KEY_MODE: u32 = 0o600;
/// File mode of certificates, which are public.
const CERTIFICATE_MODE: u32 = 0o644;
/// Name of the authority's files in a key folder; no VM may have it.
const AUTHORITY: &str = "authority";

/// Reads a file given by the operator.
///
/// # Errors
/// `Usage` when it cannot be read.
pub fn read_file(path: &Path) -> Result<String, ClientError> {
    fs::read_to_string(path).map_err(|error| {
        ClientError::Usage(format!("{} cannot be read ({error}); correct the path", path.display()))
    })
}

/// Converts the faults of one file to an error.
pub fn invalid_file(path: &Path, faults: Vec<InventoryFault>) -> ClientError {
    let file = path.display().to_string();
    ClientError::InvalidFiles(faults.into_iter().map(|fault| (file.clone(), fault)).collect())
}

/// Random bytes from the operating system's generator, as hexadecimal digits.
///
/// # Errors
/// `Local` when the operating system provides none.
pub fn random_hex(bytes: usize) -> Result<String, ClientError> {
    let mut drawn = vec![0; bytes];
    rustls::crypto::ring::default_provider()
        .secure_random
        .fill(&mut drawn)
        .map_err(|_| ClientError::Local("the system provides no random bytes".to_owned()))?;
    Ok(hex::encode(drawn))
}

#[derive(Serialize)]
struct CheckReport {
    failure_domains: usize,
    vms: usize,
    servers: usize,
    organisations: usize,
    /// Absent when no rules were given.
    rules: Option<usize>,
}

/// `check`: validates a register and rules.
///
/// # Errors
/// `InvalidFiles` with all faults of both files; `Usage` when a file cannot be read.
pub fn check_files(file: &Path, rules: Option<&Path>) -> Result<ClientReport, ClientError> {
    let text = read_file(file)?;
    let rules_text = rules.map(read_file).transpose()?;
    let checked = check_texts(&text, rules_text.as_deref());
    let (register, rule_set) = checked.map_err(|faults| {
        let in_register = faults.register.into_iter().map(|fault| (file, fault));
        let in_rules = faults.rules.into_iter().map(|fault| (rules.unwrap_or(file), fault));
        let named = in_register.chain(in_rules);
        ClientError::InvalidFiles(
            named.map(|(path, fault)| (path.display().to_string(), fault)).collect(),
        )
    })?;
    let report = CheckReport {
        failure_domains: register.failure_domains.len(),
        vms: register.vms.len(),
        servers: register.servers.len(),
        organisations: register.organisations.len(),
        rules: rule_set.map(|rules| rules.organisations.len() + rules.calls.len()),
    };
    let rules = report.rules.map_or("no rules".to_owned(), |rules| format!("{rules} rules"));
    let text = format!(
        "no faults: {} failure domains, {} VMs, {} backend servers, {} organisations, {rules}\n",
        report.failure_domains, report.vms, report.servers, report.organisations
    );
    Ok(ClientReport::from_text(&report, text))
}

#[derive(Serialize)]
struct KeyFileRow {
    vm: VmId,
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

/// `keys create`: creates certificates of VMs. An existing authority in the folder is reused, so that
/// the same command adds VMs and renews certificates.
///
/// # Errors
/// `Usage` for invalid names, `Local` when a file cannot be written.
pub fn create_keys(out: &Path, vms: &[VmId]) -> Result<ClientReport, ClientError> {
    if vms.iter().any(|vm| vm == AUTHORITY) {
        let text = "a VM must not be named authority, which is reserved for the authority's files; \
                    rename it";
        return Err(ClientError::Usage(text.to_owned()));
    }
    fs::create_dir_all(out).map_err(|error| write_error(out, &error))?;
    let authority = open_authority(out)?;
    let mut rows = Vec::new();
    for vm in vms {
        let pair = create_certificate(&authority, vm)
            .map_err(|error| ClientError::Usage(error.to_string()))?;
        let (certificate, key) = write_pair(out, vm, &pair)?;
        let authority = out.join(format!("{AUTHORITY}.pem"));
        rows.push(KeyFileRow { vm: vm.clone(), authority, certificate, key });
    }
    let mut table = TextTable::new(&["vm", "--authority", "--certificate", "--key"]);
    for row in &rows {
        let paths = [&row.authority, &row.certificate, &row.key];
        let paths = paths.map(|path| path.display().to_string());
        table.push_row([row.vm.clone()].into_iter().chain(paths));
    }
    Ok(ClientReport::from_table(&rows, &table))
}

fn open_authority(out: &Path) -> Result<KeyPairPem, ClientError> {
    let certificate = out.join(format!("{AUTHORITY}.pem"));
    let key = out.join(format!("{AUTHORITY}.key"));
    match (certificate.exists(), key.exists()) {
        (true, true) => {
            Ok(KeyPairPem { certificate: read_file(&certificate)?, key: read_file(&key)? })
        }
        (false, false) => {
            let pair = create_authority().map_err(|error| ClientError::Local(error.to_string()))?;
            write_pair(out, AUTHORITY, &pair)?;
            Ok(pair)
        }
        // Daemons with certificates of the old authority would not accept those of a new one, so an
        // incomplete authority is not replaced.
        (true, false) | (false, true) => Err(ClientError::Usage(format!(
            "{} holds only one of authority.pem and authority.key; restore the other, or give an \
             empty folder for a new authority",
            out.display()
        ))),
    }
}

/// Writes a certificate and its key. The key is written first, so that a daemon that finds a new
/// certificate finds its key as well.
fn write_pair(
    out: &Path,
    name: &str,
    pair: &KeyPairPem,
) -> Result<(PathBuf, PathBuf), ClientError> {
    let certificate = out.join(format!("{name}.pem"));
    let key = out.join(format!("{name}.key"));
    write_atomically(&key, &pair.key, KEY_MODE)?;
    write_atomically(&certificate, &pair.certificate, CERTIFICATE_MODE)?;
    Ok((certificate, key))
}

/// Writes a temporary file and renames it, so that readers never see a partial file.
fn write_atomically(path: &Path, text: &str, mode: u32) -> Result<(), ClientError> {
    let partial = path.with_extension("partial");
    let written = fs::remove_file(&partial)
        .or_else(|error| match error.kind() {
            std::io::ErrorKind::NotFound => Ok(()),
            _ => Err(error),
        })
        .and_then(|()| {
            let mut file =
                fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&partial)?;
            file.write_all(text.as_bytes())?;
            file.sync_all()?;
            fs::rename(&partial, path)
        });
    written.map_err(|error| write_error(path, &error))
}

fn write_error(path: &Path, error: &std::io::Error) -> ClientError {
    ClientError::Local(format!(
        "{} cannot be written ({error}); give a folder with write permission",
        path.display()
    ))
}

#[derive(Serialize)]
struct OrganisationKey {
    key: String,
    digest: String,
}

/// `keys organisation`: creates an API key and its digest.
///
/// # Errors
/// `Local` when the operating system provides no random bytes.
pub fn create_organisation_key() -> Result<ClientReport, ClientError> {
    let key = random_hex(KEY_BYTES)?;
    let digest = digest(&key);
    let text = format!(
        "key     {key}\ndigest  {digest}\n\nGive the key to the organisation; put the digest into \
         its key_digests in the register.\n"
    );
    Ok(ClientReport::from_text(&OrganisationKey { key, digest }, text))
}
