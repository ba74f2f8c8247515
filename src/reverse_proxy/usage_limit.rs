//! What requests take from the usage limits of their organisations.

use {
    crate::ids::OrganisationId,
    futures::future::BoxFuture,
    std::{sync::Arc, time::Duration},
};

/// A request is beyond the usage limit of its organisation. Nothing was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapExceeded {
    /// When there will be room.
    pub retry_after: Duration,
}

/// Keeps the usage limits of organisations, together with all other daemons.
pub trait UsageLimiter: Send + Sync {
    /// Pays for a request of `cost` units. `None` if its organisation has no cap. If the future is dropped,
    /// the units are given back.
    ///
    /// # Errors
    /// When the request is beyond the cap.
    fn acquire(
        self: Arc<Self>,
        organisation: OrganisationId,
        cost: f64,
    ) -> BoxFuture<'static, Result<Option<UsageCharge>, CapExceeded>>;

    /// Pays for another run of a request. Returns whether it may run again.
    fn charge_repeat(&self, organisation: &OrganisationId, cost: f64) -> bool;

    /// Gives back the units of a run that did not take place.
    fn give_back(&self, organisation: &OrganisationId, cost: f64);
}

/// What a request has paid. Dropping it gives back the units of runs that did not take place.
pub struct UsageCharge {
    limiter: Arc<dyn UsageLimiter>,
    organisation: OrganisationId,
    /// Units of one run.
    cost: f64,
    /// Paid runs.
    paid: u32,
    /// Servers that may have begun to run the request.
    runs: u32,
    /// Whether the request was sent to a server of which it is not known yet whether it runs it.
    is_sent: bool,
}

impl UsageCharge {
    /// The charge of a request that was paid for once.
    pub fn new(limiter: Arc<dyn UsageLimiter>, organisation: OrganisationId, cost: f64) -> Self {
        UsageCharge { limiter, organisation, cost, paid: 1, runs: 0, is_sent: false }
    }

    /// Records that the request is being sent to another server.
    pub fn begin_run(&mut self) {
        self.is_sent = true;
    }

    /// Records that another server may have begun to run the request.
    pub fn record_run(&mut self) {
        self.runs += 1;
        self.is_sent = false;
    }

    /// Records that a server has not run the request, unless [`Self::record_run`] says that it may have.
    pub fn end_unrecorded_run(&mut self) {
        self.is_sent = false;
    }

    /// Whether the request may run once more, which is paid for unless it has been before.
    pub fn pay_run(&mut self) -> bool {
        if self.paid > self.runs {
            return true;
        }
        let paid = self.limiter.charge_repeat(&self.organisation, self.cost);
        self.paid += u32::from(paid);
        paid
    }
}

impl Drop for UsageCharge {
    fn drop(&mut self) {
        let runs = self.runs + u32::from(self.is_sent);
        for _ in runs..self.paid {
            self.limiter.give_back(&self.organisation, self.cost);
        }
    }
}
