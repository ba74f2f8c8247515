//! Takes requests in: refuses at once what cannot be served, queues the rest.

use {
    super::{
        Dispatcher, RequestEntry,
        homes::HOME_LEVELS,
        lifecycle::{Admitted, LiveRequest, RequestPhase},
        servers::{PoolIndex, PoolKey},
    },
    crate::{
        ids::RequestId,
        policy::{
            DidRun, PolicyAction, PolicySafeguard, RefusalReason, RequestTicket, RequestWork,
            admission::{self, AdmissionVerdict, MAX_WAITING},
            fairness::{LEAST_COST, OUTPUT_COST, QueuePlace, QueuedWork},
            prefix::ServerIndex,
            suspect::STRIKES_TO_REFUSE,
        },
    },
    std::time::{Duration, Instant},
};

/// When to come back if nobody serves the model: about the time an engine takes to restart.
const NO_SERVER_PAUSE: Duration = Duration::from_secs(2);

/// Output tokens expected of an answer before any was seen.
const FIRST_OUTPUT: f64 = 128.0;

impl Dispatcher {
    pub(super) fn arrive(&mut self, now: Instant, ticket: RequestTicket) {
        if self.numbers.contains_key(&ticket.request) {
            log::warn!("{} arrived twice and is queued once", ticket.request);
            return;
        }
        let refusal = self.refusal_on_arrival(now, &ticket);
        if let Some((reason, retry_after)) = refusal {
            self.refuse(ticket.request, reason, retry_after, DidRun::No);
            return;
        }
        let Some(pool) = self.table.by_key.get(&PoolKey::of(&ticket.work)).copied() else { return };
        let cost = self.estimate_cost(pool, &ticket.work);
        if let Some(pause) = self.judge_wait(now, pool, &ticket, cost) {
            let reason = RefusalReason::DeadlineUnreachable;
            self.refuse(ticket.request, reason, Some(pause), DidRun::No);
            return;
        }
        if !self.make_room(now, pool, &ticket) {
            let over = self.table.pools[pool].queue.depth(&ticket.organisation) > MAX_WAITING / 2;
            let reason = if over { RefusalReason::OverShare } else { RefusalReason::QueueFull };
            let pause = self.drain_pause(pool, cost);
            self.refuse(ticket.request, reason, Some(pause), DidRun::No);
            return;
        }
        if let RequestWork::Model { levels, .. } = &ticket.work {
            for level in levels.iter().take(HOME_LEVELS) {
                self.heats.note(now, level.hash);
            }
        }
        let request = LiveRequest::receive(now, ticket).admit(now);
        self.enqueue(now, pool, cost, request, QueuePlace::Back);
    }

    /// What can be refused without a look at the queue.
    fn refusal_on_arrival(
        &self,
        now: Instant,
        ticket: &RequestTicket,
    ) -> Option<(RefusalReason, Option<Duration>)> {
        if ticket.deadline <= now {
            return Some((RefusalReason::DeadlinePassed, None));
        }
        if self.is_convicted(now, ticket.fingerprint) {
            return Some((RefusalReason::CrashesServers, None));
        }
        let pool = self.table.by_key.get(&PoolKey::of(&ticket.work));
        let members = pool.map_or(&[][..], |pool| &self.table.pools[*pool].members[..]);
        let served = members.iter().any(|index| self.table.servers[*index].takes_work());
        // A status check must come back: it waits for a server until its deadline.
        let waits = !members.is_empty() && ticket.is_status_call();
        (!served && !waits).then_some((RefusalReason::NoServer, Some(NO_SERVER_PAUSE)))
    }

    pub(super) fn is_convicted(&self, now: Instant, fingerprint: u64) -> bool {
        self.is_on(PolicySafeguard::Suspect)
            && self.suspects.strikes(now, fingerprint) >= STRIKES_TO_REFUSE
    }

    /// Tokens that a request will cost: prompt that nobody holds, and its expected output.
    pub(super) fn estimate_cost(&self, pool: PoolIndex, work: &RequestWork) -> u64 {
        let RequestWork::Model { levels, prompt_tokens, max_output_tokens, .. } = work else {
            return LEAST_COST;
        };
        let held = levels.iter().rev().find(|level| self.holdings.knows(level.hash));
        let held = held.map_or(0, |level| level.tokens);
        let prompt = u64::from(prompt_tokens.saturating_sub(held));
        let output = self.expected_output(pool, *max_output_tokens);
        (prompt + OUTPUT_COST * output).max(LEAST_COST)
    }

    pub(super) fn expected_output(&self, pool: PoolIndex, limit: u32) -> u64 {
        let mean = self.table.pools[pool].output;
        let mean = if mean > 0.0 { mean } else { FIRST_OUTPUT };
        (mean as u64).min(u64::from(limit))
    }

