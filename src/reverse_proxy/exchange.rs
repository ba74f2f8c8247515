//! Runs a request: executes the dispatcher's decisions until there is a response.

mod attempt_end;
mod logging;
mod response_head;
mod resumption;
mod slot;
mod stream_start;
mod usage;

use {
    self::{
        attempt_end::{AttemptEnd, wait_end},
        response_head::ReceivedHead,
        resumption::bind_resumption,
        usage::acquire_usage,
    },
    super::{
        core::ProxyCore,
        dialect::{BackendCall, ProxyRefusal, ResponseHead},
        headers::{ResponseFraming, strip_connection},
        pool::{BackendTarget, ConnectionReuse, LeasedConnection, PoolError, broken_attempt},
        relay::{RelayedStream, StreamStart},
        request::BufferedRequest,
        response::{ProxyResult, ResponseBody, STOPPING_RETRY_AFTER, dispatch_refusal},
        response_buffer::{BufferError, collect_response},
        timeout_stream::ConnectionPhase,
        usage_limit::UsageCharge,
    },
    crate::{
        backend::{read_meter::MeteredBody, sse::is_interrupted},
        ids::{AttemptId, ServerId, WeightsNumber},
        observe::metrics::refusal,
        pipeline::{
            DispatchDirective,
            counters::{count_refusal, count_request, record_queue_wait},
            dispatch::RequestHandle,
            drain::OpenRequest,
        },
        policy::{
            AttemptFailure, CacheStoreUse, DidRun, PolicyInput, RefusalReason, SendOrder,
            prefix::cache_salt,
        },
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, response},
    http_body_util::Full,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep_until,
};

/// How long a server gets no requests after its connection limit was reached: about the time that an
/// engine takes for one token.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(30);

/// A request and the state of its attempts.
pub struct HttpExchange {
    pub(super) core: Arc<ProxyCore>,
    pub(super) request: BufferedRequest,
    pub(super) handle: RequestHandle,
    /// Number of servers that may have begun to run the request.
    pub(super) runs: u32,
    /// What the request has paid, if its organisation has a usage limit.
    charge: Option<UsageCharge>,
    /// A server's error response, which is passed on if no other server succeeds.
    failure: Option<(response::Parts, Bytes)>,
    /// Number of times the request was sent.
    attempts: u32,
    /// The servers to which it was sent; the attempts bound their number.
    tried_servers: BTreeSet<ServerId>,
    /// Number of servers whose arbiters had no room in time.
    busy_servers: u32,
    /// Whether the outcome was logged. If not when this value is dropped, the caller has
    /// disconnected.
    is_logged: bool,
}

/// A response whose head has arrived and whose status can be passed on.
pub(super) struct StartedResponse {
    pub parts: response::Parts,
    pub head: ResponseHead,
    pub framing: ResponseFraming,
    pub body: MeteredBody,
    pub connection: LeasedConnection,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// The point after which a stream is resumed.
#[derive(Clone, Debug, Default)]
pub(super) struct ResumePosition {
    pub event: Option<String>,
    pub weights: Option<u64>,
    pub events: u32,
}

/// How the request continues after an attempt.
enum AttemptStep {
    Response(Box<Response<ResponseBody>>),
    Stream(Box<StreamStart>),
    Continue,
    Refused(ProxyRefusal),
}

/// Runs a request until its response begins; the response body continues to relay a stream.
pub async fn run(
    core: Arc<ProxyCore>,
    mut request: BufferedRequest,
    phase: ConnectionPhase,
    open: OpenRequest,
) -> ProxyResult {
    count_request(request.caller.class);
    bind_resumption(&core, &mut request).await?;
    let charge = acquire_usage(&core, &request).await?;
    let handle = core.dispatcher.submit(request.ticket());
    let mut exchange = HttpExchange {
        core,
        request,
        handle,
        runs: 0,
        charge,
        failure: None,
        attempts: 0,
        tried_servers: BTreeSet::new(),
        busy_servers: 0,
        is_logged: false,
    };
    loop {
        let deadline = exchange.request.deadline;
        let gate = exchange.core.gate.clone();
        let directive = tokio::select! {
            biased;
            () = gate.wait_too_late(deadline), if exchange.runs == 0 => {
                return Err(exchange.refuse_draining());
            }
            directive = exchange.handle.next() => directive,
            () = sleep_until(deadline.into()) => return exchange.expire(phase, open),
        };
        let step = match directive {
            DispatchDirective::Cancel(_) | DispatchDirective::Withdraw(_) => AttemptStep::Continue,
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                return exchange.refused(reason, retry_after, did_run, phase, open);
            }
            DispatchDirective::Send(order) => exchange.attempt(*order).await,
        };
        match step {
            AttemptStep::Continue => {}
            AttemptStep::Refused(refusal) => return Err(refusal),
            AttemptStep::Response(response) => {
                let (parts, body) = response.into_parts();
                let body = body.with_request(phase, open);
                return Ok(Response::from_parts(parts, body));
            }
            AttemptStep::Stream(start) => {
                let parts = start.parts.clone();
                let chunks = RelayedStream::new(exchange, *start).into_chunks();
                return Ok(Response::from_parts(
                    parts,
                    ResponseBody::stream(chunks, phase, Some(open)),
                ));
            }
        }
    }
}

