//! The names of all metrics, and the recorder that renders them for Prometheus.
//!
//! Labels come from the register and from fixed lists only, never from what a caller sent, so the
//! number of series is bounded by the register.

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

/// Requests taken in, by `class`.
pub const REQUESTS: &str = "oleandermount_requests_total";
/// Requests answered whole, by `class`.
pub const ANSWERS: &str = "oleandermount_answers_total";
/// Requests refused, by `reason`.
pub const REFUSALS: &str = "oleandermount_refusals_total";
/// Requests sent again, by `reason`.
pub const RETRIES: &str = "oleandermount_retries_total";
/// Seconds from a request's arrival to its first token, by `model` and `class`.
pub const FIRST_TOKEN: &str = "oleandermount_first_token_seconds";
/// Seconds from a request's arrival to its first sending to a backend server, by `class`.
pub const QUEUE_WAIT: &str = "oleandermount_queue_wait_seconds";
/// Seconds from a request's arrival to the end of its answer, by `class`.
pub const ANSWER_TIME: &str = "oleandermount_answer_seconds";
/// Seconds between tokens of one answer, by `model` and `class`.
pub const INTER_TOKEN: &str = "oleandermount_inter_token_seconds";
/// Prompt tokens sent to engines, by `model`.
pub const PROMPT_TOKENS: &str = "oleandermount_prompt_tokens_total";
/// Prompt tokens that engines took from their caches, by `model`.
pub const CACHE_HIT_TOKENS: &str = "oleandermount_hit_tokens_total";
/// Prompt tokens computed although they had been computed before, by `model`.
pub const RECOMPUTED_TOKENS: &str = "oleandermount_recomputed_tokens_total";
/// Requests that wait in this daemon for a backend server, by `server` of the last decision or
/// `none`.
pub const QUEUE: &str = "oleandermount_queue_requests";
/// Requests in flight from this daemon, by `server`.
pub const IN_FLIGHT: &str = "oleandermount_in_flight_requests";
/// The configuration revision in force at this daemon.
pub const CONFIG_REVISION: &str = "oleandermount_config_revision";
/// Seconds since this entry last heard from a control VM that is up to date; 0 while it does.
pub const CONFIG_UNCONFIRMED: &str = "oleandermount_config_unconfirmed_seconds";
/// Backend servers that do not have the wanted weights yet, by `model`; on the leader alone.
pub const WEIGHTS_PENDING: &str = "oleandermount_weights_pending_servers";
/// Documents handed to followers, by `kind`: `whole`, or the `difference` to the last one.
pub const FOLLOW_DOCUMENTS: &str = "oleandermount_follow_documents_total";
/// Server lists handed to followers, by `kind`: `whole`, or the `difference` to the last one.
pub const FOLLOW_LISTS: &str = "oleandermount_follow_lists_total";
/// Daemons that follow this control VM.
pub const FOLLOWERS: &str = "oleandermount_followers";
/// Connections of other daemons refused for their keys.
pub const PEERS_REFUSED: &str = "oleandermount_peers_refused_total";
/// Connections of callers and operators that are open.
pub const CONNECTIONS: &str = "oleandermount_open_connections";
/// 1 while this daemon drains.
pub const DRAINING: &str = "oleandermount_draining";
/// Answers of backend servers that belonged to another attempt and were dropped.
pub const MISMATCHED_RESPONSES: &str = "oleandermount_crossed_answers_total";
/// Cancel calls, probes and digests that were dropped because too many waited.
pub const BACKGROUND_CALLS_DROPPED: &str = "oleandermount_duties_dropped_total";
/// Claims of non-repeatable calls that were given back with nothing sent.
pub const CLAIMS_RELEASED: &str = "oleandermount_claims_returned_total";
/// Requests cut off when the grace of a shutdown ended.
pub const ABORTED_REQUESTS: &str = "oleandermount_cut_requests_total";

