//! Gives waiting requests to servers, in fair order, each to the best server for it.

use {
    super::{
        Dispatcher,
        homes::HomeSet,
        lifecycle::{Admitted, LiveRequest, RequestPhase},
        servers::{PoolIndex, ServerState, Urgency},
    },
    crate::policy::{
        PolicySafeguard, PrefixLevel, RefusalReason, RequestWork,
        fairness::QueuedWork,
        placement::{CandidateCost, SMALL_POOL},
        prefix::ServerIndex,
        window::WindowPart,
    },
    rand_core::RngCore,
    std::time::Instant,
};

/// Waiting requests looked at for one place: those before it wait for a server that is better for
/// them by more than the wait.
const LOOK_AHEAD: usize = 16;

/// … of one organisation and class, so that one of them cannot hide the others.
const LOOK_DEEP: usize = 4;

/// Sends of one input: bounds the time that one call takes.
const MAX_SENDS: usize = 256;

/// Known holders weighed for one request.
const MAX_HITS: usize = 6;

/// Homes weighed for one request.
const MAX_HOMES: usize = 8;

/// A prefill longer than this, in seconds, makes a long prompt: twice what a chat's usual miss takes.
const LONG_PREFILL: f64 = 1.0;

/// What was found best for one request.
pub(super) struct Candidate {
    pub(super) server: ServerIndex,
    /// Tokens held there if the other daemons, too, send this prefix home.
    pub(super) home_tokens: u32,
    pub(super) cost: CandidateCost,
    pub(super) hit: u32,
    pub(super) computed: u32,
    pub(super) import: Option<PrefixLevel>,
    /// Where it fetches what it lacks.
    pub(super) source: Option<ServerIndex>,
    pub(super) open: bool,
    pub(super) urgency: Urgency,
}

/// What to do with one waiting request.
enum Choice {
    Send(Candidate),
    /// It must not run beside what runs now, or not yet.
    Wait,
    /// A busy server is still the best for it.
    WaitFor(ServerIndex),
    Refuse(RefusalReason),
}

/// What is the same for all candidates of one request.
pub(super) struct Asked<'a> {
    pub(super) request: &'a LiveRequest<Admitted>,
    pub(super) pool: PoolIndex,
    pub(super) hits: Vec<(ServerIndex, u32)>,
    pub(super) homes: HomeSet,
    pub(super) suspect: bool,
    pub(super) part: WindowPart,
    pub(super) urgency: Urgency,
}

/// How choosy a look at the candidates is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pickiness {
    /// No server that failed this request, is ejected, or is held back.
    Sound,
    /// Held back or ejected ones as well, but none that failed this request or whose connections
    /// just broke.
    Answering,
    /// Any that takes work.
    Any,
}

impl Dispatcher {
    pub(super) fn place_waiting(&mut self, now: Instant) {
        for pool in 0..self.table.pools.len() {
            if std::mem::take(&mut self.table.pools[pool].stirred) {
                self.place_pool(now, pool);
            }
        }
        self.plan_look(now);
    }

    fn place_pool(&mut self, now: Instant, pool: PoolIndex) {
        self.table.pools[pool].queue.note_active(now);
        for _ in 0..MAX_SENDS {
            self.forget_waiters(pool);
            if self.table.pools[pool].queue.is_empty() || !self.has_room(now, pool) {
                return;
            }
            let waiting = self.table.pools[pool].queue.candidates(LOOK_AHEAD, LOOK_DEEP);
            let moved = waiting.into_iter().any(|work| self.try_place(now, pool, work));
            if !moved {
                return;
            }
        }
        self.table.pools[pool].stirred = true;
    }

    fn forget_waiters(&mut self, pool: PoolIndex) {
        for index in &self.table.pools[pool].members {
            self.table.servers[*index].waiters = 0;
        }
    }

    /// Whether any member could take a request, or none is left to wait for.
    fn has_room(&self, now: Instant, pool: PoolIndex) -> bool {
        let servers = &self.table.servers;
        let members = &self.table.pools[pool].members;
        let mut usable = members.iter().filter(|index| servers[**index].takes_work()).peekable();
        usable.peek().is_none()
            || usable.any(|index| self.is_open(now, &servers[*index], WindowPart::Whole))
    }

    fn is_open(&self, now: Instant, server: &ServerState, part: WindowPart) -> bool {
        !self.is_on(PolicySafeguard::Window) || server.window.is_open(now, server.in_flight, part)
    }

    /// True if the request left the queue.
    fn try_place(&mut self, now: Instant, pool: PoolIndex, work: QueuedWork) -> bool {
        match self.choose(now, pool, work.number) {
            Choice::Wait => false,
            Choice::WaitFor(server) => {
                self.table.servers[server].waiters += 1;
                false
            }
            Choice::Send(candidate) => {
                self.send(now, work.number, candidate);
                true
            }
            Choice::Refuse(reason) => {
                let pause = match reason {
                    RefusalReason::CrashesServers | RefusalReason::NotResumable => None,
                    _ => Some(self.drain_pause(pool, work.cost)),
                };
                self.refuse_waiting(now, work.number, reason, pause);
                true
            }
        }
    }