impl HttpExchange {
    /// Ends the request at its deadline.
    fn expire(self, phase: ConnectionPhase, open: OpenRequest) -> ProxyResult {
        let did_run = if self.runs == 0 { DidRun::No } else { DidRun::Unknown };
        self.refused(RefusalReason::DeadlinePassed, None, did_run, phase, open)
    }

    /// Refuses a request that no server has begun to run, since this process may end before its response.
    /// Another entry can serve it.
    fn refuse_draining(mut self) -> ProxyRefusal {
        count_refusal(refusal::DRAINING);
        self.log_refusal(refusal::DRAINING, Some(STOPPING_RETRY_AFTER));
        ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, refusal::DRAINING)
            .retry_after(STOPPING_RETRY_AFTER)
    }

    fn refused(
        mut self,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        did_run: DidRun,
        phase: ConnectionPhase,
        open: OpenRequest,
    ) -> ProxyResult {
        if let Some((parts, body)) = self.failure.take() {
            self.log_passed_failure(parts.status);
            return Ok(Response::from_parts(parts, ResponseBody::full(body, phase, Some(open))));
        }
        // A request that may have run is never reported as not run, regardless of the
        // dispatcher's `did_run`.
        let did_run = if self.runs > 0 { DidRun::Unknown } else { did_run };
        self.log_refusal(reason.as_str(), retry_after);
        Err(dispatch_refusal(reason, retry_after, did_run))
    }

    async fn attempt(&mut self, order: SendOrder) -> AttemptStep {
        match self.start_attempt(&order, &ResumePosition::default()).await {
            Ok(response) => self.handle_response(&order, response).await,
            Err(failure) => self.step_after_failure(failure),
        }
    }

    /// Sends the request and reads the head of the response. A returned failure has already been
    /// reported to the dispatcher.
    pub(super) async fn start_attempt(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
    ) -> Result<StartedResponse, AttemptFailure> {
        let view = self.core.view();
        let Some(listed) = view.servers.get(&order.server) else {
            return Err(self.report(order, AttemptFailure::Stale, from, None));
        };
        // The decision is outdated if this process was paused.
        if Instant::now() >= order.send_before {
            return Err(self.report(order, AttemptFailure::Stale, from, None));
        }
        let lease = self.lease_slot(order, from).await?;
        if self.runs == 0 && self.core.gate.is_too_late(self.request.deadline) {
            return Err(self.report(order, AttemptFailure::Stale, from, None));
        }
        self.check_server(order, from)?;
        if self.attempts == 0 {
            record_queue_wait(self.request.caller.class, self.request.arrived.elapsed());
        }
        self.attempts += 1;
        self.log_send(order);
        let weights = self.required_weights(order, from);
        let request = self.backend_request(order, from, weights);
        let reuse = self.connection_reuse(order);
        let limit = view.connections(&listed.service);
        let target = BackendTarget { server: &order.server, address: listed.address };
        // Of other responses nothing tells whether their server has begun.
        let tells_begin = self.request.caller.route.kind.is_stream();
        let sent_at = Instant::now();
        self.begin_run();
        let sent = tokio::select! {
            sent = self.core.pool.send(target, request, reuse, limit) => sent,
            end = wait_end(&mut self.handle, order.attempt, tells_begin) => {
                self.record_run();
                return Err(self.end_attempt(order, from, end));
            }
            () = sleep_until(self.request.deadline.into()) => {
                self.record_run();
                return Err(self.report(order, AttemptFailure::TimedOut, from, None));
            }
        };
        let started = match sent {
            Ok((response, mut connection)) => {
                connection.set_lease(lease);
                let received = ReceivedHead { response, connection, sent_at, weights };
                self.handle_head(order, from, received).await
            }
            Err(error) => Err(self.connection_failed(order, from, error)),
        };
        self.end_unrecorded_run();
        started
    }

    /// Checks that a server still gets requests. Since the decision it may have asked not to be used, said that
    /// it leaves, or been listed as leaving, with outdated weights or with another software version.
    fn check_server(&self, order: &SendOrder, from: &ResumePosition) -> Result<(), AttemptFailure> {
        let model = self.request.caller.work.as_ref().map(|work| &work.model);
        let takes = self.core.view().takes_requests(&order.server, &order.software, model);
        if !takes {
            self.core.report_health(&order.server);
        }
        match takes && self.core.accepts_calls(&order.server) {
            true => Ok(()),
            false => Err(self.report(order, AttemptFailure::Stale, from, None)),
        }
    }

    /// Records the server of an attempt; returns which kept connections the attempt may use.
    fn connection_reuse(&mut self, order: &SendOrder) -> ConnectionReuse {
        let is_first = self.tried_servers.insert(order.server.clone());
        match self.request.caller.route.kind.is_repeatable() {
            true => ConnectionReuse::All,
            false if is_first => ConnectionReuse::Recent,
            false => ConnectionReuse::Never,
        }
    }

    fn connection_failed(
        &mut self,
        order: &SendOrder,
        from: &ResumePosition,
        error: PoolError,
    ) -> AttemptFailure {
        match error {
            PoolError::Full => {
                self.report(order, AttemptFailure::Declined, from, Some(FULL_RETRY_DELAY))
            }
            PoolError::NotConnected => {
                self.core.recheck(&order.server);
                self.report(order, AttemptFailure::NotConnected, from, None)
            }
            PoolError::Broken | PoolError::Unreachable => {
                let failure = match error {
                    PoolError::Unreachable => AttemptFailure::Unreachable,
                    _ => AttemptFailure::Broken,
                };
                self.record_run();
                self.core.recheck(&order.server);
                self.report(order, failure, from, None)
            }
        }
    }

    /// The weights that a server must run to serve the request. If its own were replaced for too long, it is
    /// asked for newer ones, which it may have loaded since it was listed; else it declines the request.
    fn required_weights(&self, order: &SendOrder, from: &ResumePosition) -> Option<WeightsNumber> {
        let BufferedRequest { caller, service, .. } = &self.request;
        let model = caller.work.as_ref().map(|work| &work.model);
        let current = self.core.server_weights(&order.server, service, model);
        let oldest = model.and_then(|model| self.core.view().oldest_weights(Instant::now(), model));
        let new =
            current.or_else(|| decided_weights(order)).map(|version| oldest.max(Some(version)));
        from.weights.or(new.flatten())
    }

    /// Builds the request for a server. Weights and salt use the same version: a stream that was resumed
    /// on new weights must not get cache entries of the former weights.
    fn backend_request(
        &self,
        order: &SendOrder,
        from: &ResumePosition,
        weights: Option<WeightsNumber>,
    ) -> Request<Full<Bytes>> {
        let BufferedRequest { caller, head, body, deadline, .. } = &self.request;
        let model = caller.work.as_ref().map(|work| &work.model);
        let decided = decided_weights(order);
        // The configuration may have isolated an organisation since the request was placed.
        let view = self.core.view();
        let index = view.index.as_ref();
        let scope = index.map_or_else(
            || self.request.placed_scope.clone(),
            |index| index.cache_scope(&caller.organisation),
        );
        let is_as_placed =
            weights.is_some() && weights == decided && scope == self.request.placed_scope;
        let source = order.source.as_ref().filter(|_| is_as_placed);
        let store = order.store_use.filter(|_| is_as_placed);
        let store = store.zip(self.core.store_address(self.request.shared_prefix()));
        let salt = model.map(|model| {
            let weights = weights.map(|version| version.to_string()).unwrap_or_default();
            cache_salt(&scope, model, None, &weights)
        });
        let call = BackendCall {
            request: caller,
            server: &order.server,
            time_left: deadline.saturating_duration_since(Instant::now()),
            cache_salt: salt,
            import_from: match store {
                Some((_, address)) => Some(address),
                None => source.and_then(|source| self.core.address(source)),
            },
            export_to: store
                .filter(|store| store.0 == CacheStoreUse::TakeAndBring)
                .map(|store| store.1),
            priority: order.priority,
            resume_after: from.event.clone(),
            weights,
        };
        let mut headers = head.headers.clone();
        strip_connection(&mut headers);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = self.core.dialect.backend_headers(&headers, &call);
        request
    }

    /// Reports a failed attempt to the dispatcher.
    pub(super) fn report(
        &self,
        order: &SendOrder,
        failure: AttemptFailure,
        from: &ResumePosition,
        retry_after: Option<Duration>,
    ) -> AttemptFailure {
        self.log_attempt_failure(order, failure, from.events);
        self.handle.notify(PolicyInput::Failed {
            attempt: order.attempt,
            failure,
            relayed_tokens: from.events,
            retry_after,
        });
        failure
    }

    /// Determines the step after a reported failure: the dispatcher decides on the next attempt,
    /// unless the route allows no more runs.
    fn step_after_failure(&mut self, failure: AttemptFailure) -> AttemptStep {
        let unsent = matches!(
            failure,
            AttemptFailure::NotConnected
                | AttemptFailure::Declined
                | AttemptFailure::NoSlot
                | AttemptFailure::Stale
        );
        if unsent || self.may_run_again() || failure == AttemptFailure::TimedOut {
            return AttemptStep::Continue;
        }
        if let Some((parts, body)) = self.failure.take() {
            self.log_passed_failure(parts.status);
            let body = ResponseBody::full(body, ConnectionPhase::default(), None);
            return AttemptStep::Response(Box::new(Response::from_parts(parts, body)));
        }
        count_refusal(refusal::BACKEND_FAILED);
        self.log_refusal(refusal::BACKEND_FAILED, None);
        AttemptStep::Refused(ProxyRefusal::new(StatusCode::BAD_GATEWAY, refusal::BACKEND_FAILED))
    }

    async fn handle_response(
        &mut self,
        order: &SendOrder,
        response: StartedResponse,
    ) -> AttemptStep {
        if self.request.caller.route.kind.is_stream() && response.parts.status.is_success() {
            return self.start_stream(order, response).await;
        }
        let StartedResponse { mut parts, head, framing, body, mut connection, sent_at } = response;
        let from_start = ResumePosition::default();
        let collected = tokio::select! {
            collected = collect_response(&self.request.hold, body) => collected,
            _ = wait_end(&mut self.handle, order.attempt, false) => return AttemptStep::Continue,
            () = sleep_until(self.request.deadline.into()) => return AttemptStep::Continue,
        };
        let body = match collected {
            Ok(body) => body,
            Err(error) => {
                log::debug!(server = order.server.as_str(); "a response was not buffered: {error}");
                let failure = match error {
                    BufferError::Broken(error) => broken_attempt(&error),
                    BufferError::TooLong => AttemptFailure::Broken,
                    BufferError::NoMemory => AttemptFailure::ServerError,
                };
                if failure != AttemptFailure::ServerError {
                    self.core.recheck(&order.server);
                }
                let failure = self.report(order, failure, &from_start, None);
                return self.step_after_failure(failure);
            }
        };
        let content_type = parts.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        if is_interrupted(content_type, &body) {
            let failure = self.report(order, framing.incomplete_attempt(), &from_start, None);
            self.core.recheck(&order.server);
            return self.step_after_failure(failure);
        }
        if !parts.status.is_server_error() {
            self.report_response(order, sent_at, &mut connection);
        }
        connection.return_to_pool(head.idle_limit);
        if parts.status.is_server_error() && self.may_run_again() {
            self.failure = Some((parts, body));
            let failure = self.report(order, AttemptFailure::ServerError, &from_start, None);
            return self.step_after_failure(failure);
        }
        self.finish(order.attempt, 0);
        self.log_completed(&order.server, parts.status);
        // The HTTP library sets the framing of the relayed response.
        parts.headers.remove(http::header::CONTENT_LENGTH);
        let body = ResponseBody::full(body, ConnectionPhase::default(), None);
        AttemptStep::Response(Box::new(Response::from_parts(parts, body)))
    }

    /// Reports a completed attempt to the dispatcher.
    pub(super) fn finish(&self, attempt: AttemptId, output_tokens: u32) {
        self.handle.notify(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens });
    }
}

/// The weights of the server when the dispatcher chose it.
fn decided_weights(order: &SendOrder) -> Option<WeightsNumber> {
    order.weights.as_ref().and_then(|version| version.parse().ok())
}

/// Reduces a URI to path and query, as used in requests to origin servers.
fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| http::Uri::from_static("/"))
}
