//! What becomes of attempts: first tokens, ends, failures, retries and resumed streams.

use {
    super::{
        AttemptState, Dispatcher, RequestEntry,
        lifecycle::{Admitted, LiveRequest, NothingSent, RequestPhase, SentRequest},
        servers::PoolIndex,
    },
    crate::{
        ids::AttemptId,
        policy::{
            AttemptFailure, DidRun, PolicyAction, PolicySafeguard, RefusalReason, RequestWork,
            RetryReason,
            fairness::{LEAST_COST, OUTPUT_COST, QueuePlace},
            outlier,
            prefix::{CacheReport, ServerIndex},
            retry::{self, MAX_TRIES},
        },
    },
    std::time::{Duration, Instant},
};

/// How far one answer moves a pool's mean output and service time.
const MEAN_PART: f64 = 0.05;

/// When to come back after a failure that was none of the load's.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The pause before an idempotent service call that no budget covers is tried again. It must come
/// back, so it goes on until its deadline, but one a second is no storm.
const UNPAID_PAUSE: Duration = Duration::from_secs(1);

/// Load pattern: a third of the engines crash while another third loads weights, and the rest follow.
/// The pause before a request that could not be connected is tried again while no server is sound. A
/// server that restarts is back within a second or two; without the pause a request is tried four
/// times within 0.1 s at one that refuses connections, and then refused. With it the four tries reach
/// over 0.9 to 1.8 s.
const NOBODY_PAUSE: Duration = Duration::from_millis(300);

/// An attempt's end without a whole answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// What went wrong.
    pub failure: AttemptFailure,
    /// Tokens that the caller has.
    pub relayed_tokens: u32,
    /// The pause the server asked for.
    pub retry_after: Option<Duration>,
}

/// A request whose attempt failed, with what a further try needs.
struct FailedRequest {
    pool: PoolIndex,
    cost: u64,
    sent: SentRequest,
}

impl Dispatcher {
    pub(super) fn note_first_token(
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
        server.answer(attempt);
        server.failures.note_answer();
        server.window.note_first_token(now, state.predicted, taken);
        let computed = match cached {
            Some(cached) => (state.computed + state.expected_hit).saturating_sub(cached),
            None => state.computed,
        };
        server.speed.note_first_token(now, f64::from(computed), taken);
        self.note_speeds(state.server);
        self.learn_cache(&state, cached, computed);
        self.stir(state.server);
    }

