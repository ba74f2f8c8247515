//! Servers that ask not to be used for a while.
//!
//! A server that rejects a request may say for how long it takes no others from this daemon. Requests
//! then go to other servers at once. If all servers rest, requests wait for a short rest and are
//! refused otherwise, each with another time to come back, so that the first server that returns is
//! not met by all of them in the same moment.

use std::time::{Duration, Instant};

/// Longest rest that is kept. A server that asks for more is taken to be in error, and gets a
/// request after this time.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// Longest rest of all servers that requests wait for.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// The time over which the return of refused callers is spread.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// The rest of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerRest {
    /// When it ends. A later answer never shortens it.
    until: Option<Instant>,
}

impl ServerRest {
    /// Records that the server asked not to be used for `delay`.
    pub fn record(&mut self, now: Instant, delay: Duration) {
        self.until = self.until.max(Some(now + delay.min(MAX_REST)));
    }

    /// Returns whether the server must not be used.
    pub fn is_active(&self, now: Instant) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns the time until the server may be used; zero if it may be used now.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Returns whether a request waits while the first of its servers returns after `remaining`.
pub fn is_waited_for(now: Instant, remaining: Duration, deadline: Instant) -> bool {
    remaining <= MAX_WAIT && now + remaining < deadline
}

/// Returns when a refused caller may come back if the first server returns after `remaining`. `chance`
/// is a random number from 0 to 1.
pub fn return_delay(remaining: Duration, chance: f64) -> Duration {
    remaining + RETURN_SPREAD.mul_f64(chance)
}
