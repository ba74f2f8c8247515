//! Leases the slot of a server before a request is sent, if the server needs that.

use {
    super::{AttemptEnd, HttpExchange, ResumePosition, StartedResponse, wait_end},
    crate::{
        inventory::RequestClass,
        policy::{
            AttemptFailure, MAX_BUSY_SERVERS, PolicyInput, SendOrder,
            slot_leases::{LeaseDemand, LeaseUrgency, LeasedLoad, ReadingDemand, answer_lateness},
        },
        reverse_proxy::{
            pool::LeasedConnection,
            slot_lease::{LeaseFailure, SlotLease},
        },
    },
    std::time::{Duration, Instant},
    tokio::time::sleep_until,
};

/// How much longer than its caller can wait a request may take to get the lease of a slot.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

impl HttpExchange {
    /// The lateness of the response to a request that was sent at `sent_at`.
    fn lateness(&self, order: &SendOrder, sent_at: Instant) -> f32 {
        let objective = self.request.caller.route.latency_objective;
        answer_lateness(sent_at.elapsed(), order.predicted, objective)
    }

    /// Tells the arbiter of the lease, if there is one, when the first token has come.
    pub(super) fn report_first_token(&self, order: &SendOrder, response: &mut StartedResponse) {
        let lateness = self.lateness(order, response.sent_at);
        if let Some(lease) = response.connection.lease_mut() {
            lease.report_first_token(Some(lateness));
        }
    }

    /// Tells the arbiter of the lease, if there is one, when a plain service has responded.
    pub(super) fn report_response(
        &self,
        order: &SendOrder,
        sent_at: Instant,
        connection: &mut LeasedConnection,
    ) {
        let lateness = self.lateness(order, sent_at);
        if let Some(lease) = connection.lease_mut() {
            lease.report_response(lateness);
        }
    }

    /// What the request asks of the arbiter of a server that shares its machine.
    fn reading_demand(&self, order: &SendOrder, in_time: Duration) -> ReadingDemand {
        let work = self.request.caller.work.as_ref();
        let prompt_tokens = work.map_or(0, |work| work.prompt_tokens);
        ReadingDemand {
            urgency: LeaseUrgency::try_from(order.priority).unwrap_or(LeaseUrgency::MAX),
            computed: prompt_tokens.saturating_sub(order.expected_hit),
            objective: self.request.caller.route.latency_objective,
            in_time,
        }
    }

    /// What the request asks of the arbiter of its server.
    fn lease_demand(&self, now: Instant, order: &SendOrder, from: &ResumePosition) -> LeaseDemand {
        let in_time = self.lease_patience(now, from);
        let memory = self.request.memory_demand();
        if !self.core.is_contended(&self.request.service) {
            return LeaseDemand { patience: in_time, memory, reading: None };
        }
        // If nobody reads the response as it is generated, it is worth something when it is late, too. Before
        // that the other servers are asked.
        let is_last = self.busy_servers + 1 >= MAX_BUSY_SERVERS;
        let patience = match self.request.caller.class {
            _ if !is_last => in_time,
            RequestClass::Interactive => in_time,
            RequestClass::Standard | RequestClass::Batch => {
                let left = self.request.deadline.saturating_duration_since(now);
                in_time.max(self.request.caller.route.latency_objective.min(left / 2))
            }
        };
        let reading = Some(self.reading_demand(order, in_time));
        LeaseDemand { patience, memory, reading }
    }

    fn record_load(&self, order: &SendOrder, load: LeasedLoad) {
        let server = order.server.clone();
        self.handle.notify(PolicyInput::LeasedLoad { server, load });
    }

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
        let demand = self.lease_demand(began, order, from);
        let patience = demand.patience;
        let leased = tokio::select! {
            leased = self.core.lease_slot(&order.server, demand) => leased,
            end = wait_end(&mut self.handle, order.attempt, true) => {
                return Err(match end {
                    AttemptEnd::Cancelled => AttemptFailure::TimedOut,
                    AttemptEnd::Withdrawn => {
                        self.report(order, AttemptFailure::Stale, from, None)
                    }
                });
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
                if let Some(load) = lease.as_ref().and_then(SlotLease::load) {
                    self.record_load(order, load);
                }
                if lease.is_some() {
                    self.handle.notify(PolicyInput::Leased { attempt: order.attempt });
                }
                Ok(lease)
            }
            Err(LeaseFailure::Full(delay)) => {
                Err(self.report(order, AttemptFailure::NoSlot, from, Some(delay)))
            }
            Err(LeaseFailure::Busy { delay, load }) => {
                self.busy_servers += 1;
                self.record_load(order, load);
                Err(self.report(order, AttemptFailure::NoSlot, from, Some(delay)))
            }
            Err(LeaseFailure::Unavailable) => {
                Err(self.report(order, AttemptFailure::NoSlot, from, None))
            }
        }
    }
}