    /// Renews the mean and the best speed of the pools of a server that was measured.
    fn note_speeds(&mut self, index: ServerIndex) {
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

    /// Learns from a prompt that was computed what the server holds now.
    fn learn_cache(&mut self, state: &AttemptState, cached: Option<u32>, computed: u32) {
        let server = &mut self.table.servers[state.server];
        server.cache.advance(computed);
        // The server has lived on under other weights or in another life: the answer tells nothing.
        if server.cache.generation() != state.generation || server.in_doubt {
            return;
        }
        let Some(entry) = self.requests.get(&state.number) else { return };
        if let Some(cached) = cached
            && state.home_tokens > state.expected_hit
        {
            let held = f64::from(u8::from(cached >= state.home_tokens));
            let trust = &mut self.table.pools[entry.pool].home_trust;
            *trust += (held - *trust) * MEAN_PART;
        }
        if let RequestWork::Model { levels, .. } = &entry.phase.ticket().work {
            let expected = if cached.is_some() { state.expected_hit } else { 0 };
            let report = CacheReport { expected, cached: cached.unwrap_or(0), age: state.hit_age };
            self.holdings.learn(levels, state.server, &mut server.cache, report);
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        cached: Option<u32>,
        output_tokens: u32,
    ) {
        self.note_first_token(now, attempt, cached);
        let Some(state) = self.end_attempt(attempt) else { return };
        let taken = now.saturating_duration_since(state.sent);
        self.table.servers[state.server].speed.note_finished(taken);
        let Some(entry) = self.requests.remove(&state.number) else { return };
        self.forget_deadline(state.number, entry.phase.ticket().deadline);
        let ticket = entry.phase.ticket();
        self.numbers.remove(&ticket.request);
        self.suspects.clear(ticket.fingerprint);
        let pool = &mut self.table.pools[entry.pool];
        pool.output += (f64::from(output_tokens) - pool.output) * MEAN_PART;
        pool.service += (taken.as_secs_f64() - pool.service) * MEAN_PART;
        let correction = i64::from(output_tokens) - state.charged_output as i64;
        let cost = correction * OUTPUT_COST as i64;
        pool.queue.charge(&ticket.organisation, ticket.class, cost);
    }

    pub(super) fn forget_deadline(&mut self, number: u64, deadline: Instant) {
        self.timers.remove(&(deadline, number));
    }

    /// Takes an attempt out of the tables; later reports of it change nothing.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<AttemptState> {
        let state = self.attempts.remove(&attempt)?;
        self.table.servers[state.server].end(attempt, &state);
        if let Some(fingerprint) = state.suspect {
            self.running_suspects.remove(&fingerprint);
        }
        self.stir(state.server);
        Some(state)
    }

    pub(super) fn fail(&mut self, now: Instant, attempt: AttemptId, failed: FailedAttempt) {
        let Some(state) = self.end_attempt(attempt) else { return };
        self.note_server_failure(now, state.server, &failed);
        let Some(RequestEntry { pool, cost, phase }) = self.requests.remove(&state.number) else {
            return;
        };
        let RequestPhase::Running(mut sent) = phase else { return };
        self.forget_deadline(state.number, sent.ticket().deadline);
        self.numbers.remove(&sent.ticket().request);
        if failed.failure == AttemptFailure::CallerError {
            // The server answered: the caller gets that answer, and the request crashed nothing.
            self.suspects.clear(sent.ticket().fingerprint);
            return;
        }
        self.note_history(now, &state, &failed, &mut sent);
        self.go_on(now, FailedRequest { pool, cost, sent }, &failed);
    }

    /// Writes down what a failed attempt means for its request.
    fn note_history(
        &mut self,
        now: Instant,
        state: &AttemptState,
        failed: &FailedAttempt,
        sent: &mut SentRequest,
    ) {
        let fingerprint = sent.ticket().fingerprint;
        let server = &self.table.servers[state.server];
        if failed.failure == AttemptFailure::Broken && server.reachable {
            let life = server.cache.incarnation();
            self.suspects.strike(now, fingerprint, state.server, life);
            self.peers.hurry(now);
        }
        let history = sent.history_mut();
        if NothingSent::shown_by(failed.failure).is_none() {
            history.ran = DidRun::Unknown;
        }
        if failed.failure != AttemptFailure::Stale && !history.avoid.contains(&state.server) {
            history.avoid.push(state.server);
        }
        if failed.relayed_tokens > history.relayed {
            history.relayed = failed.relayed_tokens;
            history.weights.clone_from(&state.weights);
        }
    }

    /// Sends a failed request again, or gives it its final answer at once.
    fn go_on(&mut self, now: Instant, request: FailedRequest, failed: &FailedAttempt) {
        let ticket = request.sent.ticket();
        let (name, fingerprint) = (ticket.request.clone(), ticket.fingerprint);
        let did_run = request.sent.history().ran;
        if self.is_convicted(now, fingerprint) {
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
        let Some(reason) = retry::reason_of(failed.failure, relayed) else { return };
        let FailedRequest { pool, cost, sent } = request;
        let pause = self.retry_pause(now, pool, &sent, failed);
        let admitted = match (sent, pause) {
            (SentRequest::Repeatable(live), Some(at)) => live.retry(at, reason),
            (SentRequest::Once(live), pause) => {
                match (NothingSent::shown_by(failed.failure), pause) {
                    (Some(proof), Some(at)) => live.unsent(proof, at, reason),
                    _ => {
                        self.refuse(name, RefusalReason::ServerFailed, None, did_run);
                        return;
                    }
                }
            }
            (SentRequest::Repeatable(_), None) => {
                let reason = RefusalReason::RetriesExhausted;
                self.refuse(name, reason, Some(FAILURE_PAUSE), did_run);
                return;
            }
        };
        self.requeue(now, pool, cost, admitted);
    }

    /// Charges a sent request to its organisation and counts it as drained.
    pub(super) fn charge(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: &LiveRequest<Admitted>,
        state: &AttemptState,
    ) {
        let ticket = &request.ticket;
        let served = u64::from(state.computed) + OUTPUT_COST * state.charged_output;
        let pool = &mut self.table.pools[pool];
        pool.queue.spend_credit(ticket.class, cost);
        pool.queue.charge(&ticket.organisation, ticket.class, served.max(LEAST_COST) as i64);
        pool.queue.note_use(now, &ticket.organisation, served);
        pool.drain.note_served(now, cost);
    }

    fn requeue(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        cost: u64,
        request: LiveRequest<Admitted>,
    ) {
        self.enqueue(now, pool, cost, request, QueuePlace::Front);
    }

    /// When the request may be tried again; `None` if its tries or the budgets are used up.
    fn retry_pause(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        sent: &SentRequest,
        failed: &FailedAttempt,
    ) -> Option<Instant> {
        if failed.failure == AttemptFailure::Stale {
            return Some(now);
        }
        let chance = self.chance();
        let ticket = sent.ticket();
        let tries = sent.history().tries;
        let mut at = retry::retry_at(now, tries, failed.retry_after, chance);
        if failed.failure == AttemptFailure::NotConnected && !self.has_sound_server(pool) {
            at = at.max(now + NOBODY_PAUSE.mul_f64(1.0 + chance));
        }
        // Where operators bound the retries that reach servers, a connection that was not made is
        // none: when a server dies, what was about to go there goes elsewhere, and the budget is left
        // for what broke in the middle.
        let reached = failed.failure != AttemptFailure::NotConnected;
        let free = self.budgets.is_strict() && !reached;
        let paid = free
            || !self.is_on(PolicySafeguard::RetryBudget)
            || self.budgets.withdraw(&ticket.organisation);
        if ticket.is_status_call() && (paid || !self.budgets.is_strict()) {
            let unpaid = now + UNPAID_PAUSE.mul_f64(1.0 + chance);
            return Some(if paid { at } else { at.max(unpaid) });
        }
        let fits = at < ticket.deadline || sent.history().relayed > 0;
        let tried = tries >= MAX_TRIES && self.is_on(PolicySafeguard::RetryBudget);
        (paid && fits && !tried).then_some(at)
    }

    fn has_sound_server(&self, pool: PoolIndex) -> bool {
        let members = &self.table.pools[pool].members;
        members.iter().any(|index| self.table.servers[*index].is_usable())
    }

    /// Learns about the server from a failed attempt.
    fn note_server_failure(&mut self, now: Instant, index: ServerIndex, failed: &FailedAttempt) {
        let server = &mut self.table.servers[index];
        let fails = match failed.failure {
            AttemptFailure::Stale => return,
            AttemptFailure::CallerError => {
                server.failures.note_answer();
                return;
            }
            AttemptFailure::Refused | AttemptFailure::Declined => {
                server.window.note_refused(now, failed.retry_after.unwrap_or(FAILURE_PAUSE));
                return;
            }
            AttemptFailure::WrongWeights => {
                server.cache.forget_weights();
                return;
            }
            AttemptFailure::Broken | AttemptFailure::NotConnected => {
                server.in_doubt = true;
                server.failures.note_failure()
            }
            AttemptFailure::ServerError | AttemptFailure::TimedOut => {
                server.failures.note_failure()
            }
        };
        if fails && self.is_on(PolicySafeguard::Outlier) && self.may_eject(index) {
            self.table.servers[index].failures.eject(now);
            self.ejected.insert(index);
        }
    }

    fn may_eject(&self, index: ServerIndex) -> bool {
        self.table.servers[index].pools.iter().all(|pool| {
            let members = &self.table.pools[*pool].members;
            let out = members.iter().filter(|member| {
                let server = &self.table.servers[**member];
                server.failures.is_ejected()
            });
            outlier::may_eject(members.len(), out.count())
        })
    }

    pub(super) fn stir(&mut self, server: ServerIndex) {
        for pool in &self.table.servers[server].pools {
            self.table.pools[*pool].stirred = true;
        }
    }

    pub(super) fn count_retry(&mut self, request: &str, reason: RetryReason) {
        let request = request.to_owned();
        self.actions.push(PolicyAction::CountRetry { request, reason });
    }
}