    fn choose(&mut self, now: Instant, pool: PoolIndex, number: u64) -> Choice {
        let draws = [self.random.next_u64(), self.random.next_u64()];
        let Some(RequestPhase::Waiting(request)) =
            self.requests.get(&number).map(|entry| &entry.phase)
        else {
            return Choice::Wait;
        };
        if request.stage.not_before > now {
            return Choice::Wait;
        }
        let fingerprint = request.ticket.fingerprint;
        if self.is_convicted(now, fingerprint) {
            return Choice::Refuse(RefusalReason::CrashesServers);
        }
        let suspect =
            self.is_on(PolicySafeguard::Suspect) && self.suspects.strikes(now, fingerprint) > 0;
        if suspect && self.running_suspects.contains(&fingerprint) {
            return Choice::Wait;
        }
        let asked = self.ask(now, pool, request, suspect);
        let candidates = self.candidates(&asked, draws);
        let best = [Pickiness::Sound, Pickiness::Answering, Pickiness::Any]
            .into_iter()
            .find_map(|pickiness| self.best(now, &asked, &candidates, pickiness));
        match best {
            Some(best) => self.judge_best(now, request, best),
            None => self.without_server(request, pool),
        }
    }

    fn judge_best(&self, now: Instant, request: &LiveRequest<Admitted>, best: Candidate) -> Choice {
        if !best.open {
            return Choice::WaitFor(best.server);
        }
        let left = request.ticket.deadline.saturating_duration_since(now).as_secs_f64();
        let late = best.cost.first_token() > left;
        let exempt = request.history.relayed > 0 || request.ticket.is_status_call();
        // An idle server is asked all the same: its estimate may be old, and an answer renews it.
        let idle = self.table.servers[best.server].in_flight == 0;
        if late && !exempt && !idle && self.is_on(PolicySafeguard::Admission) {
            return Choice::Refuse(RefusalReason::DeadlineUnreachable);
        }
        Choice::Send(best)
    }

    /// No candidate may take the request.
    fn without_server(&self, request: &LiveRequest<Admitted>, pool: PoolIndex) -> Choice {
        let servers = &self.table.servers;
        let takers: Vec<&ServerState> = self.table.pools[pool]
            .members
            .iter()
            .map(|index| &servers[*index])
            .filter(|server| server.takes_work())
            .collect();
        if let (Some(pin), RequestWork::Model { model, .. }) =
            (&request.history.weights, &request.ticket.work)
            && !takers.iter().any(|server| server.certain_weights(model) == Some(pin))
        {
            return Choice::Refuse(RefusalReason::NotResumable);
        }
        if takers.is_empty() && !request.ticket.is_status_call() {
            return Choice::Refuse(RefusalReason::NoServer);
        }
        Choice::Wait
    }