/// Refusal reasons of the filters that stand before the policy; the policy's own are
/// [`RefusalReason`]. They are also the `code` in the answer to the caller.
pub mod refusal {
    /// The request is malformed.
    pub const BAD_REQUEST: &str = "bad_request";
    /// It carries no key.
    pub const NO_KEY: &str = "no_key";
    /// Its key belongs to no organisation.
    pub const UNKNOWN_KEY: &str = "unknown_key";
    /// A rule does not allow the model or service.
    pub const NOT_ALLOWED: &str = "not_allowed";
    /// The path, model or service does not exist.
    pub const NOT_FOUND: &str = "not_found";
    /// Head, body or number of headers is over the limit.
    pub const TOO_LARGE: &str = "too_large";
    /// A non-repeatable call carries no idempotency key.
    pub const KEY_MISSING: &str = "key_missing";
    /// The idempotency key was used with another request.
    pub const KEY_REUSED: &str = "key_reused";
    /// No quorum can be reached, so a non-repeatable call cannot be claimed.
    pub const NO_QUORUM: &str = "no_quorum";
    /// Whether a non-repeatable call ran cannot be told.
    pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";
    /// This daemon is stopping.
    pub const DRAINING: &str = "draining";
    /// The head took too long to arrive.
    pub const HEAD_TIMEOUT: &str = "head_timeout";
    /// The body took too long to arrive.
    pub const BODY_TIMEOUT: &str = "body_timeout";

    /// The ledger of non-repeatable calls is full.
    pub const LEDGER_FULL: &str = "ledger_full";
    /// This daemon holds as many requests open as it can.
    pub const TOO_MANY_OPEN: &str = "too_many_open";
    /// A broken or erroneous answer of a backend server ended the request.
    pub const BACKEND_FAILED: &str = "backend_failed";

    /// No routes are known yet.
    pub const NO_ROUTES: &str = "no_routes";

    /// All of them, for counters that exist from the start.
    pub const ALL: [&str; 17] = [
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
        LEDGER_FULL,
        TOO_MANY_OPEN,
        BACKEND_FAILED,
        NO_ROUTES,
    ];
}

/// Bounds around the aim of half a second to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 16] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.18, 0.27, 0.4, 0.54, 0.8, 1.2, 2.5, 5.0, 10.0, 30.0];
/// Bounds for waits here, which are below a millisecond or as long as a load peak, in seconds.
const QUEUE_WAIT_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Bounds from a lookup to the longest stream, in seconds.
const ANSWER_BUCKETS: [f64; 12] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0];
/// Bounds around the aim of 31 ms between tokens, in seconds.
const INTER_TOKEN_BUCKETS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.25, 1.0];
/// Samples wait in memory until they are sorted into buckets; at 12,000 tokens a second and
/// daemon this keeps under 100,000 of them.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why metrics cannot be recorded.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// another metrics recorder is installed in this process; install only this one: {0}
    Recorder(metrics_exporter_prometheus::BuildError),
}

impl std::error::Error for MetricsError {}

/// The recorder is one for the whole process, as the `metrics` library has it.
static INSTALLED: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

