//! Inputs of the dispatcher.

use {
    super::{reachability::LinkFailure, slot_leases::LeasedLoad, suspect::CrashReport},
    crate::{
        ids::{
            AdapterId, AttemptId, FailureDomainId, Incarnation, ModelId, OrganisationId, RequestId,
            Revision, ServerId, ServiceId, SoftwareVersion, VmId, WeightsVersion,
        },
        inventory::{DecisionObjective, RequestClass, ServerKind},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// An event that the dispatcher handles.
#[derive(Clone, Debug)]
pub enum PolicyInput {
    /// A configuration took effect.
    Configure(Arc<PolicyView>),
    /// A request passed the earlier pipeline stages and waits to be placed.
    Arrive(RequestTicket),
    /// The first token of an attempt arrived from the engine.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that the engine served from its cache; `None` if it did not report them.
        cached_tokens: Option<u32>,
    },
    /// An attempt that had to wait for the lease of a slot is sent now.
    Leased {
        /// The attempt.
        attempt: AttemptId,
    },
    /// More tokens of an attempt arrived after the first one.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens generated since the previous event of this attempt.
        tokens: u32,
    },
    /// An attempt ended with a complete response.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that the engine served from its cache; `None` if it did not report them.
        cached_tokens: Option<u32>,
        /// Total number of generated tokens.
        output_tokens: u32,
    },
    /// An attempt ended without a complete response.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// The kind of failure.
        failure: AttemptFailure,
        /// Tokens already relayed to the caller, which must not be relayed again.
        relayed_tokens: u32,
        /// The delay that the server requested with `Retry-After`, if any.
        retry_after: Option<Duration>,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A load report of a backend server. Reports arrive late.
    Load(LoadReport),
    /// A change of an engine's cache. Events arrive late and some are lost.
    Cache(CacheEvent),
    /// A change of a server's membership state.
    Health {
        /// The server.
        server: ServerId,
        /// Its health.
        health: ServerHealth,
    },
    /// The set of reachable failure domains changed. It includes the daemon's own domain.
    Reachable {
        /// The domains.
        domains: Vec<FailureDomainId>,
    },
    /// A digest from another daemon of the same failure domain.
    Digest(DomainDigest),
    /// Evidence on requests that crash servers, observed by other daemons.
    CrashReports(Vec<CrashReport>),
    /// The links of this daemon to the servers have failed or may have, so that broken connections are
    /// no evidence against requests.
    LinksFailed(LinkFailure),
    /// The link to the engines' shared KV cache store changed.
    CacheStoreLink {
        /// This daemon's share of the link bandwidth, in tokens per second; `None` if no store is
        /// configured or it is unreachable.
        rate: Option<f64>,
    },
    /// The ability of engines to fetch cached prefixes from each other changed.
    PeerFetch {
        /// Transfer rate between two engines, in tokens per second; `None` if fetching is not
        /// possible.
        rate: Option<f64>,
        /// The newest weights that operators have named, by model. A server with other weights is
        /// expected to load them soon.
        newest: BTreeMap<ModelId, WeightsVersion>,
    },
    /// The retry reserve of this daemon at each service, sent when operators limit retries across all
    /// daemons.
    RetryReserve {
        /// This daemon's share of the retries that first sends need not earn; positive.
        retries: f64,
    },
    /// A server asked not to be used by this daemon.
    ServerRest {
        /// The server.
        server: ServerId,
        /// For how long, from now on.
        delay: Duration,
    },
    /// The responses of a server say that it leaves, or no longer say so.
    ServerLeaving {
        /// The server.
        server: ServerId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A server named the requests a second that it takes from all daemons together, or named none.
    ServerLimit {
        /// The server.
        server: ServerId,
        /// Its limit; `None` if it has none any more. Values that are not positive are ignored.
        limit: Option<f64>,
    },
    /// A server has ended: nothing listens on its address.
    ServerEnded {
        /// The server.
        server: ServerId,
    },
    /// A server identified itself, in contrast to a server list, which lags behind.
    ServerIdentified {
        /// The server.
        server: ServerId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// When the request was sent to which it responded.
        sent: Instant,
    },
    /// A probe requested by [`super::PolicyAction::Probe`] ended.
    Probed {
        /// The server.
        server: ServerId,
        /// Whether the server responded.
        answered: bool,
    },
    /// The arbiter of a server has told its load.
    LeasedLoad {
        /// The server.
        server: ServerId,
        /// Its load.
        load: LeasedLoad,
    },
    /// A timer expired: the time returned by `Dispatcher::next_wakeup` was reached.
    Wake,
    /// A server that shares its machine with others said how long work takes there at this moment.
    WorkTime {
        /// The server.
        server: ServerId,
        /// Multiple of the usual time. Values that are not positive and finite are ignored.
        ratio: f64,
    },
}

/// The part of a configuration that the dispatcher uses.
#[derive(Clone, Debug, Default)]
pub struct PolicyView {
    /// Revision of the configuration.
    pub revision: Revision,
    /// What server selection optimises.
    pub objective: DecisionObjective,
    /// Backend servers that requests may be sent to.
    pub servers: BTreeMap<ServerId, ServerView>,
    /// Fair-share weights of organisations that differ from 1.0; each is positive.
    pub shares: BTreeMap<OrganisationId, f64>,
    /// Relative capacity of all daemons, including this one, by failure domain.
    pub daemons: BTreeMap<FailureDomainId, BTreeMap<VmId, f64>>,
    /// Desired weights by model. Blocks cached under other weights never count as cache hits.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// The times before which requests must begin on weights that were replaced, by model and by these weights.
    pub begin_limits: BTreeMap<ModelId, BTreeMap<WeightsVersion, Instant>>,
    /// The services whose servers run the models. A model without one counts as a service of its own.
    pub model_services: BTreeMap<ModelId, ServiceId>,
}

