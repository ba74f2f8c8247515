//! Relays event streams to callers and resumes interrupted streams at another server.
//!
//! If a stream can be resumed, only complete events are relayed, so that the events of two servers
//! join without a gap or a duplicate. A server that does not go on after the last relayed event has
//! failed, and none of its events is relayed. Other streams are relayed as bytes. In both, a body that ends
//! inside an event or without any is an interrupted one, whatever its framing says.

use {
    super::{
        dialect::ResponseHead,
        exchange::{HttpExchange, ResumePosition, StartedResponse},
        headers::ResponseFraming,
        pool::{LeasedConnection, broken_attempt},
        request::BufferedRequest,
        response::TruncatedResponse,
    },
    crate::{
        backend::{
            read_meter::MeteredBody,
            sse::{EventBuffer, EventScanner, has_data, is_event_stream, is_later},
        },
        follow::stream_origins::StreamOrigin,
        observe::events,
        pipeline::{DispatchDirective, counters::record_first_token},
        policy::{AttemptFailure, PolicyInput, RefusalReason, SendOrder},
    },
    bytes::Bytes,
    futures::stream::{self, BoxStream, StreamExt},
    http::{Method, StatusCode, header, response},
    http_body_util::BodyExt,
    std::time::{Duration, Instant},
    tokio::time::sleep_until,
};

/// What the body of a response on a route with streaming contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamContent {
    /// Events, at least one of them.
    Events,
    /// Content without a type, which is a stream of events once it contains one.
    Untyped,
    /// Content of another type, or none.
    Other,
}

impl StreamContent {
    /// Reads the content from the head of a response to a request with this method.
    pub(super) fn read(parts: &response::Parts, method: &Method) -> Self {
        let has_body = *method != Method::HEAD && parts.status != StatusCode::NO_CONTENT;
        match parts.headers.get(header::CONTENT_TYPE) {
            _ if !has_body => StreamContent::Other,
            None => StreamContent::Untyped,
            Some(value) if value.to_str().is_ok_and(is_event_stream) => StreamContent::Events,
            Some(_) => StreamContent::Other,
        }
    }

    /// Whether content that ends at this position is incomplete.
    fn is_interrupted(self, position: &EventScanner) -> bool {
        match self {
            StreamContent::Events => position.is_inside_event() || !position.has_event(),
            StreamContent::Untyped => position.is_inside_event() && position.has_event(),
            StreamContent::Other => false,
        }
    }
}

/// A stream whose first bytes have arrived.
pub(super) struct StreamStart {
    pub parts: response::Parts,
    pub head: ResponseHead,
    pub framing: ResponseFraming,
    pub content: StreamContent,
    pub body: MeteredBody,
    pub connection: LeasedConnection,
    pub first: Bytes,
    pub order: SendOrder,
}

/// A stream that is relayed to the caller.
pub(super) struct RelayedStream {
    exchange: HttpExchange,
    order: SendOrder,
    /// The body of the current server's response; `None` once it has ended.
    source: Option<(MeteredBody, LeasedConnection)>,
    head: ResponseHead,
    framing: ResponseFraming,
    /// Received bytes that have not been relayed yet.
    received: Option<Bytes>,
    /// Holds incomplete events only if the stream can be resumed.
    events: EventBuffer,
    content: StreamContent,
    /// Whether the stream can be resumed: until an event is longer than the buffer.
    resumable: bool,
    position: ResumePosition,
    /// Whether it has not been checked yet where the server that resumes the stream goes on.
    is_unchecked: bool,
    is_finished: bool,
    timing: StreamTiming,
}

/// Arrival times of the data of a stream.
struct StreamTiming {
    first: Duration,
    last_arrival: Instant,
    longest_gap: Duration,
}

impl StreamTiming {
    fn begin(received: Instant) -> Self {
        let last_arrival = Instant::now();
        StreamTiming { first: last_arrival - received, last_arrival, longest_gap: Duration::ZERO }
    }

    fn record_arrival(&mut self) {
        let now = Instant::now();
        self.longest_gap = self.longest_gap.max(now - self.last_arrival);
        self.last_arrival = now;
    }
}

/// Records where a stream that callers can resume begins or goes on.
fn record_origin(exchange: &HttpExchange, order: &SendOrder) {
    let BufferedRequest { caller, service, .. } = &exchange.request;
    if !caller.route.kind.is_repeatable() {
        return;
    }
    let resumed = caller.resumes.as_ref().and_then(|resumed| resumed.first_request.as_ref());
    let origin = StreamOrigin { service: service.clone(), software: order.software.clone() };
    exchange.core.record_origin(resumed.unwrap_or(&caller.id), origin);
}

/// Whether a response can contain the events that resume a stream.
fn is_event_response(parts: &response::Parts, exchange: &HttpExchange) -> bool {
    let content = StreamContent::read(parts, &exchange.request.head.method);
    parts.status.is_success() && content != StreamContent::Other
}

