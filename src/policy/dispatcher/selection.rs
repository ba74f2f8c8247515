//! Selects a server for each waiting request, in fair order.

use {
    super::{
        Dispatcher,
        affinity::AffinitySet,
        lifecycle::{Admitted, RequestPhase, StagedRequest},
        peer_fetch::MIN_AFFINITY_TOKENS,
        servers::{PoolIndex, ServerState, Urgency},
    },
    crate::policy::{
        PolicySafeguard, PrefixLevel, RefusalReason, RequestWork, admission,
        bounded_time::bounded,
        fairness::QueuedWork,
        placement::{CandidateCost, SMALL_POOL},
        prefix::ServerIndex,
        server_rest,
        window::WindowPart,
    },
    rand_core::RngCore,
    std::time::{Duration, Instant},
};

/// Maximum waiting requests considered for each free slot. Those before them wait for a server that
/// is better for them by more than the wait.
const MAX_SCANNED: usize = 16;

/// Maximum waiting requests considered of one organisation and class, so that it cannot hide the
/// others.
const MAX_SCANNED_PER_LANE: usize = 4;

/// Maximum requests sent per pool and input, which bounds the time of one call.
const MAX_SENDS: usize = 256;

/// Maximum known holders evaluated for one request.
const MAX_HITS: usize = 6;

/// Maximum affinity servers evaluated for one request.
const MAX_AFFINITY_SERVERS: usize = 8;

/// Prefill time in seconds from which a prompt counts as long: twice that of a typical chat without
/// cache hits.
const LONG_PREFILL: f64 = 1.0;

/// Longest work of which the time is predicted from the moment; longer work takes the mean.
const MAX_WORK_LENGTH: Duration = Duration::from_secs(3_600);

/// An evaluated server for one request.
pub(super) struct Candidate {
    pub(super) server: ServerIndex,
    /// Tokens that the server holds if other daemons send the prefix to the same affinity server; 0
    /// if it is none.
    pub(super) affinity_tokens: u32,
    pub(super) cost: CandidateCost,
    pub(super) hit: u32,
    pub(super) computed: u32,
    pub(super) import: Option<PrefixLevel>,
    /// Server from which missing tokens are fetched.
    pub(super) source: Option<ServerIndex>,
    pub(super) open: bool,
    /// Multiple of the usual time that `cost` assumes, if the server states one.
    pub(super) work_time: Option<f64>,
    pub(super) urgency: Urgency,
}

/// The decision on a waiting request.
enum PlacementDecision {
    Send(Candidate),
    /// It must not be sent yet.
    Wait,
    /// It waits for a busy server, which is still the best choice.
    WaitFor(ServerIndex),
    Refuse(RefusalReason),
}

/// Inputs that are the same for all candidates of one request.
pub(super) struct PlacementQuery<'a> {
    pub(super) request: &'a StagedRequest<Admitted>,
    pub(super) pool: PoolIndex,
    pub(super) hits: Vec<(ServerIndex, u32)>,
    pub(super) affinity: AffinitySet,
    pub(super) suspect: bool,
    pub(super) part: WindowPart,
    pub(super) urgency: Urgency,
}

/// Which servers are eligible. Stricter tiers are tried first.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EligibilityTier {
    /// Healthy servers that have not failed this request.
    Usable,
    /// Also reserved and ejected servers, but none that failed this request or are unverified.
    Responding,
    /// All servers that accept requests.
    Any,
}

impl Dispatcher {
    pub(super) fn place_waiting(&mut self, now: Instant) {
        for pool in 0..self.table.pools.len() {
            if std::mem::take(&mut self.table.pools[pool].dirty) {
                self.place_pool(now, pool);
            }
        }
        self.schedule_recheck(now);
    }

    fn place_pool(&mut self, now: Instant, pool: PoolIndex) {
        self.table.pools[pool].queue.refresh_active_weight(now);
        if !self.table.pools[pool].queue.is_empty() {
            self.record_wants(now, pool);
        }
        for _ in 0..MAX_SENDS {
            self.reset_waiters(pool);
            if self.table.pools[pool].queue.is_empty() || !self.has_room(now, pool) {
                return;
            }
            let waiting =
                self.table.pools[pool].queue.candidates(MAX_SCANNED, MAX_SCANNED_PER_LANE);
            let dequeued = waiting.into_iter().any(|work| self.try_place(now, pool, work));
            if !dequeued {
                return;
            }
        }
        self.table.pools[pool].dirty = true;
    }

