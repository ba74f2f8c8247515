//! What the dispatcher decides.

use {
    super::{DomainDigest, PrefixLevel},
    crate::ids::{AttemptId, Incarnation, RequestId, ServerId, WeightsVersion},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// What the driver has to do.
#[derive(Clone, Debug)]
pub enum PolicyAction {
    /// Send a request to a backend server now.
    Send(SendOrder),
    /// Tell a backend server to stop an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        server: ServerId,
    },
    /// Give the caller its final answer now: it is not served.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that helps.
        retry_after: Option<Duration>,
        /// Whether it ran.
        did_run: DidRun,
    },
    /// Ask a server for a sign of life and answer with `Probed`.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Spread a digest to the daemons of the own failure domain.
    Publish(DomainDigest),
    /// Count a retry; it is followed by the `Send` that it explains.
    CountRetry {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RetryReason,
    },
}

/// One decided sending.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The request.
    pub request: RequestId,
    /// The new attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: ServerId,
    /// The life of the server it was decided for, if known. If the server has another, the
    /// expected hit does not hold; the request itself may still run there.
    pub incarnation: Option<Incarnation>,
    /// The weights it was decided for; a continuation on other weights is not allowed.
    pub weights: Option<WeightsVersion>,
    /// Prompt tokens expected in the server's cache.
    pub expected_hit: u32,
    /// The prefix to import from prompt-keep before prefill, where that is cheaper.
    pub import: Option<PrefixLevel>,
    /// Another server of the same model and weights that likely holds more of the prompt, where
    /// engines can fetch from each other.
    pub source: Option<ServerId>,
    /// How the engines' common store is used.
    pub store_use: Option<CacheStoreUse>,
    /// Lower is served first inside the engine.
    pub priority: u32,
    /// Tokens the caller already has; the engine resumes after them.
    pub resume_after: u32,
    /// Nothing may be sent after this moment; report `Failed` with `Stale` instead.
    pub send_before: Instant,
}

/// How a prompt uses the engines' common store of KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheStoreUse {
    /// The engine takes from it what it lacks.
    Take,
    /// It also brings what it had to compute.
    TakeAndBring,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DidRun {
    /// Not a byte of it can have reached a backend server.
    No,
    /// It may have run, in part or whole.
    Unknown,
    /// It ran.
    Yes,
}

/// Why a request is refused; one counter each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It cannot make its deadline.
    DeadlineUnreachable,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The organisation is over its share.
    OverShare,
    /// No live server offers the model or service.
    NoServer,
    /// The request crashes backend servers.
    CrashesServers,
    /// Its retry budget is used up.
    RetriesExhausted,
    /// The backend server failed after the request was sent, and it must not be repeated.
    ServerFailed,
    /// A broken stream has no server to go on with on the same weights.
    NotResumable,
}

impl RefusalReason {
    /// All reasons, for counters that exist from the start.
    pub const ALL: [RefusalReason; 9] = [
        RefusalReason::DeadlineUnreachable,
        RefusalReason::DeadlinePassed,
        RefusalReason::QueueFull,
        RefusalReason::OverShare,
        RefusalReason::NoServer,
        RefusalReason::CrashesServers,
        RefusalReason::RetriesExhausted,
        RefusalReason::ServerFailed,
        RefusalReason::NotResumable,
    ];

    /// The name used in metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::DeadlineUnreachable => "deadline_unreachable",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::OverShare => "over_share",
            RefusalReason::NoServer => "no_server",
            RefusalReason::CrashesServers => "crashes_servers",
            RefusalReason::RetriesExhausted => "retries_exhausted",
            RefusalReason::ServerFailed => "server_failed",
            RefusalReason::NotResumable => "not_resumable",
        }
    }
}

/// Why a request is sent again; one counter each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The server could not be connected to.
    NotConnected,
    /// The server refused it before running it.
    Refused,
    /// The connection broke before the first token.
    BrokenBeforeToken,
    /// The stream broke and is resumed.
    StreamResumed,
    /// The server answered with an error.
    ServerError,
    /// The server showed no sign of life.
    TimedOut,
    /// The server runs other weights.
    WrongWeights,
    /// The decision was out of date after a pause.
    Stale,
}

impl RetryReason {
    /// All reasons, for counters that exist from the start.
    pub const ALL: [RetryReason; 8] = [
        RetryReason::NotConnected,
        RetryReason::Refused,
        RetryReason::BrokenBeforeToken,
        RetryReason::StreamResumed,
        RetryReason::ServerError,
        RetryReason::TimedOut,
        RetryReason::WrongWeights,
        RetryReason::Stale,
    ];

    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::NotConnected => "not_connected",
            RetryReason::Refused => "refused",
            RetryReason::BrokenBeforeToken => "broken_before_token",
            RetryReason::StreamResumed => "stream_resumed",
            RetryReason::ServerError => "server_error",
            RetryReason::TimedOut => "timed_out",
            RetryReason::WrongWeights => "wrong_weights",
            RetryReason::Stale => "stale",
        }
    }
}