impl RelayedStream {
    pub(super) fn new(exchange: HttpExchange, start: StreamStart) -> Self {
        let StreamStart { head, framing, content, body, connection, first, order, .. } = start;
        exchange
            .handle
            .notify(PolicyInput::FirstToken { attempt: order.attempt, cached_tokens: None });
        let timing = StreamTiming::begin(exchange.request.arrived);
        let caller = &exchange.request.caller;
        if let Some(work) = &caller.work {
            record_first_token(work.model.as_str(), caller.class, timing.first);
        }
        record_origin(&exchange, &order);
        RelayedStream {
            resumable: content != StreamContent::Other
                && exchange.request.caller.route.kind.is_repeatable(),
            position: ResumePosition { weights: head.weights, ..ResumePosition::default() },
            exchange,
            order,
            source: Some((body, connection)),
            head,
            framing,
            received: Some(first),
            events: EventBuffer::default(),
            content,
            is_unchecked: false,
            is_finished: false,
            timing,
        }
    }

    /// Converts the stream into chunks of a response body. Dropping them ends the request, because
    /// the caller has disconnected.
    pub(super) fn into_chunks(self) -> BoxStream<'static, Result<Bytes, TruncatedResponse>> {
        stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk, relay))
        })
        .boxed()
    }

    async fn next(&mut self) -> Option<Result<Bytes, TruncatedResponse>> {
        loop {
            if self.is_finished {
                return None;
            }
            let read = match self.received.take().map(|bytes| self.complete_events(bytes)) {
                Some(Ok(ready)) if !ready.is_empty() => return Some(Ok(ready)),
                Some(Err(failure)) => {
                    self.source = None;
                    self.resume(failure).await.map(Some)
                }
                _ => self.read().await,
            };
            match read {
                Ok(Some(bytes)) => self.received = Some(bytes),
                Ok(None) => {
                    self.is_finished = true;
                    let rest = self.events.take_incomplete();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(error) => {
                    self.is_finished = true;
                    return Some(Err(error));
                }
            }
        }
    }

    /// Reads the next bytes from the current server, or from the one that resumes the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        let deadline = self.exchange.request.deadline;
        let Some((body, _)) = &mut self.source else { return Ok(None) };
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sleep_until(deadline.into()) => {
                self.exchange.log_truncated(
                    &self.order,
                    RefusalReason::DeadlinePassed,
                    self.position.events,
                );
                return Err(TruncatedResponse::DeadlinePassed);
            }
        };
        let is_interrupted = frame.is_none() && self.is_interrupted();
        match frame {
            Some(Ok(frame)) => {
                self.timing.record_arrival();
                Ok(Some(frame.into_data().unwrap_or_default()))
            }
            None if is_interrupted => {
                log::debug!(request_id = self.exchange.request.caller.id.as_str(),
                    framing = self.framing.as_str(); "a backend server's stream is incomplete");
                self.source = None;
                self.resume(self.framing.incomplete_attempt()).await.map(Some)
            }
            None => {
                let ended = self.source.take();
                self.exchange.count_completed();
                self.log_completed_stream();
                self.exchange.finish(self.order.attempt, self.position.events);
                ended
                    .into_iter()
                    .for_each(|(_, connection)| connection.return_to_pool(self.head.idle_limit));
                Ok(None)
            }
            Some(Err(error)) => {
                log::debug!(error:% = error; "a backend server's stream broke");
                self.source = None;
                self.resume(broken_attempt(&error)).await.map(Some)
            }
        }
    }

    fn log_completed_stream(&self) {
        let request = &self.exchange.request;
        let weights = self.position.weights.map(|version| version.to_string());
        log::info!(
            request_id = request.caller.id.as_str(),
            route = request.caller.route.name.as_str(),
            server = self.order.server.as_str(),
            software = self.order.software.as_str(),
            document = request.document,
            weights = weights.as_deref(),
            sent_to = self.exchange.runs,
            framing = self.framing.as_str(),
            predicted_ms = self.order.predicted.as_millis() as u64,
            first_event_ms = self.timing.first.as_millis() as u64,
            longest_pause_ms = self.timing.longest_gap.as_millis() as u64,
            total_ms = self.exchange.waited_ms(),
            expected_hit = self.order.expected_hit,
            relayed_events = self.position.events;
            "{}", events::STREAM_COMPLETED
        );
    }

    /// Resumes the stream at another server after the last relayed event.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<Bytes, TruncatedResponse> {
        let exchange = &mut self.exchange;
        exchange.core.recheck(&self.order.server);
        exchange.report(&self.order, failure, &self.position, None);
        if !self.resumable || !exchange.may_run_again() || self.position.event.is_none() {
            exchange.log_truncated(&self.order, RefusalReason::ServerFailed, self.position.events);
            return Err(TruncatedResponse::BackendFailed);
        }
        loop {
            let order = self.next_order().await?;
            let exchange = &mut self.exchange;
            let failure = match exchange.start_attempt(&order, &self.position).await {
                Ok(response) if is_event_response(&response.parts, exchange) => {
                    self.continue_with(order, response);
                    return Ok(Bytes::new());
                }
                Ok(_) => exchange.report(&order, AttemptFailure::ServerError, &self.position, None),
                Err(failure) => failure,
            };
            let is_unsent = matches!(
                failure,
                AttemptFailure::Declined
                    | AttemptFailure::NotConnected
                    | AttemptFailure::NoSlot
                    | AttemptFailure::Stale
            );
            if !is_unsent && !exchange.may_run_again() {
                exchange.log_truncated(&order, RefusalReason::ServerFailed, self.position.events);
                return Err(TruncatedResponse::BackendFailed);
            }
        }
    }

    /// Waits for the dispatcher's next order to send the request.
    async fn next_order(&mut self) -> Result<SendOrder, TruncatedResponse> {
        let exchange = &mut self.exchange;
        loop {
            let directive = tokio::select! {
                directive = exchange.handle.next() => directive,
                () = sleep_until(exchange.request.deadline.into()) => {
                    exchange.log_truncated(
                        &self.order,
                        RefusalReason::DeadlinePassed,
                        self.position.events,
                    );
                    return Err(TruncatedResponse::DeadlinePassed);
                }
            };
            match directive {
                DispatchDirective::Send(order) => return Ok(*order),
                DispatchDirective::Cancel(_) | DispatchDirective::Withdraw(_) => {}
                DispatchDirective::Refuse { reason, .. } => {
                    exchange.log_truncated(&self.order, reason, self.position.events);
                    return Err(TruncatedResponse::BackendFailed);
                }
            }
        }
    }

    /// Relays the response of another server from now on.
    fn continue_with(&mut self, order: SendOrder, response: StartedResponse) {
        log::warn!(request_id = self.exchange.request.caller.id.as_str(),
            server = order.server.as_str(), software = order.software.as_str(),
            former_software = self.order.software.as_str(), relayed_events = self.position.events;
            "{}", events::STREAM_RESUMED);
        let attempt = order.attempt;
        self.exchange.handle.notify(PolicyInput::FirstToken { attempt, cached_tokens: None });
        self.head = response.head;
        self.framing = response.framing;
        self.events = EventBuffer::default();
        self.content = StreamContent::Events;
        self.is_unchecked = true;
        self.source = Some((response.body, response.connection));
        self.order = order;
    }

    /// Adds received bytes and returns all complete events; an incomplete one is kept.
    ///
    /// # Errors
    /// The failure of a server that does not resume the stream where it was asked to.
    fn complete_events(&mut self, bytes: Bytes) -> Result<Bytes, AttemptFailure> {
        if !self.resumable {
            self.events.scan(&bytes);
            self.position.events += 1;
            return Ok(bytes);
        }
        let blocks = self.events.push(&bytes);
        self.check_position(blocks.events.iter().map(|event| &blocks.bytes[event.clone()]))?;
        for event in blocks.events {
            let event = &blocks.bytes[event];
            let (id, weights) = self.exchange.core.dialect.read_event(event);
            if id.is_some() || has_data(event) {
                // After an event without an id, an earlier id would make it come twice.
                self.position.event = id;
            }
            self.position.events += 1;
            self.position.weights = weights.or(self.position.weights);
        }
        if !self.events.is_too_long() {
            return Ok(blocks.bytes);
        }
        if self.is_unchecked {
            return Err(AttemptFailure::ServerError);
        }
        self.resumable = false;
        Ok([blocks.bytes, self.events.take_incomplete()].concat().into())
    }

    /// Checks that the first event of a server that resumes the stream is a later one than the last
    /// relayed event. Events without an id and data do not count.
    fn check_position<'a>(
        &mut self,
        mut events: impl Iterator<Item = &'a [u8]>,
    ) -> Result<(), AttemptFailure> {
        if !self.is_unchecked {
            return Ok(());
        }
        let first = events.find_map(|event| {
            let (id, _) = self.exchange.core.dialect.read_event(event);
            (id.is_some() || has_data(event)).then_some(id)
        });
        let Some(first) = first else { return Ok(()) };
        let (first, last) = (first.as_deref(), self.position.event.as_deref());
        if first.zip(last).is_some_and(|(first, last)| is_later(first, last)) {
            self.is_unchecked = false;
            return Ok(());
        }
        self.exchange.log_misplaced(&self.order, first, last);
        Err(AttemptFailure::ServerError)
    }

    /// Whether the stream is interrupted, although its server has sent everything. The last event of a
    /// server that ends lines with a carriage return is still held back.
    fn is_interrupted(&mut self) -> bool {
        let last = Bytes::copy_from_slice(self.events.incomplete());
        self.content.is_interrupted(self.events.scanner())
            || self.check_position([&last[..]].into_iter()).is_err()
            || self.is_unchecked
    }
}
