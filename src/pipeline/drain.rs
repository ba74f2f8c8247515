//! Counts requests in flight and lets a shutdown wait for them.

use {
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::watch,
};

/// Requests that one daemon holds open at the most; each takes a task and two connections.
pub const OPEN_REQUESTS: usize = 20_000;

/// Lets requests in until a drain begins.
#[derive(Clone)]
pub struct DrainGate {
    draining: Arc<AtomicBool>,
    open: watch::Sender<usize>,
}

/// One request in flight; dropping it tells the gate that the request is over.
pub struct OpenRequest {
    open: watch::Sender<usize>,
}

/// Why the gate lets a request not in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateClosed {
    /// A drain has begun.
    Draining,
    /// [`OPEN_REQUESTS`] are in flight.
    Full,
}

impl Default for DrainGate {
    fn default() -> Self {
        DrainGate { draining: Arc::default(), open: watch::Sender::new(0) }
    }
}

impl DrainGate {
    /// Lets one request in.
    ///
    /// # Errors
    /// `Draining` and `Full`; in both cases nothing was done.
    pub fn enter(&self) -> Result<OpenRequest, GateClosed> {
        // Counted first and looked at after: a drain that begins between the two sees the count.
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

    /// Lets no further request in.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        *self.open.borrow()
    }

    /// Returns once nothing is in flight.
    pub async fn wait_empty(&self) {
        let mut count = self.open.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open.send_modify(|count| *count -= 1);
    }
}
