//! Retry budgets and backoff.
//!
//! When a server crashes or a failure domain is cut off, all requests in flight there fail at once.
//! If each of them were retried immediately, the remaining servers would get the load twice and
//! fail as well, and the retry storm would outlast its cause.
//!
//! Each retry is charged to two budgets that first sends fill: one of its service and one of the
//! organisation. A first send earns a tenth of a retry at its own service, so the long-term
//! amplification is at most 1.1 at each service, whatever fails: what a sound service earns cannot
//! be spent at a failing one. The reserve covers the crash of one server under low load.
//! Non-repeatable requests that may have run are never retried: see
//! [`super::dispatcher::lifecycle`].

use {
    super::{AttemptFailure, RetryReason},
    crate::ids::{OrganisationId, ServiceId, VmId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Retries earned by one first send.
const RETRIES_PER_SEND: f64 = 0.1;

/// Maximum unused retries of a service, enough for the requests in flight on a few crashing servers.
const SERVICE_RESERVE: f64 = 48.0;

/// The part of its share of a fleet's limit that a daemon starts with. The process before it may have
/// spent the whole share in the same time span.
const STARTING_FRACTION: f64 = 0.5;

/// Services with a budget of their own. Beyond this limit, one is evicted and starts again with the
/// initial balance. Services are configured, so that there are few.
const MAX_SERVICES: usize = 1_024;

/// Maximum unused retries of one organisation, its share of such a crash.
const ORGANISATION_RESERVE: f64 = 12.0;

/// Organisations with a budget of their own. Beyond this limit, one is evicted and starts again
/// with a full reserve; the daemon's budget still applies.
const MAX_BUDGETS: usize = 4_096;

/// Maximum number of times one request is sent.
pub const MAX_TRIES: u32 = 4;

/// Delay before the second retry. The first retry is immediate and goes to another server.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A token bucket that first sends fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Available retries, between 0 and `reserve`.
    balance: f64,
    /// Maximum balance.
    reserve: f64,
}

impl RetryBudget {
    fn new(reserve: f64) -> Self {
        RetryBudget { balance: reserve, reserve }
    }

    fn resize(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.balance = self.balance.min(reserve);
    }

    fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SEND).min(self.reserve);
    }

    fn covers(&self) -> bool {
        self.balance >= 1.0
    }
}

/// The budgets of the services that a daemon has sent requests to.
#[derive(Debug)]
struct ServiceBudgets {
    /// At most [`MAX_SERVICES`].
    budgets: BTreeMap<ServiceId, RetryBudget>,
    /// Balance of a new budget.
    initial: f64,
    /// Reserve of each budget.
    reserve: f64,
}

impl ServiceBudgets {
    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) && self.budgets.len() >= MAX_SERVICES {
            self.budgets.pop_first();
        }
        let (balance, reserve) = (self.initial.min(self.reserve), self.reserve);
        self.budgets.entry(service.clone()).or_insert(RetryBudget { balance, reserve })
    }
}

/// The retry budgets of one daemon.
#[derive(Debug)]
pub struct RetryBudgets {
    services: ServiceBudgets,
    /// Budgets below their reserve; at most [`MAX_BUDGETS`].
    organisations: BTreeMap<OrganisationId, RetryBudget>,
    /// Whether operators limit the retries of all daemons together.
    has_fleet_limit: bool,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        RetryBudgets {
            services: ServiceBudgets {
                budgets: BTreeMap::new(),
                initial: SERVICE_RESERVE,
                reserve: SERVICE_RESERVE,
            },
            organisations: BTreeMap::new(),
            has_fleet_limit: false,
        }
    }
}

