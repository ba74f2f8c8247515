//! State of the backend servers and of the pools that they form.

use {
    super::AttemptState,
    crate::{
        ids::{
            AttemptId, FailureDomainId, Incarnation, ModelId, ServerId, SoftwareVersion,
            WeightsVersion,
        },
        policy::{
            PolicyView, RequestWork, ServerHealth, ServerView,
            admission::DrainRate,
            fairness::FairQueue,
            outlier::FailureRecord,
            pacing::ServerPace,
            placement::{AffinityRing, SpeedGauge},
            prefix::{ServerCacheState, ServerIndex},
            queue_delay::QueueDelay,
            server_rest::ServerRest,
            suspect::CrashSite,
            window::ServerWindow,
            work_time::{FigureDecay, WorkTimeRecord},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum age of a report from which the waiting tokens of other daemons are derived.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// How long what an arbiter told applies: engines read the prompts that are granted in less time.
pub(super) const LEASED_LOAD_LIFETIME: Duration = Duration::from_millis(300);

/// Prompt tokens that an engine prefills in one chunk. A more urgent request overtakes only between
/// chunks.
const PREFILL_CHUNK: u64 = 2_048;

/// Priority of a request, 0 being the highest: by class, and within a class short prompts of
/// organisations within their share before the rest. It is also the priority sent to the engine.
pub type Urgency = usize;

/// Number of values of [`Urgency`].
pub const URGENCY_LEVELS: usize = 6;

/// Fraction of other daemons' waiting tokens that is assumed to be served before a request, by
/// urgency, since reports do not include the urgency of waiting requests.
const REMOTE_FRACTION: [f64; URGENCY_LEVELS] = [0.25, 0.5, 0.75, 0.75, 1.0, 1.0];

/// Assumed hit ratio at affinity servers before any measurement.
const INITIAL_AFFINITY_HIT_RATIO: f64 = 0.5;

/// Index of a pool in the dispatcher's server table.
pub type PoolIndex = usize;

/// Waiting tokens of other daemons, and until when they count.
#[derive(Clone, Copy, Debug)]
pub struct RemoteTokens {
    /// The tokens.
    pub tokens: u64,
    /// They have been read by then, or are not known any more.
    pub until: Instant,
}

/// State of one backend server.
#[derive(Debug)]
pub struct ServerState {
    /// Its identifier.
    pub id: ServerId,
    /// Hash of the identifier, identical on every daemon.
    pub name_hash: u64,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Version of its software; empty if unknown.
    pub software: SoftwareVersion,
    /// Whether the current configuration lists it.
    pub listed: bool,
    /// Whether its failure domain is reachable.
    pub reachable: bool,
    /// Last reported membership state; alive until the first report.
    pub health: ServerHealth,
    /// Whether it was shutting down according to its last load report.
    pub leaving: bool,
    /// Whether its responses say that it leaves, whatever the server list says.
    pub announced_leaving: bool,
    /// What is known about its prefix cache.
    pub cache: ServerCacheState,
    /// Whether a connection broke and neither a load report nor membership has reported its
    /// incarnation since. No hits are expected meanwhile.
    pub unverified: bool,
    /// Limit of this daemon's requests in flight.
    pub window: ServerWindow,
    /// No slot is expected to be free before this time, by urgency.
    pub full_until: [Option<Instant>; URGENCY_LEVELS],
    /// When its arbiter last told its load. Arbiters that do so lease by urgency.
    pub leased_load_at: Option<Instant>,
    /// Whether it has asked not to be used for a while.
    pub rest: ServerRest,
    /// The pace of requests, if the server limits them.
    pub pace: Option<ServerPace>,
    /// Measured speed.
    pub speed: SpeedGauge,
    /// How long work takes there at this moment, if it says so.
    pub work_time: WorkTimeRecord,
    /// Delay behind requests of other daemons; measured only while it states its work time.
    pub queue_delay: QueueDelay,
    /// Failures and ejection.
    pub failures: FailureRecord,
    /// This daemon's attempts in flight.
    pub in_flight: u32,
    /// Attempts in flight whose fingerprint was recorded at a crash.
    pub suspects: u32,
    /// Attempts without a first token; their number is bounded by the window.
    pub unanswered: BTreeMap<AttemptId, UnansweredAttempt>,
    /// Total tokens to compute of `unanswered`, by urgency.
    pub pending_tokens: [u64; URGENCY_LEVELS],
    /// Waiting tokens of other daemons.
    pub remote_tokens: Option<RemoteTokens>,
    /// Waiting requests that prefer this server although it has no capacity, in the current pass
    /// over its pool.
    pub waiters: u32,
    /// When its incarnation or weights last changed. Peer reports about its cache may be older.
    pub cache_reset_at: Option<Instant>,
    /// When the latest request was sent to which it has responded.
    pub responded: Option<Instant>,
    /// Pools that it belongs to.
    pub pools: Vec<PoolIndex>,
}

/// An attempt without a first token.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredAttempt {
    /// When it was sent.
    pub sent: Instant,
    /// When its first token is expected.
    pub due: Instant,
    /// Multiple of the usual time that `due` assumes, if the server states one.
    pub work_time: Option<f64>,
    /// Prompt tokens to compute.
    pub tokens: u32,
    /// Priority of its request.
    pub urgency: Urgency,
}

impl ServerState {
    /// Creates the state of a server from its configuration.
    pub fn new(id: &ServerId, view: &ServerView, daemons: usize) -> Self {
        ServerState {
            id: id.clone(),
            name_hash: xxh3_64(id.as_bytes()),
            domain: view.failure_domain.clone(),
            software: view.software.clone(),
            listed: true,
            reachable: true,
            health: ServerHealth::Alive { incarnation: 0 },
            leaving: false,
            announced_leaving: false,
            cache: ServerCacheState::default(),
            unverified: false,
            window: ServerWindow::new(view.slots, daemons),
            full_until: [None; URGENCY_LEVELS],
            leased_load_at: None,
            rest: ServerRest::default(),
            pace: None,
            speed: SpeedGauge::default(),
            work_time: WorkTimeRecord::default(),
            queue_delay: QueueDelay::default(),
            failures: FailureRecord::default(),
            in_flight: 0,
            suspects: 0,
            unanswered: BTreeMap::new(),
            pending_tokens: [0; URGENCY_LEVELS],
            remote_tokens: None,
            waiters: 0,
            cache_reset_at: None,
            responded: None,
            pools: Vec::new(),
        }
    }

    /// Returns whether it may get new requests at all.
    pub fn accepts_requests(&self) -> bool {
        self.listed
            && self.reachable
            && !self.leaving
            && !self.announced_leaving
            && matches!(self.health, ServerHealth::Alive { .. } | ServerHealth::Reserved { .. })
    }

    /// Returns whether it may get new requests and is healthy. An unverified server has just broken
    /// a connection: its incarnation and weights are unknown until its next report, so a stream
    /// started there could not be resumed, and no cache hits are expected.
    pub fn is_usable(&self) -> bool {
        let reserved = matches!(self.health, ServerHealth::Reserved { .. });
        self.accepts_requests() && !reserved && !self.failures.is_ejected() && !self.unverified
    }

    /// Returns whether none of its slots is expected to be free.
    pub fn is_full(&self, now: Instant, urgency: Urgency) -> bool {
        self.full_until[urgency].is_some_and(|until| now < until)
    }

    /// Records that its arbiter refused a request of this urgency. Where arbiters lease by urgency, more
    /// urgent requests may get a slot nevertheless.
    pub fn record_full(&mut self, now: Instant, urgency: Urgency, until: Instant) {
        let is_current = |at: Instant| now.saturating_duration_since(at) < MAX_REPORT_AGE;
        let first = if self.leased_load_at.is_some_and(is_current) { urgency } else { 0 };
        self.full_until[first..].fill(Some(until));
    }

    /// Returns whether its limit, if it has one, allows another request.
    pub fn is_within_limit(&self, now: Instant) -> bool {
        self.pace.as_ref().is_none_or(|pace| pace.is_open(now))
    }

    /// Returns the weights that new responses will be generated with, if known for certain.
    pub fn certain_weights(&self, model: &str) -> Option<&WeightsVersion> {
        if self.unverified { None } else { self.cache.weights(model) }
    }

    /// Returns its incarnation, if known for certain.
    pub fn certain_incarnation(&self) -> Option<Incarnation> {
        if self.unverified { None } else { self.cache.incarnation() }
    }

    /// Returns the identity of its crash, if it crashes now.
    pub fn crash_site(&self, index: ServerIndex) -> CrashSite {
        let incarnation = self.cache.incarnation();
        let mut identity = [0; 16];
        identity[..8].copy_from_slice(&self.name_hash.to_be_bytes());
        identity[8..].copy_from_slice(&incarnation.unwrap_or_default().to_be_bytes());
        CrashSite { crash: xxh3_64(&identity), server: index, incarnation }
    }

    /// Returns the tokens to be computed there before a new request of `urgency`: those of equally
    /// or more urgent requests, and of the others one prefill chunk, which cannot be preempted.
    pub fn tokens_ahead(&self, now: Instant, urgency: Urgency) -> f64 {
        let remote = match self.remote_tokens {
            Some(RemoteTokens { tokens, until }) if now < until => tokens,
            _ => 0,
        };
        let (before, behind) = self.pending_tokens.split_at(urgency + 1);
        let before: u64 = before.iter().sum();
        let behind: u64 = behind.iter().sum();
        (before + behind.min(PREFILL_CHUNK)) as f64 + remote as f64 * REMOTE_FRACTION[urgency]
    }

    /// Returns the delay of the most overdue first token. A server that hangs produces no speed
    /// samples, so its missing responses have to count.
    ///
    /// A machine that has become slower explains a delay in proportion, and the predictions contain
    /// that already.
    pub fn overdue(&self, now: Instant, decay: &FigureDecay) -> Duration {
        let current = self.work_time.expected(now, Duration::ZERO, decay);
        let due = |attempt: &UnansweredAttempt| match (current, attempt.work_time) {
            (Some(current), Some(assumed)) if current > assumed => {
                let expected = attempt.due.saturating_duration_since(attempt.sent);
                attempt.sent + expected.mul_f64(current / assumed)
            }
            _ => attempt.due,
        };
        let due = self.unanswered.values().map(due).min();
        due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }

    /// Records an attempt that was sent.
    pub fn begin_attempt(&mut self, attempt: AttemptId, state: &AttemptState) {
        self.in_flight += 1;
        self.suspects += u32::from(!state.suspects.is_empty());
        self.pending_tokens[state.urgency] += u64::from(state.computed);
        let due = state.sent + state.predicted;
        let unanswered = UnansweredAttempt {
            sent: state.sent,
            due,
            work_time: state.work_time,
            tokens: state.computed,
            urgency: state.urgency,
        };
        self.unanswered.insert(attempt, unanswered);
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, attempt: AttemptId) {
        if let Some(unanswered) = self.unanswered.remove(&attempt) {
            self.pending_tokens[unanswered.urgency] -= u64::from(unanswered.tokens);
        }
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, attempt: AttemptId, state: &AttemptState) {
        self.record_first_token(attempt);
        self.in_flight -= 1;
        self.suspects -= u32::from(!state.suspects.is_empty());
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
    /// Returns the key of the pool that serves `work`.
    pub fn of(work: &RequestWork) -> Self {
        match work {
            RequestWork::Model { model, .. } => PoolKey::Model(model.clone()),
            RequestWork::Service { service } => PoolKey::Service(service.clone()),
        }
    }

    /// Returns the name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            PoolKey::Model(name) | PoolKey::Service(name) => name,
        }
    }
}

/// The servers of one model or service, and the queue of requests for them.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Listed servers, ordered by identifier.
    pub members: Vec<ServerIndex>,
    /// Ring from which affinity servers are chosen.
    pub ring: AffinityRing,
    /// Waiting requests.
    pub queue: FairQueue,
    /// Measured drain rate of the queue.
    pub drain: DrainRate,
    /// Mean number of tokens generated for a response.
    pub output: f64,
    /// Mean speed of the measured servers in prompt tokens per second; `None` until measured.
    pub typical_rate: Option<f64>,
    /// Speed of the fastest measured server in prompt tokens per second; `None` until measured.
    pub fastest_rate: Option<f64>,
    /// Fraction of requests that found a prefix cached at an affinity server although this daemon
    /// had not sent it there before, from 0 to 1.
    pub affinity_hit_ratio: f64,
    /// Mean time from sending a request to its complete response in seconds.
    pub service: f64,
    /// Whether its requests need leases, so that the arbiters of its servers decide on them.
    pub is_leased: bool,
    /// Whether the arbiters of its servers tell their load, so that the next one is chosen by that.
    pub tells_load: bool,
    /// Whether a change may allow a waiting request to be sent.
    pub dirty: bool,
}

