//! Leases of the slots of servers that end if they have to reject too many requests.

use {
    crate::ids::{ServerId, VmId},
    futures::future::BoxFuture,
    std::{any::Any, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// A server may still run a request whose connection was closed; its slot counts as taken for this time.
const ABANDONED_TIME: Duration = Duration::from_millis(300);

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct SlotDemand {
    /// The server.
    pub server: ServerId,
    /// The daemon that leases the server's slots, if there is one.
    pub arbiter: Option<VmId>,
    /// How long the caller can wait for a slot.
    pub patience: Duration,
    /// Requests that this daemon may have in flight without leases while it reaches no arbiter; at
    /// least 1.
    pub share: u32,
}

/// The lease of a slot; dropping it ends the lease.
pub struct SlotLease(Option<Box<dyn Any + Send + Sync>>);

impl SlotLease {
    /// A lease that ends when `guard` is dropped.
    pub fn new(guard: impl Any + Send + Sync) -> Self {
        SlotLease(Some(Box::new(guard)))
    }

    /// Ends the lease of a request that its server may still run.
    pub fn abandon(mut self) {
        let guard = self.0.take();
        // Without a runtime the process is ending.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                sleep(ABANDONED_TIME).await;
                drop(guard);
            });
        }
    }
}

/// Why there is no lease; the request must not be sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFailure {
    /// No slot becomes free in time; one may be after this delay.
    Full(Duration),
    /// The arbiter did not reply, or there is none.
    Unavailable,
}

/// Leases slots of servers from their arbiters.
pub trait SlotLeaser: Send + Sync {
    /// Leases a slot. If the future is dropped, so is the lease.
    ///
    /// # Errors
    /// As [`LeaseFailure`] says; nothing was sent to the server.
    fn lease(
        self: Arc<Self>,
        demand: SlotDemand,
    ) -> BoxFuture<'static, Result<SlotLease, LeaseFailure>>;
}