impl RetryBudgets {
    /// Limits the reserves of this daemon. If operators limit the retries of all daemons together at
    /// each service in a time span, `share` is this daemon's part. A larger reserve would let a crash
    /// that all daemons see at once exceed that limit many times over. A share of less than one retry
    /// is held as a whole one by some daemons, chosen by their names.
    pub fn limit_reserve(&mut self, share: f64, daemon: &VmId) {
        let services = &mut self.services;
        services.reserve = share.max(1.0);
        services.initial = match share < 1.0 {
            true => f64::from(u8::from(name_phase(daemon) < share)),
            false => (share * STARTING_FRACTION).max(1.0),
        };
        for budget in services.budgets.values_mut() {
            budget.resize(services.reserve);
        }
        self.has_fleet_limit = true;
    }

    /// Returns whether retries of status calls are charged to the budgets as well.
    pub fn is_strict(&self) -> bool {
        self.has_fleet_limit
    }

    /// Credits the budgets for a first send to a service.
    pub fn deposit(&mut self, service: &ServiceId, organisation: &OrganisationId) {
        self.services.budget(service).deposit();
        if let Some(budget) = self.organisations.get_mut(organisation) {
            budget.deposit();
            // A full budget is equivalent to no entry.
            if budget.balance >= budget.reserve {
                self.organisations.remove(organisation);
            }
        }
    }

    /// Charges one retry at a service if both budgets cover it, and returns whether they do.
    pub fn withdraw(&mut self, service: &ServiceId, organisation: &OrganisationId) -> bool {
        let saved = self.organisations.get(organisation);
        if saved.is_some_and(|budget| !budget.covers()) || !self.services.budget(service).covers() {
            return false;
        }
        if !self.organisations.contains_key(organisation) && self.organisations.len() >= MAX_BUDGETS
        {
            self.organisations.pop_first();
        }
        self.services.budget(service).balance -= 1.0;
        self.organisations
            .entry(organisation.clone())
            .or_insert_with(|| RetryBudget::new(ORGANISATION_RESERVE))
            .balance -= 1.0;
        true
    }
}

/// Returns a number from 0 (inclusive) to 1 (exclusive) that stays the same for all lives of a daemon
/// and is evenly distributed over daemons.
fn name_phase(daemon: &str) -> f64 {
    (xxh3_64(daemon.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the earliest time of a retry after `tries` sends. The backoff is jittered by `chance`, a
/// random number from 0 to 1, and extended to the delay `requested` by the server, up to the
/// maximum.
pub fn retry_at(now: Instant, tries: u32, requested: Option<Duration>, chance: f64) -> Instant {
    let backoff = match tries {
        0 | 1 => Duration::ZERO,
        more => MIN_BACKOFF.saturating_mul(1 << (more - 2).min(8)).min(MAX_BACKOFF),
    };
    let requested = requested.map_or(Duration::ZERO, |pause| pause.min(MAX_BACKOFF));
    now + backoff.mul_f64(0.5 + chance / 2.0).max(requested)
}

/// Returns the reason under which a retry after `failure` is counted; `None` if it is never
/// retried.
pub fn reason_of(failure: AttemptFailure, relayed: u32) -> Option<RetryReason> {
    match failure {
        AttemptFailure::CallerError => None,
        AttemptFailure::NotConnected => Some(RetryReason::NotConnected),
        AttemptFailure::Refused | AttemptFailure::Declined => Some(RetryReason::Refused),
        AttemptFailure::WrongWeights => Some(RetryReason::WrongWeights),
        AttemptFailure::NoSlot => Some(RetryReason::NoSlot),
        AttemptFailure::Stale => Some(RetryReason::Stale),
        AttemptFailure::Withdrawn => Some(RetryReason::Withdrawn),
        _ if relayed > 0 => Some(RetryReason::StreamResumed),
        AttemptFailure::Broken | AttemptFailure::Unreachable => {
            Some(RetryReason::BrokenBeforeToken)
        }
        AttemptFailure::ServerError => Some(RetryReason::ServerError),
        AttemptFailure::TimedOut => Some(RetryReason::TimedOut),
    }
}
