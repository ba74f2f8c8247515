//! Counts requests in flight, so that a shutdown can wait for them.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
    tokio::sync::watch,
};

/// Maximum number of requests in flight per daemon; each takes a task and two connections.
pub const OPEN_REQUESTS: usize = 20_000;

/// Admits requests until the daemon begins to drain.
#[derive(Clone)]
pub struct DrainGate {
    draining: Arc<AtomicBool>,
    /// When the requests in flight are cut off, if that is known.
    ends_at: watch::Sender<Option<Instant>>,
    open: watch::Sender<usize>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    open: watch::Sender<usize>,
}

/// Reason for which [`DrainGate::enter`] rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateClosed {
    /// The daemon is draining.
    Draining,
    /// [`OPEN_REQUESTS`] are in flight.
    Full,
}

impl Default for DrainGate {
    fn default() -> Self {
        DrainGate {
            draining: Arc::default(),
            ends_at: watch::Sender::new(None),
            open: watch::Sender::new(0),
        }
    }
}

impl DrainGate {
    /// Admits one request.
    ///
    /// # Errors
    /// [`GateClosed::Draining`] while the daemon drains and [`GateClosed::Full`]
    /// at the limit. In both cases the request is not counted.
    pub fn enter(&self) -> Result<OpenRequest, GateClosed> {
        // The request is counted before the check, so that a drain that begins in between waits
        // for it.
        self.open.send_modify(|count| *count += 1);
        let request = OpenRequest { open: self.open.clone() };
        if self.is_draining() {
            return Err(GateClosed::Draining);
        }
        if *self.open.borrow() > OPEN_REQUESTS {
            return Err(GateClosed::Full);
        }
        Ok(request)
    }

    /// Rejects all further requests.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Rejects all further requests. Those that are in flight at `ends_at` are cut off.
    pub fn begin_drain_until(&self, ends_at: Instant) {
        self.begin_drain();
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Whether a request with this deadline could be cut off by the end of the drain. It must not be sent to a
    /// server any more.
    pub fn is_too_late(&self, deadline: Instant) -> bool {
        self.ends_at.borrow().is_some_and(|ends_at| ends_at < deadline)
    }

    /// Returns once [`Self::is_too_late`] holds.
    pub async fn wait_too_late(&self, deadline: Instant) {
        let mut ends_at = self.ends_at.subscribe();
        // `self` owns the sender, so that waiting cannot fail.
        let _ = ends_at.wait_for(|ends_at| ends_at.is_some_and(|at| at < deadline)).await;
    }

    /// Whether [`DrainGate::begin_drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        *self.open.borrow()
    }

    /// Returns once no request is in flight.
    pub async fn wait_empty(&self) {
        let mut count = self.open.subscribe();
        // `self` owns the sender, so that waiting cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open.send_modify(|count| *count -= 1);
    }
}
