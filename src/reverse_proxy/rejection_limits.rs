//! Which services have servers that end if they have to reject too many requests.

use {
    crate::ids::ServiceId,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A response without a limit ends it only if its request was sent this long after the last response
/// with one: responses of several servers overtake each other.
const END_DELAY: Duration = Duration::from_millis(500);

/// A change of what the servers of a service say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// They name a limit, or another one than before, in rejections a second.
    Named(u32),
    /// They name none any more.
    Ended,
}

/// The limit that the servers of a service have named.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rejections: u32,
    named_at: Instant,
}

/// The services whose servers name a limit. The configuration bounds their number.
#[derive(Default)]
pub struct RejectionLimits(Mutex<BTreeMap<ServiceId, NamedLimit>>);

impl RejectionLimits {
    /// Records a response of a server of `service` to a request that was sent at `sent`. Only an
    /// `executed` request shows that there is no limit.
    pub fn record(
        &self,
        now: Instant,
        service: &ServiceId,
        sent: Instant,
        limit: Option<u32>,
        executed: bool,
    ) -> Option<LimitChange> {
        let mut limits = self.lock();
        let known = limits.get(service).copied();
        match (limit, known) {
            (Some(rejections), _) => {
                limits.insert(service.clone(), NamedLimit { rejections, named_at: now });
                let is_new = known.is_none_or(|known| known.rejections != rejections);
                is_new.then_some(LimitChange::Named(rejections))
            }
            (None, Some(known)) if executed && sent > known.named_at + END_DELAY => {
                limits.remove(service);
                Some(LimitChange::Ended)
            }
            _ => None,
        }
    }

    /// Keeps only the services that `is_routed` accepts.
    pub fn retain(&self, is_routed: impl Fn(&ServiceId) -> bool) {
        self.lock().retain(|service, _| is_routed(service));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, NamedLimit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
