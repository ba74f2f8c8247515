//! Deserializes a part record by record, so that all invalid records are reported in one run.

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

/// Prefix of serde's message for a missing key.
const MISSING: &str = "missing field";

/// Records of one list.
#[derive(Clone, Debug)]
pub struct RecordList<T> {
    /// Records that could be deserialized, with their paths.
    pub records: Vec<(KeyPath, T)>,
    /// Ids of all records, including those that could not be deserialized: a reference to such a
    /// record is not reported as a further fault.
    pub ids: BTreeSet<String>,
}

impl<T> RecordList<T> {
    fn into_records(self) -> Vec<T> {
        self.records.into_iter().map(|(_, record)| record).collect()
    }
}

/// Records of a register with their paths.
#[derive(Clone, Debug)]
pub struct RegisterRecords {
    /// Records of the list `failure_domains`.
    pub failure_domains: RecordList<DomainRecord>,
    /// Records of the list `vms`.
    pub vms: RecordList<VmRecord>,
    /// Records of the list `models`.
    pub models: RecordList<ModelRecord>,
    /// Records of the list `services`.
    pub services: RecordList<ServiceRecord>,
    /// Records of the list `servers`.
    pub servers: RecordList<ServerRecord>,
    /// Records of the list `organisations`.
    pub organisations: RecordList<OrganisationRecord>,
}

impl RegisterRecords {
    /// Drops the paths.
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

/// Records of a rule set with their paths.
#[derive(Clone, Debug)]
pub struct RuleRecords {
    /// Scalar values; the lists of this rule set are empty.
    pub scalars: RuleSet,
    /// Records of the list `organisations`.
    pub organisations: RecordList<OrganisationRule>,
    /// Records of the list `calls`.
    pub calls: RecordList<CallRule>,
}

impl RuleRecords {
    /// Merges scalar values and lists, and drops the paths.
    pub fn into_rules(self) -> RuleSet {
        RuleSet {
            organisations: self.organisations.into_records(),
            calls: self.calls.into_records(),
            ..self.scalars
        }
    }
}

/// Deserializes all lists of a register.
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

/// Deserializes all lists and scalar values of a rule set.
pub fn read_rules(part: &DocumentPart, faults: &mut FaultList) -> RuleRecords {
    let mut object = root_object(part, faults);
    let organisations = take_list(&mut object, "organisations", faults);
    let calls = take_list(&mut object, "calls", faults);
    let scalars = read_record(&KeyPath::default(), JsonValue::Object(object), faults);
    RuleRecords { scalars: scalars.unwrap_or_default(), organisations, calls }
}

fn root_object(part: &DocumentPart, faults: &mut FaultList) -> Map<String, JsonValue> {
    part.value.as_object().cloned().unwrap_or_else(|| {
        let detail = "a table is expected here".to_owned();
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
            let detail = format!("a list is expected; write each record under [[{key}]]");
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

/// Deserializes one record. Deserialization stops at the first invalid key, so each invalid key is
/// reported and removed, and the rest deserialized again, until it succeeds or a key is missing. A
/// record without its invalid keys only serves to validate other records, since a reported fault
/// rejects the file.
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
            // A key that was removed above is missing now; it has been reported already.
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

/// The key whose removal makes `error` disappear.
fn invalid_key<T: DeserializeOwned>(value: &JsonValue, error: &str) -> Option<String> {
    let object = value.as_object()?;
    object
        .keys()
        .find(|key| {
            let mut remaining = object.clone();
            remaining.remove(*key);
            T::deserialize(JsonValue::Object(remaining))
                .err()
                .is_none_or(|other| other.to_string() != error)
        })
        .cloned()
}
