//! By how much servers keep requests waiting for longer than predicted.
//!
//! A daemon knows its own requests and what servers report of the others, both with a lag, so that some
//! requests wait for seconds where a fraction of one is predicted. Those of the same server and time are
//! late alike. Where a request has to begin before a limit, the largest of the recent errors is therefore
//! added to its prediction.

use std::time::{Duration, Instant};

/// An error counts for one to two of these spans: longer than most queues of a server last, short enough to
/// forget a single slow prompt.
const SPAN: Duration = Duration::from_secs(3);

/// The largest error of the recent predictions for one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitSpread {
    /// When the current span began; `None` before the first error.
    began_at: Option<Instant>,
    current: Duration,
    former: Duration,
}

impl WaitSpread {
    /// Records that a first token came later than predicted by `excess`, or has not come until then.
    pub fn record(&mut self, now: Instant, excess: Duration) {
        match self.began_at.map(|began| now.saturating_duration_since(began)) {
            Some(age) if age < SPAN => {}
            age => {
                let is_recent = age.is_some_and(|age| age < 2 * SPAN);
                self.former = if is_recent { self.current } else { Duration::ZERO };
                self.current = Duration::ZERO;
                self.began_at = Some(now);
            }
        }
        self.current = self.current.max(excess);
    }

    /// Returns the largest recent error; zero without one.
    pub fn largest(&self, now: Instant) -> Duration {
        match self.began_at.map(|began| now.saturating_duration_since(began)) {
            Some(age) if age < SPAN => self.current.max(self.former),
            Some(age) if age < 2 * SPAN => self.current,
            _ => Duration::ZERO,
        }
    }
}
