//! Log records of a request: failed attempts and the outcome.

use {
    super::HttpExchange,
    crate::{
        ids::ServerId,
        observe::{events, metrics::SERVER_REJECTIONS},
        pipeline::counters::{count_response, record_response_time},
        policy::{AttemptFailure, RefusalReason, SendOrder},
        reverse_proxy::{
            dialect::{ResponseHead, ResumedStream},
            request::BufferedRequest,
            stream_origin::ResumeTarget,
        },
    },
    http::StatusCode,
    metrics::counter,
    std::time::Duration,
};

impl Drop for HttpExchange {
    fn drop(&mut self) {
        if !self.is_logged {
            log::info!(
                request_id = self.request.caller.id.as_str(),
                route = self.request.caller.route.name.as_str(),
                sent_to = self.runs,
                waited_ms = self.waited_ms();
                "{}", events::CALLER_DISCONNECTED
            );
        }
    }
}

/// Logs that a request resumes a stream, and at which servers it can go on.
pub(super) fn log_resumption(
    request: &BufferedRequest,
    resumed: &ResumedStream,
    target: &ResumeTarget,
) {
    let (evidence, software) = match target {
        ResumeTarget::AnyServer => ("not_sought", None),
        ResumeTarget::OnlyVersion(software) => ("only_version", Some(software.as_str())),
        ResumeTarget::Origin(origin) => ("origin", Some(origin.software.as_str())),
        ResumeTarget::Unknown => ("none", None),
    };
    log::info!(
        request_id = request.caller.id.as_str(),
        resumed_id = resumed.first_request.as_deref(),
        last_event = resumed.last_event.as_str(),
        software = software,
        evidence = evidence,
        is_known = *target != ResumeTarget::Unknown;
        "{}", events::CALLER_RESUMES
    );
}

impl HttpExchange {
    /// Milliseconds since the request arrived.
    pub(in crate::reverse_proxy) fn waited_ms(&self) -> u64 {
        self.request.arrived.elapsed().as_millis() as u64
    }

