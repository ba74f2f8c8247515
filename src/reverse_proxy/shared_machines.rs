//! Which services have servers that share their machines with others, so that what fits into them
//! changes from moment to moment. Servers say so in their responses.

use {
    crate::ids::ServiceId,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A response without the mark ends it only if its request was sent this long after the last response
/// with one: responses of several servers overtake each other.
const END_DELAY: Duration = Duration::from_millis(500);

/// The services whose servers share their machines, with the time of the last response that said so. The
/// configuration bounds their number.
#[derive(Default)]
pub struct SharedMachines(Mutex<BTreeMap<ServiceId, Instant>>);

impl SharedMachines {
    /// Records a response of a server of `service` to a request that was sent at `sent`. Returns whether
    /// the servers share their machines if that has changed. Only an `executed` request shows that they
    /// do not.
    pub fn record(
        &self,
        now: Instant,
        service: &ServiceId,
        sent: Instant,
        is_shared: bool,
        executed: bool,
    ) -> Option<bool> {
        let mut services = self.lock();
        let known = services.get(service).copied();
        if is_shared {
            match services.get_mut(service) {
                Some(stated_at) => *stated_at = now,
                None => drop(services.insert(service.clone(), now)),
            }
            return known.is_none().then_some(true);
        }
        let ended = executed && sent > known? + END_DELAY;
        ended.then(|| {
            services.remove(service);
            false
        })
    }

    /// Whether the servers of the service share their machines.
    pub fn contains(&self, service: &ServiceId) -> bool {
        self.lock().contains_key(service)
    }

    /// Whether the servers of any service share their machines.
    pub fn is_any(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Keeps only the services that `is_routed` accepts.
    pub fn retain(&self, is_routed: impl Fn(&ServiceId) -> bool) {
        self.lock().retain(|service, _| is_routed(service));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
