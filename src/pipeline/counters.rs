//! The measures that the pipeline records.

use {
    crate::{
        inventory::RequestClass,
        observe::metrics::{
            ANSWER_TIME, ANSWERS, CROSSED_ANSWERS, FIRST_TOKEN, HIT_TOKENS, INTER_TOKEN,
            PROMPT_TOKENS, QUEUE_WAIT, RECOMPUTED_TOKENS, REFUSALS, REQUESTS, RETRIES,
        },
        policy::RetryReason,
    },
    metrics::{counter, histogram},
    std::time::Duration,
};

/// Counts a refusal by its code.
pub fn count_refusal(code: &'static str) {
    counter!(REFUSALS, "reason" => code).increment(1);
}

/// Counts a retry by its reason.
pub fn count_retry(reason: RetryReason) {
    counter!(RETRIES, "reason" => reason.as_str()).increment(1);
}

/// Counts an answer that arrived for another attempt and was dropped.
pub fn count_mismatched_response() {
    counter!(CROSSED_ANSWERS).increment(1);
}

/// Records the time from the caller's request to its first token.
pub fn record_first_token(model: impl Into<String>, class: RequestClass, time: Duration) {
    histogram!(FIRST_TOKEN, "model" => model.into(), "class" => class.as_str())
        .record(time.as_secs_f64());
}

/// Records the time from a request's arrival to its first sending.
pub fn record_queue_wait(class: RequestClass, time: Duration) {
    histogram!(QUEUE_WAIT, "class" => class.as_str()).record(time.as_secs_f64());
}

/// Records the time from a request's arrival to the end of its answer.
pub fn record_response_time(class: RequestClass, time: Duration) {
    histogram!(ANSWER_TIME, "class" => class.as_str()).record(time.as_secs_f64());
}

/// Records the time between two chunks of a stream.
pub fn record_inter_token(model: impl Into<String>, class: RequestClass, time: Duration) {
    histogram!(INTER_TOKEN, "model" => model.into(), "class" => class.as_str())
        .record(time.as_secs_f64());
}

/// Counts prompt tokens, and those of them that the engine took from its cache.
pub fn count_prompt(model: impl Into<String>, prompt_tokens: u32, hit_tokens: u32) {
    let model = model.into();
    counter!(PROMPT_TOKENS, "model" => model.clone()).increment(u64::from(prompt_tokens));
    counter!(HIT_TOKENS, "model" => model).increment(u64::from(hit_tokens));
}

/// Counts prompt tokens that were expected in a cache and computed again.
pub fn count_recomputed(model: impl Into<String>, tokens: u32) {
    counter!(RECOMPUTED_TOKENS, "model" => model.into()).increment(u64::from(tokens));
}

/// Counts a request taken in.
pub fn count_request(class: RequestClass) {
    counter!(REQUESTS, "class" => class.as_str()).increment(1);
}

/// Counts a request answered whole.
pub fn count_response(class: RequestClass) {
    counter!(ANSWERS, "class" => class.as_str()).increment(1);
}
