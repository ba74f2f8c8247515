//! Handles first tokens, ends and failures of attempts, retries and resumed streams.

use {
    super::{
        AttemptState, Dispatcher, RequestEntry,
        lifecycle::{Admitted, NotExecutedProof, RequestPhase, SentRequest, StagedRequest},
        servers::{PoolIndex, Urgency},
    },
    crate::{
        ids::{AttemptId, ServiceId},
        observe::events,
        policy::{
            AttemptFailure, DidRun, PolicyAction, PolicySafeguard, RefusalReason, RequestTicket,
            RequestWork, RetryReason,
            fairness::{MIN_COST, OUTPUT_TOKEN_COST, QueuePosition},
            outlier,
            prefix::{HitReport, ServerIndex},
            retry::{self, MAX_TRIES},
        },
    },
    std::{
        ops::RangeInclusive,
        time::{Duration, Instant},
    },
};

/// Smoothing factor of a pool's mean output, service time and affinity hit ratio.
const MEAN_STEP: f64 = 0.05;

/// Suggested retry delay, and minimum interval between two decreases of a window, after a failure
/// for which the server requested no delay.
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum retry delay of a status call that no budget covers. It must be answered, so it is
/// retried until its deadline, but at most once per second.
const UNBUDGETED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of servers that a request asks for a slot before it is refused.
const MAX_FULL_SERVERS: u32 = 3;

/// The same of servers whose arbiters tell their load.
pub const MAX_BUSY_SERVERS: u32 = 4;

/// How long a server without a free slot is left to the requests that wait for it.
const FULL_TIME: RangeInclusive<Duration> = Duration::from_millis(20)..=Duration::from_millis(500);

/// Minimum retry delay of a request whose connection failed while no server of its pool is usable,
/// for example when some engines crash while others load weights. A server restarts within a second
/// or two. Without the delay, a request uses up its four attempts within 0.1 s on a server that
/// refuses connections; with it they extend over 0.9 to 1.8 s.
const NO_USABLE_SERVER_DELAY: Duration = Duration::from_millis(300);

/// The end of an attempt without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// The kind of failure.
    pub failure: AttemptFailure,
    /// Tokens already relayed to the caller.
    pub relayed_tokens: u32,
    /// The delay that the server requested, if any.
    pub retry_after: Option<Duration>,
}

/// A request whose attempt failed, with the data needed for a retry.
struct FailedRequest {
    pool: PoolIndex,
    cost: u64,
    sent: SentRequest,
}

impl Dispatcher {
    /// Counts the time of an attempt from now on, since it was not sent until now.
    pub(super) fn record_lease(&mut self, now: Instant, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        let waited = now.saturating_duration_since(state.sent);
        state.sent = now;
        state.leased = true;
        if let Some(entry) = self.requests.get(&state.number) {
            self.table.pools[entry.pool].is_leased = true;
        }
        let server = &mut self.table.servers[state.server];
        if let Some(unanswered) = server.unanswered.get_mut(&attempt) {
            unanswered.sent = now;
            unanswered.due += waited;
        }
    }

    pub(super) fn record_first_token(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        cached: Option<u32>,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if state.answered {
            return;
        }
        state.answered = true;
        let state = state.clone();
        let taken = now.saturating_duration_since(state.sent);
        let server = &mut self.table.servers[state.server];
        let work_time = server.work_time.held(now, taken, &self.figure_decay);
        let slower = match (work_time, state.work_time) {
            (Some(held), Some(assumed)) => (held / assumed).max(1.0),
            _ => 1.0,
        };
        server.record_first_token(attempt);
        server.failures.record_success();
        server.window.record_first_token(now, state.predicted.mul_f64(slower), taken);
        server.responded = server.responded.max(Some(state.sent));
        let crash = server.crash_site(state.server).crash;
        self.suspects.refute_crash(now, crash, state.sent);
        let server = &mut self.table.servers[state.server];
        let computed = match cached {
            Some(cached) => (state.computed + state.expected_hit).saturating_sub(cached),
            None => state.computed,
        };
        let usual = work_time.map_or(taken, |ratio| taken.div_f64(ratio));
        server.speed.record_first_token(now, f64::from(computed), usual);
        if work_time.is_some() {
            let delay = server.speed.delay(f64::from(computed) + state.tokens_ahead, usual);
            server.queue_delay.record(now, delay);
        }
        if !state.leased
            && let Some(entry) = self.requests.get(&state.number)
        {
            self.table.pools[entry.pool].is_leased = false;
            self.table.pools[entry.pool].tells_load = false;
        }
        self.update_speeds(state.server);
        self.update_cache_contents(&state, cached, computed);
        self.mark_dirty(state.server);
    }

