//! Leases the slot of a server before a request is sent, if the server needs that.

use {
    super::{HttpExchange, ResumePosition, wait_withdrawn},
    crate::{
        policy::{AttemptFailure, PolicyInput, SendOrder, slot_leases::LeaseDemand},
        reverse_proxy::slot_lease::{LeaseFailure, SlotLease},
    },
    std::time::{Duration, Instant},
    tokio::time::sleep_until,
};

/// How much longer than its caller can wait a request may take to get the lease of a slot.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

impl HttpExchange {
    /// How long the request can wait for a slot: until it would miss its latency objective, and for a
    /// stream that is resumed, as long as a new one.
    fn lease_patience(&self, now: Instant, from: &ResumePosition) -> Duration {
        let objective = self.request.caller.route.latency_objective;
        let waited = now.saturating_duration_since(self.request.arrived);
        let left = self.request.deadline.saturating_duration_since(now);
        let patience = match from.event {
            Some(_) => objective,
            None => objective.saturating_sub(waited),
        };
        patience.min(left / 2)
    }

    /// Leases a slot if the server needs that. `None` if it does not.
    pub(super) async fn lease_slot(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
    ) -> Result<Option<SlotLease>, AttemptFailure> {
        let began = Instant::now();
        let patience = self.lease_patience(began, from);
        let demand = LeaseDemand { patience, memory: self.request.memory_demand() };
        let leased = tokio::select! {
            leased = self.core.lease_slot(&order.server, demand) => leased,
            () = wait_withdrawn(&mut self.handle, order.attempt) => {
                return Err(AttemptFailure::TimedOut);
            }
            () = sleep_until(self.request.deadline.into()) => {
                return Err(self.report(order, AttemptFailure::NoSlot, from, None));
            }
        };
        match leased {
            // The decision is outdated if this process was paused.
            _ if began.elapsed() > patience + LEASE_MARGIN => {
                Err(self.report(order, AttemptFailure::Stale, from, None))
            }
            Ok(lease) => {
                if lease.is_some() {
                    self.handle.notify(PolicyInput::Leased { attempt: order.attempt });
                }
                Ok(lease)
            }
            Err(LeaseFailure::Full(delay)) => {
                Err(self.report(order, AttemptFailure::NoSlot, from, Some(delay)))
            }
            Err(LeaseFailure::Unavailable) => {
                Err(self.report(order, AttemptFailure::NoSlot, from, None))
            }
        }
    }
}
