//! Admits arriving requests to a queue or refuses them.

use {
    super::{
        Dispatcher, RequestEntry,
        affinity::AFFINITY_LEVELS,
        lifecycle::{Admitted, RequestPhase, StagedRequest},
        servers::{PoolIndex, PoolKey},
    },
    crate::{
        ids::RequestId,
        policy::{
            DidRun, PolicyAction, PolicySafeguard, RefusalReason, RequestTicket, RequestWork,
            admission::{self, AdmissionDecision, MAX_WAITING},
            bounded_time::bounded,
            fairness::{MIN_COST, OUTPUT_TOKEN_COST, QueuePosition, QueuedWork},
            prefix::ServerIndex,
        },
    },
    std::time::{Duration, Instant},
};

/// Suggested retry delay if no server offers the model: about the restart time of an engine.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time to a first token that is estimated for an idle server.
const MAX_FIRST_TOKEN: Duration = Duration::from_secs(3_600);

/// Assumed output tokens of a response before any measurement.
const INITIAL_OUTPUT: f64 = 128.0;

impl Dispatcher {
    pub(super) fn arrive(&mut self, now: Instant, ticket: RequestTicket) {
        if self.numbers.contains_key(&ticket.request) {
            log::warn!("ignoring a second submission of request {}", ticket.request);
            return;
        }
        let refusal = self.refusal_on_arrival(now, &ticket);
        if let Some((reason, retry_after)) = refusal {
            self.refuse(ticket.request, reason, retry_after, DidRun::No);
            return;
        }
        let Some(pool) = self.table.by_key.get(&PoolKey::of(&ticket.work)).copied() else { return };
        let cost = self.estimate_cost(pool, &ticket.work);
        if let Some(retry_after) = self.check_deadline(now, pool, &ticket, cost) {
            let reason = RefusalReason::DeadlineUnreachable;
            self.refuse(ticket.request, reason, Some(retry_after), DidRun::No);
            return;
        }
        if !self.make_room(now, pool, &ticket) {
            let over = self.table.pools[pool].queue.depth(&ticket.organisation) > MAX_WAITING / 2;
            let reason = if over { RefusalReason::OverShare } else { RefusalReason::QueueFull };
            let retry_after = self.drain_delay(pool, cost);
            self.refuse(ticket.request, reason, Some(retry_after), DidRun::No);
            return;
        }
        if let RequestWork::Model { levels, .. } = &ticket.work {
            for level in levels.iter().take(AFFINITY_LEVELS) {
                self.prefix_rates.record(now, level.hash);
            }
        }
        let request = StagedRequest::receive(now, ticket).admit(now);
        self.enqueue(now, pool, cost, request, QueuePosition::Back);
    }

    /// Returns the refusal that does not depend on the queue, if any.
    fn refusal_on_arrival(
        &self,
        now: Instant,
        ticket: &RequestTicket,
    ) -> Option<(RefusalReason, Option<Duration>)> {
        if ticket.deadline <= now {
            return Some((RefusalReason::DeadlinePassed, None));
        }
        if self.has_crashed_servers(now, ticket) {
            return Some((RefusalReason::CrashesServers, None));
        }
        let pool = self.table.by_key.get(&PoolKey::of(&ticket.work));
        let members = pool.map_or(&[][..], |pool| &self.table.pools[*pool].members[..]);
        let served = members.iter().any(|index| self.table.servers[*index].accepts_requests());
        // A status call must be answered, so it waits for a server until its deadline.
        let waits = !members.is_empty() && ticket.is_status_call();
        (!served && !waits).then_some((RefusalReason::NoServer, Some(NO_SERVER_RETRY_AFTER)))
    }

    /// Returns whether the request, or a part of its prompt, has crashed servers.
    pub(super) fn has_crashed_servers(&self, now: Instant, ticket: &RequestTicket) -> bool {
        let is_refused = |part: &u64| self.suspects.is_part_refused(now, *part);
        self.is_enabled(PolicySafeguard::Suspect)
            && (self.suspects.is_refused(now, ticket.fingerprint)
                || ticket.parts.iter().any(is_refused))
    }

