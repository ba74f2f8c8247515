//! Sends a placed request and records the expectations of the new attempt.

use {
    super::{
        AttemptState, Dispatcher, RequestEntry,
        lifecycle::{Admitted, RequestPhase, StagedRequest},
        selection::Candidate,
        servers::PoolIndex,
    },
    crate::policy::{PolicyAction, RequestWork, SendOrder, bounded_time::bounded},
    rand_core::RngCore,
    std::time::{Duration, Instant},
};

/// Validity of a send order: longer than its delivery to the driver's task takes on a busy VM,
/// shorter than any membership change that callers could notice.
const SEND_WITHIN: Duration = Duration::from_secs(1);
/// Longest time to a first token that is predicted.
const MAX_PREDICTED: Duration = Duration::from_secs(3_600);

impl Dispatcher {
    pub(super) fn send(&mut self, now: Instant, number: u64, best: Candidate) {
        let Some((pool, cost, mut request)) = self.dequeue(now, number) else { return };
        let attempt =
            (u128::from(self.random.next_u64()) << 64) | u128::from(self.random.next_u64());
        if let Some(reason) = request.stage.retry {
            self.count_retry(&request.ticket, reason);
        } else {
            let service = self.service_of(&request.ticket.work);
            self.budgets.deposit(&service, &request.ticket.organisation);
        }
        let state = self.attempt_state(now, number, pool, &request, &best);
        self.charge(now, pool, cost, &request, &state);
        self.running_suspects.extend(&state.suspects);
        let store_use = self.plan_store_use(now, &request, &best, state.weights.as_ref());
        let send_order =
            SendOrder { store_use, ..self.send_order(now, attempt, &request, &best, &state) };
        let server = &mut self.table.servers[best.server];
        server.begin_attempt(attempt, &state);
        if let Some(pace) = &mut server.pace {
            pace.spend(now);
        }
        if let RequestWork::Model { levels, .. } = &request.ticket.work {
            self.prefix_table.record(levels, best.server, &self.table.servers[best.server].cache);
        }
        self.withdraw_at = self.withdraw_at.into_iter().chain(state.withdrawal_due()).min();
        self.attempts.insert(attempt, state);
        if request.ticket.repeatable && request.history.relayed == 0 {
            self.timers.insert((request.ticket.deadline, number));
        }
        request.stage.retry = None;
        let phase = RequestPhase::Running(request.send(attempt));
        self.requests.insert(number, RequestEntry { pool, cost, phase });
        self.actions.push(PolicyAction::Send(send_order));
    }

    fn attempt_state(
        &self,
        now: Instant,
        number: u64,
        pool: PoolIndex,
        request: &StagedRequest<Admitted>,
        best: &Candidate,
    ) -> AttemptState {
        let ticket = &request.ticket;
        let server = &self.table.servers[best.server];
        let (weights, output, age) = match &ticket.work {
            RequestWork::Model { model, max_output_tokens, levels, .. } => (
                server.certain_weights(model).cloned(),
                self.expected_output(pool, *max_output_tokens),
                self.prefix_table.hit_age(levels, best.server, &server.cache),
            ),
            RequestWork::Service { .. } => (None, 0, 0),
        };
        AttemptState {
            number,
            server: best.server,
            sent: now,
            predicted: bounded(best.cost.first_token(), MAX_PREDICTED),
            work_time: best.work_time,
            computed: best.computed,
            tokens_ahead: server.tokens_ahead(now, best.urgency),
            urgency: best.urgency,
            expected_hit: best.hit,
            affinity_tokens: best.affinity_tokens,
            hit_age: age,
            generation: server.cache.generation(),
            weights,
            software: server.software.clone(),
            charged_output: output,
            leased: false,
            answered: false,
            // After the limit the server is asked for newer weights.
            begin_before: self.begin_limit(server, &ticket.work).filter(|limit| now < *limit),
            withdrawn: false,
            suspects: self.suspected(now, ticket),
        }
    }

    fn send_order(
        &self,
        now: Instant,
        attempt: u128,
        request: &StagedRequest<Admitted>,
        best: &Candidate,
        state: &AttemptState,
    ) -> SendOrder {
        let ticket = &request.ticket;
        let server = &self.table.servers[best.server];
        let latest = now + SEND_WITHIN;
        let fresh = request.history.relayed == 0;
        SendOrder {
            request: ticket.request.clone(),
            attempt,
            server: server.id.clone(),
            incarnation: server.certain_incarnation(),
            software: state.software.clone(),
            weights: state.weights.clone(),
            expected_hit: best.hit,
            import: best.import,
            source: best.source.map(|source| self.table.servers[source].id.clone()),
            store_use: None,
            priority: state.urgency as u32,
            predicted: state.predicted,
            resume_after: request.history.relayed,
            in_flight: server.in_flight + 1,
            send_before: if fresh { latest.min(ticket.deadline) } else { latest },
        }
    }
}
