//! Ejects failing backend servers and probes them until they recover.
//!
//! A server that fails or hangs may still pass the health checks of the membership. Without
//! ejection it attracts requests: it fails fast, so its window stays open, and a constant share of
//! all requests fails there.
//!
//! A server is ejected after several consecutive failures. The ejection time doubles with each
//! further ejection, and a probe after it readmits the server. At most a third of a pool is
//! ejected, since a fault common to all servers, such as a bad release or a network partition, must
//! not leave the pool empty. Slow servers are not ejected: their predicted first-token time grows
//! with each measured response and with each overdue one, so they get only the requests that other
//! servers cannot take.

use std::time::{Duration, Instant};

/// Consecutive failures that cause an ejection. Two occur when one crash affects two requests in
/// flight.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection: long enough for an engine to restart, short compared with
/// callers' deadlines.
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// Maximum ejection time, so that a repaired server is detected within it.
const MAX_EJECTION: Duration = Duration::from_secs(15);

/// At most one in this many members of a pool is ejected at once.
pub const EJECTION_DIVISOR: usize = 3;

/// Failures and ejection state of one server.
#[derive(Clone, Debug, Default)]
pub struct FailureRecord {
    /// Failures since the last successful response.
    consecutive_failures: u32,
    /// Recent ejections; one less after each successful response.
    ejections: u32,
    /// When the ejection ends; a probe or a response may end it earlier.
    ejected_until: Option<Instant>,
    /// Whether a probe is in flight.
    probing: bool,
}

impl FailureRecord {
    /// Records a failure and returns whether the server should be ejected, if the pool allows it.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= FAILURES_TO_EJECT && self.ejected_until.is_none()
    }

    /// Records that another daemon has ejected the server, so that one more failure ejects it here,
    /// too.
    pub fn record_peer_ejection(&mut self) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURES_TO_EJECT - 1);
    }

    /// Records a successful response, which ends an ejection.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.probing = false;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Ejects the server for a time that doubles with each recent ejection.
    pub fn eject(&mut self, now: Instant) {
        let duration = MIN_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + duration);
        self.probing = false;
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns when a probe is due; `None` if the server is not ejected or a probe is in flight.
    pub fn probe_due(&self) -> Option<Instant> {
        self.ejected_until.filter(|_| !self.probing)
    }

    /// Records that a probe was sent.
    pub fn record_probe_sent(&mut self) {
        self.probing = true;
    }

    /// Records the result of a probe. A response readmits the server on probation, so that the next
    /// failure ejects it again; no response extends the ejection.
    pub fn record_probe_result(&mut self, now: Instant, answered: bool) {
        if self.ejected_until.is_none() {
            return;
        }
        if answered {
            self.ejected_until = None;
            self.probing = false;
            self.consecutive_failures = FAILURES_TO_EJECT - 1;
        } else {
            self.eject(now);
        }
    }
}

/// Returns whether one more server of a pool may be ejected.
pub fn may_eject(members: usize, ejected: usize) -> bool {
    (ejected + 1) * EJECTION_DIVISOR <= members
}
