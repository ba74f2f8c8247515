//! Which callers may send requests, by the organisations of a configuration.

use {
    super::RouteFault,
    crate::{ids::OrganisationId, inventory::RequestClass, policy::usage_limits::UsageLimit},
    std::collections::{BTreeMap, BTreeSet},
};

/// API keys and request settings of an organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationAccess {
    /// API keys; no two organisations share a key.
    pub keys: BTreeSet<String>,
    /// Priority class of its requests; overrides the class of the route.
    pub class: Option<RequestClass>,
    /// Whether its cached prompts are shared with no other organisation.
    pub isolated: bool,
    /// What it may use, over all daemons together; `None` if that is not limited.
    pub cap: Option<UsageLimit>,
}

/// The organisations that a configuration lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationTable {
    records: BTreeMap<OrganisationId, OrganisationAccess>,
}

impl OrganisationTable {
    /// Adds a record of an organisation. A name may have several records, whose keys are all accepted.
    /// The class of the first record that has one applies, and the cached prompts are shared only if
    /// all records allow it. Of several caps the lowest rate and the lowest burst apply.
    ///
    /// # Errors
    /// [`RouteFault::SharedKey`] if an earlier record of the name has one of its keys, and
    /// [`RouteFault::InvalidCap`] if their caps have different units, of which the first applies; the
    /// record is added nevertheless. [`RouteTable::check`] finds keys that are shared by different names.
    ///
    /// [`RouteTable::check`]: super::RouteTable::check
    pub fn add(
        &mut self,
        name: OrganisationId,
        access: OrganisationAccess,
    ) -> Result<(), RouteFault> {
        let merged = self.records.entry(name.clone()).or_default();
        let is_shared = !merged.keys.is_disjoint(&access.keys);
        merged.keys.extend(access.keys);
        merged.class = merged.class.or(access.class);
        merged.isolated |= access.isolated;
        let caps = merge_caps(merged.cap, access.cap);
        merged.cap = caps.or(merged.cap);
        if is_shared {
            return Err(RouteFault::SharedKey { first: name.clone(), second: name });
        }
        if caps.is_none() && access.cap.is_some() {
            let reason = "its records count by different units; use the same one".to_owned();
            return Err(RouteFault::InvalidCap { organisation: name, reason });
        }
        Ok(())
    }
}

/// The callers that a configuration admits to routes that are not anonymous. A configuration without
/// organisations and one with an empty list of them are opposites.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAccess {
    /// All callers, since the configuration has no organisations.
    Open,
    /// Callers with a key of one of the organisations; nobody if there are none.
    Keyed(OrganisationTable),
}

impl CallerAccess {
    /// Whether a caller has to send a key of an organisation.
    pub fn requires_keys(&self) -> bool {
        matches!(self, CallerAccess::Keyed(_))
    }

    /// The organisations, in the order of their names.
    pub fn organisations(&self) -> impl Iterator<Item = (&OrganisationId, &OrganisationAccess)> {
        self.table().into_iter().flat_map(|table| &table.records)
    }

    /// The settings of an organisation; `None` if it is not listed.
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationAccess> {
        self.table()?.records.get(name)
    }

    fn table(&self) -> Option<&OrganisationTable> {
        match self {
            CallerAccess::Open => None,
            CallerAccess::Keyed(table) => Some(table),
        }
    }
}

/// The cap that keeps both caps; `None` if there is none or if they have different units.
fn merge_caps(first: Option<UsageLimit>, second: Option<UsageLimit>) -> Option<UsageLimit> {
    let (Some(first), Some(second)) = (first, second) else { return first.or(second) };
    (first.unit == second.unit).then(|| UsageLimit {
        rate: first.rate.min(second.rate),
        burst: first.burst.min(second.burst),
        unit: first.unit,
        plain_tokens: first.plain_tokens.max(second.plain_tokens),
    })
}
