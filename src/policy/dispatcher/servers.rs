//! What the dispatcher knows of each backend server, and the pools they form.

use {
    super::AttemptState,
    crate::{
        ids::{AttemptId, FailureDomainId, Incarnation, ModelId, ServerId, WeightsVersion},
        policy::{
            PolicyView, RequestWork, ServerHealth, ServerView,
            admission::DrainGauge,
            fairness::FairQueue,
            outlier::FailureRecord,
            placement::{HomeRing, SpeedGauge},
            prefix::{CacheKnowledge, ServerIndex},
            window::ServerWindow,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Tokens that other daemons have waiting there count this long after the report.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Prompt tokens that engines compute at one go; what is more urgent passes only between pieces.
const ENGINE_PIECE: u64 = 2_048;

/// How urgent a request is among all: by class, and within a class short prompts of organisations
/// within their share before the rest. It is the priority that the engine is told.
pub type Urgency = usize;

/// Values of [`Urgency`].
pub const URGENCIES: usize = 6;

/// The part of other daemons' waiting tokens that is taken to come before a request, by urgency;
/// reports do not tell how urgent what waits is.
const FOREIGN_PART: [f64; URGENCIES] = [0.25, 0.5, 0.75, 0.75, 1.0, 1.0];

/// Trust in homes before any answer.
const FIRST_TRUST: f64 = 0.5;

/// Position of a pool in the dispatcher's table.
pub type PoolIndex = usize;

/// One backend server.
#[derive(Debug)]
pub struct ServerState {
    /// Its name.
    pub id: ServerId,
    /// Hash of its name, the same at each daemon.
    pub name_hash: u64,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Whether the configuration in force lists it.
    pub listed: bool,
    /// Whether its failure domain can be reached.
    pub reachable: bool,
    /// What membership last said; alive until told otherwise.
    pub health: ServerHealth,
    /// Whether it said itself that it is leaving.
    pub leaving: bool,
    /// What it is thought to hold.
    pub cache: CacheKnowledge,
    /// A connection broke and no sign of the same life came since: no hit is expected.
    pub in_doubt: bool,
    /// How much may be in flight there.
    pub window: ServerWindow,
    /// How fast it is.
    pub speed: SpeedGauge,
    /// How it failed.
    pub failures: FailureRecord,
    /// Attempts in flight of this daemon.
    pub in_flight: u32,
    /// Suspected requests among them.
    pub suspects: u32,
    /// Attempts without a first token yet: when each was sent, its predicted first-token time and
    /// the tokens it has to compute. Bounded by the window.
    pub unanswered: BTreeMap<AttemptId, UnansweredAttempt>,
    /// Sum of the tokens in `unanswered` by urgency.
    pub pending_tokens: [u64; URGENCIES],
    /// Tokens of other daemons that wait there, and when that was reported.
    pub foreign_tokens: Option<(u64, Instant)>,
    /// Waiting requests that were found to wait for it in the present look at its pool.
    pub waiters: u32,
    /// When its life or weights last changed; what peers tell of its cache may be older.
    pub reborn: Option<Instant>,
    /// Pools it belongs to.
    pub pools: Vec<PoolIndex>,
}

/// An attempt that waits for its first token.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredAttempt {
    /// When it was sent.
    pub sent: Instant,
    /// When its first token was expected.
    pub due: Instant,
    /// Prompt tokens it has to compute.
    pub tokens: u32,
    /// How urgent it is.
    pub urgency: Urgency,
}

impl ServerState {
    /// A server as the configuration names it.
    pub fn new(id: &ServerId, view: &ServerView, daemons: usize) -> Self {
        ServerState {
            id: id.clone(),
            name_hash: xxh3_64(id.as_bytes()),
            domain: view.failure_domain.clone(),
            listed: true,
            reachable: true,
            health: ServerHealth::Alive { incarnation: 0 },
            leaving: false,
            cache: CacheKnowledge::default(),
            in_doubt: false,
            window: ServerWindow::new(view.slots, daemons),
            speed: SpeedGauge::default(),
            failures: FailureRecord::default(),
            in_flight: 0,
            suspects: 0,
            unanswered: BTreeMap::new(),
            pending_tokens: [0; URGENCIES],
            foreign_tokens: None,
            waiters: 0,
            reborn: None,
            pools: Vec::new(),
        }
    }

    /// Whether it may get new work at all.
    pub fn takes_work(&self) -> bool {
        self.listed
            && self.reachable
            && !self.leaving
            && matches!(self.health, ServerHealth::Alive { .. } | ServerHealth::Reserved { .. })
    }

    /// Whether it may get new work and works. A server in doubt has just broken a connection: its
    /// life and weights are unknown until its next report, so a stream begun there could not be
    /// resumed, and its cache counts for nothing.
    pub fn is_usable(&self) -> bool {
        let reserved = matches!(self.health, ServerHealth::Reserved { .. });
        self.takes_work() && !reserved && !self.failures.is_ejected() && !self.in_doubt
    }

    /// Weights that an answer from there now comes from, if known beyond doubt.
    pub fn certain_weights(&self, model: &str) -> Option<&WeightsVersion> {
        if self.in_doubt { None } else { self.cache.weights(model) }
    }

    /// The life it is in, if known beyond doubt.
    pub fn certain_incarnation(&self) -> Option<Incarnation> {
        if self.in_doubt { None } else { self.cache.incarnation() }
    }

    /// Tokens to be computed there before a new request of `urgency`: those as urgent and more
    /// urgent ones, and of the others the piece that an engine computes before it looks again.
    pub fn tokens_ahead(&self, now: Instant, urgency: Urgency) -> f64 {
        let foreign = match self.foreign_tokens {
            Some((tokens, at)) if now.saturating_duration_since(at) < REPORT_LIFE => tokens,
            _ => 0,
        };
        let (before, behind) = self.pending_tokens.split_at(urgency + 1);
        let before: u64 = before.iter().sum();
        let behind: u64 = behind.iter().sum();
        (before + behind.min(ENGINE_PIECE)) as f64 + foreign as f64 * FOREIGN_PART[urgency]
    }

    /// How long the most overdue first token is overdue: a server that hangs sends no sample of
    /// its slowness, so its silence has to count.
    pub fn overdue(&self, now: Instant) -> Duration {
        let due = self.unanswered.values().map(|attempt| attempt.due).min();
        due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }

    /// Notes an attempt that was sent.
    pub fn begin(&mut self, attempt: AttemptId, state: &AttemptState) {
        self.in_flight += 1;
        self.suspects += u32::from(state.suspect.is_some());
        self.pending_tokens[state.urgency] += u64::from(state.computed);
        let due = state.sent + state.predicted;
        let unanswered = UnansweredAttempt {
            sent: state.sent,
            due,
            tokens: state.computed,
            urgency: state.urgency,
        };
        self.unanswered.insert(attempt, unanswered);
    }

    /// Notes an attempt's first token.
    pub fn answer(&mut self, attempt: AttemptId) {
        if let Some(unanswered) = self.unanswered.remove(&attempt) {
            self.pending_tokens[unanswered.urgency] -= u64::from(unanswered.tokens);
        }
    }

    /// Notes an attempt's end.
    pub fn end(&mut self, attempt: AttemptId, state: &AttemptState) {
        self.answer(attempt);
        self.in_flight -= 1;
        self.suspects -= u32::from(state.suspect.is_some());
    }
}

/// What a pool serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolKey {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(String),
}

impl PoolKey {
    /// The pool that `work` is for.
    pub fn of(work: &RequestWork) -> Self {
        match work {
            RequestWork::Model { model, .. } => PoolKey::Model(model.clone()),
            RequestWork::Service { service } => PoolKey::Service(service.clone()),
        }
    }

    /// The name in digests.
    pub fn name(&self) -> &str {
        match self {
            PoolKey::Model(name) | PoolKey::Service(name) => name,
        }
    }
}

/// The servers of one model or service and the queue before them.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Servers that the configuration lists, in the order of their names.
    pub members: Vec<ServerIndex>,
    /// Where prefixes are at home among them.
    pub ring: HomeRing,
    /// Who waits.
    pub queue: FairQueue,
    /// How fast the queue drains.
    pub drain: DrainGauge,
    /// Mean tokens generated for an answer.
    pub output: f64,
    /// Mean speed of the measured servers.
    pub typical_rate: Option<f64>,
    /// Speed of the fastest measured server.
    pub fastest_rate: Option<f64>,
    /// How often a prefix sent home for the first time from here was held there, 0 to 1.
    pub home_trust: f64,
    /// Mean time a request stays at a server in seconds.
    pub service: f64,
    /// Whether something changed that may let a waiting request go.
    pub stirred: bool,
}

