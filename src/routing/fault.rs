//! Validation of a route table.

use {
    super::{RouteRule, RouteTable},
    crate::ids::{OrganisationId, ServiceId},
    displaydoc::Display,
    std::collections::{BTreeMap, BTreeSet},
};

/// Why a route table is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RouteFault {
    /// the table cannot be parsed: {reason}; send a complete table in the documented format
    Unreadable {
        /// Message of the parser.
        reason: String,
    },
    /// the number of the table is 0, which is reserved for "no table"; number tables from 1
    MissingNumber,
    /// route {route} names the unknown service {service}; list the service or correct the route
    UnknownService {
        /// Name of the route.
        route: String,
        /// Service that is not listed, or that is a KV cache store.
        service: ServiceId,
    },
    /// routes {first} and {second} have the same host and path prefix; remove one
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// the weights of route {route} add up to 0; give at least one service a positive weight
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// the timeout of route {route} is 0; set the longest time that a caller may wait
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// the path prefix {prefix} of route {route} does not begin and end with a slash; correct it
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// Path prefix as configured.
        prefix: String,
    },
    /// organisations {first} and {second} share a key; give each its own
    SharedKey {
        /// First organisation with the key, in alphabetical order.
        first: OrganisationId,
        /// Another organisation with the key.
        second: OrganisationId,
    },
    /// the usage limit of organisation {organisation} is invalid: {reason}
    InvalidCap {
        /// Organisation with the cap.
        organisation: OrganisationId,
        /// What is wrong, with the remedy.
        reason: String,
    },
}

impl std::error::Error for RouteFault {}

impl RouteTable {
    /// Validates the table.
    ///
    /// # Errors
    /// The first fault found; no part of an invalid table may be activated.
    pub fn check(&self) -> Result<(), RouteFault> {
        if self.number == 0 {
            return Err(RouteFault::MissingNumber);
        }
        self.routes.iter().try_for_each(|route| self.check_route(route))?;
        self.check_paths()?;
        self.check_keys()
    }

    fn check_route(&self, route: &RouteRule) -> Result<(), RouteFault> {
        let name = || route.name.clone();
        let known = |service: &ServiceId| {
            self.services.get(service).is_some_and(|rule| rule.cache_store.is_none())
        };
        if let Some((service, _)) = route.services.iter().find(|(service, _)| !known(service)) {
            let service = service.clone();
            return Err(RouteFault::UnknownService { route: name(), service });
        }
        if route.services.iter().all(|(_, weight)| *weight == 0) {
            return Err(RouteFault::ZeroWeight { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(RouteFault::ZeroTimeout { route: name() });
        }
        if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
            let prefix = route.path_prefix.clone();
            return Err(RouteFault::InvalidPrefix { route: name(), prefix });
        }
        Ok(())
    }

    fn check_paths(&self) -> Result<(), RouteFault> {
        let mut paths = BTreeMap::new();
        for route in &self.routes {
            let path = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = paths.insert(path, &route.name) {
                let (first, second) = (first.clone(), route.name.clone());
                return Err(RouteFault::DuplicateRoute { first, second });
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), RouteFault> {
        let mut owners = BTreeMap::new();
        for (organisation, access) in self.access.organisations() {
            let keys: BTreeSet<&str> = access.keys.iter().map(String::as_str).collect();
            for key in keys {
                if let Some(first) = owners.insert(key, organisation) {
                    let (first, second) = (first.clone(), organisation.clone());
                    return Err(RouteFault::SharedKey { first, second });
                }
            }
        }
        Ok(())
    }
}