    /// Returns the fingerprints, of the request and of the parts of its prompt, that may have crashed
    /// servers.
    pub(super) fn suspected(&self, now: Instant, ticket: &RequestTicket) -> Vec<u64> {
        if !self.is_enabled(PolicySafeguard::Suspect) {
            return Vec::new();
        }
        let is_isolated = |part: &&u64| self.suspects.is_part_isolated(now, **part);
        let parts = ticket.parts.iter().filter(is_isolated).copied();
        let own = self.suspects.crash_count(now, ticket.fingerprint) > 0;
        parts.chain(own.then_some(ticket.fingerprint)).collect()
    }

    /// Estimates the cost of a request in tokens: the part of the prompt that no server holds, and
    /// its expected output.
    pub(super) fn estimate_cost(&self, pool: PoolIndex, work: &RequestWork) -> u64 {
        let RequestWork::Model { levels, prompt_tokens, max_output_tokens, .. } = work else {
            return MIN_COST;
        };
        let held = levels.iter().rev().find(|level| self.prefix_table.contains(level.hash));
        let held = held.map_or(0, |level| level.tokens);
        let prompt = u64::from(prompt_tokens.saturating_sub(held));
        let output = self.expected_output(pool, *max_output_tokens);
        (prompt + OUTPUT_TOKEN_COST * output).max(MIN_COST)
    }

    pub(super) fn expected_output(&self, pool: PoolIndex, limit: u32) -> u64 {
        let mean = self.table.pools[pool].output;
        let mean = if mean > 0.0 { mean } else { INITIAL_OUTPUT };
        (mean as u64).min(u64::from(limit))
    }