    fn ask<'a>(
        &self,
        now: Instant,
        pool: PoolIndex,
        request: &'a LiveRequest<Admitted>,
        suspect: bool,
    ) -> Asked<'a> {
        let (mut hits, mut homes) = (Vec::new(), HomeSet::default());
        if let RequestWork::Model { levels, model, prompt_tokens, .. } = &request.ticket.work {
            let desired = self.view.weights.get(model);
            let checks = self.is_on(PolicySafeguard::CacheIdentity);
            hits = self.holdings.hits(levels, MAX_HITS, |holding| {
                let server = &self.table.servers[holding.server];
                let sure = !server.in_doubt && server.cache.counts_for(model, desired);
                (sure || !checks) && server.cache.holds(holding)
            });
            homes = self.homes(now, pool, levels, *prompt_tokens);
        }
        let over = self.table.pools[pool].queue.is_over_share(now, &request.ticket.organisation);
        let part = if over { WindowPart::Unreserved } else { WindowPart::Whole };
        let urgency = self.urgency(pool, request, &hits, over);
        Asked { request, pool, hits, homes, suspect, part, urgency }
    }

    /// Long prompts go behind short ones of their class, as do organisations over their share.
    fn urgency(
        &self,
        pool: PoolIndex,
        request: &LiveRequest<Admitted>,
        hits: &[(ServerIndex, u32)],
        over: bool,
    ) -> Urgency {
        if !self.is_on(PolicySafeguard::LongJobs) {
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

    fn candidates(&self, asked: &Asked<'_>, draws: [u64; 2]) -> Vec<ServerIndex> {
        let members = &self.table.pools[asked.pool].members;
        if members.len() <= SMALL_POOL {
            return members.clone();
        }
        let mut candidates: Vec<ServerIndex> =
            asked.homes.servers.iter().take(MAX_HOMES).copied().collect();
        candidates.extend(asked.hits.iter().map(|(server, _)| *server));
        for draw in draws {
            // Two servers from each draw.
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
        asked: &Asked<'_>,
        candidates: &[ServerIndex],
        pickiness: Pickiness,
    ) -> Option<Candidate> {
        let fitting = |index: &&ServerIndex| self.fits(asked, **index, pickiness);
        let members = &self.table.pools[asked.pool].members;
        let mut found: Vec<Candidate> =
            candidates.iter().filter(fitting).map(|index| self.weigh(now, asked, *index)).collect();
        if found.is_empty() && members.len() > candidates.len() {
            // Rare: all candidates are out, so look at the whole pool.
            found = members
                .iter()
                .filter(fitting)
                .map(|index| self.weigh(now, asked, *index))
                .collect();
        }
        let objective = self.view.objective;
        found.into_iter().min_by(|a, b| a.cost.score(objective).total_cmp(&b.cost.score(objective)))
    }

    fn fits(&self, asked: &Asked<'_>, index: ServerIndex, pickiness: Pickiness) -> bool {
        let server = &self.table.servers[index];
        let history = &asked.request.history;
        if !server.takes_work() || !server.pools.contains(&asked.pool) {
            return false;
        }
        if asked.suspect && server.suspects > 0 {
            return false;
        }
        if let (Some(pin), RequestWork::Model { model, .. }) =
            (&history.weights, &asked.request.ticket.work)
            && server.certain_weights(model) != Some(pin)
        {
            return false;
        }
        match pickiness {
            Pickiness::Sound => server.is_usable() && !history.avoid.contains(&index),
            Pickiness::Answering => !server.in_doubt && !history.avoid.contains(&index),
            Pickiness::Any => true,
        }
    }

    fn weigh(&self, now: Instant, asked: &Asked<'_>, index: ServerIndex) -> Candidate {
        let server = &self.table.servers[index];
        let open = self.is_open(now, server, asked.part);
        let mut place = server.window.slot_wait(now, server.in_flight) * server.speed.service();
        if !open {
            // What it has waited in vain so far shows by how much the estimate errs.
            let turn = f64::from(server.waiters + 1);
            let waited = now.saturating_duration_since(asked.request.history.arrived);
            place += turn * server.speed.service() / server.window.limit() + waited.as_secs_f64();
        }
        let overdue = match self.is_on(PolicySafeguard::Overdue) {
            true => server.overdue(now).as_secs_f64(),
            false => 0.0,
        };
        let base = server.speed.base();
        let mut candidate = Candidate {
            server: index,
            home_tokens: 0,
            cost: CandidateCost {
                place,
                wait: overdue,
                prefill: 0.0,
                base,
                stray: false,
                occupied: server.window.occupied(now, server.in_flight),
            },
            hit: 0,
            computed: 0,
            import: None,
            source: None,
            open,
            urgency: asked.urgency,
        };
        match &asked.request.ticket.work {
            RequestWork::Model { .. } => self.weigh_prompt(now, asked, &mut candidate),
            RequestWork::Service { .. } => {
                let queued = f64::from(server.in_flight);
                candidate.cost.wait += base * queued / f64::from(server.window.slots());
            }
        }
        candidate
    }

    fn weigh_prompt(&self, now: Instant, asked: &Asked<'_>, candidate: &mut Candidate) {
        let RequestWork::Model { levels, prompt_tokens, .. } = &asked.request.ticket.work else {
            return;
        };
        let (index, prompt_tokens) = (candidate.server, *prompt_tokens);
        let (server, pool) = (&self.table.servers[index], &self.table.pools[asked.pool]);
        let hit = asked.hits.iter().find(|(server, _)| *server == index);
        let hit = hit.map_or(0, |(_, tokens)| (*tokens).min(prompt_tokens));
        let rate = server.speed.rate(pool.typical_rate);
        candidate.hit = hit;
        candidate.computed = prompt_tokens - hit;
        candidate.cost.wait += server.tokens_ahead(now, asked.urgency) / rate;
        let at_home = asked.homes.servers.contains(&index);
        candidate.home_tokens = if at_home { asked.homes.tokens } else { 0 };
        // What others have sent home is likely held there, as likely as it was found to be.
        let likely = f64::from(candidate.home_tokens.saturating_sub(hit)) * pool.home_trust;
        candidate.cost.prefill = (f64::from(candidate.computed) - likely) / rate;
        candidate.cost.stray = !at_home && hit < asked.homes.tokens;
        if !at_home && !self.is_on(PolicySafeguard::PrefixReplication) {
            candidate.cost.place += f64::from(u16::MAX);
        }
        self.weigh_fetch(asked, candidate, rate);
        if let Some((level, seconds)) = self.import(levels, hit, rate) {
            let rest = f64::from(prompt_tokens.saturating_sub(level.tokens));
            candidate.cost.prefill = seconds + rest / rate;
            candidate.import = Some(level);
        }
    }
}
