//! Concurrency windows: how many requests this daemon may have in flight at each backend server.
//!
//! Several daemons send to the same servers, and load reports lag. A server that gets more requests
//! than it can batch queues them internally, where this daemon's fairness, deadlines and priorities
//! have no effect. Without a window, a burst queues inside one engine while others are idle, and
//! all daemons send to the server whose last report looked empty (herding).
//!
//! Each daemon adapts its window independently, like a TCP congestion window. A report that
//! requests wait inside the server shrinks the window in proportion to the excess on all daemons; a
//! report of free slots lets a fully used window grow by this daemon's share of them. First tokens
//! that arrive much later than the prefill explains shrink it as well, so it works without reports.
//! The adaptation controls the total that all daemons send rather than the capacity that each of
//! them observes, so they do not converge on the same server.

use std::time::{Duration, Instant};

/// Minimum window. One request at a time ensures that measurements of the server continue.
const MIN_LIMIT: f64 = 1.0;

/// Factor by which a first token must exceed its predicted time to indicate queueing inside the
/// engine.
const LATE_FACTOR: f64 = 3.0;

/// Minimum delay of a first token beyond its predicted time that indicates queueing: one prefill
/// chunk of another prompt plus the lag of a report.
const LATE_SLACK: Duration = Duration::from_secs(1);

/// Factor applied to the window on a late first token. It is gentler than TCP's half, since load
/// reports correct a wrong decrease only slowly.
const DECREASE: f64 = 0.7;

/// Limit of an unused window as a multiple of this daemon's even share of the slots. Traffic
/// reaches the daemons unevenly, but the server must not be overrun many times over if it reaches
/// all of them at once.
const IDLE_SHARES: f64 = 2.0;

/// Minimum limit of an unused window, so that a small server can be sent a second request in
/// advance.
const MIN_IDLE_LIMIT: f64 = 2.0;

/// Permitted requests waiting inside a server as a fraction of its slots. They fill the slots that
/// become free before the next report, and compensate for the rounding of windows to whole
/// requests.
const QUEUED_FRACTION: f64 = 0.2;

/// Growth of a decreased window with each report that shows no overload. The window recovers within
/// seconds, slowly enough not to oscillate with late reports.
const RECOVERY: f64 = 0.5;

/// Longest time between two decreases, whatever delay a server asks for.
const MAX_DECREASE_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum age of a report from which the requests of other daemons are derived.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Fraction of a server's slots that organisations over their share have to leave free.
const RESERVED_FRACTION: f64 = 0.4;

/// Requests beyond the window that organisations within their share may send. The server serves
/// them before the waiting requests of others.
const EXTRA_REQUESTS: f64 = 2.0;

/// The part of a window that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowPart {
    /// The full window.
    Full,
    /// The part that is not reserved for organisations within their share.
    Unreserved,
}

/// The window of one server.
#[derive(Clone, Debug)]
pub struct ServerWindow {
    /// Maximum in-flight requests of this daemon, between 1 and `slots` plus what may wait inside.
    limit: f64,
    /// Concurrent requests of the server according to the register; at least 1.
    slots: u32,
    /// Number of daemons that may send to the server; at least 1.
    daemons: usize,
    /// Late first tokens and refusals do not shrink the window again before this time.
    next_decrease_at: Option<Instant>,
    /// In-flight requests of other daemons, and when they were reported.
    others: Option<(u32, Instant)>,
}

impl ServerWindow {
    /// Creates the window of a server with `slots` that `daemons` may send to.
    pub fn new(slots: u32, daemons: usize) -> Self {
        let mut window = ServerWindow {
            limit: 1.0,
            slots: slots.max(1),
            daemons,
            next_decrease_at: None,
            others: None,
        };
        window.limit = window.idle_limit();
        window
    }

    /// Applies a changed configuration.
    pub fn resize(&mut self, slots: u32, daemons: usize) {
        self.slots = slots.max(1);
        self.daemons = daemons.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    /// Returns the concurrent requests of the server according to the register.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the current limit of requests in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether one more request may be sent while `own` are in flight.
    pub fn is_open(&self, now: Instant, own: u32, part: WindowPart) -> bool {
        let next = f64::from(own) + 1.0;
        let fits = match part {
            WindowPart::Full => next <= self.limit + EXTRA_REQUESTS,
            WindowPart::Unreserved => {
                let slots = f64::from(self.slots);
                next <= self.limit && next + self.others(now) <= slots * (1.0 - RESERVED_FRACTION)
            }
        };
        own == 0 || fits
    }

    /// Returns the expected wait for a free slot in units of the service time; zero if one is free.
    pub fn slot_wait(&self, now: Instant, own: u32) -> f64 {
        let slots = f64::from(self.slots);
        let excess = f64::from(own) + 1.0 + self.others(now) - slots;
        excess.max(0.0) / slots
    }

    /// Returns the fraction of the slots in use.
    pub fn utilization(&self, now: Instant, own: u32) -> f64 {
        (f64::from(own) + self.others(now)) / f64::from(self.slots)
    }

    /// Returns the in-flight requests of other daemons, or 0 without a recent report.
    fn others(&self, now: Instant) -> f64 {
        match self.others {
            Some((count, at)) if now.saturating_duration_since(at) < MAX_REPORT_AGE => count.into(),
            _ => 0.0,
        }
    }

    /// Adapts the window to a load report received while this daemon has `own` requests in flight.
    pub fn record_report(&mut self, now: Instant, running: u32, waiting: u32, own: u32) {
        let present = running.saturating_add(waiting);
        self.others = Some((present.saturating_sub(own), now));
        let slots = f64::from(self.slots);
        let room = slots * (1.0 + QUEUED_FRACTION);
        if f64::from(present) > room {
            let excess = room / f64::from(present);
            let used = self.limit.min(f64::from(own).max(MIN_LIMIT));
            self.limit = (used * excess.min(1.0)).max(MIN_LIMIT);
            return;
        }
        if f64::from(own) + 1.0 >= self.limit {
            let free = f64::from(self.slots.saturating_sub(running));
            self.limit += free / self.daemons as f64;
        } else if self.limit > self.idle_limit() {
            self.limit = self.idle_limit().max(f64::from(own) + 1.0);
        } else {
            self.limit = (self.limit + RECOVERY).min(self.idle_limit());
        }
        self.limit = self.limit.clamp(MIN_LIMIT, room);
    }

    /// Shrinks the window if a first token took far longer than predicted.
    pub fn record_first_token(&mut self, now: Instant, predicted: Duration, taken: Duration) {
        if taken > predicted.mul_f64(LATE_FACTOR).max(predicted + LATE_SLACK) {
            self.decrease(now, taken);
        }
    }

    /// Shrinks the window after the server refused a request for lack of capacity.
    pub fn record_refused(&mut self, now: Instant, interval: Duration) {
        self.decrease(now, interval);
    }

    fn decrease(&mut self, now: Instant, interval: Duration) {
        if self.next_decrease_at.is_none_or(|until| now >= until) {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            self.next_decrease_at = Some(now + interval.min(MAX_DECREASE_INTERVAL));
        }
    }

    fn idle_limit(&self) -> f64 {
        let share = f64::from(self.slots) / self.daemons as f64;
        (share * IDLE_SHARES).max(MIN_IDLE_LIMIT).min(f64::from(self.slots))
    }
}
