//! Look-ups in a route table, made once for each table.

use {
    super::{OrganisationAccess, RouteRule, RouteTable},
    crate::ids::{OrganisationId, ServiceId},
    std::{collections::BTreeMap, sync::Arc},
};

/// A route table with what each request asks of it.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The table.
    pub table: Arc<RouteTable>,
    /// Routes by host, the longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<RouteRule>>>,
    /// Organisations by key.
    keys: BTreeMap<String, OrganisationId>,
}

impl RouteIndex {
    /// The look-ups of `table`, which must have been checked.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<RouteRule>>> = BTreeMap::new();
        for route in &table.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let organisations = table.organisations.iter();
        let keys = organisations.flat_map(|(organisation, terms)| {
            terms.keys.iter().map(|key| (key.clone(), organisation.clone()))
        });
        RouteIndex { hosts, keys: keys.collect(), table }
    }

    /// The route for a host (in any case, with or without a port) and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<(&OrganisationId, &OrganisationAccess)> {
        let organisation = self.keys.get(key)?;
        Some((organisation, self.table.organisations.get(organisation)?))
    }

    /// Whether callers need keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.table.organisations.is_empty()
    }
}

impl RouteRule {
    /// The service for a request, with `chance` in 0 to 1 choosing among the weights.
    pub fn select_service(&self, chance: f64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = (chance * total as f64) as u64;
        let weighted = self.services.iter().filter(|(_, weight)| *weight > 0);
        let mut last = None;
        for (service, weight) in weighted {
            last = Some(service);
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        last
    }
}
