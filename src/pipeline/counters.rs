//! Metrics that the pipeline records.

use {
    crate::{
        inventory::RequestClass,
        observe::metrics::{
            CACHE_HIT_TOKENS, FIRST_TOKEN, INTER_TOKEN, MISMATCHED_RESPONSES, PROMPT_TOKENS,
            QUEUE_WAIT, RECOMPUTED_TOKENS, REFUSALS, REQUESTS, RESPONSE_TIME, RESPONSES, RETRIES,
            SERVICE_RETRIES, UNSTATED_OUTCOMES,
        },
        policy::RetryReason,
    },
    metrics::{counter, histogram},
    std::time::Duration,
};

/// Counts a refusal under its code.
pub fn count_refusal(code: &'static str) {
    counter!(REFUSALS, "reason" => code).increment(1);
}

/// Counts a retry under its reason, and under its model or service.
pub fn count_retry(service: impl Into<String>, reason: RetryReason) {
    counter!(RETRIES, "reason" => reason.as_str()).increment(1);
    counter!(SERVICE_RETRIES, "service" => service.into()).increment(1);
}

/// Counts a response that was dropped because it belongs to another attempt.
pub fn count_mismatched_response() {
    counter!(MISMATCHED_RESPONSES).increment(1);
}

/// Counts a response whose status is not passed on, because its server may have run the request.
pub fn count_unstated_outcome() {
    counter!(UNSTATED_OUTCOMES).increment(1);
}

/// Records the time from the arrival of a request to the first token of its response.
pub fn record_first_token(model: impl Into<String>, class: RequestClass, time: Duration) {
    histogram!(FIRST_TOKEN, "model" => model.into(), "class" => class.as_str())
        .record(time.as_secs_f64());
}

/// Records the time from the arrival of a request to its first attempt.
pub fn record_queue_wait(class: RequestClass, time: Duration) {
    histogram!(QUEUE_WAIT, "class" => class.as_str()).record(time.as_secs_f64());
}

/// Records the time from the arrival of a request to the end of its response.
pub fn record_response_time(class: RequestClass, time: Duration) {
    histogram!(RESPONSE_TIME, "class" => class.as_str()).record(time.as_secs_f64());
}

/// Records the time between two consecutive chunks of a stream.
pub fn record_inter_token(model: impl Into<String>, class: RequestClass, time: Duration) {
    histogram!(INTER_TOKEN, "model" => model.into(), "class" => class.as_str())
        .record(time.as_secs_f64());
}

/// Counts prompt tokens, and the part of them that the engine read from its cache.
pub fn count_prompt(model: impl Into<String>, prompt_tokens: u32, hit_tokens: u32) {
    let model = model.into();
    counter!(PROMPT_TOKENS, "model" => model.clone()).increment(u64::from(prompt_tokens));
    counter!(CACHE_HIT_TOKENS, "model" => model).increment(u64::from(hit_tokens));
}

/// Counts prompt tokens that were expected in an engine's cache but had to be computed.
pub fn count_recomputed(model: impl Into<String>, tokens: u32) {
    counter!(RECOMPUTED_TOKENS, "model" => model.into()).increment(u64::from(tokens));
}

/// Counts an admitted request.
pub fn count_request(class: RequestClass) {
    counter!(REQUESTS, "class" => class.as_str()).increment(1);
}

/// Counts a request whose response was completed.
pub fn count_response(class: RequestClass) {
    counter!(RESPONSES, "class" => class.as_str()).increment(1);
}
