//! Refuses at once what cannot make its deadline.
//!
//! Load pattern: more is asked than the servers can do, for seconds or for good. Without it the
//! queue grows until every request waits just longer than its caller does: the servers stay busy
//! with answers that nobody waits for, and goodput falls to nothing while load is highest.
//!
//! What waits ahead, divided by the measured rate at which the queue drains, gives the wait. Who
//! would wait longer than part of its time to the deadline is told so at once, with the moment at
//! which the queue will have drained far enough. Less urgent classes may use a smaller part, so
//! batch is shed before interactive work.

use {
    crate::inventory::RequestClass,
    std::time::{Duration, Instant},
};

/// The part of its time to the deadline that a request may be expected to wait, by class. Less
/// than the whole, since the estimate errs; batch least, so that it is shed first. Smaller parts refuse
/// what would have been served, larger ones only let callers wait longer (docs/decisions/0032).
const WAIT_PART: [f64; 3] = [0.8, 0.8, 0.7];

/// The time over which the drain rate is measured: some tens of requests at today's sizes.
const RATE_SPAN: Duration = Duration::from_secs(2);

/// Requests that may wait before one group of servers. At the design size a daemon sees 32
/// requests a second and deadlines are some tens of seconds; beyond it, the heaviest is shed.
pub const MAX_WAITING: usize = 2_048;

/// The shortest time after which a refused caller should come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest time: a caller that waits longer learns too late that the load has gone.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How fast the queue before one group of servers drains, in cost per second.
#[derive(Clone, Debug, Default)]
pub struct DrainGauge {
    /// Smoothed cost per second while work waits; zero until measured.
    rate: f64,
    /// Cost dispatched in the present span.
    served: u64,
    /// Start of the present span; `None` while nobody waits.
    since: Option<Instant>,
}

impl DrainGauge {
    /// Notes whether anyone waits; the rate counts only while someone does.
    pub fn note_waiting(&mut self, now: Instant, waiting: usize) {
        match (waiting > 0, self.since) {
            (true, None) => {
                self.since = Some(now);
                self.served = 0;
            }
            (false, Some(_)) => self.since = None,
            _ => {}
        }
    }

    /// Notes cost dispatched from the queue.
    pub fn note_served(&mut self, now: Instant, cost: u64) {
        let Some(since) = self.since else { return };
        self.served += cost;
        let span = now.saturating_duration_since(since);
        if span >= RATE_SPAN / 4 {
            let found = self.served as f64 / span.as_secs_f64();
            let part = (span.as_secs_f64() / RATE_SPAN.as_secs_f64()).min(1.0);
            self.rate =
                if self.rate > 0.0 { self.rate + (found - self.rate) * part } else { found };
            self.since = Some(now);
            self.served = 0;
        }
    }

    /// How long `cost` takes to drain; zero while the rate is not known.
    pub fn time_for(&self, cost: u64) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((cost as f64 / self.rate).min(3_600.0))
    }
}

/// What admission decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It may wait.
    Admit,
    /// It cannot make its deadline; it should come back after the pause.
    Refuse {
        /// When the queue will have drained far enough.
        retry_after: Duration,
    },
}

/// Whether a request that would wait for `wait` and then `run` until its first token may try.
pub fn judge(
    class: RequestClass,
    now: Instant,
    deadline: Instant,
    wait: Duration,
    run: Duration,
) -> AdmissionVerdict {
    let left = deadline.saturating_duration_since(now);
    let allowed = left.saturating_sub(run).mul_f64(WAIT_PART[class as usize]);
    if wait <= allowed && !left.is_zero() {
        return AdmissionVerdict::Admit;
    }
    AdmissionVerdict::Refuse { retry_after: come_back_after(wait.saturating_sub(allowed)) }
}

/// A pause for the caller that is neither hectic nor endless.
pub fn come_back_after(excess: Duration) -> Duration {
    excess.clamp(LEAST_RETRY_AFTER, LONGEST_RETRY_AFTER)
}