    fn reset_waiters(&mut self, pool: PoolIndex) {
        for index in &self.table.pools[pool].members {
            self.table.servers[*index].waiters = 0;
        }
    }

    /// Returns whether any member has capacity, or no member may be used.
    fn has_room(&self, now: Instant, pool: PoolIndex) -> bool {
        let servers = &self.table.servers;
        let members = &self.table.pools[pool].members;
        let is_usable = |index: &&ServerIndex| {
            let server = &servers[**index];
            server.accepts_requests() && !server.rest.is_active(now)
        };
        let mut usable = members.iter().filter(is_usable).peekable();
        usable.peek().is_none()
            || usable.any(|index| self.is_open(now, &servers[*index], WindowPart::Full))
    }

    fn is_open(&self, now: Instant, server: &ServerState, part: WindowPart) -> bool {
        !self.is_enabled(PolicySafeguard::Window)
            || server.window.is_open(now, server.in_flight, part)
    }

    /// Places or refuses a waiting request; returns whether it left the queue.
    fn try_place(&mut self, now: Instant, pool: PoolIndex, work: QueuedWork) -> bool {
        match self.decide_placement(now, pool, work.number) {
            PlacementDecision::Wait => false,
            PlacementDecision::WaitFor(server) => {
                self.table.servers[server].waiters += 1;
                false
            }
            PlacementDecision::Send(candidate) => {
                self.send(now, work.number, candidate);
                true
            }
            PlacementDecision::Refuse(reason) => {
                let retry_after = match reason {
                    RefusalReason::CrashesServers | RefusalReason::NotResumable => None,
                    RefusalReason::ServersLimited => {
                        Some(admission::clamp_retry_after(self.limit_delay(now, pool)))
                    }
                    RefusalReason::ServersResting => {
                        let chance = self.random_unit();
                        Some(server_rest::return_delay(self.rest_delay(now, pool), chance))
                    }
                    _ => Some(self.drain_delay(pool, work.cost)),
                };
                self.refuse_waiting(now, work.number, reason, retry_after);
                true
            }
        }
    }

    fn decide_placement(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        number: u64,
    ) -> PlacementDecision {
        let draws = [self.random.next_u64(), self.random.next_u64()];
        let Some(RequestPhase::Waiting(request)) =
            self.requests.get(&number).map(|entry| &entry.phase)
        else {
            return PlacementDecision::Wait;
        };
        if request.stage.not_before > now {
            return PlacementDecision::Wait;
        }
        if self.has_crashed_servers(now, &request.ticket) {
            return PlacementDecision::Refuse(RefusalReason::CrashesServers);
        }
        let suspected = self.suspected(now, &request.ticket);
        if suspected.iter().any(|fingerprint| self.running_suspects.contains(fingerprint)) {
            return PlacementDecision::Wait;
        }
        let query = self.placement_query(now, pool, request, !suspected.is_empty());
        let candidates = self.candidates(&query, draws);
        let best = [EligibilityTier::Usable, EligibilityTier::Responding, EligibilityTier::Any]
            .into_iter()
            .find_map(|tier| self.best(now, &query, &candidates, tier));
        match best {
            Some(best) => self.decide_for_candidate(now, request, pool, best),
            None => self.decide_without_candidate(now, request, pool),
        }
    }

    fn decide_for_candidate(
        &self,
        now: Instant,
        request: &StagedRequest<Admitted>,
        pool: PoolIndex,
        best: Candidate,
    ) -> PlacementDecision {
        if !best.open {
            return PlacementDecision::WaitFor(best.server);
        }
        let remaining = request.ticket.deadline.saturating_duration_since(now).as_secs_f64();
        let late = best.cost.first_token() > remaining;
        let exempt = request.history.relayed > 0 || request.ticket.is_status_call();
        // An idle server gets the request nevertheless: its estimate may be outdated, and a
        // response updates it.
        let idle = self.table.servers[best.server].in_flight == 0;
        // Arbiters know what their servers run, and this daemon only its own part of it.
        let is_leased = self.table.pools[pool].is_leased;
        if late && !exempt && !idle && !is_leased && self.is_enabled(PolicySafeguard::Admission) {
            return PlacementDecision::Refuse(RefusalReason::DeadlineUnreachable);
        }
        PlacementDecision::Send(best)
    }

