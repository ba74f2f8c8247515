//! Reads a part record by record, so that one wrong record does not hide the next one's faults.

use {
    super::{
        document::DocumentPart,
        fault::{FaultKind, FaultList, KeyPath},
    },
    crate::inventory::{
        AssetRegister, CallRule, DomainRecord, ModelRecord, OrganisationRecord, OrganisationRule,
        RuleSet, ServerRecord, ServiceRecord, VmRecord,
    },
    serde::de::DeserializeOwned,
    serde_json::{Map, Value as JsonValue},
    std::collections::BTreeSet,
};

/// How the reader's message starts when a key is missing.
const MISSING: &str = "missing field";

/// The records of one list.
#[derive(Clone, Debug)]
pub struct RecordList<T> {
    /// Records that could be read, with their places in the file.
    pub records: Vec<(KeyPath, T)>,
    /// Ids of all records, also of those that could not be read: a reference to one of these is
    /// not a second fault.
    pub ids: BTreeSet<String>,
}

impl<T> RecordList<T> {
    fn into_records(self) -> Vec<T> {
        self.records.into_iter().map(|(_, record)| record).collect()
    }
}

/// A register's records with their places.
#[derive(Clone, Debug)]
pub struct RegisterRecords {
    /// Failure domains.
    pub failure_domains: RecordList<DomainRecord>,
    /// VMs of the system.
    pub vms: RecordList<VmRecord>,
    /// Models.
    pub models: RecordList<ModelRecord>,
    /// Plain services.
    pub services: RecordList<ServiceRecord>,
    /// Backend servers.
    pub servers: RecordList<ServerRecord>,
    /// Organisations.
    pub organisations: RecordList<OrganisationRecord>,
}

impl RegisterRecords {
    /// The register without places.
    pub fn into_register(self) -> AssetRegister {
        AssetRegister {
            failure_domains: self.failure_domains.into_records(),
            vms: self.vms.into_records(),
            models: self.models.into_records(),
            services: self.services.into_records(),
            servers: self.servers.into_records(),
            organisations: self.organisations.into_records(),
        }
    }
}

/// A rule set's records with their places.
#[derive(Clone, Debug)]
pub struct RuleRecords {
    /// All rules but the lists, which are empty here.
    pub scalars: RuleSet,
    /// Rules of organisations.
    pub organisations: RecordList<OrganisationRule>,
    /// Rules of calls.
    pub calls: RecordList<CallRule>,
}

impl RuleRecords {
    /// The rule set without places.
    pub fn into_rules(self) -> RuleSet {
        RuleSet {
            organisations: self.organisations.into_records(),
            calls: self.calls.into_records(),
            ..self.scalars
        }
    }
}

/// Reads all lists of a register.
pub fn read_register(part: &DocumentPart, faults: &mut FaultList) -> RegisterRecords {
    let mut object = root_object(part, faults);
    let records = RegisterRecords {
        failure_domains: take_list(&mut object, "failure_domains", faults),
        vms: take_list(&mut object, "vms", faults),
        models: take_list(&mut object, "models", faults),
        services: take_list(&mut object, "services", faults),
        servers: take_list(&mut object, "servers", faults),
        organisations: take_list(&mut object, "organisations", faults),
    };
    read_record::<AssetRegister>(&KeyPath::default(), JsonValue::Object(object), faults);
    records
}

/// Reads all lists and single values of a rule set.
pub fn read_rules(part: &DocumentPart, faults: &mut FaultList) -> RuleRecords {
    let mut object = root_object(part, faults);
    let organisations = take_list(&mut object, "organisations", faults);
    let calls = take_list(&mut object, "calls", faults);
    let scalars = read_record(&KeyPath::default(), JsonValue::Object(object), faults);
    RuleRecords { scalars: scalars.unwrap_or_default(), organisations, calls }
}

fn root_object(part: &DocumentPart, faults: &mut FaultList) -> Map<String, JsonValue> {
    part.value.as_object().cloned().unwrap_or_else(|| {
        let detail = "a table is wanted here".to_owned();
        faults.push(KeyPath::default(), FaultKind::InvalidValue { detail });
        Map::new()
    })
}

fn take_list<T: DeserializeOwned>(
    object: &mut Map<String, JsonValue>,
    key: &str,
    faults: &mut FaultList,
) -> RecordList<T> {
    let path = KeyPath::root(key);
    let items = match object.remove(key) {
        None => Vec::new(),
        Some(JsonValue::Array(items)) => items,
        Some(_) => {
            let detail = format!("a list is wanted; write each record under [[{key}]]");
            faults.push(path.clone(), FaultKind::InvalidValue { detail });
            Vec::new()
        }
    };
    let ids = items.iter().filter_map(|item| item.get("id")?.as_str()).map(str::to_owned).collect();
    let records = items
        .into_iter()
        .enumerate()
        .filter_map(|(index, item)| {
            let path = path.item(index);
            read_record(&path, item, faults).map(|record| (path, record))
        })
        .collect();
    RecordList { records, ids }
}

/// Reads one record. Since the reader stops at the first wrong key, each wrong key is noted, taken
/// out, and the rest read again, until it fits or only a missing key is left. A record without its
/// wrong keys is good for checking the others; the noted fault keeps it from being used.
fn read_record<T: DeserializeOwned>(
    path: &KeyPath,
    value: JsonValue,
    faults: &mut FaultList,
) -> Option<T> {
    let mut rest = value;
    let mut complete = true;
    loop {
        let error = match T::deserialize(&rest) {
            Ok(record) => return Some(record),
            Err(error) => error.to_string(),
        };
        let missing = error.starts_with(MISSING);
        let invalid = if missing { None } else { invalid_key::<T>(&rest, &error) };
        let Some(key) = invalid else {
            // A key that was taken out above is missing now; that is no new fault.
            if complete || !missing {
                faults.push(path.clone(), FaultKind::InvalidValue { detail: error });
            }
            return None;
        };
        faults.push(path.key(&key), FaultKind::InvalidValue { detail: error });
        complete = false;
        rest.as_object_mut()?.remove(&key);
    }
}

/// The key without which the reader no longer finds `error`.
fn invalid_key<T: DeserializeOwned>(value: &JsonValue, error: &str) -> Option<String> {
    let object = value.as_object()?;
    object
        .keys()
        .find(|key| {
            let mut without = object.clone();
            without.remove(*key);
            T::deserialize(JsonValue::Object(without))
                .err()
                .is_none_or(|other| other.to_string() != error)
        })
        .cloned()
}
