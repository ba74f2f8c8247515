//! Passes a stream of events on as it arrives, and goes on at another server where it may.
//!
//! Where another server can go on after a given event, only whole events are passed on, so that the
//! two parts fit together without a gap or a piece sent twice. Other streams pass as bytes.

use {
    super::{
        dialect::ResponseHead,
        exchange::{HttpExchange, ResumeFrom},
        pool::LeasedConnection,
        response::TruncatedResponse,
    },
    crate::{
        observe::events,
        pipeline::{DispatchDirective, counters::record_first_token},
        policy::{AttemptFailure, PolicyInput, RefusalReason, SendOrder},
    },
    bytes::{Bytes, BytesMut},
    futures::stream::{self, BoxStream, StreamExt},
    http::response,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::{Duration, Instant},
    tokio::time::sleep_until,
};

/// The longest event; a longer one is passed on in pieces and the stream is not resumed.
const EVENT_BYTES: usize = 256 * 1024;

/// A stream whose first bytes have arrived.
pub(super) struct StreamStart {
    pub parts: response::Parts,
    pub head: ResponseHead,
    pub body: Incoming,
    pub leased: LeasedConnection,
    pub first: Bytes,
    pub order: SendOrder,
}

/// A stream on its way to the caller.
pub(super) struct RelayedStream {
    exchange: HttpExchange,
    order: SendOrder,
    /// The server's answer; `None` once it has ended.
    source: Option<(Incoming, LeasedConnection)>,
    head: ResponseHead,
    /// Bytes that wait to be passed on.
    arrived: Option<Bytes>,
    /// An event that has not ended; only where the stream can be resumed, and within bounds.
    partial: BytesMut,
    resumable: bool,
    from: ResumeFrom,
    is_over: bool,
    pace: StreamPace,
}

/// When a stream's pieces came.
struct StreamPace {
    first: Duration,
    latest: Instant,
    longest_pause: Duration,
}

impl StreamPace {
    fn begin(arrived: Instant) -> Self {
        let latest = Instant::now();
        StreamPace { first: latest - arrived, latest, longest_pause: Duration::ZERO }
    }

    fn note(&mut self) {
        let now = Instant::now();
        self.longest_pause = self.longest_pause.max(now - self.latest);
        self.latest = now;
    }
}

impl RelayedStream {
    pub(super) fn new(exchange: HttpExchange, start: StreamStart) -> Self {
        let StreamStart { head, body, leased, first, order, .. } = start;
        exchange
            .route
            .notify(PolicyInput::FirstToken { attempt: order.attempt, cached_tokens: None });
        let pace = StreamPace::begin(exchange.request.arrived);
        let caller = &exchange.request.caller;
        if let Some(work) = &caller.work {
            record_first_token(work.model.as_str(), caller.class, pace.first);
        }
        RelayedStream {
            resumable: exchange.request.caller.route.kind.is_repeatable(),
            from: ResumeFrom { weights: head.weights, ..ResumeFrom::default() },
            exchange,
            order,
            source: Some((body, leased)),
            head,
            arrived: Some(first),
            partial: BytesMut::new(),
            is_over: false,
            pace,
        }
    }

