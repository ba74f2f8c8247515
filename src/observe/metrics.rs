//! Names of all metrics, and the recorder that renders them for Prometheus.
//!
//! Label values come from the register and from fixed lists only, never from requests of callers,
//! so the register bounds the number of time series.

use {
    crate::policy::{RefusalReason, RetryReason},
    displaydoc::Display,
    metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge},
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Accepted requests, by `class`.
pub const REQUESTS: &str = "oleandermount_requests_total";
/// Requests with a complete response, by `class`.
pub const RESPONSES: &str = "oleandermount_answers_total";
/// Refused requests, by `reason`.
pub const REFUSALS: &str = "oleandermount_refusals_total";
/// Retried requests, by `reason`.
pub const RETRIES: &str = "oleandermount_retries_total";
/// Name of the counter of retried requests, by model or service.
pub const SERVICE_RETRIES: &str = "oleandermount_service_retries_total";
/// Time to first token in seconds from the arrival of a request, by `model` and `class`.
pub const FIRST_TOKEN: &str = "oleandermount_first_token_seconds";
/// Seconds from the arrival of a request to its first attempt at a backend server, by `class`.
pub const QUEUE_WAIT: &str = "oleandermount_queue_wait_seconds";
/// Seconds from the arrival of a request to the end of its response, by `class`.
pub const RESPONSE_TIME: &str = "oleandermount_answer_seconds";
/// Seconds between tokens of one response, by `model` and `class`.
pub const INTER_TOKEN: &str = "oleandermount_inter_token_seconds";
/// How long work takes on the shared machines of backend servers, as a multiple of the usual time, by
/// `service`; one sample for each response that says so.
pub const WORK_TIME: &str = "oleandermount_work_time_ratio";
/// Prompt tokens sent to engines, by `model`.
pub const PROMPT_TOKENS: &str = "oleandermount_prompt_tokens_total";
/// Prompt tokens that engines read from their caches, by `model`.
pub const CACHE_HIT_TOKENS: &str = "oleandermount_hit_tokens_total";
/// Prompt tokens that engines computed although an engine had computed them before, by `model`.
pub const RECOMPUTED_TOKENS: &str = "oleandermount_recomputed_tokens_total";
/// Requests queued in this daemon for a backend server, by `server` of the last decision or `none`.
pub const QUEUE: &str = "oleandermount_queue_requests";
/// Requests in flight from this daemon, by `server`.
pub const IN_FLIGHT: &str = "oleandermount_in_flight_requests";
/// Servers of which this daemon is the arbiter and does not lease all slots yet, since they have just started.
pub const PACED_SERVERS: &str = "oleandermount_paced_servers";
/// Bytes that this daemon holds for its clients: connections, requests and responses.
pub const HELD_FOR_CLIENTS: &str = "oleandermount_held_for_clients_bytes";
/// The most bytes that this daemon has held for its clients.
pub const MOST_HELD_FOR_CLIENTS: &str = "oleandermount_held_for_clients_peak_bytes";
/// Connections of clients that were closed to make room for others.
pub const CLOSED_CLIENTS: &str = "oleandermount_closed_clients_total";
/// Active configuration revision of this daemon.
pub const CONFIG_REVISION: &str = "oleandermount_config_revision";
/// Seconds since an up-to-date control VM last responded to this daemon; 0 while one responds.
pub const CONFIG_UNCONFIRMED: &str = "oleandermount_config_unconfirmed_seconds";
/// Backend servers that do not have the desired weights yet, by `model`; set on the leader only.
pub const WEIGHTS_PENDING: &str = "oleandermount_weights_pending_servers";
/// Documents sent to followers, by `kind`: `whole`, or the `difference` from the previous one.
pub const FOLLOW_DOCUMENTS: &str = "oleandermount_follow_documents_total";
/// Server lists sent to followers, by `kind`: `whole`, or the `difference` from the previous one.
pub const FOLLOW_LISTS: &str = "oleandermount_follow_lists_total";
/// Daemons that follow this control VM.
pub const FOLLOWERS: &str = "oleandermount_followers";
/// Connections of other daemons rejected because of their keys.
pub const PEERS_REFUSED: &str = "oleandermount_peers_refused_total";
/// Connections to backend servers through other entries, by `result`.
pub const TUNNELS: &str = "oleandermount_tunnels_total";
/// Units of usage limits that arbiters have granted to this daemon.
pub const USAGE_GRANTED: &str = "oleandermount_usage_granted_units_total";
/// Units of usage limits that admitted requests have paid.
pub const USAGE_PAID: &str = "oleandermount_usage_paid_units_total";
/// Requests beyond the usage limits of their organisations, by `decision`: `arbiter` asked, `silent` arbiter,
/// or `local`.
pub const USAGE_REFUSED: &str = "oleandermount_usage_refused_total";
/// Open connections of callers and operators.
pub const CONNECTIONS: &str = "oleandermount_open_connections";
/// 1 while this daemon drains.
pub const DRAINING: &str = "oleandermount_draining";
/// Responses of backend servers that belonged to another attempt and were discarded.
pub const MISMATCHED_RESPONSES: &str = "oleandermount_crossed_answers_total";
/// Responses whose status means that the request has not run, from servers that did not state so.
pub const UNSTATED_OUTCOMES: &str = "oleandermount_unstated_outcomes_total";
/// Requests that backend servers rejected without executing them.
pub const SERVER_REJECTIONS: &str = "oleandermount_server_rejections_total";
/// Cancel calls, probes and digests that were dropped because too many were queued.
pub const BACKGROUND_CALLS_DROPPED: &str = "oleandermount_duties_dropped_total";
/// Claims of non-repeatable calls that were released before a request was sent.
pub const CLAIMS_RELEASED: &str = "oleandermount_claims_returned_total";
/// Requests aborted at the end of the grace period of a shutdown.
pub const ABORTED_REQUESTS: &str = "oleandermount_cut_requests_total";

