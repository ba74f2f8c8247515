//! Routes: map the host and path of a request to a service, with its limits and retry rules.
//!
//! Operators configure a [`RouteTable`] for callers that send plain HTTP requests without naming a
//! model or a service. [`RouteTable::check`] validates a table; [`RouteIndex`] looks up routes
//! and API keys in it.

pub mod access;
pub mod fault;
pub mod index;

pub use self::{
    access::{CallerAccess, OrganisationAccess, OrganisationTable},
    fault::RouteFault,
    index::RouteIndex,
};

use {
    crate::{
        ids::{DocumentNumber, FailureDomainId, ModelId, ServiceId},
        inventory::RequestClass,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Whether a request may run more than once, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: the request may be retried after any failure.
    Repeatable,
    /// Not idempotent: the request runs at most once.
    NonRepeatable,
    /// The response is a stream of events.
    Stream {
        /// Whether another server can continue after a given event. Only a resumable stream may be
        /// retried.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a failed attempt may be retried.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Repeatable | RouteKind::Stream { resumable: true } => true,
            RouteKind::NonRepeatable | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route with the settings of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and error messages.
    pub name: String,
    /// Host name to match, as [`index::normalise_host`] returns it.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried and whether responses are streams.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for the end of a response; positive.
    pub timeout: Duration,
    /// Target latency of a response, or of the first event of a stream.
    pub latency_objective: Duration,
    /// Priority class of requests.
    pub class: RequestClass,
    /// Maximum number of servers that may run one request; at least 1.
    pub attempts: u32,
    /// Services with their traffic weights; the sum of the weights is positive.
    pub services: Vec<(ServiceId, u32)>,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Target for the longest pause between two events of a stream; `None` if not configured.
    pub longest_pause: Option<Duration>,
}

/// Settings of a service of model engines, in addition to those of every service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRule {
    /// Requests that one server runs concurrently.
    pub slots: u32,
    /// KV cache capacity of one server, in tokens.
    pub cache_tokens: u64,
    /// Tokens per second that one server fetches from another in its failure domain; `None` if the
    /// servers cannot fetch from each other.
    pub fetch_rate: Option<f64>,
    /// Bytes of KV cache per token; `None` if not configured.
    pub token_bytes: Option<f64>,
    /// Models that the servers of the service run.
    pub models: BTreeSet<ModelId>,
}

/// A KV cache store that engines import from and export to.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStoreRule {
    /// Address of the store.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub failure_domain: FailureDomainId,
    /// Bandwidth of the store's link in bytes per second; `None` if not configured.
    pub link_bytes: Option<f64>,
}

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// Path of the health check; `None` if not configured.
    pub health_path: Option<String>,
    /// Maximum connections to one server from all daemons together; `None` if unlimited.
    pub connections: Option<u32>,
    /// Present for model engines.
    pub engine: Option<EngineRule>,
    /// Present for KV cache stores, which routes must not name.
    pub cache_store: Option<CacheStoreRule>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of the request line and headers.
    pub head_bytes: usize,
    /// Maximum bytes of a body.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub head_time: Duration,
    /// Maximum time without a byte between two requests or within a body.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns common limits of HTTP servers, which apply until a table is active.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The complete routing configuration, under one document number.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Document number assigned by the operator, from 1.
    pub number: DocumentNumber,
    /// Routes; each pair of host and path prefix is unique.
    pub routes: Vec<RouteRule>,
    /// Services that routes may name, and KV cache stores.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The callers that may use routes that are not anonymous.
    pub access: CallerAccess,
}

/// A table that was read from a document.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedTable {
    /// The table.
    pub table: RouteTable,
    /// Why the document may not be accepted; `None` if it is valid.
    pub fault: Option<RouteFault>,
}