    /// Logs an attempt with the inputs of its decision; at debug level, because each request has at
    /// least one attempt.
    pub(super) fn log_send(&self, order: &SendOrder) {
        log::debug!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            source = order.source.as_deref(),
            keep:? = order.store_use,
            weights = order.weights.as_deref(),
            expected_hit = order.expected_hit,
            parts = self.prompt_parts(),
            waited_ms = self.waited_ms();
            "{}", events::REQUEST_SENT
        );
    }

    /// Logs that a server does not go on with a stream after the last event that the caller has.
    pub(in crate::reverse_proxy) fn log_misplaced(
        &self,
        order: &SendOrder,
        first: Option<&str>,
        last: Option<&str>,
    ) {
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            software = order.software.as_str(),
            last_event = last,
            first_event = first;
            "{}", events::STREAM_MISPLACED
        );
    }

    /// The parts of the prompt with their tokens, in order; empty for other requests.
    fn prompt_parts(&self) -> String {
        let parts = self.request.caller.work.iter().flat_map(|work| &work.parts);
        let parts: Vec<String> = parts.map(|(id, tokens)| format!("{id}:{tokens}")).collect();
        parts.join(",")
    }

    /// Logs that a server rejected the request, with the load that it reported, and whether the request
    /// was sent under a lease.
    pub(super) fn log_rejection(&self, order: &SendOrder, head: &ResponseHead, is_leased: bool) {
        counter!(SERVER_REJECTIONS).increment(1);
        let load = head.load;
        let work = self.request.caller.work.as_ref();
        log::info!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            running = load.map(|(running, _)| running),
            waiting = load.map(|(_, waiting)| waiting),
            in_flight = order.in_flight,
            attempt = self.attempts,
            is_leased = is_leased,
            prompt_tokens = work.map(|work| work.prompt_tokens),
            max_output_tokens = work.map(|work| work.max_output_tokens),
            rejection_limit = head.rejection_limit,
            retry_after_ms = head.retry_after.map(|delay| delay.as_millis() as u64);
            "{}", events::REQUEST_REJECTED
        );
    }

    /// Logs a response whose status is not passed on, because its server may have run the request.
    pub(super) fn log_unstated(&self, order: &SendOrder, status: StatusCode) {
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            route = self.request.caller.route.name.as_str(),
            server = order.server.as_str(),
            status = status.as_u16(),
            attempt = self.attempts;
            "{}", events::OUTCOME_UNSTATED
        );
    }

    /// Logs a success that is not passed on, because nothing proves that it is the server's own.
    pub(super) fn log_unproven(&self, order: &SendOrder, status: StatusCode) {
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            status = status.as_u16();
            "{}", events::RESPONSE_UNPROVEN
        );
    }

    /// Logs a response that is not passed on, because no final response has its status.
    pub(super) fn log_invalid_status(&self, order: &SendOrder, status: StatusCode) {
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            status = status.as_u16();
            "{}", events::STATUS_INVALID
        );
    }

    /// Logs a failed attempt, after which `events` events were relayed.
    pub(super) fn log_attempt_failure(
        &self,
        order: &SendOrder,
        failure: AttemptFailure,
        events: u32,
    ) {
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            server = order.server.as_str(),
            failure:? = failure,
            expected_hit = order.expected_hit,
            weights = order.weights.as_deref(),
            relayed_events = events,
            parts = self.prompt_parts(),
            sent_to = self.runs,
            waited_ms = self.waited_ms();
            "{}", events::ATTEMPT_FAILED
        );
    }

    /// Logs the refusal of the request.
    pub(super) fn log_refusal(&mut self, reason: &str, retry_after: Option<Duration>) {
        self.is_logged = true;
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            reason = reason,
            organisation = self.request.caller.organisation.as_str(),
            route = self.request.caller.route.name.as_str(),
            document = self.request.document,
            parts = self.prompt_parts(),
            sent_to = self.runs,
            waited_ms = self.waited_ms(),
            retry_after_ms = retry_after.map(|delay| delay.as_millis() as u64);
            "{}", events::REQUEST_REFUSED
        );
    }

    /// Logs that a server's error response is passed on.
    pub(super) fn log_passed_failure(&mut self, status: StatusCode) {
        self.is_logged = true;
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            route = self.request.caller.route.name.as_str(),
            status = status.as_u16(),
            sent_to = self.runs,
            waited_ms = self.waited_ms();
            "{}", events::FAILURE_FORWARDED
        );
    }

    /// Logs a complete response and counts it.
    pub(super) fn log_completed(&mut self, server: &ServerId, status: StatusCode) {
        self.count_completed();
        log::info!(
            request_id = self.request.caller.id.as_str(),
            route = self.request.caller.route.name.as_str(),
            server = server.as_str(),
            status = status.as_u16(),
            document = self.request.document,
            sent_to = self.runs,
            total_ms = self.waited_ms();
            "{}", events::RESPONSE_COMPLETED
        );
    }

    /// Counts a complete response, whose end the caller of this function logs.
    pub(in crate::reverse_proxy) fn count_completed(&mut self) {
        self.is_logged = true;
        let (class, elapsed) = (self.request.caller.class, self.request.arrived.elapsed());
        count_response(class);
        record_response_time(class, elapsed);
    }

    /// Logs a stream that has begun and cannot be completed.
    pub(in crate::reverse_proxy) fn log_truncated(
        &mut self,
        order: &SendOrder,
        reason: RefusalReason,
        events: u32,
    ) {
        self.is_logged = true;
        log::warn!(
            request_id = self.request.caller.id.as_str(),
            route = self.request.caller.route.name.as_str(),
            reason = reason.as_str(),
            server = order.server.as_str(),
            relayed_events = events,
            sent_to = self.runs,
            waited_ms = self.waited_ms();
            "{}", events::STREAM_INTERRUPTED
        );
    }
}