    /// Decides on a request without an eligible server.
    fn decide_without_candidate(
        &self,
        now: Instant,
        request: &StagedRequest<Admitted>,
        pool: PoolIndex,
    ) -> PlacementDecision {
        let servers = &self.table.servers;
        // What was generated with expired weights cannot be continued.
        let may_go_on = |server: &ServerState| {
            let work = &request.ticket.work;
            request.history.weights.is_none() || !self.has_expired_weights(now, server, work)
        };
        let available: Vec<&ServerState> = self.table.pools[pool]
            .members
            .iter()
            .map(|index| &servers[*index])
            .filter(|server| server.accepts_requests() && may_go_on(server))
            .collect();
        if let Some(software) = &request.history.software
            && !available.iter().any(|server| server.software == *software)
        {
            return PlacementDecision::Refuse(RefusalReason::NotResumable);
        }
        if let (Some(pin), RequestWork::Model { model, .. }) =
            (&request.history.weights, &request.ticket.work)
            && !available.iter().any(|server| server.certain_weights(model) == Some(pin))
        {
            return PlacementDecision::Refuse(RefusalReason::NotResumable);
        }
        if available.is_empty() && !request.ticket.is_status_call() {
            return PlacementDecision::Refuse(RefusalReason::NoServer);
        }
        let is_resumed = request.history.relayed > 0;
        let rest = available.iter().map(|server| server.rest.remaining(now)).min();
        if let Some(rest) = rest.filter(|rest| !rest.is_zero()) {
            let waits =
                is_resumed || server_rest::is_waited_for(now, rest, request.ticket.deadline);
            return match waits {
                true => PlacementDecision::Wait,
                false => PlacementDecision::Refuse(RefusalReason::ServersResting),
            };
        }
        let is_limited = !available
            .iter()
            .any(|server| !server.rest.is_active(now) && server.is_within_limit(now));
        if is_limited && !is_resumed && now + self.limit_delay(now, pool) >= request.ticket.deadline
        {
            return PlacementDecision::Refuse(RefusalReason::ServersLimited);
        }
        PlacementDecision::Wait
    }

