//! Decides by the head of a backend server's response what becomes of an attempt.

use {
    super::{HttpExchange, ResumePosition, StartedResponse},
    crate::{
        backend::{connection::is_final_status, read_meter::MeteredBody},
        ids::WeightsNumber,
        observe::events,
        pipeline::counters::{count_mismatched_response, count_unstated_outcome},
        policy::{AttemptFailure, PolicyInput, SendOrder, ServerHealth},
        reverse_proxy::{
            dialect::{ResponseVerdict, guarantees_no_run},
            headers::{ResponseFraming, strip_connection},
            pool::LeasedConnection,
        },
    },
    http::{Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Maximum size of the body of a response that is not passed on, which is read so that its connection can
/// be reused.
const MAX_DISCARDED_BYTES: usize = 4 << 10;
/// How long to wait for such a body, which usually arrives with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// A response whose head has not been checked.
pub(super) struct ReceivedHead {
    pub response: Response<Incoming>,
    pub connection: LeasedConnection,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The weights that the request required.
    pub weights: Option<WeightsNumber>,
}

impl HttpExchange {
    /// Checks the head of a response. Only a response that may be passed on with its status is returned: the
    /// caller takes some statuses for a guarantee that the request has not run, which a server gives
    /// only by a statement of its own.
    pub(super) async fn handle_head(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
        received: ReceivedHead,
    ) -> Result<StartedResponse, AttemptFailure> {
        let ReceivedHead { response, mut connection, sent_at, weights } = received;
        let (parts, body) = response.into_parts();
        let body = MeteredBody::new(body, connection.meter().clone());
        let head = self.core.dialect.read_response(&parts, &self.request.caller.id);
        if let Some(lease) = connection.lease_mut() {
            lease.record_work_time(head.work_time.map(|factor| factor as f32));
        }
        let (framing, status, verdict) =
            (ResponseFraming::read(&parts), parts.status, head.verdict);
        let started = StartedResponse { parts, head, framing, body, connection, sent_at };
        if !is_final_status(status) {
            self.log_invalid_status(order, status);
            self.record_run();
            self.core.recheck(&order.server);
            return Err(self.report(order, AttemptFailure::Broken, from, None));
        }
        match verdict {
            ResponseVerdict::Executed => self.accept_response(order, from, started).await,
            ResponseVerdict::NotExecuted => Err(self.decline_attempt(order, from, started).await),
            ResponseVerdict::WrongServer => {
                log::warn!(server = order.server.as_str(), weights = order.weights.as_deref(),
                    instance = started.head.instance.as_deref(); "{}", events::SERVER_MISMATCHED);
                // A server that is the intended one refuses one of its models. The others are not affected.
                let is_intended = started.head.instance.as_ref() == Some(&order.server);
                let model = self.request.caller.work.as_ref().map(|work| &work.model);
                let is_usable =
                    is_intended && self.core.record_other_weights(&order.server, model, weights);
                if !is_usable {
                    let (server, health) = (order.server.clone(), ServerHealth::Dead);
                    self.handle.notify(PolicyInput::Health { server, health });
                    self.core.recheck_after_refresh(&order.server);
                }
                Err(self.report(order, AttemptFailure::Declined, from, None))
            }
            ResponseVerdict::OtherRequest => {
                count_mismatched_response();
                self.record_run();
                self.core.recheck(&order.server);
                Err(self.report(order, AttemptFailure::Broken, from, None))
            }
            ResponseVerdict::Unproven => {
                self.log_unproven(order, status);
                self.record_run();
                self.core.recheck(&order.server);
                Err(self.report(order, AttemptFailure::ServerError, from, None))
            }
        }
    }

    /// Returns the response to a request that the server may have run, unless its status guarantees that it
    /// has not.
    async fn accept_response(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
        mut response: StartedResponse,
    ) -> Result<StartedResponse, AttemptFailure> {
        self.record_run();
        self.record_head(order, &response);
        if guarantees_no_run(response.parts.status) {
            self.log_unstated(order, response.parts.status);
            count_unstated_outcome();
            discard_body(response).await;
            return Err(self.report(order, AttemptFailure::ServerError, from, None));
        }
        strip_connection(&mut response.parts.headers);
        Ok(response)
    }

    /// Ends an attempt whose server states that it has not run the request.
    async fn decline_attempt(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
        response: StartedResponse,
    ) -> AttemptFailure {
        let StartedResponse { parts, head, connection, .. } = &response;
        self.log_rejection(order, head, connection.has_lease());
        if parts.status == StatusCode::SERVICE_UNAVAILABLE {
            connection.report_rejection();
        }
        self.record_head(order, &response);
        let retry_after = head.retry_after;
        discard_body(response).await;
        self.report(order, AttemptFailure::Declined, from, retry_after)
    }

    /// Records what a server says of itself in its response to this request.
    fn record_head(&self, order: &SendOrder, response: &StartedResponse) {
        let StartedResponse { parts, head, sent_at, .. } = response;
        let (core, service, sent_at) = (&self.core, &self.request.service, *sent_at);
        core.record_demand(&order.server, sent_at, parts.status, head);
        core.record_identity(&order.server, sent_at);
        core.record_limit(&order.server, head);
        core.record_rejection_limit(service, sent_at, head);
        core.record_sharing(service, sent_at, head);
        let model = self.request.caller.work.as_ref().map(|work| &work.model);
        core.record_response(&order.server, model, head);
    }
}

/// Reads a body that is not passed on, and reuses the connection if it ends soon. A server that hangs after
/// the head must not delay the request.
async fn discard_body(response: StartedResponse) {
    let StartedResponse { body, connection, head, .. } = response;
    let rest = Limited::new(body, MAX_DISCARDED_BYTES).collect();
    if matches!(timeout(DISCARD_TIMEOUT, rest).await, Ok(Ok(_))) {
        connection.return_to_pool(head.idle_limit);
    }
}
