//! Which services have servers that end if they have to reject too many requests.
//!
//! Servers say so in their responses. A daemon that receives none, because it has sent nothing or has
//! just started, learns of it from the other daemons.

use {
    crate::ids::ServiceId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A response without a limit ends it only if its request was sent this long after the last response
/// with one: responses of several servers overtake each other.
const END_DELAY: Duration = Duration::from_millis(500);
/// For how long a limit is passed on to other daemons after a server has named it.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// A limit that only other daemons have reported ends this long after their last report, and is ignored
/// for as long after a server has shown that it has ended: reports may be on their way.
const HEARSAY_TIME: Duration = Duration::from_secs(6);

/// A change of what the servers of a service say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// They name a limit, or another one than before, in rejections a second.
    Named(u32),
    /// Other daemons report that they name one.
    Reported,
    /// They name none any more.
    Ended,
}

/// What is known of the limit of a service.
#[derive(Clone, Copy, Debug)]
enum LimitState {
    /// A server has named it in a response to this daemon.
    Named { rejections: u32, named_at: Instant },
    /// Other daemons have reported it.
    Reported { reported_at: Instant },
    /// A response has shown that it has ended.
    Ended { ended_at: Instant },
}

impl LimitState {
    fn is_limited(self, now: Instant) -> bool {
        match self {
            LimitState::Named { .. } => true,
            LimitState::Reported { reported_at } => now < reported_at + HEARSAY_TIME,
            LimitState::Ended { .. } => false,
        }
    }
}

/// The services whose servers name a limit. The configuration bounds their number.
#[derive(Default)]
pub struct RejectionLimits(Mutex<BTreeMap<ServiceId, LimitState>>);

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
        if let Some(rejections) = limit {
            limits.insert(service.clone(), LimitState::Named { rejections, named_at: now });
            let is_known = matches!(
                known,
                Some(LimitState::Named { rejections: known, .. }) if known == rejections
            );
            return (!is_known).then_some(LimitChange::Named(rejections));
        }
        let since = match known? {
            LimitState::Named { named_at, .. } => named_at,
            LimitState::Reported { reported_at } => reported_at,
            LimitState::Ended { .. } => return None,
        };
        let ended = executed && sent > since + END_DELAY;
        ended.then(|| {
            limits.insert(service.clone(), LimitState::Ended { ended_at: now });
            LimitChange::Ended
        })
    }

    /// Records that another daemon has received a limit of the service's servers.
    pub fn record_report(&self, now: Instant, service: &ServiceId) -> Option<LimitChange> {
        let mut limits = self.lock();
        let known = limits.get(service).copied();
        let is_ignored = match known {
            Some(LimitState::Named { .. }) => true,
            Some(LimitState::Ended { ended_at }) => now < ended_at + HEARSAY_TIME,
            Some(LimitState::Reported { .. }) | None => false,
        };
        if is_ignored {
            return None;
        }
        limits.insert(service.clone(), LimitState::Reported { reported_at: now });
        let was_limited = known.is_some_and(|known| known.is_limited(now));
        (!was_limited).then_some(LimitChange::Reported)
    }

    /// The services whose servers have just named a limit to this daemon.
    pub fn reports(&self, now: Instant) -> BTreeSet<ServiceId> {
        let limits = self.lock();
        let is_recent = |state: &LimitState| match state {
            LimitState::Named { named_at, .. } => now < *named_at + REPORT_TIME,
            LimitState::Reported { .. } | LimitState::Ended { .. } => false,
        };
        let recent = limits.iter().filter(|(_, state)| is_recent(state));
        recent.map(|(service, _)| service.clone()).collect()
    }

    /// Whether the servers of the service name a limit.
    pub fn is_limited(&self, now: Instant, service: &ServiceId) -> bool {
        self.lock().get(service).is_some_and(|state| state.is_limited(now))
    }

    /// Keeps only the services that `is_routed` accepts.
    pub fn retain(&self, is_routed: impl Fn(&ServiceId) -> bool) {
        self.lock().retain(|service, _| is_routed(service));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, LimitState>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
