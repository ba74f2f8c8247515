//! What the dispatcher is told.

use {
    crate::{
        ids::{
            AdapterId, AttemptId, FailureDomainId, Incarnation, ModelId, OrganisationId, RequestId,
            Revision, ServerId, ServiceId, VmId, WeightsVersion,
        },
        inventory::{DecisionObjective, RequestClass, ServerKind},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Instant},
};

/// Everything that can happen to a dispatcher.
#[derive(Clone, Debug)]
pub enum PolicyInput {
    /// A configuration came into force.
    Configure(Arc<PolicyView>),
    /// A caller's request passed the earlier filters and waits for a decision.
    Arrive(RequestTicket),
    /// The first token of an attempt arrived from the engine.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that the engine took from its cache, when it said so.
        cached_tokens: Option<u32>,
    },
    /// More tokens of an attempt arrived; `tokens` counts the new ones.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// New tokens since the last report.
        tokens: u32,
    },
    /// An attempt ended whole.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that the engine took from its cache, when it said so.
        cached_tokens: Option<u32>,
        /// Tokens generated in all.
        output_tokens: u32,
    },
    /// An attempt ended without a whole answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// What went wrong.
        failure: AttemptFailure,
        /// Tokens already passed on to the caller; they must not be sent twice.
        relayed_tokens: u32,
        /// What the server asked to wait before the next try, if it did.
        retry_after: Option<std::time::Duration>,
    },
    /// The caller went away.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An engine's or service's own account of its load; it lags.
    Load(LoadReport),
    /// What engines publish of their caches; late and with gaps.
    Cache(CacheEvent),
    /// What membership knows of a server.
    Health {
        /// The server.
        server: ServerId,
        /// Its health.
        health: ServerHealth,
    },
    /// Failure domains that can be reached from here now, the own one included.
    Reachable {
        /// The domains.
        domains: Vec<FailureDomainId>,
    },
    /// A digest from another daemon.
    Digest(DomainDigest),
    /// Engines share a store of KV cache, or do not now.
    CacheStoreLink {
        /// Tokens a second of the link of the engines' common store that are this daemon's part;
        /// `None` if there is no store or it cannot be reached.
        rate: Option<f64>,
    },
    /// Engines can fetch cached prefixes from each other.
    PeerFetch {
        /// Tokens a second that one of them gets from another; `None` if they cannot.
        rate: Option<f64>,
        /// The newest weights that operators have named, by model. A server with others is about
        /// to change them.
        newest: BTreeMap<ModelId, WeightsVersion>,
    },
    /// Retries that this daemon may have saved up, where operators bound them for all daemons
    /// together.
    RetryReserve {
        /// The most that can be saved; at least 1.
        retries: f64,
    },
    /// The probe that [`super::PolicyAction::Probe`] asked for ended.
    Probed {
        /// The server.
        server: ServerId,
        /// Whether it answered.
        answered: bool,
    },
    /// Time passed; sent when `next_wakeup` is due.
    Wake,
}

/// What the dispatcher needs of a configuration.
#[derive(Clone, Debug, Default)]
pub struct PolicyView {
    /// The revision it was made from.
    pub revision: Revision,
    /// What placement optimises.
    pub objective: DecisionObjective,
    /// Backend servers that requests may be sent to.
    pub servers: BTreeMap<ServerId, ServerView>,
    /// Weights of organisations that differ from 1.0; each positive.
    pub shares: BTreeMap<OrganisationId, f64>,
    /// Daemons by failure domain with their relative capacity, this one included.
    pub daemons: BTreeMap<FailureDomainId, BTreeMap<VmId, f64>>,
    /// Desired weights by model; cached blocks of other versions never count.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
}

/// One backend server as the dispatcher sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// What it does.
    pub kind: ServerKind,
    /// Models it may run.
    pub models: Vec<ModelId>,
    /// The service it offers.
    pub service: Option<ServiceId>,
    /// Requests it runs at once; at least 1.
    pub slots: u32,
}