    /// The stream in the form of a body. Dropping it ends the request: the caller has left.
    pub(super) fn into_pieces(self) -> BoxStream<'static, Result<Bytes, TruncatedResponse>> {
        stream::unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
        .boxed()
    }

    async fn next(&mut self) -> Option<Result<Bytes, TruncatedResponse>> {
        loop {
            if self.is_over {
                return None;
            }
            if let Some(bytes) = self.arrived.take() {
                let ready = self.whole_events(bytes);
                if !ready.is_empty() {
                    return Some(Ok(ready));
                }
            }
            match self.read().await {
                Ok(Some(bytes)) => self.arrived = Some(bytes),
                Ok(None) => {
                    self.is_over = true;
                    let rest = std::mem::take(&mut self.partial).freeze();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(cut) => {
                    self.is_over = true;
                    return Some(Err(cut));
                }
            }
        }
    }

    /// The next bytes of the present server, or of the one that goes on for it.
    async fn read(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        let ends = self.exchange.request.ends;
        let Some((body, _)) = &mut self.source else { return Ok(None) };
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sleep_until(ends.into()) => {
                self.exchange.log_truncated(&self.order, RefusalReason::DeadlinePassed, self.from.events);
                return Err(TruncatedResponse::TimeOver);
            }
        };
        match frame {
            Some(Ok(frame)) => {
                self.pace.note();
                Ok(Some(frame.into_data().unwrap_or_default()))
            }
            None => {
                let ended = self.source.take();
                self.exchange.count_completed();
                self.log_end();
                self.exchange.finish(self.order.attempt, self.from.events);
                ended.into_iter().for_each(|(_, leased)| leased.keep(self.head.idle_limit));
                Ok(None)
            }
            Some(Err(error)) => {
                log::debug!(error:% = error; "a stream broke");
                self.source = None;
                self.partial.clear();
                self.go_on().await.map(Some)
            }
        }
    }

    fn log_end(&self) {
        let request = &self.exchange.request;
        let weights = self.from.weights.map(|version| version.to_string());
        log::info!(
            request_id = request.caller.id.as_str(),
            route = request.caller.route.name.as_str(),
            server = self.order.server.as_str(),
            document = request.document,
            weights = weights.as_deref(),
            sent_to = self.exchange.runs,
            first_event_ms = self.pace.first.as_millis() as u64,
            longest_pause_ms = self.pace.longest_pause.as_millis() as u64,
            total_ms = self.exchange.waited_ms(),
            expected_hit = self.order.expected_hit,
            relayed_events = self.from.events;
            "{}", events::STREAM_WHOLE
        );
    }

    /// Lets another server go on after the last event that was passed on.
    async fn go_on(&mut self) -> Result<Bytes, TruncatedResponse> {
        let exchange = &mut self.exchange;
        exchange.core.recheck(&self.order.server);
        exchange.report(&self.order, AttemptFailure::Broken, &self.from, None);
        if !self.resumable || !exchange.may_run_again() || self.from.event.is_none() {
            exchange.log_truncated(&self.order, RefusalReason::ServerFailed, self.from.events);
            return Err(TruncatedResponse::BackendFailed);
        }
        loop {
            let directive = tokio::select! {
                directive = exchange.route.next() => directive,
                () = sleep_until(exchange.request.ends.into()) => {
                    exchange.log_truncated(&self.order, RefusalReason::DeadlinePassed, self.from.events);
                    return Err(TruncatedResponse::TimeOver);
                }
            };
            let order = match directive {
                DispatchDirective::Send(order) => *order,
                DispatchDirective::Cancel(_) => continue,
                DispatchDirective::Refuse { reason, .. } => {
                    exchange.log_truncated(&self.order, reason, self.from.events);
                    return Err(TruncatedResponse::BackendFailed);
                }
            };
            let begun = exchange.begin(&order, &self.from).await;
            let answer = match begun {
                Ok(answer) if answer.parts.status.is_success() => answer,
                Ok(_) => {
                    exchange.report(&order, AttemptFailure::ServerError, &self.from, None);
                    exchange.log_truncated(&order, RefusalReason::ServerFailed, self.from.events);
                    return Err(TruncatedResponse::BackendFailed);
                }
                Err(
                    AttemptFailure::Declined | AttemptFailure::NotConnected | AttemptFailure::Stale,
                ) => {
                    continue;
                }
                Err(_) if exchange.may_run_again() => continue,
                Err(_) => {
                    exchange.log_truncated(&order, RefusalReason::ServerFailed, self.from.events);
                    return Err(TruncatedResponse::BackendFailed);
                }
            };
            log::warn!(request_id = exchange.request.caller.id.as_str(),
                server = order.server.as_str(), relayed_events = self.from.events;
                "{}", events::STREAM_RESUMED);
            let attempt = order.attempt;
            exchange.route.notify(PolicyInput::FirstToken { attempt, cached_tokens: None });
            self.head = answer.head;
            self.source = Some((answer.body, answer.leased));
            self.order = order;
            return Ok(Bytes::new());
        }
    }

    /// The whole events among what has arrived; the rest waits for its end.
    fn whole_events(&mut self, bytes: Bytes) -> Bytes {
        if !self.resumable {
            self.from.events += 1;
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.partial) else {
            if self.partial.len() > EVENT_BYTES {
                self.resumable = false;
                return std::mem::take(&mut self.partial).freeze();
            }
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        for event in split_events(&whole) {
            let (id, weights) = self.exchange.core.dialect.read_event(event);
            self.from.events += 1;
            self.from.event = id.or(self.from.event.take());
            self.from.weights = weights.or(self.from.weights);
        }
        whole
    }
}

/// Where the last whole event ends: after an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let plain = rest.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
        let returns = rest.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        let end = match (plain, returns) {
            (Some(plain), Some(returns)) => plain.min(returns),
            (found, None) | (None, found) => found?,
        };
        let (event, after) = rest.split_at(end);
        rest = after;
        Some(event)
    })
}
