//! How long ago a follower last heard from a control VM that is up to date.

use {
    crate::observe::{events, metrics::CONFIG_UNCONFIRMED},
    std::time::{Duration, Instant},
};

/// Without a confirmation for so long the log tells of it: longer than an election takes.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_secs(2);

/// Who was asked, and who answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AskedPeers {
    /// Control VMs that were asked.
    pub asked: usize,
    /// Those that answered.
    pub answered: usize,
}

/// Tells in the log and the measures when no control VM that is up to date answers.
#[derive(Debug)]
pub struct ConfirmationMonitor {
    confirmed_at: Instant,
    is_told: bool,
}

impl ConfirmationMonitor {
    /// A watch that counts from `now`.
    pub fn new(now: Instant) -> Self {
        ConfirmationMonitor { confirmed_at: now, is_told: false }
    }

    /// Takes in whether a VM that is up to date answered. True if the log was told of a change.
    pub fn record(&mut self, now: Instant, confirmed: bool, peers: AskedPeers) -> bool {
        let age = now.saturating_duration_since(self.confirmed_at);
        let was_told = self.is_told;
        if confirmed {
            self.confirmed_at = now;
            self.is_told = false;
        } else {
            self.is_told |= age >= CONFIRMATION_LIMIT;
        }
        let shown = if confirmed { Duration::ZERO } else { age };
        metrics::gauge!(CONFIG_UNCONFIRMED).set(shown.as_secs_f64());
        let age_ms = age.as_millis() as u64;
        match (was_told, self.is_told) {
            (false, true) => log::warn!(asked = peers.asked, answered = peers.answered,
                age_ms = age_ms; "{}", events::CONFIG_UNCONFIRMED),
            (true, false) => log::info!(age_ms = age_ms; "{}", events::CONFIG_CONFIRMED),
            (true, true) | (false, false) => return false,
        }
        true
    }
}
