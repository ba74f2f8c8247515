//! Decisions of the dispatcher.

use {
    super::{DomainDigest, PrefixLevel},
    crate::ids::{AttemptId, Incarnation, RequestId, ServerId, SoftwareVersion, WeightsVersion},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// An action that the caller of the dispatcher has to perform.
#[derive(Clone, Debug)]
pub enum PolicyAction {
    /// Send a request to a backend server immediately.
    Send(SendOrder),
    /// Cancel an attempt at its backend server.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server that runs it.
        server: ServerId,
    },
    /// End an attempt unless its first token has come, and report it as [`super::AttemptFailure::Withdrawn`],
    /// or as [`super::AttemptFailure::Stale`] if nothing was sent.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse a request. This is its final outcome.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason, for metrics and responses.
        reason: RefusalReason,
        /// Suggested delay before the caller retries; `None` if retrying does not help.
        retry_after: Option<Duration>,
        /// Whether a backend server may have executed the request.
        did_run: DidRun,
    },
    /// Send a health check to a server and report the result as [`super::PolicyInput::Probed`].
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send a digest to the other daemons of this failure domain.
    Publish(DomainDigest),
    /// Count a retry. The matching `Send` follows.
    CountRetry {
        /// The request.
        request: RequestId,
        /// The service that the request is for, or its model if that has none.
        service: String,
        /// The reason, for metrics and responses.
        reason: RetryReason,
    },
}

/// An order to send a request to one backend server.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The request.
    pub request: RequestId,
    /// Identifier of the new attempt.
    pub attempt: AttemptId,
    /// The destination.
    pub server: ServerId,
    /// Incarnation of the server that the decision assumed, if known. If the server has another
    /// one, the expected cache hit is void, but the request may still run there.
    pub incarnation: Option<Incarnation>,
    /// Version of the server's software; empty if unknown.
    pub software: SoftwareVersion,
    /// Weights that the decision assumed, if known. A stream must not be continued on other
    /// weights.
    pub weights: Option<WeightsVersion>,
    /// Prompt tokens expected in the server's cache.
    pub expected_hit: u32,
    /// The prefix to import from a prompt-keep server before prefill, where that is cheaper.
    pub import: Option<PrefixLevel>,
    /// Another server with the same model and weights that is likely to hold more of the prompt,
    /// where engines can fetch from each other.
    pub source: Option<ServerId>,
    /// Use of the engines' shared KV cache store; `None` if it is not used.
    pub store_use: Option<CacheStoreUse>,
    /// Priority inside the engine; lower values are served first.
    pub priority: u32,
    /// Predicted time to the first token, or to the response of a plain service.
    pub predicted: Duration,
    /// Tokens already relayed to the caller; the engine resumes after them.
    pub resume_after: u32,
    /// This daemon's attempts in flight at the server, including this one.
    pub in_flight: u32,
    /// Time after which the request must not be sent; report `Failed` with `Stale` instead.
    pub send_before: Instant,
}

/// How a prompt uses the engines' shared KV cache store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheStoreUse {
    /// The engine imports the blocks that it does not hold.
    Take,
    /// The engine also exports the blocks that it had to compute.
    TakeAndBring,
}

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DidRun {
    /// It was not executed: no byte reached a backend server, or the server proved that it did not
    /// run.
    No,
    /// It may have been executed partly or completely.
    Unknown,
    /// It was executed.
    Yes,
}

/// Why a request is refused. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Its deadline cannot be met.
    DeadlineUnreachable,
    /// Its deadline passed before its first token.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The queue is full and the organisation's own requests are more than half of it.
    OverShare,
    /// No available server offers the model or service.
    NoServer,
    /// Backend servers crashed repeatedly while running it.
    CrashesServers,
    /// Its attempts or the retry budget are used up.
    RetriesExhausted,
    /// The server failed after a non-repeatable request was sent.
    ServerFailed,
    /// A broken stream cannot be resumed, since no server with the same weights is available.
    NotResumable,
    /// All servers limit how many requests they take, and the next one cannot be sent in time.
    ServersLimited,
    /// The slots of the servers are leased, and none is free in time.
    NoSlot,
    /// All servers have asked not to be used for a while.
    ServersResting,
}

impl RefusalReason {
    /// All reasons, so that counters can be registered at startup.
    pub const ALL: [RefusalReason; 12] = [
        RefusalReason::DeadlineUnreachable,
        RefusalReason::DeadlinePassed,
        RefusalReason::QueueFull,
        RefusalReason::OverShare,
        RefusalReason::NoServer,
        RefusalReason::CrashesServers,
        RefusalReason::RetriesExhausted,
        RefusalReason::ServerFailed,
        RefusalReason::NotResumable,
        RefusalReason::ServersLimited,
        RefusalReason::NoSlot,
        RefusalReason::ServersResting,
    ];

    /// Returns the name used in metrics and responses.
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
            RefusalReason::ServersLimited => "servers_limited",
            RefusalReason::NoSlot => "no_slot",
            RefusalReason::ServersResting => "servers_resting",
        }
    }
}

/// Why a request is sent again. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The connection could not be established.
    NotConnected,
    /// The server refused the request.
    Refused,
    /// The connection broke before the first token arrived.
    BrokenBeforeToken,
    /// The stream broke and is resumed after the relayed tokens.
    StreamResumed,
    /// The server responded with a 5xx status.
    ServerError,
    /// The server sent nothing within the timeout.
    TimedOut,
    /// The server runs other weights than expected.
    WrongWeights,
    /// No slot of the server was free in time.
    NoSlot,
    /// The send order expired while the daemon process was paused.
    Stale,
    /// The server had not begun it before its weights were replaced for too long.
    Withdrawn,
}

impl RetryReason {
    /// All reasons, so that counters can be registered at startup.
    pub const ALL: [RetryReason; 10] = [
        RetryReason::NotConnected,
        RetryReason::Refused,
        RetryReason::BrokenBeforeToken,
        RetryReason::StreamResumed,
        RetryReason::ServerError,
        RetryReason::TimedOut,
        RetryReason::WrongWeights,
        RetryReason::NoSlot,
        RetryReason::Stale,
        RetryReason::Withdrawn,
    ];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::NotConnected => "not_connected",
            RetryReason::Refused => "refused",
            RetryReason::BrokenBeforeToken => "broken_before_token",
            RetryReason::StreamResumed => "stream_resumed",
            RetryReason::ServerError => "server_error",
            RetryReason::TimedOut => "timed_out",
            RetryReason::WrongWeights => "wrong_weights",
            RetryReason::NoSlot => "no_slot",
            RetryReason::Stale => "stale",
            RetryReason::Withdrawn => "withdrawn",
        }
    }
}
