//! Begins to relay a stream, or ends an attempt whose stream does not begin.

use {
    super::{AttemptStep, HttpExchange, ResumePosition, StartedResponse, wait_withdrawn},
    crate::{
        backend::sse::{EventScanner, MAX_EVENT_BYTES},
        policy::SendOrder,
        reverse_proxy::{
            pool::broken_attempt,
            relay::{StreamContent, StreamStart},
            response::ResponseBody,
            timeout_stream::ConnectionPhase,
        },
    },
    bytes::{Bytes, BytesMut},
    http::{Response, header},
    http_body_util::BodyExt,
    tokio::time::sleep_until,
};

impl HttpExchange {
    /// Waits for the first event of a stream that can be resumed, and for the first bytes of another
    /// one. Until they arrive, the request can still be sent to another server.
    pub(super) async fn start_stream(
        &mut self,
        order: &SendOrder,
        mut response: StartedResponse,
    ) -> AttemptStep {
        let content = StreamContent::read(&response.parts, &self.request.head.method);
        let waits_for_event =
            content == StreamContent::Events && self.request.caller.route.kind.is_repeatable();
        let (mut first, mut position) = (BytesMut::new(), EventScanner::default());
        let failure = loop {
            let frame = tokio::select! {
                frame = response.body.frame() => frame,
                () = wait_withdrawn(&mut self.handle, order.attempt) => return AttemptStep::Continue,
                () = sleep_until(self.request.deadline.into()) => return AttemptStep::Continue,
            };
            match frame {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    position.scan(&bytes);
                    first.extend_from_slice(&bytes);
                    let is_begun = position.has_event() || first.len() > MAX_EVENT_BYTES;
                    if is_begun || !waits_for_event {
                        self.report_first_token(order, &mut response);
                        return begin_stream(order, response, content, first.freeze());
                    }
                }
                Some(Err(error)) => break broken_attempt(&error),
                None if content == StreamContent::Events => {
                    break response.framing.incomplete_attempt();
                }
                None => return self.complete_empty(order, response),
            }
        };
        self.core.recheck(&order.server);
        let failure = self.report(order, failure, &ResumePosition::default(), None);
        self.step_after_failure(failure)
    }

    /// Completes a response without a body.
    fn complete_empty(&mut self, order: &SendOrder, response: StartedResponse) -> AttemptStep {
        self.finish(order.attempt, 0);
        self.log_completed(&order.server, response.parts.status);
        response.connection.return_to_pool(response.head.idle_limit);
        let body = ResponseBody::full(Bytes::new(), ConnectionPhase::default(), None);
        AttemptStep::Response(Box::new(Response::from_parts(response.parts, body)))
    }
}

fn begin_stream(
    order: &SendOrder,
    response: StartedResponse,
    content: StreamContent,
    first: Bytes,
) -> AttemptStep {
    let StartedResponse { mut parts, head, framing, body, connection, .. } = response;
    parts.headers.remove(header::CONTENT_LENGTH);
    let order = order.clone();
    let start = StreamStart { parts, head, framing, content, body, connection, first, order };
    AttemptStep::Stream(Box::new(start))
}
