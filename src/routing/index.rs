//! Lookup indexes of a route table, built once for each table.

use {
    super::{OrganisationAccess, RouteRule, RouteTable},
    crate::{
        ids::{OrganisationId, ServiceId},
        policy::prefix::{self, CacheScope},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A route table with indexes by host and by API key.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    /// The indexed table.
    pub table: Arc<RouteTable>,
    /// Routes by host, longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<RouteRule>>>,
    /// Organisations by API key.
    keys: BTreeMap<String, OrganisationId>,
    /// Whether any organisation has a usage limit.
    pub limits_use: bool,
    /// The scope of the organisations that are not isolated.
    shared_scope: CacheScope,
}

impl RouteIndex {
    /// Builds the indexes of `table`, which must be valid.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<RouteRule>>> = BTreeMap::new();
        for route in &table.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = table.access.organisations().flat_map(|(organisation, access)| {
            access.keys.iter().map(|key| (key.clone(), organisation.clone()))
        });
        let limits_use = table.access.organisations().any(|(_, access)| access.cap.is_some());
        let isolated = table.access.organisations().filter(|(_, access)| access.isolated);
        let shared_scope = prefix::shared_scope(isolated.map(|(name, _)| name.as_str()));
        RouteIndex { hosts, keys: keys.collect(), limits_use, shared_scope, table }
    }

    /// The route with the longest matching prefix. `host` may have any case and a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.hosts.get(&normalise_host(host))?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<(&OrganisationId, &OrganisationAccess)> {
        let organisation = self.keys.get(key)?;
        Some((organisation, self.table.access.organisation(organisation)?))
    }

    /// The organisations that may use the cache entries which a request of `organisation` makes. One that
    /// is not configured any more is isolated, since that is what its last configuration may have asked for.
    pub fn cache_scope(&self, organisation: &OrganisationId) -> CacheScope {
        let access = self.table.access.organisation(organisation);
        let is_shared = access.map_or(organisation.is_empty(), |access| !access.isolated);
        if is_shared { self.shared_scope.clone() } else { prefix::isolated_scope(organisation) }
    }

    /// Whether callers need API keys on routes that are not anonymous.
    pub fn requires_keys(&self) -> bool {
        self.table.access.requires_keys()
    }
}

/// The form in which hosts are compared: in lower case and without a port.
pub fn normalise_host(host: &str) -> String {
    // The colons within the brackets of an IPv6 address do not precede a port.
    let name_end = host.rfind(']').map_or(0, |end| end + 1);
    let port = host[name_end..].find(':').map(|start| name_end + start);
    host[..port.unwrap_or(host.len())].to_ascii_lowercase()
}

impl RouteRule {
    /// Selects a service in proportion to the weights; `chance` is a random number in 0 to 1.
    pub fn select_service(&self, chance: f64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = (chance * total as f64) as u64;
        let weighted = self.services.iter().filter(|(_, weight)| *weight > 0);
        let mut last = None;
        for (service, weight) in weighted {
            last = Some(service);
            match remaining.checked_sub(u64::from(*weight)) {
                Some(rest) => remaining = rest,
                None => return Some(service),
            }
        }
        last
    }
}
