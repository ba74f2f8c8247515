//! Leases of the slots of servers that end if they have to reject too many requests.

use {
    crate::{
        ids::{ServerId, VmId},
        policy::slot_leases::{LeaseDemand, LeaseReport, LeasedLoad},
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

    /// Tells the arbiter at once what is known of the request.
    fn report_progress(&self, report: LeaseReport);

    /// Tells the arbiter what is known of the request when the lease ends.
    fn report_at_end(&self, report: LeaseReport);
}

/// The lease of a slot; dropping it ends the lease.
pub struct SlotLease {
    holder: Option<Box<dyn LeaseHolder>>,
    /// The load of the server when it was leased; `None` if the server does not share its machine.
    load: Option<LeasedLoad>,
    /// How long work takes on the server's machine, by its response.
    work_time: Option<f32>,
}

impl SlotLease {
    /// A lease that ends when `holder` is dropped.
    pub fn new(holder: impl LeaseHolder + 'static) -> Self {
        SlotLease { holder: Some(Box::new(holder)), load: None, work_time: None }
    }

    /// The same lease, of a server with this load.
    pub fn with_load(self, load: Option<LeasedLoad>) -> Self {
        SlotLease { load, ..self }
    }

    /// The load of the server when it was leased, if that matters there.
    pub fn load(&self) -> Option<LeasedLoad> {
        self.load
    }

    /// Records how long work takes on the server's machine, which the arbiter learns with the next message.
    pub fn record_work_time(&mut self, work_time: Option<f32>) {
        self.work_time = work_time;
        if let Some(holder) = self.holder.as_ref().filter(|_| work_time.is_some()) {
            holder.report_at_end(LeaseReport { work_time, ..LeaseReport::default() });
        }
    }

    /// Tells the arbiter that the server has read the prompt, if that matters there. `lateness` is the time
    /// that this took, as a multiple of the predicted one.
    pub fn report_first_token(&self, lateness: Option<f32>) {
        if let Some(holder) = self.holder.as_ref().filter(|_| self.load.is_some()) {
            let work_time = self.work_time;
            holder.report_progress(LeaseReport { lateness, work_time, is_read: true });
        }
    }

    /// Tells the arbiter with the end of the lease that the server has responded, if that matters there.
    /// `lateness` is as in [`Self::report_first_token`].
    pub fn report_response(&self, lateness: f32) {
        if let Some(holder) = self.holder.as_ref().filter(|_| self.load.is_some()) {
            let (lateness, work_time) = (Some(lateness), self.work_time);
            holder.report_at_end(LeaseReport { lateness, work_time, is_read: true });
        }
    }

    /// Tells the arbiter that the server had no room for the request.
    pub fn report_rejection(&self) {
        if let Some(holder) = &self.holder {
            holder.report_rejection();
        }
    }

    /// Ends the lease of a request that its server may still run.
    pub fn abandon(mut self) {
        let holder = self.holder.take();
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseFailure {
    /// No slot becomes free in time; one may be after this delay.
    Full(Duration),
    /// The arbiter did not reply, or there is none.
    Unavailable,
    /// As `Full`, of a server that shares its machine with others.
    Busy {
        /// When a slot may become free.
        delay: Duration,
        /// The load of the server.
        load: LeasedLoad,
    },
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
