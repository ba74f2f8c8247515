//! When, where and how often a request is sent again.
//!
//! Load pattern: a server dies or a domain is cut off, and everything in flight there fails at once.
//! Without it each failure is sent again at once, the survivors get the load twice, fail too, and
//! the storm outlives its cause.
//!
//! Retries are paid from budgets that first sends fill: one for the daemon, one for each
//! organisation. At a tenth of the sends, amplification cannot pass 1.1 in the long run whatever
//! fails; the reserve covers one server's crash at a quiet time. What must not run twice has no
//! retry at all: see [`super::dispatcher::lifecycle`].

use {
    super::{AttemptFailure, RetryReason},
    crate::ids::OrganisationId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Retries that one first send pays for.
const RETRIES_PER_SEND: f64 = 0.1;

/// Retries that a daemon may have saved: what a few servers have in flight when they crash.
const DAEMON_RESERVE: f64 = 48.0;

/// Retries that one organisation may have saved: its part of such a crash.
const ORGANISATION_RESERVE: f64 = 12.0;

/// Organisations with a budget of their own. Beyond it the least is forgotten, and starts anew
/// with a full reserve; the daemon's budget still binds.
const MAX_BUDGETS: usize = 4_096;

/// Tries of one request in all.
pub const MAX_TRIES: u32 = 4;

/// The pause before a second retry; the first one goes at once, to another server.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest pause.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// A budget that first sends fill and retries use up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be made now; between 0 and `reserve`.
    balance: f64,
    /// The most that can be saved.
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

/// The budgets of one daemon.
#[derive(Debug)]
pub struct BudgetBook {
    daemon: RetryBudget,
    /// At most [`MAX_BUDGETS`].
    organisations: BTreeMap<OrganisationId, RetryBudget>,
    /// Whether operators bound the retries of all daemons together.
    shared_bound: bool,
}

impl Default for BudgetBook {
    fn default() -> Self {
        BudgetBook {
            daemon: RetryBudget::new(DAEMON_RESERVE),
            organisations: BTreeMap::new(),
            shared_bound: false,
        }
    }
}

impl BudgetBook {
    /// Bounds what this daemon may save up. Where operators allow so many retries in a span of time
    /// for all daemons together, each may save its part; more would let a crash that all of them
    /// see at once pass the bound many times over.
    pub fn bound_reserve(&mut self, retries: f64) {
        self.daemon.resize(retries);
        self.shared_bound = true;
    }

    /// Whether every retry has to be paid for, those of status calls included.
    pub fn is_strict(&self) -> bool {
        self.shared_bound
    }

    /// Notes a first send.
    pub fn deposit(&mut self, organisation: &OrganisationId) {
        self.daemon.deposit();
        if let Some(budget) = self.organisations.get_mut(organisation) {
            budget.deposit();
            // A full budget is the same as none.
            if budget.balance >= budget.reserve {
                self.organisations.remove(organisation);
            }
        }
    }

    /// Pays for one retry if both budgets cover it.
    pub fn withdraw(&mut self, organisation: &OrganisationId) -> bool {
        let saved = self.organisations.get(organisation);
        if !self.daemon.covers() || saved.is_some_and(|budget| !budget.covers()) {
            return false;
        }
        if saved.is_none() && self.organisations.len() >= MAX_BUDGETS {
            self.organisations.pop_first();
        }
        self.daemon.balance -= 1.0;
        self.organisations
            .entry(organisation.clone())
            .or_insert_with(|| RetryBudget::new(ORGANISATION_RESERVE))
            .balance -= 1.0;
        true
    }
}

/// When a retry after `tries` sends may go, with `chance` in 0 to 1 spreading it.
pub fn retry_at(now: Instant, tries: u32, asked: Option<Duration>, chance: f64) -> Instant {
    let backoff = match tries {
        0 | 1 => Duration::ZERO,
        more => FIRST_BACKOFF.saturating_mul(1 << (more - 2).min(8)).min(LONGEST_BACKOFF),
    };
    let asked = asked.map_or(Duration::ZERO, |pause| pause.min(LONGEST_BACKOFF));
    now + backoff.mul_f64(0.5 + chance / 2.0).max(asked)
}

/// The counter under which a retry after `failure` goes; `None` where it is never retried.
pub fn reason_of(failure: AttemptFailure, relayed: u32) -> Option<RetryReason> {
    match failure {
        AttemptFailure::CallerError => None,
        AttemptFailure::NotConnected => Some(RetryReason::NotConnected),
        AttemptFailure::Refused | AttemptFailure::Declined => Some(RetryReason::Refused),
        AttemptFailure::WrongWeights => Some(RetryReason::WrongWeights),
        AttemptFailure::Stale => Some(RetryReason::Stale),
        _ if relayed > 0 => Some(RetryReason::StreamResumed),
        AttemptFailure::Broken => Some(RetryReason::BrokenBeforeToken),
        AttemptFailure::ServerError => Some(RetryReason::ServerError),
        AttemptFailure::TimedOut => Some(RetryReason::TimedOut),
    }
}