/// The part of a backend server's registration that the dispatcher uses.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is an engine, a service or a cache store.
    pub kind: ServerKind,
    /// Models that it can serve.
    pub models: Vec<ModelId>,
    /// The plain service that it offers, if any.
    pub service: Option<ServiceId>,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Version of its software; empty if unknown.
    pub software: SoftwareVersion,
}

/// A request as submitted to the dispatcher.
#[derive(Clone, Debug)]
pub struct RequestTicket {
    /// Identifier, unique among requests without a final outcome.
    pub request: RequestId,
    /// The organisation that is charged for it.
    pub organisation: OrganisationId,
    /// Priority class.
    pub class: RequestClass,
    /// When the caller stops waiting for the first token, or for the complete response if it is not
    /// streamed.
    pub deadline: Instant,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Hash of the organisation and the complete request, identical for every resend; see
    /// [`suspect::fingerprint`](super::suspect::fingerprint). Identifies requests that crash servers.
    pub fingerprint: u64,
    /// Hashes of the parts of its prompt that other requests may share; see
    /// [`suspect::part_fingerprints`](super::suspect::part_fingerprints). Identify parts that crash servers.
    pub parts: Vec<u64>,
    /// The software version that its server must have, if it resumes a stream.
    pub software: Option<SoftwareVersion>,
    /// The requested work.
    pub work: RequestWork,
}

/// The kind of work that is requested.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// Text generated by a model.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter, if any.
        adapter: Option<AdapterId>,
        /// Prefix levels, shortest first, with increasing `tokens`.
        levels: Vec<PrefixLevel>,
        /// Estimated tokens of the complete prompt.
        prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        max_output_tokens: u32,
    },
    /// A call to a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// One level of a prompt's nested prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixLevel {
    /// Hash chained over all segments up to this level, seeded by organisation, model and adapter.
    pub hash: u64,
    /// Tokens of the prompt up to this level.
    pub tokens: u32,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// The connection could not be established, so no byte reached the server.
    NotConnected,
    /// The server refused the request with status 429 or 503.
    Refused,
    /// The connection broke after bytes were sent. The server may have crashed.
    Broken,
    /// After bytes were sent, the server's VM stopped acknowledging them. The VM or the network failed,
    /// since a process that crashes closes its connections.
    Unreachable,
    /// The server responded with a 5xx status.
    ServerError,
    /// The server responded with a 4xx status, which is relayed to the caller.
    CallerError,
    /// The server sent nothing within the timeout.
    TimedOut,
    /// The engine runs other weights than the attempt was sent for.
    WrongWeights,
    /// The server proved that it did not execute the request and will not do so later.
    Declined,
    /// The server's slots are leased, and none is free in time; nothing was sent.
    NoSlot,
    /// The daemon process was paused until the send order expired; nothing was sent.
    Stale,
    /// The daemon withdrew the attempt, since its first token had not come before the server's weights were
    /// replaced for too long. The server may have begun to run it.
    Withdrawn,
}

/// A load report of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Its current incarnation; a new one starts with an empty cache.
    pub incarnation: Incarnation,
    /// Loaded weights by model.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the server.
    pub waiting: u32,
    /// Prompt tokens waiting for prefill inside the server.
    pub waiting_tokens: u64,
    /// Fraction of the KV cache in use, from 0 to 1.
    pub cache_used: f64,
    /// Whether the server reports that it is shutting down.
    pub leaving: bool,
}

/// A change of an engine's prefix cache, as published by the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The server.
    pub server: ServerId,
    /// Incarnation of the server that published the event. Events of other incarnations are
    /// dropped.
    pub incarnation: Incarnation,
    /// Position in the server's event stream; a gap means that events were lost.
    pub sequence: u64,
    /// Hashes of prefixes added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of prefixes evicted from the cache.
    pub evicted: Vec<u64>,
}

/// Membership state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerHealth {
    /// It responds to health checks.
    Alive {
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// It is draining: it finishes running requests and accepts no new ones.
    Leaving,
    /// It does not respond to health checks.
    Dead,
    /// It responds and will load other weights soon. It gets new requests only while no other
    /// server can take them.
    Reserved {
        /// Its current incarnation.
        incarnation: Incarnation,
    },
}

/// State that daemons of one failure domain exchange. The sender bounds the length of each list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainDigest {
    /// The daemon that sent it.
    pub daemon: VmId,
    /// Sequence number, increasing within one incarnation of the daemon.
    pub sequence: u64,
    /// In-flight requests by server, busiest first; at most 64.
    pub in_flight: Vec<(ServerId, u32)>,
    /// Waiting requests by model or service; at most 32.
    pub demand: Vec<(String, u32)>,
    /// Most requested prefixes with the servers that hold them; at most 32.
    pub hot_prefixes: Vec<(u64, Vec<ServerId>)>,
    /// Organisations with the highest recent token cost; at most 16.
    pub heavy_organisations: Vec<(OrganisationId, u64)>,
    /// Evidence on requests that were in flight at server crashes; at most
    /// [`MAX_PUBLISHED`](super::suspect::MAX_PUBLISHED).
    pub suspects: Vec<CrashReport>,
    /// Servers that this daemon has ejected; at most 64.
    pub unhealthy: Vec<(ServerId, ServerHealth)>,
    /// Results of this daemon's health checks, unhealthy servers first; at most 64. The daemon adds
    /// them to the dispatcher's digest, and the server monitor reads them.
    pub findings: Vec<(ServerId, ServerHealth)>,
}
