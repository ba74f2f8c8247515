//! Admission control: refuses requests whose deadline cannot be met.
//!
//! Without admission control, the queue grows under overload until every request waits slightly
//! longer than its caller does. The servers then stay busy with responses that no caller waits for,
//! and goodput drops to zero while load is highest.
//!
//! The expected wait is the cost queued ahead divided by the measured drain rate. A request that
//! would wait longer than a fraction of the time to its deadline is refused immediately, with the
//! time after which the queue will have drained far enough. Batch requests get a smaller fraction,
//! so they are shed before interactive ones.

use {
    crate::inventory::RequestClass,
    std::time::{Duration, Instant},
};

/// Fraction of the time to the deadline that a request may be expected to wait, by class. It is
/// less than 1 because the estimate has an error, and lowest for batch so that batch is shed first.
/// Smaller fractions refuse requests that could have been served; larger ones only let callers wait
/// longer (see docs/decisions/0032).
const MAX_WAIT_FRACTION: [f64; 3] = [0.8, 0.8, 0.7];

/// Window over which the drain rate is averaged, some tens of requests.
const DRAIN_WINDOW: Duration = Duration::from_secs(2);

/// Maximum requests waiting for one pool. At 32 requests per second and deadlines of some tens of
/// seconds, more could not be served in time. Beyond this limit, requests of the heaviest
/// organisation are shed.
pub const MAX_WAITING: usize = 2_048;

/// Minimum retry delay suggested to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum suggested retry delay. A longer one would keep callers away after the overload has
/// ended.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Measures the drain rate of one pool's queue, in cost per second.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    /// Smoothed cost per second while requests wait; zero until measured.
    rate: f64,
    /// Cost dispatched in the current measurement span.
    served: u64,
    /// Start of the current span; `None` while no request waits.
    since: Option<Instant>,
}

impl DrainRate {
    /// Records the number of waiting requests. The rate is measured only while it is positive.
    pub fn record_waiting(&mut self, now: Instant, waiting: usize) {
        match (waiting > 0, self.since) {
            (true, None) => {
                self.since = Some(now);
                self.served = 0;
            }
            (false, Some(_)) => self.since = None,
            _ => {}
        }
    }

    /// Records cost dispatched from the queue.
    pub fn record_served(&mut self, now: Instant, cost: u64) {
        let Some(since) = self.since else { return };
        self.served += cost;
        let span = now.saturating_duration_since(since);
        if span >= DRAIN_WINDOW / 4 {
            let found = self.served as f64 / span.as_secs_f64();
            let part = (span.as_secs_f64() / DRAIN_WINDOW.as_secs_f64()).min(1.0);
            self.rate =
                if self.rate > 0.0 { self.rate + (found - self.rate) * part } else { found };
            self.since = Some(now);
            self.served = 0;
        }
    }

    /// Returns how long `cost` takes to drain; zero while the rate is unknown.
    pub fn time_for(&self, cost: u64) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((cost as f64 / self.rate).min(3_600.0))
    }
}

/// The result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may wait.
    Admit,
    /// Its deadline cannot be met.
    Refuse {
        /// Time until the queue will have drained far enough.
        retry_after: Duration,
    },
}

/// Decides whether to admit a request that is expected to wait for `wait` and then to need `run`
/// until its first token.
pub fn evaluate(
    class: RequestClass,
    now: Instant,
    deadline: Instant,
    wait: Duration,
    run: Duration,
) -> AdmissionDecision {
    let remaining = deadline.saturating_duration_since(now);
    let allowed = remaining.saturating_sub(run).mul_f64(MAX_WAIT_FRACTION[class as usize]);
    if wait <= allowed && !remaining.is_zero() {
        return AdmissionDecision::Admit;
    }
    AdmissionDecision::Refuse { retry_after: clamp_retry_after(wait.saturating_sub(allowed)) }
}

/// Limits a suggested retry delay to the permitted range.
pub fn clamp_retry_after(excess: Duration) -> Duration {
    excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