    fn placement_query<'a>(
        &self,
        now: Instant,
        pool: PoolIndex,
        request: &'a StagedRequest<Admitted>,
        suspect: bool,
    ) -> PlacementQuery<'a> {
        let (mut hits, mut affinity) = (Vec::new(), AffinitySet::default());
        if let RequestWork::Model { levels, model, prompt_tokens, .. } = &request.ticket.work {
            let desired = self.view.weights.get(model);
            let checks_identity = self.is_enabled(PolicySafeguard::CacheIdentity);
            hits = self.prefix_table.hits(levels, MAX_HITS, |holder| {
                let server = &self.table.servers[holder.server];
                let certain = !server.unverified && server.cache.allows_hits_for(model, desired);
                (certain || !checks_identity) && server.cache.holds(holder)
            });
            affinity = self.affinity_set(now, pool, levels, *prompt_tokens);
        }
        let over = self.table.pools[pool].queue.is_over_share(now, &request.ticket.organisation);
        let part = if over { WindowPart::Unreserved } else { WindowPart::Full };
        let urgency = self.urgency(pool, request, &hits, over);
        PlacementQuery { request, pool, hits, affinity, suspect, part, urgency }
    }

    /// Returns the priority of a request: long prompts and organisations over their share come
    /// after the rest of their class.
    fn urgency(
        &self,
        pool: PoolIndex,
        request: &StagedRequest<Admitted>,
        hits: &[(ServerIndex, u32)],
        over: bool,
    ) -> Urgency {
        if !self.is_enabled(PolicySafeguard::LongJobs) {
            return 0;
        }
        let long = match &request.ticket.work {
            RequestWork::Model { prompt_tokens, .. } => {
                let held = hits.first().map_or(0, |(_, tokens)| *tokens);
                let rate = self.table.pools[pool].typical_rate.unwrap_or(f64::INFINITY);
                f64::from(prompt_tokens.saturating_sub(held)) / rate > LONG_PREFILL
            }
            RequestWork::Service { .. } => false,
        };
        2 * request.ticket.class as usize + usize::from(over || long)
    }

    fn candidates(&self, query: &PlacementQuery<'_>, draws: [u64; 2]) -> Vec<ServerIndex> {
        let members = &self.table.pools[query.pool].members;
        if members.len() <= SMALL_POOL {
            return members.clone();
        }
        let mut candidates: Vec<ServerIndex> =
            query.affinity.servers.iter().take(MAX_AFFINITY_SERVERS).copied().collect();
        candidates.extend(query.hits.iter().map(|(server, _)| *server));
        for draw in draws {
            // Each draw selects two servers.
            for half in [draw >> 32, draw & 0xffff_ffff] {
                candidates.push(members[half as usize % members.len()]);
            }
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    fn best(
        &self,
        now: Instant,
        query: &PlacementQuery<'_>,
        candidates: &[ServerIndex],
        tier: EligibilityTier,
    ) -> Option<Candidate> {
        let eligible = |index: &&ServerIndex| {
            self.is_eligible(now, query, **index, tier)
                && self.table.servers[**index].is_within_limit(now)
        };
        let members = &self.table.pools[query.pool].members;
        let estimate = |servers: &[ServerIndex]| -> Vec<Candidate> {
            let servers = servers.iter().filter(eligible);
            let estimated = servers.map(|index| self.estimate_candidate(now, query, *index));
            let work = &query.request.ticket.work;
            estimated.filter(|candidate| self.begins_in_time(now, work, candidate)).collect()
        };
        let mut found = estimate(candidates);
        if found.is_empty() && members.len() > candidates.len() {
            // Rarely, no candidate is eligible; then the whole pool is evaluated.
            found = estimate(members);
        }
        let objective = self.view.objective;
        found.into_iter().min_by(|a, b| a.cost.score(objective).total_cmp(&b.cost.score(objective)))
    }

    fn is_eligible(
        &self,
        now: Instant,
        query: &PlacementQuery<'_>,
        index: ServerIndex,
        tier: EligibilityTier,
    ) -> bool {
        let server = &self.table.servers[index];
        let history = &query.request.history;
        if !server.accepts_requests()
            || server.rest.is_active(now)
            || !server.pools.contains(&query.pool)
        {
            return false;
        }
        if query.suspect && server.suspects > 0 {
            return false;
        }
        // What two software versions generate does not fit together.
        if history.software.as_ref().is_some_and(|software| *software != server.software) {
            return false;
        }
        if let (Some(pin), RequestWork::Model { model, .. }) =
            (&history.weights, &query.request.ticket.work)
            && server.certain_weights(model) != Some(pin)
        {
            return false;
        }
        let work = &query.request.ticket.work;
        let has_expired = self.has_expired_weights(now, server, work);
        if has_expired && history.weights.is_some() {
            return false;
        }
        match tier {
            _ if has_expired => tier == EligibilityTier::Any,
            EligibilityTier::Usable => {
                server.is_usable()
                    && !server.is_full(now, query.urgency)
                    && !history.avoided_servers.contains(&index)
            }
            EligibilityTier::Responding => {
                !server.unverified && !history.avoided_servers.contains(&index)
            }
            EligibilityTier::Any => true,
        }
    }

    fn estimate_candidate(
        &self,
        now: Instant,
        query: &PlacementQuery<'_>,
        index: ServerIndex,
    ) -> Candidate {
        let server = &self.table.servers[index];
        let open = self.is_open(now, server, query.part);
        let usual = server.speed.service();
        let service = usual * self.work_time(now, server, usual).unwrap_or(1.0);
        let mut slot_wait = server.window.slot_wait(now, server.in_flight) * service;
        if !open {
            // The time already waited indicates the error of the estimate.
            let position = f64::from(server.waiters + 1);
            let waited = now.saturating_duration_since(query.request.history.arrived);
            slot_wait += position * service / server.window.limit() + waited.as_secs_f64();
        }
        let overdue = match self.is_enabled(PolicySafeguard::Overdue) {
            true => server.overdue(now, &self.figure_decay).as_secs_f64(),
            false => 0.0,
        };
        let work_time = self.work_time(now, server, server.speed.base());
        let base = server.speed.base() * work_time.unwrap_or(1.0);
        let mut candidate = Candidate {
            server: index,
            affinity_tokens: 0,
            cost: CandidateCost {
                slot_wait,
                queue_wait: overdue,
                prefill: 0.0,
                base,
                spillover: false,
                utilization: server.window.utilization(now, server.in_flight),
            },
            hit: 0,
            computed: 0,
            import: None,
            source: None,
            open,
            work_time,
            urgency: query.urgency,
        };
        match &query.request.ticket.work {
            RequestWork::Model { .. } => self.estimate_prompt(now, query, &mut candidate),
            RequestWork::Service { .. } => {
                let queued = f64::from(server.in_flight);
                candidate.cost.queue_wait += base * queued / f64::from(server.window.slots());
            }
        }
        candidate
    }

    /// Returns the multiple of the usual time expected for work of `length` usual seconds, if the
    /// server states one.
    fn work_time(&self, now: Instant, server: &ServerState, length: f64) -> Option<f64> {
        let length = bounded(length, MAX_WORK_LENGTH);
        server.work_time.expected(now, length, &self.figure_decay)
    }

    fn estimate_prompt(&self, now: Instant, query: &PlacementQuery<'_>, candidate: &mut Candidate) {
        let RequestWork::Model { levels, prompt_tokens, .. } = &query.request.ticket.work else {
            return;
        };
        let (index, prompt_tokens) = (candidate.server, *prompt_tokens);
        let (server, pool) = (&self.table.servers[index], &self.table.pools[query.pool]);
        let hit = query.hits.iter().find(|(server, _)| *server == index);
        let hit = hit.map_or(0, |(_, tokens)| (*tokens).min(prompt_tokens));
        let rate = server.speed.rate(pool.typical_rate);
        candidate.hit = hit;
        candidate.computed = prompt_tokens - hit;
        let ahead = server.tokens_ahead(now, query.urgency);
        let length = (ahead + f64::from(candidate.computed)) / rate;
        candidate.work_time = self.work_time(now, server, length);
        let rate = rate / candidate.work_time.unwrap_or(1.0);
        candidate.cost.queue_wait += ahead / rate;
        let has_affinity = query.affinity.servers.contains(&index);
        // A prefix stays where it is held: the delay there is mostly that of its own requests, and if
        // each of many daemons moved it, its copies would evict other prefixes.
        let is_kept = hit > 0 || has_affinity && query.affinity.tokens >= MIN_AFFINITY_TOKENS;
        if let Some(ratio) = candidate.work_time.filter(|_| !is_kept) {
            candidate.cost.queue_wait += server.queue_delay.expected() * ratio;
        }
        // Nothing but the client's word makes the parts of a prompt add up to it.
        let affinity_tokens = query.affinity.tokens.min(prompt_tokens);
        candidate.affinity_tokens = if has_affinity { affinity_tokens } else { 0 };
        // Prefixes that other daemons have sent to this affinity server are held there with the
        // measured hit ratio.
        let likely =
            f64::from(candidate.affinity_tokens.saturating_sub(hit)) * pool.affinity_hit_ratio;
        candidate.cost.prefill = (f64::from(candidate.computed) - likely) / rate;
        candidate.cost.spillover = !has_affinity && hit < query.affinity.tokens;
        if !has_affinity && !self.is_enabled(PolicySafeguard::PrefixReplication) {
            candidate.cost.slot_wait += f64::from(u16::MAX);
        }
        self.estimate_fetch(now, query, candidate, rate);
        if let Some((level, seconds)) = self.import(levels, hit, rate) {
            let rest = f64::from(prompt_tokens.saturating_sub(level.tokens));
            candidate.cost.prefill = seconds + rest / rate;
            candidate.import = Some(level);
        }
    }
}