/// Installs the recorder with every counter present at 0. A second call returns the same handle,
/// so that several daemons can live in one test process.
///
/// # Errors
/// Another recorder is installed already.
pub fn install() -> Result<PrometheusHandle, MetricsError> {
    let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = installed.as_ref() {
        return Ok(handle.clone());
    }
    let buckets: [(&str, &[f64]); 4] = [
        (FIRST_TOKEN, &FIRST_TOKEN_BUCKETS),
        (INTER_TOKEN, &INTER_TOKEN_BUCKETS),
        (QUEUE_WAIT, &QUEUE_WAIT_BUCKETS),
        (ANSWER_TIME, &ANSWER_BUCKETS),
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

/// Sorts waiting samples into buckets for ever; run it as a task beside the daemon.
pub async fn upkeep(handle: PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}

fn describe() {
    describe_counter!(REQUESTS, "Requests taken in, by class.");
    describe_counter!(ANSWERS, "Requests answered whole, by class.");
    describe_counter!(REFUSALS, "Requests refused, by reason.");
    describe_counter!(RETRIES, "Requests sent again, by reason.");
    describe_histogram!(FIRST_TOKEN, "Seconds from arrival to the first token.");
    describe_histogram!(QUEUE_WAIT, "Seconds from arrival to the first sending.");
    describe_histogram!(ANSWER_TIME, "Seconds from arrival to the end of the answer.");
    describe_histogram!(INTER_TOKEN, "Seconds between tokens of one answer.");
    describe_counter!(PROMPT_TOKENS, "Prompt tokens sent to engines.");
    describe_counter!(CACHE_HIT_TOKENS, "Prompt tokens that engines took from their caches.");
    describe_counter!(RECOMPUTED_TOKENS, "Prompt tokens computed again.");
    describe_gauge!(QUEUE, "Requests that wait in this daemon.");
    describe_gauge!(IN_FLIGHT, "Requests in flight from this daemon, by server.");
    describe_gauge!(CONFIG_REVISION, "Configuration revision in force at this daemon.");
    describe_gauge!(CONFIG_UNCONFIRMED, "Seconds since a control VM that is up to date answered.");
    describe_counter!(FOLLOW_DOCUMENTS, "Documents handed to followers, by kind.");
    describe_counter!(FOLLOW_LISTS, "Server lists handed to followers, by kind.");
    describe_gauge!(FOLLOWERS, "Daemons that follow this control VM.");
    describe_gauge!(WEIGHTS_PENDING, "Backend servers without the wanted weights, on the leader.");
    describe_counter!(
        BACKGROUND_CALLS_DROPPED,
        "Cancel calls, probes and digests that were dropped."
    );
    describe_counter!(MISMATCHED_RESPONSES, "Answers that belonged to another attempt.");
    describe_counter!(PEERS_REFUSED, "Daemons refused for their keys.");
    describe_gauge!(CONNECTIONS, "Open connections of callers and operators.");
    describe_gauge!(DRAINING, "1 while this daemon drains.");
    describe_counter!(CLAIMS_RELEASED, "Claims given back with nothing sent.");
    describe_counter!(ABORTED_REQUESTS, "Requests cut off at the end of a shutdown's grace.");
}

/// A counter that appears only with its first event hides that event from rates and alerts.
fn initialise_counters() {
    for reason in RefusalReason::ALL.map(RefusalReason::as_str).into_iter().chain(refusal::ALL) {
        counter!(REFUSALS, "reason" => reason).increment(0);
    }
    for reason in RetryReason::ALL.map(RetryReason::as_str) {
        counter!(RETRIES, "reason" => reason).increment(0);
    }
    for class in crate::inventory::RequestClass::ALL.map(|class| class.as_str()) {
        counter!(REQUESTS, "class" => class).increment(0);
        counter!(ANSWERS, "class" => class).increment(0);
    }
    for kind in ["whole", "difference"] {
        counter!(FOLLOW_DOCUMENTS, "kind" => kind).increment(0);
        counter!(FOLLOW_LISTS, "kind" => kind).increment(0);
    }
    counter!(MISMATCHED_RESPONSES).increment(0);
    counter!(BACKGROUND_CALLS_DROPPED).increment(0);
    counter!(PEERS_REFUSED).increment(0);
    counter!(CLAIMS_RELEASED).increment(0);
    counter!(ABORTED_REQUESTS).increment(0);
    gauge!(CONFIG_REVISION).set(0.0);
    gauge!(CONFIG_UNCONFIRMED).set(0.0);
    gauge!(DRAINING).set(0.0);
    gauge!(CONNECTIONS).set(0.0);
}
