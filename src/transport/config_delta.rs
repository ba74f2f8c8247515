//! Record-level differences between two configurations.
//!
//! At the design size a complete configuration has several megabytes and changes 2,100 times a day
//! in a few records each; sending it completely to 380 daemons would exceed their budget of 21 KB/s.

use {
    crate::{
        ids::Revision,
        inventory::{
            ActiveConfig, DomainRecord, ModelRecord, OrganisationRecord, OrganisationRule, RuleSet,
            ServerRecord, ServiceRecord, VmRecord,
        },
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A record with a name that is unique in its list.
trait NamedRecord: Clone + PartialEq {
    fn name(&self) -> &str;
}

macro_rules! named_records {
    ($($record:ty => $field:ident),+ $(,)?) => {$(
        impl NamedRecord for $record {
            fn name(&self) -> &str {
                &self.$field
            }
        }
    )+};
}

named_records! {
    DomainRecord => id,
    VmRecord => id,
    ModelRecord => id,
    ServiceRecord => id,
    ServerRecord => id,
    OrganisationRecord => id,
    OrganisationRule => organisation,
}

/// The difference between two versions of one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    /// Names of removed records.
    pub removed: Vec<String>,
    /// Changed records, which keep their position, and new records, which are appended.
    pub put: Vec<T>,
}

/// The difference between a revision of the configuration and a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The only revision that the delta applies to.
    pub from: Revision,
    /// The resulting revision; higher than `from`.
    pub to: Revision,
    /// Failure domains of the register.
    pub failure_domains: ListDelta<DomainRecord>,
    /// VMs of the register.
    pub vms: ListDelta<VmRecord>,
    /// Models of the register.
    pub models: ListDelta<ModelRecord>,
    /// Plain services of the register.
    pub services: ListDelta<ServiceRecord>,
    /// Backend servers of the register.
    pub servers: ListDelta<ServerRecord>,
    /// Organisations of the register.
    pub organisations: ListDelta<OrganisationRecord>,
    /// Rules of individual organisations.
    pub organisation_rules: ListDelta<OrganisationRule>,
    /// All other rules, with `organisations` empty; `None` if they did not change.
    pub rules: Option<RuleSet>,
}

impl ConfigDelta {
    /// The difference between `old` and `new`; `None` if it cannot be expressed, because the order of
    /// records changed. The complete configuration has to be sent then.
    pub fn between(old: &ActiveConfig, new: &ActiveConfig) -> Option<Self> {
        let (before, after) = (&old.register, &new.register);
        let delta = Self {
            from: old.revision,
            to: new.revision,
            failure_domains: list_delta(&before.failure_domains, &after.failure_domains),
            vms: list_delta(&before.vms, &after.vms),
            models: list_delta(&before.models, &after.models),
            services: list_delta(&before.services, &after.services),
            servers: list_delta(&before.servers, &after.servers),
            organisations: list_delta(&before.organisations, &after.organisations),
            organisation_rules: list_delta(&old.rules.organisations, &new.rules.organisations),
            rules: (other_rules(&old.rules) != other_rules(&new.rules))
                .then(|| other_rules(&new.rules)),
        };
        (delta.apply(old).as_ref() == Some(new)).then_some(delta)
    }

    /// Applies the delta to `old`; `None` if `old` does not have the revision `from`.
    pub fn apply(&self, old: &ActiveConfig) -> Option<ActiveConfig> {
        if old.revision != self.from || self.to <= self.from {
            return None;
        }
        let mut new = old.clone();
        new.revision = self.to;
        let organisations = std::mem::take(&mut new.rules.organisations);
        if let Some(rules) = &self.rules {
            new.rules = rules.clone();
        }
        new.rules.organisations = organisations;
        put_list(&mut new.rules.organisations, &self.organisation_rules);
        put_list(&mut new.register.failure_domains, &self.failure_domains);
        put_list(&mut new.register.vms, &self.vms);
        put_list(&mut new.register.models, &self.models);
        put_list(&mut new.register.services, &self.services);
        put_list(&mut new.register.servers, &self.servers);
        put_list(&mut new.register.organisations, &self.organisations);
        Some(new)
    }

    /// Number of removed, changed and new records; the other rules count as one.
    pub fn record_count(&self) -> usize {
        let lengths = [
            list_count(&self.failure_domains),
            list_count(&self.vms),
            list_count(&self.models),
            list_count(&self.services),
            list_count(&self.servers),
            list_count(&self.organisations),
            list_count(&self.organisation_rules),
        ];
        lengths.iter().sum::<usize>() + usize::from(self.rules.is_some())
    }
}

fn list_delta<T: NamedRecord>(old: &[T], new: &[T]) -> ListDelta<T> {
    let before: BTreeMap<&str, &T> = old.iter().map(|record| (record.name(), record)).collect();
    let after: BTreeMap<&str, &T> = new.iter().map(|record| (record.name(), record)).collect();
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let put = new.iter().filter(|record| before.get(record.name()) != Some(record));
    ListDelta {
        removed: removed.map(|name| (*name).to_owned()).collect(),
        put: put.cloned().collect(),
    }
}

fn put_list<T: NamedRecord>(list: &mut Vec<T>, delta: &ListDelta<T>) {
    if delta.removed.is_empty() && delta.put.is_empty() {
        return;
    }
    let mut put: BTreeMap<&str, &T> =
        delta.put.iter().map(|record| (record.name(), record)).collect();
    list.retain(|record| !delta.removed.iter().any(|name| name == record.name()));
    for record in list.iter_mut() {
        if let Some(changed) = put.remove(record.name()) {
            *record = changed.clone();
        }
    }
    let added = delta.put.iter().filter(|record| put.contains_key(record.name())).cloned();
    list.extend(added.collect::<Vec<_>>());
}

fn list_count<T>(delta: &ListDelta<T>) -> usize {
    delta.removed.len() + delta.put.len()
}

fn other_rules(rules: &RuleSet) -> RuleSet {
    RuleSet { organisations: Vec::new(), ..rules.clone() }
}