    /// Updates the mean and the highest speed of all pools of a server after a measurement.
    fn update_speeds(&mut self, index: ServerIndex) {
        for pool in self.table.servers[index].pools.clone() {
            let members = &self.table.pools[pool].members;
            let rates = || {
                let servers = members.iter().map(|member| &self.table.servers[*member]);
                servers.filter_map(|server| server.speed.measured())
            };
            let (count, sum) = rates().fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate));
            let typical = (count > 0).then(|| sum / f64::from(count));
            let fastest = rates().max_by(f64::total_cmp);
            self.table.servers[index].speed.compare(typical);
            self.table.pools[pool].typical_rate = typical;
            self.table.pools[pool].fastest_rate = fastest;
        }
    }

    /// Updates what the server's cache holds after a prompt was computed.
    fn update_cache_contents(&mut self, state: &AttemptState, cached: Option<u32>, computed: u32) {
        let server = &mut self.table.servers[state.server];
        server.cache.advance(computed);
        // The server's incarnation or weights changed after the attempt was sent, so the response
        // does not describe the current cache.
        if server.cache.generation() != state.generation || server.unverified {
            return;
        }
        let Some(entry) = self.requests.get(&state.number) else { return };
        if let Some(cached) = cached
            && state.affinity_tokens > state.expected_hit
        {
            let held = f64::from(u8::from(cached >= state.affinity_tokens));
            let ratio = &mut self.table.pools[entry.pool].affinity_hit_ratio;
            *ratio += (held - *ratio) * MEAN_STEP;
        }
        if let RequestWork::Model { levels, .. } = &entry.phase.ticket().work {
            let expected = if cached.is_some() { state.expected_hit } else { 0 };
            let report = HitReport { expected, cached: cached.unwrap_or(0), age: state.hit_age };
            self.prefix_table.record_hit_report(levels, state.server, &mut server.cache, report);
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        cached: Option<u32>,
        output_tokens: u32,
    ) {
        self.record_first_token(now, attempt, cached);
        let Some(state) = self.end_attempt(attempt) else { return };
        let taken = now.saturating_duration_since(state.sent);
        let server = &mut self.table.servers[state.server];
        let work_time = server.work_time.held(now, taken, &self.figure_decay);
        server.speed.record_finished(work_time.map_or(taken, |ratio| taken.div_f64(ratio)));
        let Some(entry) = self.requests.remove(&state.number) else { return };
        self.cancel_deadline(state.number, entry.phase.ticket().deadline);
        let ticket = entry.phase.ticket();
        self.numbers.remove(&ticket.request);
        for fingerprint in ticket.parts.iter().chain([&ticket.fingerprint]) {
            self.suspects.clear(now, *fingerprint);
        }
        let pool = &mut self.table.pools[entry.pool];
        pool.output += (f64::from(output_tokens) - pool.output) * MEAN_STEP;
        pool.service += (taken.as_secs_f64() - pool.service) * MEAN_STEP;
        let correction = i64::from(output_tokens) - state.charged_output as i64;
        let cost = correction * OUTPUT_TOKEN_COST as i64;
        pool.queue.charge(&ticket.organisation, ticket.class, cost);
    }

    pub(super) fn cancel_deadline(&mut self, number: u64, deadline: Instant) {
        self.timers.remove(&(deadline, number));
    }

    /// Removes an attempt from the tables; later events of it are ignored.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<AttemptState> {
        let state = self.attempts.remove(&attempt)?;
        self.table.servers[state.server].end_attempt(attempt, &state);
        for fingerprint in &state.suspects {
            self.running_suspects.remove(fingerprint);
        }
        self.mark_dirty(state.server);
        Some(state)
    }

    pub(super) fn fail(&mut self, now: Instant, attempt: AttemptId, failed: FailedAttempt) {
        let Some(state) = self.end_attempt(attempt) else { return };
        self.record_server_failure(now, state.server, state.urgency, &failed);
        let Some(RequestEntry { pool, cost, phase }) = self.requests.remove(&state.number) else {
            return;
        };
        let RequestPhase::Running(mut sent) = phase else { return };
        if failed.failure == AttemptFailure::NoSlot {
            self.table.pools[pool].is_leased = true;
        }
        self.cancel_deadline(state.number, sent.ticket().deadline);
        self.numbers.remove(&sent.ticket().request);
        if failed.failure == AttemptFailure::CallerError {
            // The server responded, so it did not crash, and the caller gets its response.
            // Nothing was written to its prompt, so that its parts are not cleared.
            self.suspects.clear(now, sent.ticket().fingerprint);
            return;
        }
        self.update_history(now, &state, &failed, &mut sent);
        self.retry_or_refuse(now, FailedRequest { pool, cost, sent }, &failed);
    }

    /// Updates the history of a request after a failed attempt.
    fn update_history(
        &mut self,
        now: Instant,
        state: &AttemptState,
        failed: &FailedAttempt,
        sent: &mut SentRequest,
    ) {
        let ticket = sent.ticket();
        let server = &self.table.servers[state.server];
        if failed.failure == AttemptFailure::Broken && server.reachable {
            let site = server.crash_site(state.server);
            for fingerprint in ticket.parts.iter().chain([&ticket.fingerprint]) {
                self.suspects.record_crash(now, *fingerprint, site, state.answered);
            }
            if self.has_crashed_servers(now, ticket) {
                log::warn!(fingerprint:% = format_args!("{:016x}", ticket.fingerprint),
                    server = self.table.servers[state.server].id.as_str();
                    "{}", events::REQUEST_ISOLATED);
            }
        }
        let history = sent.history_mut();
        if failed.failure == AttemptFailure::NoSlot {
            history.tries = history.tries.saturating_sub(1);
            history.full_servers += 1;
        }
        if NotExecutedProof::from_failure(failed.failure).is_none() {
            history.did_run = DidRun::Unknown;
        }
        if failed.failure != AttemptFailure::Stale
            && !history.avoided_servers.contains(&state.server)
        {
            history.avoided_servers.push(state.server);
        }
        if failed.relayed_tokens > history.relayed {
            history.relayed = failed.relayed_tokens;
            history.weights.clone_from(&state.weights);
            history.software = Some(state.software.clone());
        }
    }

    /// Schedules a retry of a failed request or refuses it.
    fn retry_or_refuse(&mut self, now: Instant, request: FailedRequest, failed: &FailedAttempt) {
        let ticket = request.sent.ticket();
        let name = ticket.request.clone();
        let did_run = request.sent.history().did_run;
        if self.has_crashed_servers(now, ticket) {
            self.refuse(name, RefusalReason::CrashesServers, None, did_run);
            return;
        }
        let relayed = request.sent.history().relayed;
        if relayed > 0 && request.sent.history().weights.is_none() {
            self.refuse(name, RefusalReason::NotResumable, None, did_run);
            return;
        }
        if relayed == 0 && ticket.deadline <= now {
            self.refuse(name, RefusalReason::DeadlinePassed, None, did_run);
            return;
        }
        let max_full = match self.table.pools[request.pool].tells_load {
            true => MAX_BUSY_SERVERS,
            false => MAX_FULL_SERVERS,
        };
        if request.sent.history().full_servers >= max_full {
            self.refuse(name, RefusalReason::NoSlot, failed.retry_after, did_run);
            return;
        }
        let Some(reason) = retry::reason_of(failed.failure, relayed) else { return };
        let FailedRequest { pool, cost, sent } = request;
        let retry_at = self.retry_time(now, pool, &sent, failed);
        let admitted = match (sent, retry_at) {
            (SentRequest::Repeatable(staged), Some(at)) => staged.retry(at, reason),
            (SentRequest::NonRepeatable(staged), retry_at) => {
                match (NotExecutedProof::from_failure(failed.failure), retry_at) {
                    (Some(proof), Some(at)) => staged.requeue_unsent(proof, at, reason),
                    _ => {
                        self.refuse(name, RefusalReason::ServerFailed, None, did_run);
                        return;
                    }
                }
            }
            (SentRequest::Repeatable(_), None) => {
                let reason = RefusalReason::RetriesExhausted;
                self.refuse(name, reason, Some(FAILURE_RETRY_AFTER), did_run);
                return;
            }
        };
        self.requeue(now, pool, cost, admitted);
    }

    /// Charges a sent request to its organisation and records it as drained.
    pub(super) fn charge(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: &StagedRequest<Admitted>,
        state: &AttemptState,
    ) {
        let ticket = &request.ticket;
        let served = u64::from(state.computed) + OUTPUT_TOKEN_COST * state.charged_output;
        let pool = &mut self.table.pools[pool];
        pool.queue.spend_credit(ticket.class, cost);
        pool.queue.charge(&ticket.organisation, ticket.class, served.max(MIN_COST) as i64);
        pool.queue.record_usage(now, &ticket.organisation, served);
        pool.drain.record_served(now, cost);
    }

    fn requeue(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: StagedRequest<Admitted>,
    ) {
        self.enqueue(now, pool, cost, request, QueuePosition::Front);
    }

    /// Returns when the request may be retried; `None` if its attempts or the budgets are
    /// exhausted.
    fn retry_time(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        sent: &SentRequest,
        failed: &FailedAttempt,
    ) -> Option<Instant> {
        if matches!(failed.failure, AttemptFailure::Stale | AttemptFailure::NoSlot) {
            return Some(now);
        }
        let chance = self.random_unit();
        let ticket = sent.ticket();
        let tries = sent.history().tries;
        // A server that rejects a request rests; the request may go to another one at once.
        let rests = matches!(failed.failure, AttemptFailure::Refused | AttemptFailure::Declined);
        let requested = failed.retry_after.filter(|_| !rests);
        let mut at = retry::retry_at(now, tries, requested, chance);
        if failed.failure == AttemptFailure::NotConnected && !self.has_usable_server(pool) {
            at = at.max(now + NO_USABLE_SERVER_DELAY.mul_f64(1.0 + chance));
        }
        // If operators limit retries, only retries of requests that reached a server are charged.
        // When a server crashes, the budget is then available for the requests that it interrupted,
        // and not used up by requests that were never delivered.
        let reached = failed.failure != AttemptFailure::NotConnected;
        let exempt = self.budgets.is_strict() && !reached;
        let covered = exempt
            || !self.is_enabled(PolicySafeguard::RetryBudget)
            || self.budgets.withdraw(&self.service_of(&ticket.work), &ticket.organisation);
        if ticket.is_status_call() && (covered || !self.budgets.is_strict()) {
            let earliest = now + UNBUDGETED_RETRY_DELAY.mul_f64(1.0 + chance);
            return Some(if covered { at } else { at.max(earliest) });
        }
        let fits = at < ticket.deadline || sent.history().relayed > 0;
        let exhausted = tries >= MAX_TRIES && self.is_enabled(PolicySafeguard::RetryBudget);
        (covered && fits && !exhausted).then_some(at)
    }

    /// Returns the service that runs `work`. The budget for retries is one of the service, whichever of
    /// its models is asked for.
    pub(super) fn service_of(&self, work: &RequestWork) -> ServiceId {
        match work {
            RequestWork::Service { service } => service.clone(),
            RequestWork::Model { model, .. } => {
                self.view.model_services.get(model).unwrap_or(model).clone()
            }
        }
    }

    fn has_usable_server(&self, pool: PoolIndex) -> bool {
        let members = &self.table.pools[pool].members;
        members.iter().any(|index| self.table.servers[*index].is_usable())
    }

    /// Updates the state of a server after a failed attempt.
    fn record_server_failure(
        &mut self,
        now: Instant,
        index: ServerIndex,
        urgency: Urgency,
        failed: &FailedAttempt,
    ) {
        let server = &mut self.table.servers[index];
        let fails = match failed.failure {
            AttemptFailure::Stale | AttemptFailure::Withdrawn => return,
            AttemptFailure::NoSlot => {
                let delay = failed.retry_after.unwrap_or(*FULL_TIME.end());
                let until = now + delay.clamp(*FULL_TIME.start(), *FULL_TIME.end());
                server.record_full(now, urgency, until);
                return;
            }
            AttemptFailure::CallerError => {
                server.failures.record_success();
                return;
            }
            AttemptFailure::Refused | AttemptFailure::Declined => {
                if let Some(delay) = failed.retry_after {
                    server.rest.record(now, delay);
                }
                let interval = failed.retry_after.unwrap_or(FAILURE_RETRY_AFTER);
                server.window.record_refused(now, interval);
                return;
            }
            AttemptFailure::WrongWeights => {
                server.cache.clear_weights();
                return;
            }
            AttemptFailure::Broken | AttemptFailure::Unreachable | AttemptFailure::NotConnected => {
                server.unverified = true;
                server.failures.record_failure()
            }
            AttemptFailure::ServerError | AttemptFailure::TimedOut => {
                server.failures.record_failure()
            }
        };
        if fails && self.is_enabled(PolicySafeguard::Outlier) && self.may_eject(index) {
            self.table.servers[index].failures.eject(now);
            self.ejected.insert(index);
        }
    }

    fn may_eject(&self, index: ServerIndex) -> bool {
        self.table.servers[index].pools.iter().all(|pool| {
            let members = &self.table.pools[*pool].members;
            let ejected = members.iter().filter(|member| {
                let server = &self.table.servers[**member];
                server.failures.is_ejected()
            });
            outlier::may_eject(members.len(), ejected.count())
        })
    }

    pub(super) fn mark_dirty(&mut self, server: ServerIndex) {
        for pool in &self.table.servers[server].pools {
            self.table.pools[*pool].dirty = true;
        }
    }

    pub(super) fn count_retry(&mut self, ticket: &RequestTicket, reason: RetryReason) {
        let service = self.service_of(&ticket.work);
        let request = ticket.request.clone();
        self.actions.push(PolicyAction::CountRetry { request, service, reason });
    }
}
