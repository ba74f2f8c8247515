//! Semantic validation of a register.

use {
    super::{
        fault::{FaultKind, FaultList, KeyPath},
        records::{RecordList, RegisterRecords},
    },
    crate::{
        inventory::{ServerKind, ServerRecord},
        options::values::is_valid_name,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_LENGTH: usize = 64;

/// Adds all faults of the register to `faults`.
pub fn check(register: &RegisterRecords, faults: &mut FaultList) {
    check_ids(&register.failure_domains, |record| &record.id, faults);
    check_ids(&register.vms, |record| &record.id, faults);
    check_ids(&register.models, |record| &record.id, faults);
    check_ids(&register.services, |record| &record.id, faults);
    check_ids(&register.servers, |record| &record.id, faults);
    check_ids(&register.organisations, |record| &record.id, faults);
    if register.failure_domains.ids.is_empty() {
        faults.push(KeyPath::root("failure_domains"), FaultKind::MissingDomain);
    }
    check_vms(register, faults);
    check_models(register, faults);
    check_services(register, faults);
    check_servers(register, faults);
    check_digests(register, faults);
}

fn check_ids<T>(list: &RecordList<T>, id: impl Fn(&T) -> &String, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (path, record) in &list.records {
        let id = id(record);
        if !is_valid_name(id) {
            faults.push(path.key("id"), FaultKind::InvalidName { id: id.clone() });
        }
        if !seen.insert(id) {
            faults.push(path.key("id"), FaultKind::DuplicateId { id: id.clone() });
        }
    }
}

fn check_domain(register: &RegisterRecords, path: &KeyPath, id: &str, faults: &mut FaultList) {
    if !register.failure_domains.ids.contains(id) {
        faults.push(path.key("failure_domain"), FaultKind::UnknownDomain { id: id.to_owned() });
    }
}

fn check_address(
    seen: &mut BTreeSet<SocketAddr>,
    path: KeyPath,
    address: SocketAddr,
    faults: &mut FaultList,
) {
    if address.port() == 0 {
        faults.push(path, FaultKind::MissingPort { address: address.to_string() });
    } else if !seen.insert(address) {
        faults.push(path, FaultKind::DuplicateAddress { address: address.to_string() });
    }
}

fn check_vms(register: &RegisterRecords, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (path, record) in &register.vms.records {
        check_domain(register, path, &record.failure_domain, faults);
        check_address(&mut seen, path.key("peer_address"), record.peer_address, faults);
        if !(record.capacity.is_finite() && record.capacity > 0.0) {
            let value = record.capacity.to_string();
            let allowed = "a positive number, 1.0 for the default size".to_owned();
            faults.push(path.key("capacity"), FaultKind::OutOfRange { value, allowed });
        }
    }
}

fn check_models(register: &RegisterRecords, faults: &mut FaultList) {
    for (path, record) in &register.models.records {
        let served = register.servers.records.iter().any(|(_, server)| {
            server.kind == ServerKind::Engine && server.models.contains(&record.id)
        });
        if !served {
            faults.push(path.clone(), FaultKind::ModelWithoutServer { id: record.id.clone() });
        }
        if record.weights.is_empty() {
            let (value, allowed) = ("\"\"".to_owned(), "the version of the weights".to_owned());
            faults.push(path.key("weights"), FaultKind::OutOfRange { value, allowed });
        }
        let mut seen = BTreeSet::new();
        for (index, adapter) in record.adapters.iter().enumerate() {
            let path = path.key("adapters").item(index);
            if !is_valid_name(adapter) {
                faults.push(path, FaultKind::InvalidName { id: adapter.clone() });
            } else if !seen.insert(adapter) {
                faults.push(path, FaultKind::DuplicateId { id: adapter.clone() });
            }
        }
    }
}

fn check_services(register: &RegisterRecords, faults: &mut FaultList) {
    for (path, record) in &register.services.records {
        let served = register.servers.records.iter().any(|(_, server)| {
            server.kind == ServerKind::Service && server.service.as_ref() == Some(&record.id)
        });
        if !served {
            faults.push(path.clone(), FaultKind::ServiceWithoutServer { id: record.id.clone() });
        }
    }
}

fn check_servers(register: &RegisterRecords, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (path, record) in &register.servers.records {
        check_domain(register, path, &record.failure_domain, faults);
        check_address(&mut seen, path.key("address"), record.address, faults);
        if record.slots == 0 {
            let allowed = "the number of requests it runs concurrently, at least 1".to_owned();
            let fault = FaultKind::OutOfRange { value: "0".to_owned(), allowed };
            faults.push(path.key("slots"), fault);
        }
        check_server_models(register, path, record, faults);
        check_server_service(register, path, record, faults);
    }
}

fn check_server_models(
    register: &RegisterRecords,
    path: &KeyPath,
    record: &ServerRecord,
    faults: &mut FaultList,
) {
    let id = record.id.clone();
    let models_path = path.key("models");
    match (record.kind, record.models.is_empty()) {
        (ServerKind::Engine, true) => {
            faults.push(path.clone(), FaultKind::EngineWithoutModel { id })
        }
        (ServerKind::Service | ServerKind::CacheStore, false) => {
            faults.push(models_path.clone(), FaultKind::UnexpectedModels { id });
        }
        (ServerKind::Engine, false) | (ServerKind::Service | ServerKind::CacheStore, true) => {}
    }
    for (index, model) in record.models.iter().enumerate() {
        if !register.models.ids.contains(model) {
            faults.push(models_path.item(index), FaultKind::UnknownModel { id: model.clone() });
        }
    }
}

fn check_server_service(
    register: &RegisterRecords,
    path: &KeyPath,
    record: &ServerRecord,
    faults: &mut FaultList,
) {
    let id = record.id.clone();
    match (record.kind, &record.service) {
        (ServerKind::Service, None) => {
            faults.push(path.clone(), FaultKind::ServerWithoutService { id })
        }
        (ServerKind::Service, Some(service)) => {
            if !register.services.ids.contains(service) {
                let fault = FaultKind::UnknownService { id: service.clone() };
                faults.push(path.key("service"), fault);
            }
        }
        (ServerKind::Engine | ServerKind::CacheStore, Some(_)) => {
            faults.push(path.key("service"), FaultKind::UnexpectedService { id });
        }
        (ServerKind::Engine | ServerKind::CacheStore, None) => {}
    }
}

/// Rejects a key digest that two organisations list, because one could then use capacity that the
/// other pays for.
fn check_digests(register: &RegisterRecords, faults: &mut FaultList) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (path, record) in &register.organisations.records {
        for (index, digest) in record.key_digests.iter().enumerate() {
            let path = path.key("key_digests").item(index);
            if !is_digest(digest) {
                faults.push(path, FaultKind::InvalidDigest { digest: digest.clone() });
            } else if let Some(first) = owners.insert(digest, &record.id) {
                faults.push(path, FaultKind::DuplicateDigest { first: first.to_owned() });
            }
        }
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