/// All servers and pools.
#[derive(Debug, Default)]
pub struct ServerTable {
    /// By index. An entry is reused only once it is unlisted and has nothing in flight.
    pub servers: Vec<ServerState>,
    /// Index by name; listed servers only.
    pub by_id: BTreeMap<ServerId, ServerIndex>,
    /// By index; pools stay for the daemon's life, as models are few.
    pub pools: Vec<PoolState>,
    /// Index by what they serve.
    pub by_key: BTreeMap<PoolKey, PoolIndex>,
}

impl ServerTable {
    /// Takes over a configuration; what is known of servers that stay is kept.
    pub fn configure(&mut self, view: &PolicyView, daemons: usize, make: impl Fn() -> FairQueue) {
        self.unlist(view);
        for (id, server) in &view.servers {
            let index = self.list(id, server, daemons);
            self.servers[index].window.resize(server.slots, daemons);
        }
        let mut members: BTreeMap<PoolKey, Vec<ServerIndex>> =
            self.by_key.keys().map(|key| (key.clone(), Vec::new())).collect();
        for (id, server) in &view.servers {
            let models = server.models.iter().cloned().map(PoolKey::Model);
            let service = server.service.iter().cloned().map(PoolKey::Service);
            for key in models.chain(service).collect::<BTreeSet<_>>() {
                members.entry(key).or_default().push(self.by_id[id]);
            }
        }
        for (key, members) in members {
            let pool = *self.by_key.entry(key).or_insert_with(|| {
                self.pools.push(PoolState {
                    queue: make(),
                    service: 1.0,
                    home_trust: FIRST_TRUST,
                    ..Default::default()
                });
                self.pools.len() - 1
            });
            for index in &members {
                self.servers[*index].pools.push(pool);
            }
            let named = members.iter().map(|index| (*index, self.servers[*index].id.as_str()));
            self.pools[pool].ring = HomeRing::new(named);
            self.pools[pool].members = members;
            self.pools[pool].stirred = true;
        }
    }

    fn unlist(&mut self, view: &PolicyView) {
        for server in &mut self.servers {
            server.pools.clear();
            if server.listed && !view.servers.contains_key(&server.id) {
                server.listed = false;
                self.by_id.remove(&server.id);
            }
        }
    }

    fn list(&mut self, id: &ServerId, view: &ServerView, daemons: usize) -> ServerIndex {
        if let Some(index) = self.by_id.get(id) {
            self.servers[*index].domain.clone_from(&view.failure_domain);
            return *index;
        }
        let mut state = ServerState::new(id, view, daemons);
        let free = self.servers.iter().position(|server| !server.listed && server.in_flight == 0);
        let index = match free {
            Some(index) => {
                // The former server's holdings must not pass for the new one's.
                state.cache = CacheKnowledge::successor(&self.servers[index].cache);
                self.servers[index] = state;
                index
            }
            None => {
                self.servers.push(state);
                self.servers.len() - 1
            }
        };
        self.by_id.insert(id.clone(), index);
        index
    }
}