    /// Returns the suggested retry delay if the request cannot meet its deadline.
    fn check_deadline(
        &self,
        now: Instant,
        pool: PoolIndex,
        ticket: &RequestTicket,
        cost: u64,
    ) -> Option<Duration> {
        // Status calls are cheap and must be answered, so only a full queue refuses them.
        if !self.is_enabled(PolicySafeguard::Admission) || ticket.is_status_call() {
            return None;
        }
        let state = &self.table.pools[pool];
        let ahead = state.queue.cost_ahead(&ticket.organisation, ticket.class, cost);
        let wait = state.drain.time_for(ahead);
        let run = bounded(self.min_first_token(pool, &ticket.work), MAX_FIRST_TOKEN);
        match admission::evaluate(ticket.class, now, ticket.deadline, wait, run) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse { retry_after } => Some(retry_after),
        }
    }

    /// Returns the first-token time in seconds at an idle server with the pool's highest speed that
    /// holds the best known prefix.
    pub(super) fn min_first_token(&self, pool: PoolIndex, work: &RequestWork) -> f64 {
        let RequestWork::Model { levels, prompt_tokens, .. } = work else { return 0.0 };
        let held = levels.iter().rev().find(|level| self.prefix_table.contains(level.hash));
        let computed = prompt_tokens.saturating_sub(held.map_or(0, |level| level.tokens));
        let rate = self.table.pools[pool].fastest_rate.unwrap_or(f64::INFINITY);
        f64::from(computed) / rate
    }

    /// Returns how long the queue takes to drain `cost`, limited to the range of suggested retry
    /// delays.
    pub(super) fn drain_delay(&self, pool: PoolIndex, cost: u64) -> Duration {
        admission::clamp_retry_after(self.table.pools[pool].drain.time_for(cost))
    }

    /// Makes room in a full queue by shedding less urgent requests or those of a heavier
    /// organisation. Returns false if there is nothing to shed.
    fn make_room(&mut self, now: Instant, pool: PoolIndex, ticket: &RequestTicket) -> bool {
        let queue = &self.table.pools[pool].queue;
        if queue.len() < MAX_WAITING {
            return true;
        }
        let own = queue.depth(&ticket.organisation);
        let Some(shed_candidate) = queue.shed_candidate(ticket.class, own) else { return false };
        let retry_after = self.drain_delay(pool, shed_candidate.cost);
        self.refuse_waiting(
            now,
            shed_candidate.number,
            RefusalReason::QueueFull,
            Some(retry_after),
        );
        true
    }

    /// Adds an admitted request to the queue of its pool.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: StagedRequest<Admitted>,
        position: QueuePosition,
    ) {
        self.next_number += 1;
        let number = self.next_number;
        let ticket = &request.ticket;
        let weight = self.view.shares.get(&ticket.organisation).copied().unwrap_or(1.0).max(0.001);
        let state = &mut self.table.pools[pool];
        let work = QueuedWork { number, cost };
        state.queue.push(&ticket.organisation, weight, ticket.class, work, position);
        state.drain.record_waiting(now, state.queue.len());
        state.dirty = true;
        if request.history.relayed == 0 {
            self.timers.insert((ticket.deadline, number));
        }
        if request.stage.not_before > now {
            self.timers.insert((request.stage.not_before, number));
        }
        self.numbers.insert(ticket.request.clone(), number);
        let phase = RequestPhase::Waiting(request);
        self.requests.insert(number, RequestEntry { pool, cost, phase });
    }

    /// Removes a waiting request from its queue.
    pub(super) fn dequeue(
        &mut self,
        now: Instant,
        number: u64,
    ) -> Option<(PoolIndex, u64, StagedRequest<Admitted>)> {
        let entry = self.requests.remove(&number)?;
        let request = match entry.phase {
            RequestPhase::Waiting(request) => request,
            running => {
                self.requests.insert(number, RequestEntry { phase: running, ..entry });
                return None;
            }
        };
        self.timers.remove(&(request.ticket.deadline, number));
        self.timers.remove(&(request.stage.not_before, number));
        let ticket = &request.ticket;
        let state = &mut self.table.pools[entry.pool];
        state.queue.remove(&ticket.organisation, ticket.class, number);
        state.drain.record_waiting(now, state.queue.len());
        Some((entry.pool, entry.cost, request))
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Instant,
        number: u64,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        if let Some((_, _, request)) = self.dequeue(now, number) {
            let did_run = request.history.did_run;
            self.refuse(request.ticket.request, reason, retry_after, did_run);
        }
    }

    /// Handles the disconnection of a caller: a waiting request is dropped, and a running one
    /// releases its slot.
    ///
    /// A non-repeatable call is not cancelled at its server, since it may be partly executed. Its
    /// slot is released nevertheless: no further event of it arrives, so it would count as
    /// increasingly overdue until the server got no requests at all. A call whose response is
    /// stored for resends is not affected, because its task runs to its end without the caller.
    pub(super) fn handle_disconnect(&mut self, now: Instant, request: &RequestId) {
        let Some(number) = self.numbers.remove(request) else { return };
        if self.dequeue(now, number).is_some() {
            return;
        }
        let Some(RequestEntry { phase: RequestPhase::Running(sent), .. }) =
            self.requests.remove(&number)
        else {
            return;
        };
        let attempt = sent.attempt();
        self.cancel_deadline(number, sent.ticket().deadline);
        let Some(state) = self.end_attempt(attempt) else { return };
        if sent.ticket().repeatable {
            self.push_cancel(attempt, state.server);
        }
    }

    pub(super) fn push_cancel(&mut self, attempt: u128, server: ServerIndex) {
        let server = self.table.servers[server].id.clone();
        self.actions.push(PolicyAction::Cancel { attempt, server });
    }
}

impl RequestTicket {
    /// Returns whether it is a repeatable call to a plain service. Such a call is cheap and must
    /// always be answered.
    pub fn is_status_call(&self) -> bool {
        self.repeatable && matches!(self.work, RequestWork::Service { .. })
    }
}
