//! Runs one request: follows the dispatcher's decisions until there is an answer.

mod logging;

use {
    super::{
        core::ProxyCore,
        dialect::{BackendCall, ProxyRefusal, ResponseHead, ResponseVerdict},
        headers::strip_connection,
        pool::{LeasedConnection, PoolError},
        relay::{RelayedStream, StreamStart},
        request::BufferedRequest,
        response::{ProxyResult, ResponseBody, dispatch_refusal},
        timeout_stream::ConnectionPhase,
    },
    crate::{
        ids::AttemptId,
        observe::{events, metrics::refusal},
        pipeline::{
            DispatchDirective,
            counters::{
                count_mismatched_response, count_refusal, count_request, record_queue_wait,
            },
            dispatch::RequestHandle,
            drain::OpenRequest,
        },
        policy::{
            AttemptFailure, DidRun, KeepUse, PolicyInput, RefusalReason, SendOrder, ServerHealth,
            prefix::cache_salt,
        },
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, response},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout},
};

/// The longest answer that is held back until it is whole; only streams may be longer.
const WHOLE_ANSWER_BYTES: usize = 4 << 20;
/// The longest body of a refusal that is read so that its connection can be kept.
const REFUSAL_BYTES: usize = 4 << 10;
/// How long such a body is awaited; it mostly comes with the head.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);
/// When a request is placed anew after all connections to a server were in use: about the time that
/// one token takes.
const FULL_PAUSE: Duration = Duration::from_millis(30);

/// One request on its way.
pub struct HttpExchange {
    pub(super) core: Arc<ProxyCore>,
    pub(super) request: BufferedRequest,
    pub(super) route: RequestHandle,
    /// Servers that may have begun to run it.
    pub(super) runs: u32,
    /// A server's own failure, passed on if nobody does better.
    failure: Option<(response::Parts, Bytes)>,
    /// Whether it was sent at least once.
    is_sent: bool,
    /// Whether how it ended is in the log; if not when it is dropped, its caller has left.
    is_logged: bool,
}

/// An answer whose head has arrived.
pub(super) struct StartedResponse {
    pub parts: response::Parts,
    pub head: ResponseHead,
    pub body: Incoming,
    pub leased: LeasedConnection,
}

/// Where a stream goes on.
#[derive(Clone, Debug, Default)]
pub(super) struct ResumeFrom {
    pub event: Option<String>,
    pub weights: Option<u64>,
    pub events: u32,
}

/// What one step came to.
enum Step {
    Answer(Box<Response<ResponseBody>>),
    Stream(Box<StreamStart>),
    Again,
    Refused(ProxyRefusal),
}

/// Runs a request to the beginning of its answer; a stream goes on in the answer's body.
pub async fn run(
    core: Arc<ProxyCore>,
    request: BufferedRequest,
    phase: ConnectionPhase,
    open: OpenRequest,
) -> ProxyResult {
    count_request(request.caller.class);
    let route = core.dispatcher.submit(request.ticket());
    let mut exchange = HttpExchange {
        core,
        request,
        route,
        runs: 0,
        failure: None,
        is_sent: false,
        is_logged: false,
    };
    loop {
        let ends = exchange.request.ends;
        let directive = tokio::select! {
            directive = exchange.route.next() => directive,
            () = sleep_until(ends.into()) => return exchange.give_up(phase, open),
        };
        let step = match directive {
            DispatchDirective::Cancel(_) => Step::Again,
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                return exchange.refused(reason, retry_after, did_run, phase, open);
            }
            DispatchDirective::Send(order) => exchange.attempt(*order).await,
        };
        match step {
            Step::Again => {}
            Step::Refused(refusal) => return Err(refusal),
            Step::Answer(response) => {
                let (parts, body) = response.into_parts();
                let body = body.held_by(phase, open);
                return Ok(Response::from_parts(parts, body));
            }
            Step::Stream(start) => {
                let parts = start.parts.clone();
                let pieces = RelayedStream::new(exchange, *start).into_pieces();
                return Ok(Response::from_parts(
                    parts,
                    ResponseBody::stream(pieces, phase, Some(open)),
                ));
            }
        }
    }
}

