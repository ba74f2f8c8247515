//! How long requests wait inside a server behind those of other daemons.
//!
//! Load: many daemons send to each server, and each meets a given server once in seconds. What runs
//! there at this moment is unknown to it; without an estimate the fastest servers are preferred by
//! all, until they are the busiest. The delay of earlier first tokens beyond what their own prompts
//! take shows how much the others send there; servers that are preferred by too many daemons get
//! a longer delay, and so less work.

use std::time::{Duration, Instant};

/// Time constant of the mean. Demand changes within seconds; a shorter mean follows single prompts.
const MEAN_TIME: f64 = 4.0;

/// Minimum weight of a new sample, so that a busy server's mean covers at most that many responses.
const MIN_STEP: f64 = 0.1;

/// Mean delay at one server.
#[derive(Clone, Debug, Default)]
pub struct QueueDelay {
    /// Mean in seconds at the usual work time, not negative, and when it was updated.
    mean: Option<(f64, Instant)>,
}

impl QueueDelay {
    /// Records a first token that came this much later than its own prompt takes at the usual work
    /// time.
    pub fn record(&mut self, now: Instant, delay: Duration) {
        let delay = delay.as_secs_f64();
        let mean = self.mean.map_or(delay, |(mean, at)| {
            let gap = now.saturating_duration_since(at).as_secs_f64();
            let step = (1.0 - (-gap / MEAN_TIME).exp()).max(MIN_STEP);
            mean + (delay - mean) * step
        });
        self.mean = Some((mean, now));
    }

    /// Returns the expected delay in seconds at the usual work time; 0 if not measured, so that a
    /// server without responses gets some.
    pub fn expected(&self) -> f64 {
        self.mean.map_or(0.0, |(mean, _)| mean)
    }
}