/// Refusal reasons of the filters that run before the policy; those of the policy are
/// [`RefusalReason`]. They are also the `code` in the response to the caller.
pub mod refusal {
    /// The request is malformed.
    pub const BAD_REQUEST: &str = "bad_request";
    /// The request has no API key.
    pub const NO_KEY: &str = "no_key";
    /// The API key belongs to no organisation.
    pub const UNKNOWN_KEY: &str = "unknown_key";
    /// A rule does not allow the model or service.
    pub const NOT_ALLOWED: &str = "not_allowed";
    /// The path, model or service does not exist.
    pub const NOT_FOUND: &str = "not_found";
    /// Head, body or number of headers exceeds the limit.
    pub const TOO_LARGE: &str = "too_large";
    /// A non-repeatable call has no idempotency key.
    pub const KEY_MISSING: &str = "key_missing";
    /// The idempotency key was already used with another request.
    pub const KEY_REUSED: &str = "key_reused";
    /// No quorum is reachable, so a non-repeatable call cannot be claimed.
    pub const NO_QUORUM: &str = "no_quorum";
    /// It is unknown whether a non-repeatable call ran.
    pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";
    /// This daemon is shutting down.
    pub const DRAINING: &str = "draining";
    /// The request head was not received in time.
    pub const HEAD_TIMEOUT: &str = "head_timeout";
    /// The request body was not received in time.
    pub const BODY_TIMEOUT: &str = "body_timeout";
    /// This daemon holds as much for its clients as its memory allows.
    pub const NO_MEMORY: &str = "no_memory";

    /// The ledger of non-repeatable calls is full.
    pub const LEDGER_FULL: &str = "ledger_full";
    /// This daemon has reached its limit of open requests.
    pub const TOO_MANY_OPEN: &str = "too_many_open";
    /// The request failed because of an interrupted or invalid response of a backend server.
    pub const BACKEND_FAILED: &str = "backend_failed";

    /// The request is beyond the usage limit of its organisation.
    pub const USAGE_LIMIT: &str = "usage_limit";
    /// No route table is active yet.
    pub const NO_ROUTES: &str = "no_routes";

    /// All reasons; their counters are initialised at startup.
    pub const ALL: [&str; 19] = [
        BAD_REQUEST,
        NO_KEY,
        UNKNOWN_KEY,
        NOT_ALLOWED,
        NOT_FOUND,
        TOO_LARGE,
        KEY_MISSING,
        KEY_REUSED,
        NO_QUORUM,
        OUTCOME_UNKNOWN,
        DRAINING,
        HEAD_TIMEOUT,
        BODY_TIMEOUT,
        NO_MEMORY,
        LEDGER_FULL,
        TOO_MANY_OPEN,
        BACKEND_FAILED,
        USAGE_LIMIT,
        NO_ROUTES,
    ];
}