impl HttpExchange {
    /// The time for the request is over.
    fn give_up(self, phase: ConnectionPhase, open: OpenRequest) -> ProxyResult {
        let did_run = if self.runs == 0 { DidRun::No } else { DidRun::Unknown };
        self.refused(RefusalReason::DeadlinePassed, None, did_run, phase, open)
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
            return Ok(Response::from_parts(parts, ResponseBody::whole(body, phase, Some(open))));
        }
        // Whatever the dispatcher was told, a request that may have run is never said not to have.
        let did_run = if self.runs > 0 { DidRun::Unknown } else { did_run };
        self.log_refusal(reason.as_str(), retry_after);
        Err(dispatch_refusal(reason, retry_after, did_run))
    }

    async fn attempt(&mut self, order: SendOrder) -> Step {
        match self.begin(&order, &ResumeFrom::default()).await {
            Ok(answer) => self.take_answer(&order, answer).await,
            Err(failure) => self.after_failure(failure),
        }
    }

    /// Sends the request and reads the answer's head. A failure has been reported.
    pub(super) async fn begin(
        &mut self,
        order: &SendOrder,
        from: &ResumeFrom,
    ) -> Result<StartedResponse, AttemptFailure> {
        let view = self.core.view();
        let Some(listed) = view.servers.get(&order.server) else {
            return Err(self.report(order, AttemptFailure::Stale, from, None));
        };
        // After a pause of this process the decision may be long out of date.
        if Instant::now() >= order.send_before {
            return Err(self.report(order, AttemptFailure::Stale, from, None));
        }
        if !std::mem::replace(&mut self.is_sent, true) {
            record_queue_wait(self.request.caller.class, self.request.arrived.elapsed());
        }
        self.log_send(order);
        let request = self.backend_request(order, from);
        let once = !self.request.caller.route.kind.is_repeatable();
        let most = view.connections(&listed.service);
        let sent = tokio::select! {
            sent = self.core.pool.send(listed.address, request, once, most) => sent,
            () = withdrawn(&mut self.route, order.attempt) => {
                // The dispatcher knows; its next directive says how it ends.
                self.runs += 1;
                return Err(AttemptFailure::TimedOut);
            }
            () = sleep_until(self.request.ends.into()) => {
                self.runs += 1;
                return Err(self.report(order, AttemptFailure::TimedOut, from, None));
            }
        };
        match sent {
            Ok((response, leased)) => self.judge_head(order, from, response, leased).await,
            Err(error) => Err(self.connection_failed(order, from, error)),
        }
    }

    fn connection_failed(
        &mut self,
        order: &SendOrder,
        from: &ResumeFrom,
        error: PoolError,
    ) -> AttemptFailure {
        match error {
            PoolError::Full => self.report(order, AttemptFailure::Declined, from, Some(FULL_PAUSE)),
            PoolError::NotConnected => {
                self.core.recheck(&order.server);
                self.report(order, AttemptFailure::NotConnected, from, None)
            }
            PoolError::Broken => {
                self.runs += 1;
                self.core.recheck(&order.server);
                self.report(order, AttemptFailure::Broken, from, None)
            }
        }
    }

    async fn judge_head(
        &mut self,
        order: &SendOrder,
        from: &ResumeFrom,
        response: Response<Incoming>,
        leased: LeasedConnection,
    ) -> Result<StartedResponse, AttemptFailure> {
        let (mut parts, body) = response.into_parts();
        let head = self.core.dialect.read_response(&parts, &self.request.caller.id);
        let model = self.request.caller.work.as_ref().map(|work| &work.model);
        match head.verdict {
            ResponseVerdict::Executed => {
                self.runs += 1;
                self.core.record_response(&order.server, model, &head);
                strip_connection(&mut parts.headers);
                Ok(StartedResponse { parts, head, body, leased })
            }
            ResponseVerdict::NotExecuted => {
                self.core.record_response(&order.server, model, &head);
                let rest = Limited::new(body, REFUSAL_BYTES).collect();
                // A server that hangs after the head must not hold up the request with it.
                if matches!(timeout(REFUSAL_WAIT, rest).await, Ok(Ok(_))) {
                    leased.keep(head.idle_limit);
                }
                Err(self.report(order, AttemptFailure::Declined, from, head.retry_after))
            }
            ResponseVerdict::WrongServer => {
                log::warn!(server = order.server.as_str(), weights = order.weights.as_deref();
                    "{}", events::SERVER_MISLISTED);
                let (server, health) = (order.server.clone(), ServerHealth::Dead);
                self.route.notify(PolicyInput::Health { server, health });
                self.core.recheck_later(&order.server);
                Err(self.report(order, AttemptFailure::Declined, from, None))
            }
            ResponseVerdict::OtherRequest => {
                count_mismatched_response();
                self.runs += 1;
                self.core.recheck(&order.server);
                Err(self.report(order, AttemptFailure::Broken, from, None))
            }
        }
    }

    fn backend_request(&self, order: &SendOrder, from: &ResumeFrom) -> Request<Full<Bytes>> {
        let BufferedRequest { caller, head, body, service, ends, .. } = &self.request;
        let model = caller.work.as_ref().map(|work| &work.model);
        let decided = order.weights.as_ref().and_then(|version| version.parse().ok());
        let believed = self.core.server_weights(&order.server, service, model).or(decided);
        // One version for all: a stream that went on under new weights resumes on those, and with
        // the salt of the former ones it would be given cache entries of the former ones.
        let weights = from.weights.or(believed);
        let source = order.source.as_ref().filter(|_| weights.is_some() && weights == decided);
        let keep = order.keep.filter(|_| weights.is_some() && weights == decided);
        let keep = keep.zip(self.core.store_address());
        let salt = model.map(|model| {
            let weights = weights.map(|version| version.to_string()).unwrap_or_default();
            cache_salt(self.request.cache_owner(), model, None, &weights)
        });
        let call = BackendCall {
            request: caller,
            server: &order.server,
            time_left: ends.saturating_duration_since(Instant::now()),
            cache_salt: salt,
            import_from: match keep {
                Some((_, address)) => Some(address),
                None => source.and_then(|source| self.core.address(source)),
            },
            export_to: keep.filter(|keep| keep.0 == KeepUse::TakeAndBring).map(|keep| keep.1),
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

    /// Tells the dispatcher how an attempt failed.
    pub(super) fn report(
        &self,
        order: &SendOrder,
        failure: AttemptFailure,
        from: &ResumeFrom,
        retry_after: Option<Duration>,
    ) -> AttemptFailure {
        self.log_attempt_failure(order, failure, from.events);
        self.route.notify(PolicyInput::Failed {
            attempt: order.attempt,
            failure,
            relayed_tokens: from.events,
            retry_after,
        });
        failure
    }

    /// Whether another server may begin to run the request.
    pub(super) fn may_run_again(&self) -> bool {
        let route = &self.request.caller.route;
        route.kind.is_repeatable() && self.runs < route.attempts
    }

    /// A failed attempt was reported; the dispatcher says how it goes on, unless the route allows
    /// no more runs.
    fn after_failure(&mut self, failure: AttemptFailure) -> Step {
        let unsent = matches!(
            failure,
            AttemptFailure::NotConnected | AttemptFailure::Declined | AttemptFailure::Stale
        );
        if unsent || self.may_run_again() || failure == AttemptFailure::TimedOut {
            return Step::Again;
        }
        if let Some((parts, body)) = self.failure.take() {
            self.log_passed_failure(parts.status);
            let body = ResponseBody::whole(body, ConnectionPhase::default(), None);
            return Step::Answer(Box::new(Response::from_parts(parts, body)));
        }
        count_refusal(refusal::BACKEND_FAILED);
        self.log_refusal(refusal::BACKEND_FAILED, None);
        Step::Refused(ProxyRefusal::new(StatusCode::BAD_GATEWAY, refusal::BACKEND_FAILED))
    }

    async fn take_answer(&mut self, order: &SendOrder, answer: StartedResponse) -> Step {
        if self.request.caller.route.kind.is_stream() && answer.parts.status.is_success() {
            return self.take_stream(order, answer).await;
        }
        let StartedResponse { mut parts, head, body, leased } = answer;
        let none = ResumeFrom::default();
        let collected = tokio::select! {
            collected = Limited::new(body, WHOLE_ANSWER_BYTES).collect() => collected,
            () = withdrawn(&mut self.route, order.attempt) => return Step::Again,
            () = sleep_until(self.request.ends.into()) => return Step::Again,
        };
        let Ok(collected) = collected else {
            self.core.recheck(&order.server);
            let failure = self.report(order, AttemptFailure::Broken, &none, None);
            return self.after_failure(failure);
        };
        leased.keep(head.idle_limit);
        let body = collected.to_bytes();
        if parts.status.is_server_error() && self.may_run_again() {
            self.failure = Some((parts, body));
            let failure = self.report(order, AttemptFailure::ServerError, &none, None);
            return self.after_failure(failure);
        }
        self.finish(order.attempt, 0);
        self.log_completed(&order.server, parts.status);
        // The library frames the answer anew.
        parts.headers.remove(http::header::CONTENT_LENGTH);
        let body = ResponseBody::whole(body, ConnectionPhase::default(), None);
        Step::Answer(Box::new(Response::from_parts(parts, body)))
    }

    /// A stream's answer begins with its first bytes: until then another server can still serve it.
    async fn take_stream(&mut self, order: &SendOrder, mut answer: StartedResponse) -> Step {
        let none = ResumeFrom::default();
        let first = tokio::select! {
            first = answer.body.frame() => first,
            () = withdrawn(&mut self.route, order.attempt) => return Step::Again,
            () = sleep_until(self.request.ends.into()) => return Step::Again,
        };
        match first {
            Some(Ok(frame)) => {
                answer.parts.headers.remove(http::header::CONTENT_LENGTH);
                let first = frame.into_data().unwrap_or_default();
                let StartedResponse { parts, head, body, leased } = answer;
                let order = order.clone();
                Step::Stream(Box::new(StreamStart { parts, head, body, leased, first, order }))
            }
            Some(Err(_)) => {
                self.core.recheck(&order.server);
                let failure = self.report(order, AttemptFailure::Broken, &none, None);
                self.after_failure(failure)
            }
            None => {
                self.finish(order.attempt, 0);
                self.log_completed(&order.server, answer.parts.status);
                answer.leased.keep(answer.head.idle_limit);
                let body = ResponseBody::whole(Bytes::new(), ConnectionPhase::default(), None);
                Step::Answer(Box::new(Response::from_parts(answer.parts, body)))
            }
        }
    }

    /// Tells the dispatcher that an attempt ended whole.
    pub(super) fn finish(&self, attempt: AttemptId, output_tokens: u32) {
        self.route.notify(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens });
    }
}

/// Ends when the dispatcher withdraws an attempt.
async fn withdrawn(route: &mut RequestHandle, attempt: AttemptId) {
    loop {
        if let DispatchDirective::Cancel(cancelled) = route.next().await
            && cancelled == attempt
        {
            return;
        }
    }
}

/// The path and query alone, as requests to a server carry them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| http::Uri::from_static("/"))
}