    /// The pause for the caller if the request cannot make its deadline.
    fn judge_wait(
        &self,
        now: Instant,
        pool: PoolIndex,
        ticket: &RequestTicket,
        cost: u64,
    ) -> Option<Duration> {
        // Status checks are cheap and must come back: only a full queue sheds them.
        if !self.is_on(PolicySafeguard::Admission) || ticket.is_status_call() {
            return None;
        }
        let state = &self.table.pools[pool];
        let ahead = state.queue.cost_ahead(&ticket.organisation, ticket.class, cost);
        let wait = state.drain.time_for(ahead);
        let run = Duration::from_secs_f64(self.least_first_token(pool, &ticket.work));
        match admission::judge(ticket.class, now, ticket.deadline, wait, run) {
            AdmissionVerdict::Admit => None,
            AdmissionVerdict::Refuse { retry_after } => Some(retry_after),
        }
    }

    /// First-token time at an idle server of usual speed, were the best known prefix held there.
    pub(super) fn least_first_token(&self, pool: PoolIndex, work: &RequestWork) -> f64 {
        let RequestWork::Model { levels, prompt_tokens, .. } = work else { return 0.0 };
        let held = levels.iter().rev().find(|level| self.holdings.knows(level.hash));
        let computed = prompt_tokens.saturating_sub(held.map_or(0, |level| level.tokens));
        let rate = self.table.pools[pool].fastest_rate.unwrap_or(f64::INFINITY);
        f64::from(computed) / rate
    }

    /// How long the queue takes to drain `cost`.
    pub(super) fn drain_pause(&self, pool: PoolIndex, cost: u64) -> Duration {
        admission::come_back_after(self.table.pools[pool].drain.time_for(cost))
    }

    /// Makes room in a full queue by shedding less urgent work, or work of a heavier organisation.
    fn make_room(&mut self, now: Instant, pool: PoolIndex, ticket: &RequestTicket) -> bool {
        let queue = &self.table.pools[pool].queue;
        if queue.len() < MAX_WAITING {
            return true;
        }
        let own = queue.depth(&ticket.organisation);
        let Some(victim) = queue.victim(ticket.class, own) else { return false };
        let pause = self.drain_pause(pool, victim.cost);
        self.refuse_waiting(now, victim.number, RefusalReason::QueueFull, Some(pause));
        true
    }

    /// Puts an admitted request into its pool's queue.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: LiveRequest<Admitted>,
        place: QueuePlace,
    ) {
        self.next_number += 1;
        let number = self.next_number;
        let ticket = &request.ticket;
        let weight = self.view.shares.get(&ticket.organisation).copied().unwrap_or(1.0).max(0.001);
        let state = &mut self.table.pools[pool];
        let work = QueuedWork { number, cost };
        state.queue.push(&ticket.organisation, weight, ticket.class, work, place);
        state.drain.note_waiting(now, state.queue.len());
        state.stirred = true;
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

    /// Takes a waiting request out of its queue.
    pub(super) fn unqueue(
        &mut self,
        now: Instant,
        number: u64,
    ) -> Option<(PoolIndex, u64, LiveRequest<Admitted>)> {
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
        state.drain.note_waiting(now, state.queue.len());
        Some((entry.pool, entry.cost, request))
    }

    /// Refuses a request that waits.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Instant,
        number: u64,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        if let Some((_, _, request)) = self.unqueue(now, number) {
            let did_run = request.history.ran;
            self.refuse(request.ticket.request, reason, retry_after, did_run);
        }
    }

    /// Nobody attends the request any more: what waits is dropped, what runs gives its place back.
    ///
    /// A call that must run at most once is not cancelled at its server, as it may be half done. Its
    /// place is given back all the same: no end of it will be reported, so it would count as running,
    /// and ever more overdue, until its server were refused all further work. A call whose answer is
    /// kept for a resend is attended until it ends, whether or not its caller waits.
    pub(super) fn drop_caller(&mut self, now: Instant, request: &RequestId) {
        let Some(number) = self.numbers.remove(request) else { return };
        if self.unqueue(now, number).is_some() {
            return;
        }
        let Some(RequestEntry { phase: RequestPhase::Running(sent), .. }) =
            self.requests.remove(&number)
        else {
            return;
        };
        let attempt = sent.attempt();
        self.forget_deadline(number, sent.ticket().deadline);
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
    /// Whether it is a repeatable call to a plain service: cheap, and it must always come back.
    pub fn is_status_call(&self) -> bool {
        self.repeatable && matches!(self.work, RequestWork::Service { .. })
    }
}