/// Who decided that a request is beyond a usage limit.
pub mod usage_decision {
    /// The arbiter of the organisation.
    pub const ARBITER: &str = "arbiter";
    /// This daemon, since the arbiter did not reply.
    pub const SILENT: &str = "silent";
    /// This daemon, by what it knows from earlier replies.
    pub const LOCAL: &str = "local";

    /// All decisions; their counters are initialised at startup.
    pub const ALL: [&str; 3] = [ARBITER, SILENT, LOCAL];
}

/// Bucket bounds in seconds, densest around the target of half a second to the first token.
const FIRST_TOKEN_BUCKETS: [f64; 16] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.18, 0.27, 0.4, 0.54, 0.8, 1.2, 2.5, 5.0, 10.0, 30.0];
/// Bucket bounds in seconds for queueing, which takes less than a millisecond or as long as a load
/// peak.
const QUEUE_WAIT_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Bucket bounds in seconds, from a short lookup to the longest stream.
const RESPONSE_BUCKETS: [f64; 12] =
    [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0];
/// Bucket bounds in seconds, densest around the target of 31 ms between tokens.
const INTER_TOKEN_BUCKETS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.25, 1.0];
/// Bucket bounds around the usual time, 1.0.
const WORK_TIME_BUCKETS: [f64; 8] = [0.5, 0.8, 0.95, 1.05, 1.25, 1.6, 2.5, 4.0];
/// Interval at which buffered samples are aggregated into buckets; at 12,000 tokens per second and
/// daemon, fewer than 100,000 samples are buffered.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why metrics cannot be recorded.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// another metrics recorder is installed in this process; install only this one: {0}
    Recorder(metrics_exporter_prometheus::BuildError),
}

impl std::error::Error for MetricsError {}

/// The recorder is global because the `metrics` library allows only one per process.
static INSTALLED: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Installs the recorder and initialises all counters to 0. A second call returns the same handle,
/// so that several daemons can run in one test process.
///
/// # Errors
/// Another recorder is installed already.
pub fn install() -> Result<PrometheusHandle, MetricsError> {
    let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = installed.as_ref() {
        return Ok(handle.clone());
    }
    let buckets: [(&str, &[f64]); 5] = [
        (FIRST_TOKEN, &FIRST_TOKEN_BUCKETS),
        (INTER_TOKEN, &INTER_TOKEN_BUCKETS),
        (QUEUE_WAIT, &QUEUE_WAIT_BUCKETS),
        (RESPONSE_TIME, &RESPONSE_BUCKETS),
        (WORK_TIME, &WORK_TIME_BUCKETS),
    ];
    let handle = buckets
        .into_iter()
        .try_fold(PrometheusBuilder::new(), |builder, (name, bounds)| {
            builder.set_buckets_for_metric(Matcher::Full(name.to_owned()), bounds)
        })
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(MetricsError::Recorder)?;
    describe();
    initialise_counters();
    *installed = Some(handle.clone());
    Ok(handle)
}

/// Aggregates buffered samples into buckets periodically; runs until the task is aborted.
pub async fn run_upkeep(handle: PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}

