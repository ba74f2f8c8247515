//! Routes: which service serves a request, told by its host and path, and on what terms.
//!
//! A [`RouteTable`] is what operators configure where callers speak plain HTTP instead of naming a
//! model or a service. It is checked as a whole by [`RouteTable::check`] and looked up by
//! [`RouteIndex`].

pub mod fault;
pub mod index;

pub use self::{fault::RouteFault, index::RouteIndex};

use {
    crate::{
        ids::{DocumentNumber, FailureDomainId, ModelId, OrganisationId, ServiceId},
        inventory::RequestClass,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Whether a request may run more than once, and how its answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run again after any failure.
    Repeatable,
    /// At most one run.
    NonRepeatable,
    /// A stream of events.
    Stream {
        /// Whether another server can go on after a given event. Only then it may run again.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a failed run may be followed by another.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Repeatable | RouteKind::Stream { resumable: true } => true,
            RouteKind::NonRepeatable | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: String,
    /// The host that it serves, in lower case.
    pub host: String,
    /// The beginning of its paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be kept waiting for the end of its answer; positive.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub latency_objective: Duration,
    /// How urgent its requests are.
    pub class: RequestClass,
    /// The most servers that may run one request; at least 1.
    pub attempts: u32,
    /// Services with their weights; the sum is positive.
    pub services: Vec<(ServiceId, u32)>,
    /// Whether no key is needed.
    pub anonymous: bool,
    /// The longest pause between events with which a stream is on time.
    pub longest_pause: Option<Duration>,
}

/// A model engine's service beyond what every service has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRule {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Tokens that one server's memory holds.
    pub cache_tokens: u64,
    /// Tokens a second that one server fetches from another in its failure domain; `None` if they
    /// cannot.
    pub fetch_rate: Option<f64>,
    /// Bytes of memory that one token takes; `None` if not said.
    pub token_bytes: Option<f64>,
    /// The models that its servers run.
    pub models: BTreeSet<ModelId>,
}

/// A store of KV cache that engines fetch from and save to.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStoreRule {
    /// Where it is.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Bytes a second over its link; `None` if not said.
    pub link_bytes: Option<f64>,
}

/// What a service is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// The path that answers whether a server is healthy.
    pub health_path: Option<String>,
    /// Connections that one server takes from all daemons together; `None` if unlimited.
    pub connections: Option<u32>,
    /// Set for model engines.
    pub engine: Option<EngineRule>,
    /// Set for stores of KV cache, which no route may name.
    pub cache_store: Option<CacheStoreRule>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of the request line and headers.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// From the first byte of a head to its last.
    pub head_time: Duration,
    /// Without a byte between two requests, or within a body.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Used until a table is known: the usual limits of HTTP servers.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// An organisation that may send requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationAccess {
    /// Its keys; no other organisation has any of them.
    pub keys: BTreeSet<String>,
    /// Goes before the route's class where set.
    pub class: Option<RequestClass>,
    /// Whether its cached prompts are shared with nobody.
    pub isolated: bool,
}

/// Everything that operators configure about routes, under one number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The number that the operator gave it.
    pub number: DocumentNumber,
    /// The routes; host and prefix are unique.
    pub routes: Vec<RouteRule>,
    /// The services that routes may name.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may send; empty means that no key is asked for.
    pub organisations: BTreeMap<OrganisationId, OrganisationAccess>,
}
