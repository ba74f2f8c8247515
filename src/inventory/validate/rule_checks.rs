//! Semantic validation of a rule set against a register.

use {
    super::{
        fault::{FaultKind, FaultList, KeyPath},
        records::{RegisterRecords, RuleRecords},
    },
    crate::inventory::AssetRegister,
    std::collections::BTreeSet,
};

/// Methods that a call rule may name.
const METHODS: [&str; 8] = ["*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Wildcard for all models or services.
const ANY: &str = "*";

/// Adds all faults of the rules to `faults`.
pub fn check(rules: &RuleRecords, known: &KnownIds, faults: &mut FaultList) {
    check_scalars(rules, faults);
    check_organisations(rules, known, faults);
    check_calls(rules, known, faults);
}

/// Ids of a register that rules may reference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownIds {
    organisations: BTreeSet<String>,
    models: BTreeSet<String>,
    services: BTreeSet<String>,
}

impl KnownIds {
    /// Ids of a valid register.
    pub fn from_register(register: &AssetRegister) -> Self {
        KnownIds {
            organisations: register.organisations.iter().map(|record| record.id.clone()).collect(),
            models: register.models.iter().map(|record| record.id.clone()).collect(),
            services: register.services.iter().map(|record| record.id.clone()).collect(),
        }
    }

    /// Ids of all records, including invalid ones, so that a rule that references an invalid record is
    /// not reported as a further fault.
    pub fn from_records(records: &RegisterRecords) -> Self {
        KnownIds {
            organisations: records.organisations.ids.clone(),
            models: records.models.ids.clone(),
            services: records.services.ids.clone(),
        }
    }
}

fn check_scalars(rules: &RuleRecords, faults: &mut FaultList) {
    let scalars = &rules.scalars;
    check_positive(KeyPath::root("weight_loads"), scalars.weight_loads.into(), faults);
    check_positive(KeyPath::root("retention_hours"), scalars.retention_hours.into(), faults);
    for (class, milliseconds) in &scalars.deadlines_ms {
        check_positive(KeyPath::root("deadlines_ms").key(class.as_str()), *milliseconds, faults);
    }
}

fn check_positive(path: KeyPath, value: u64, faults: &mut FaultList) {
    if value == 0 {
        let allowed = "a whole number from 1".to_owned();
        faults.push(path, FaultKind::OutOfRange { value: value.to_string(), allowed });
    }
}

fn check_organisations(rules: &RuleRecords, known: &KnownIds, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (path, rule) in &rules.organisations.records {
        let id = &rule.organisation;
        if !known.organisations.contains(id) {
            let fault = FaultKind::UnknownOrganisation { id: id.clone() };
            faults.push(path.key("organisation"), fault);
        }
        if !seen.insert(id) {
            faults.push(path.key("organisation"), FaultKind::DuplicateId { id: id.clone() });
        }
        if !(rule.weight.is_finite() && rule.weight > 0.0) {
            let allowed = "a positive number, 1.0 for an equal share".to_owned();
            let fault = FaultKind::OutOfRange { value: rule.weight.to_string(), allowed };
            faults.push(path.key("weight"), fault);
        }
        for (index, model) in rule.models.iter().enumerate() {
            if model != ANY && !known.models.contains(model) {
                let fault = FaultKind::UnknownModel { id: model.clone() };
                faults.push(path.key("models").item(index), fault);
            }
        }
        for (index, service) in rule.services.iter().enumerate() {
            if service != ANY && !known.services.contains(service) {
                let fault = FaultKind::UnknownService { id: service.clone() };
                faults.push(path.key("services").item(index), fault);
            }
        }
    }
}

/// Validates the rules of calls. Two rules of one call could contradict each other on whether it is
/// repeatable, so duplicates are rejected.
fn check_calls(rules: &RuleRecords, known: &KnownIds, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (path, rule) in &rules.calls.records {
        if !known.services.contains(&rule.service) {
            let fault = FaultKind::UnknownService { id: rule.service.clone() };
            faults.push(path.key("service"), fault);
        }
        if !METHODS.contains(&rule.method.as_str()) {
            let fault = FaultKind::UnknownMethod { method: rule.method.clone() };
            faults.push(path.key("method"), fault);
        }
        if !rule.path.starts_with('/') {
            faults.push(path.key("path"), FaultKind::InvalidPath { path: rule.path.clone() });
        }
        if !seen.insert((&rule.service, &rule.method, &rule.path)) {
            faults.push(path.clone(), FaultKind::DuplicateCall);
        }
    }
}