fn describe() {
    describe_counter!(REQUESTS, "Accepted requests, by class.");
    describe_counter!(RESPONSES, "Requests with a complete response, by class.");
    describe_counter!(REFUSALS, "Refused requests, by reason.");
    describe_counter!(RETRIES, "Retried requests, by reason.");
    describe_counter!(SERVICE_RETRIES, "Retried requests, by model or service.");
    describe_histogram!(FIRST_TOKEN, "Seconds from arrival to the first token.");
    describe_histogram!(QUEUE_WAIT, "Seconds from arrival to the first attempt.");
    describe_histogram!(RESPONSE_TIME, "Seconds from arrival to the end of the response.");
    describe_histogram!(INTER_TOKEN, "Seconds between tokens of one response.");
    describe_histogram!(WORK_TIME, "Work times that servers state, 1.0 being usual.");
    describe_counter!(PROMPT_TOKENS, "Prompt tokens sent to engines.");
    describe_counter!(CACHE_HIT_TOKENS, "Prompt tokens that engines read from their caches.");
    describe_counter!(RECOMPUTED_TOKENS, "Recomputed prompt tokens.");
    describe_gauge!(QUEUE, "Requests queued in this daemon.");
    describe_gauge!(IN_FLIGHT, "Requests in flight from this daemon, by server.");
    describe_gauge!(PACED_SERVERS, "Started servers that this daemon does not lease fully yet.");
    describe_gauge!(HELD_FOR_CLIENTS, "Bytes held for clients.");
    describe_gauge!(MOST_HELD_FOR_CLIENTS, "The most bytes held for clients so far.");
    describe_counter!(CLOSED_CLIENTS, "Connections of clients closed to make room for others.");
    describe_gauge!(CONFIG_REVISION, "Active configuration revision of this daemon.");
    describe_gauge!(CONFIG_UNCONFIRMED, "Seconds since an up-to-date control VM last responded.");
    describe_counter!(FOLLOW_DOCUMENTS, "Documents sent to followers, by kind.");
    describe_counter!(FOLLOW_LISTS, "Server lists sent to followers, by kind.");
    describe_gauge!(FOLLOWERS, "Daemons that follow this control VM.");
    describe_gauge!(WEIGHTS_PENDING, "Backend servers without the desired weights, on the leader.");
    describe_counter!(
        BACKGROUND_CALLS_DROPPED,
        "Cancel calls, probes and digests that were dropped."
    );
    describe_counter!(MISMATCHED_RESPONSES, "Responses that belonged to another attempt.");
    describe_counter!(SERVER_REJECTIONS, "Requests that backend servers rejected.");
    describe_counter!(
        UNSTATED_OUTCOMES,
        "Responses with a status of requests that have not run, from servers that did not state so."
    );
    describe_counter!(PEERS_REFUSED, "Daemons rejected because of their keys.");
    describe_counter!(TUNNELS, "Connections to servers through other entries, by result.");
    describe_counter!(USAGE_GRANTED, "Units of usage limits granted to this daemon.");
    describe_counter!(USAGE_PAID, "Units of usage limits that admitted requests have paid.");
    describe_counter!(USAGE_REFUSED, "Requests beyond usage limits, by decision.");
    describe_gauge!(CONNECTIONS, "Open connections of callers and operators.");
    describe_gauge!(DRAINING, "1 while this daemon drains.");
    describe_counter!(CLAIMS_RELEASED, "Claims released before a request was sent.");
    describe_counter!(
        ABORTED_REQUESTS,
        "Requests aborted at the end of a shutdown's grace period."
    );
}

/// Initialises all counters to 0, because rates and alerts miss the first event of a counter that
/// appears only with that event.
fn initialise_counters() {
    for reason in RefusalReason::ALL.map(RefusalReason::as_str).into_iter().chain(refusal::ALL) {
        counter!(REFUSALS, "reason" => reason).increment(0);
    }
    for reason in RetryReason::ALL.map(RetryReason::as_str) {
        counter!(RETRIES, "reason" => reason).increment(0);
    }
    for class in crate::inventory::RequestClass::ALL.map(|class| class.as_str()) {
        counter!(REQUESTS, "class" => class).increment(0);
        counter!(RESPONSES, "class" => class).increment(0);
    }
    for kind in ["whole", "difference"] {
        counter!(FOLLOW_DOCUMENTS, "kind" => kind).increment(0);
        counter!(FOLLOW_LISTS, "kind" => kind).increment(0);
    }
    for decision in usage_decision::ALL {
        counter!(USAGE_REFUSED, "decision" => decision).increment(0);
    }
    counter!(USAGE_GRANTED).increment(0);
    counter!(USAGE_PAID).increment(0);
    counter!(MISMATCHED_RESPONSES).increment(0);
    counter!(SERVER_REJECTIONS).increment(0);
    counter!(UNSTATED_OUTCOMES).increment(0);
    counter!(BACKGROUND_CALLS_DROPPED).increment(0);
    counter!(PEERS_REFUSED).increment(0);
    counter!(CLAIMS_RELEASED).increment(0);
    counter!(ABORTED_REQUESTS).increment(0);
    gauge!(CONFIG_REVISION).set(0.0);
    gauge!(CONFIG_UNCONFIRMED).set(0.0);
    gauge!(DRAINING).set(0.0);
    gauge!(CONNECTIONS).set(0.0);
}
