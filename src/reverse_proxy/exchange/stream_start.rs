//! Begins to relay a stream, or ends an attempt whose stream does not begin.

use {
    super::{AttemptEnd, AttemptStep, HttpExchange, ResumePosition, StartedResponse, wait_end},
    crate::{
        backend::sse::{EventBuffer, EventScanner, MAX_EVENT_BYTES, has_data, is_later},
        policy::{AttemptFailure, SendOrder},
        reverse_proxy::{
            CallerRequest,
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

/// The beginning of a stream, before any of it is relayed.
struct StreamBeginning {
    /// Whether it has to contain an event, because the request can be sent to another server until then.
    waits_for_event: bool,
    bytes: BytesMut,
    position: EventScanner,
    /// The events of a stream that its caller resumes, until it is known where the stream goes on.
    unchecked: Option<EventBuffer>,
}

impl StreamBeginning {
    fn new(content: StreamContent, caller: &CallerRequest) -> Self {
        let waits_for_event = content == StreamContent::Events && caller.route.kind.is_repeatable();
        let resumes = waits_for_event && caller.resumes.is_some();
        StreamBeginning {
            waits_for_event,
            bytes: BytesMut::new(),
            position: EventScanner::default(),
            unchecked: resumes.then(EventBuffer::default),
        }
    }

    /// Adds received bytes, and returns whether the stream has begun.
    ///
    /// # Errors
    /// The failure of a server that does not resume the stream where it was asked to.
    fn add(
        &mut self,
        exchange: &HttpExchange,
        order: &SendOrder,
        bytes: &[u8],
    ) -> Result<bool, AttemptFailure> {
        self.position.scan(bytes);
        self.bytes.extend_from_slice(bytes);
        self.check_position(exchange, order, bytes)?;
        let has_event = self.position.has_event() && self.unchecked.is_none();
        let is_too_long = self.bytes.len() > MAX_EVENT_BYTES;
        if is_too_long && self.unchecked.is_some() {
            return Err(AttemptFailure::ServerError);
        }
        Ok(!self.waits_for_event || has_event || is_too_long)
    }

    /// Whether a stream that ends here is complete. A carriage return may have ended its last event.
    fn is_complete(&mut self, exchange: &HttpExchange, order: &SendOrder) -> bool {
        let has_event = self.position.has_event() && !self.position.is_inside_event();
        has_event && self.check_position(exchange, order, b"\n").is_ok() && self.unchecked.is_none()
    }

    /// Checks that a stream that its caller resumes begins after the last event that the caller has, by
    /// its first event with an id or data.
    fn check_position(
        &mut self,
        exchange: &HttpExchange,
        order: &SendOrder,
        bytes: &[u8],
    ) -> Result<(), AttemptFailure> {
        let resumed = exchange.request.caller.resumes.as_ref();
        let Some((events, resumed)) = self.unchecked.as_mut().zip(resumed) else { return Ok(()) };
        let blocks = events.push(bytes);
        let mut events = blocks.events.into_iter().map(|event| &blocks.bytes[event]);
        let first = events.find_map(|event| {
            let (id, _) = exchange.core.dialect.read_event(event);
            (id.is_some() || has_data(event)).then_some(id)
        });
        let Some(first) = first else { return Ok(()) };
        self.unchecked = None;
        if first.as_ref().is_none_or(|first| is_later(first, &resumed.last_event)) {
            return Ok(());
        }
        exchange.log_misplaced(order, first.as_deref(), Some(&resumed.last_event));
        Err(AttemptFailure::ServerError)
    }
}

impl HttpExchange {
    /// Waits for the first event of a stream that can be resumed, and for the first bytes of another
    /// one. Until they arrive, the request can still be sent to another server.
    pub(super) async fn start_stream(
        &mut self,
        order: &SendOrder,
        mut response: StartedResponse,
    ) -> AttemptStep {
        let content = StreamContent::read(&response.parts, &self.request.head.method);
        let mut beginning = StreamBeginning::new(content, &self.request.caller);
        let failure = loop {
            let frame = tokio::select! {
                frame = response.body.frame() => frame,
                end = wait_end(&mut self.handle, order.attempt, true) => {
                    match end {
                        AttemptEnd::Cancelled => return AttemptStep::Continue,
                        AttemptEnd::Withdrawn => break AttemptFailure::Withdrawn,
                    }
                }
                () = sleep_until(self.request.deadline.into()) => return AttemptStep::Continue,
            };
            let begun = match frame {
                Some(Ok(frame)) => {
                    beginning.add(self, order, &frame.into_data().unwrap_or_default())
                }
                Some(Err(error)) => Err(broken_attempt(&error)),
                None if content != StreamContent::Events => {
                    return self.complete_empty(order, response);
                }
                None if beginning.is_complete(self, order) => Ok(true),
                None => Err(response.framing.incomplete_attempt()),
            };
            match begun {
                Ok(true) => {
                    self.report_first_token(order, &mut response);
                    return begin_stream(order, response, content, beginning.bytes.freeze());
                }
                Ok(false) => {}
                Err(failure) => break failure,
            }
        };
        if failure != AttemptFailure::Withdrawn {
            self.core.recheck(&order.server);
        }
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
