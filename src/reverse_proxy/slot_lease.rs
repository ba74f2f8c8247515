//! Leases of the slots of servers that end if they have to reject too many requests.

use {
    crate::{
        ids::{ServerId, VmId},
        policy::slot_leases::LeaseDemand,
    },
    futures::future::BoxFuture,
    std::{sync::Arc, time::Duration},
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
    /// How long the caller can wait, and what the request needs.
    pub demand: LeaseDemand,
    /// Requests that this daemon may have in flight without leases while it reaches no arbiter; at
    /// least 1.
    pub share: u32,
}

/// Ends a lease when it is dropped.
pub trait LeaseHolder: Send + Sync {
    /// Tells the arbiter that the server had no room for the request.
    fn report_rejection(&self);
}

/// The lease of a slot; dropping it ends the lease.
pub struct SlotLease(Option<Box<dyn LeaseHolder>>);

impl SlotLease {
    /// A lease that ends when `holder` is dropped.
    pub fn new(holder: impl LeaseHolder + 'static) -> Self {
        SlotLease(Some(Box::new(holder)))
    }

    /// Tells the arbiter that the server had no room for the request.
    pub fn report_rejection(&self) {
        if let Some(holder) = &self.0 {
            holder.report_rejection();
        }
    }

    /// Ends the lease of a request that its server may still run.
    pub fn abandon(mut self) {
        let holder = self.0.take();
        // Without a runtime the process is ending.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                sleep(ABANDONED_TIME).await;
                drop(holder);
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
