//! Monitors how long ago a control VM that is up to date last answered a follower.

use {
    crate::observe::{events, metrics::CONFIG_UNCONFIRMED},
    std::time::{Duration, Instant},
};

/// A missing confirmation is logged after this time, which is longer than an election.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_secs(2);

/// The number of control VMs that were asked and that answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AskedPeers {
    /// The number of control VMs that were asked.
    pub asked: usize,
    /// The number of control VMs that answered.
    pub answered: usize,
}

/// Reports in the log and the metrics when no control VM that is up to date answers.
#[derive(Debug)]
pub struct ConfirmationMonitor {
    confirmed_at: Instant,
    is_unconfirmed: bool,
}

impl ConfirmationMonitor {
    /// A monitor that measures from `now`.
    pub fn new(now: Instant) -> Self {
        ConfirmationMonitor { confirmed_at: now, is_unconfirmed: false }
    }

    /// Records whether a VM that is up to date answered. Returns whether a change was logged.
    pub fn record(&mut self, now: Instant, confirmed: bool, peers: AskedPeers) -> bool {
        let age = now.saturating_duration_since(self.confirmed_at);
        let was_unconfirmed = self.is_unconfirmed;
        if confirmed {
            self.confirmed_at = now;
            self.is_unconfirmed = false;
        } else {
            self.is_unconfirmed |= age >= CONFIRMATION_LIMIT;
        }
        let gauge_value = if confirmed { Duration::ZERO } else { age };
        metrics::gauge!(CONFIG_UNCONFIRMED).set(gauge_value.as_secs_f64());
        let age_ms = age.as_millis() as u64;
        match (was_unconfirmed, self.is_unconfirmed) {
            (false, true) => log::warn!(asked = peers.asked, answered = peers.answered,
                age_ms = age_ms; "{}", events::CONFIG_UNCONFIRMED),
            (true, false) => log::info!(age_ms = age_ms; "{}", events::CONFIG_CONFIRMED),
            (true, true) | (false, false) => return false,
        }
        true
    }
}