/// One request that waits for a decision.
#[derive(Clone, Debug)]
pub struct RequestTicket {
    /// Its id.
    pub request: RequestId,
    /// Who sent it.
    pub organisation: OrganisationId,
    /// How urgent it is.
    pub class: RequestClass,
    /// When the caller stops waiting for the first token (or for the whole, if not streamed).
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// A hash of the whole request, the same for each resend of it; keys the crash suspects.
    pub fingerprint: u64,
    /// What is to be done.
    pub work: RequestWork,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// A model's answer.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter, if any.
        adapter: Option<AdapterId>,
        /// Prefix levels, shortest first; `tokens` grow from level to level.
        levels: Vec<PrefixLevel>,
        /// Tokens of the whole prompt (estimated).
        prompt_tokens: u32,
        /// Upper limit of generated tokens.
        max_output_tokens: u32,
    },
    /// A plain service's answer.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// One level of a prompt's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixLevel {
    /// Chained hash of everything up to here, seeded by organisation, model and adapter.
    pub hash: u64,
    /// Tokens up to here.
    pub tokens: u32,
}

/// Why an attempt ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// No connection was made: not a byte reached the server.
    NotConnected,
    /// The server refused the request before running it (429 or 503).
    Refused,
    /// The connection broke after bytes were sent, and the server may have died.
    Broken,
    /// The server answered with an error of its own (5xx).
    ServerError,
    /// The server answered that the request is wrong (4xx); the caller gets that answer.
    CallerError,
    /// No sign of life for too long.
    TimedOut,
    /// The engine runs other weights than the attempt was made for.
    WrongWeights,
    /// The server proved that it did not run the request and never will.
    Declined,
    /// This daemon woke from a pause and the attempt's decision was out of date; nothing was sent.
    Stale,
}

/// A backend server's own account of its load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Its present life; a new number means an empty cache.
    pub incarnation: Incarnation,
    /// Loaded weights by model.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the server.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill inside the server.
    pub waiting_tokens: u64,
    /// Share of the KV cache in use, 0 to 1.
    pub cache_used: f64,
    /// Whether it says itself that it is leaving.
    pub leaving: bool,
}

/// What an engine published of its cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The server.
    pub server: ServerId,
    /// The life of the server that published it; other lives' events are dropped.
    pub incarnation: Incarnation,
    /// Its position in the server's stream; a hole means lost events.
    pub sequence: u64,
    /// Prefix hashes stored.
    pub stored: Vec<u64>,
    /// Prefix hashes evicted.
    pub evicted: Vec<u64>,
}

/// What membership knows of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerHealth {
    /// It answers.
    Alive {
        /// Its present life.
        incarnation: Incarnation,
    },
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It does not answer.
    Dead,
    /// It answers, and is about to load other weights: it gets work only while no other can take it.
    Reserved {
        /// Its present life.
        incarnation: Incarnation,
    },
}

/// What daemons of one failure domain tell each other; each list is bounded by its maker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainDigest {
    /// The daemon that made it.
    pub daemon: VmId,
    /// Grows with each digest of one life of a daemon.
    pub sequence: u64,
    /// In-flight requests by server, the busiest first; at most 64.
    pub in_flight: Vec<(ServerId, u32)>,
    /// Waiting requests by model or service, for sharing windows by demand; at most 32.
    pub demand: Vec<(String, u32)>,
    /// Hottest prefixes with holders; at most 32.
    pub hot_prefixes: Vec<(u64, Vec<ServerId>)>,
    /// Heaviest organisations with recent token cost; at most 16.
    pub heavy_organisations: Vec<(OrganisationId, u64)>,
    /// Fingerprints with crash strikes; at most 64.
    pub suspects: Vec<(u64, u32)>,
    /// Servers that this daemon's requests found slow or failing; at most 64.
    pub unhealthy: Vec<(ServerId, ServerHealth)>,
    /// What this daemon's probes found, the unhealthy first; at most 64. Added by the daemon, not
    /// by the dispatcher, and read by the membership watch.
    pub findings: Vec<(ServerId, ServerHealth)>,
}