/// All servers and pools.
#[derive(Debug, Default)]
pub struct ServerTable {
    /// Servers by index. An entry is reused only after it was unlisted and has no requests in
    /// flight.
    pub servers: Vec<ServerState>,
    /// Indices by identifier, for listed servers only.
    pub by_id: BTreeMap<ServerId, ServerIndex>,
    /// Pools by index. Pools are never removed, since there are few models.
    pub pools: Vec<PoolState>,
    /// Indices by what the pools serve.
    pub by_key: BTreeMap<PoolKey, PoolIndex>,
}

impl ServerTable {
    /// Applies a configuration, retaining the state of servers that stay listed.
    pub fn configure(
        &mut self,
        view: &PolicyView,
        daemons: usize,
        make_queue: impl Fn() -> FairQueue,
    ) {
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
                    queue: make_queue(),
                    service: 1.0,
                    affinity_hit_ratio: INITIAL_AFFINITY_HIT_RATIO,
                    ..Default::default()
                });
                self.pools.len() - 1
            });
            for index in &members {
                self.servers[*index].pools.push(pool);
            }
            let named = members.iter().map(|index| (*index, self.servers[*index].id.as_str()));
            self.pools[pool].ring = AffinityRing::new(named);
            self.pools[pool].members = members;
            self.pools[pool].dirty = true;
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
            self.servers[*index].software.clone_from(&view.software);
            return *index;
        }
        let mut state = ServerState::new(id, view, daemons);
        let free = self.servers.iter().position(|server| !server.listed && server.in_flight == 0);
        let index = match free {
            Some(index) => {
                // Holders of the former server must not count for the new one.
                state.cache = ServerCacheState::replacing(&self.servers[index].cache);
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
