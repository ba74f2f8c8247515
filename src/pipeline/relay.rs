//! Runs a request for a model: follows the dispatcher's decisions and relays the stream.

use {
    super::{
        core::PipelineCore,
        counters::{
            count_mismatched_response, count_prompt, count_recomputed, count_response,
            record_first_token, record_inter_token,
        },
        dispatch::{DispatchDirective, RequestHandle},
        limit::CallerContext,
        prompt::ParsedPrompt,
        refusal::CallerRefusal,
        usage::UsageGuard,
    },
    crate::{
        backend::{
            BackendError, EngineCall, EngineEvent, EngineStream,
            connection::{ExchangeLimits, attempt_text},
            engine::{self, ResumePoint},
        },
        ids::{AttemptId, RequestId, WeightsVersion},
        observe::metrics::refusal,
        policy::{
            AttemptFailure, PolicyInput, RequestTicket, RequestWork, SendOrder, prefix::cache_salt,
        },
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::sync::mpsc,
};

/// Parts that wait for a slow reader; beyond it the engine's connection is not read.
pub const PART_CAPACITY: usize = 16;
/// Tokens are reported to the dispatcher in groups of this many: it needs the rate, not each.
const PROGRESS_GROUP: u32 = 16;
/// Generated text kept for a resume; a longer answer is not resumable.
const RESUME_TEXT_BYTES: usize = 256 * 1024;

/// What the caller's side of a request is given.
#[derive(Debug)]
pub enum ResponsePart {
    /// The next chunk of the answer, in the OpenAI form.
    Chunk(Value),
    /// The answer is whole.
    Complete(TokenUsage),
    /// The answer ends here without being whole, or never began.
    /// Boxed, since a channel holds room for 32 parts for each open stream.
    Refused(Box<CallerRefusal>),
    /// The engine refused the request as the caller's error; its answer goes to the caller.
    CallerError {
        /// HTTP status.
        status: u16,
        /// The engine's body.
        body: bytes::Bytes,
    },
}

/// The engine's account of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens from the cache.
    pub cached_tokens: Option<u32>,
    /// Generated tokens.
    pub completion_tokens: u32,
}

/// One model request on its way.
pub struct ModelRequest {
    /// Its id.
    pub request: RequestId,
    /// Who asks and until when.
    pub caller: CallerContext,
    /// What is asked.
    pub prompt: ParsedPrompt,
}

/// How one attempt ended.
enum AttemptEnd {
    Complete(TokenUsage),
    Failed(BackendError),
    CallerGone,
    Cancelled,
    Refused(CallerRefusal),
}

/// A request with what the caller has of its answer.
struct RelayTask {
    core: Arc<PipelineCore>,
    usage: UsageGuard,
    request: ModelRequest,
    answer: mpsc::Sender<ResponsePart>,
    /// Chunks the caller has, and their text; the text is cut off for good at its bound.
    relayed: ResumePoint,
    /// The weights that the relayed chunks come from.
    weights: Option<WeightsVersion>,
    last_chunk: Option<Instant>,
}

/// Runs `request` to its end; what the caller gets goes to `answer`, whose closing means that the
/// caller is gone.
pub async fn run_model(
    core: Arc<PipelineCore>,
    mut request: ModelRequest,
    answer: mpsc::Sender<ResponsePart>,
) {
    let mut route = core.dispatcher.submit(ticket(&request));
    // Only the levels needed them; a long prompt should not be held twice while it streams.
    request.prompt.pieces = Vec::new();
    let usage = core.usage.track_request(&request.caller.organisation);
    let mut task = RelayTask {
        core,
        usage,
        request,
        answer,
        relayed: ResumePoint::default(),
        weights: None,
        last_chunk: None,
    };
    loop {
        let directive = tokio::select! {
            directive = route.next() => directive,
            () = task.answer.closed() => {
                route.notify(PolicyInput::CallerGone { request: task.request.request.clone() });
                return;
            }
        };
        match directive {
            DispatchDirective::Cancel(_) => {}
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                let refusal = CallerRefusal::from_policy(reason, did_run, retry_after);
                task.give(ResponsePart::Refused(Box::new(refusal))).await;
                return;
            }
            DispatchDirective::Send(order) => {
                if task.attempt(&mut route, *order).await.is_some() {
                    return;
                }
            }
        }
    }
}

/// The request is over; nothing more goes to the caller.
struct RequestOver;

fn ticket(request: &ModelRequest) -> RequestTicket {
    let ModelRequest { request, caller, prompt } = request;
    RequestTicket {
        request: request.clone(),
        organisation: caller.organisation.clone(),
        class: caller.class,
        deadline: caller.deadline,
        repeatable: true,
        fingerprint: prompt.fingerprint,
        work: RequestWork::Model {
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            levels: prompt.levels(&caller.organisation),
            prompt_tokens: prompt.prompt_tokens,
            max_output_tokens: prompt.max_output_tokens,
        },
    }
}

impl RelayTask {
    async fn give(&self, part: ResponsePart) {
        // A closed channel means that the caller is gone; there is nobody to tell.
        let _ = self.answer.send(part).await;
    }

    /// Carries out one order and reports its end.
    async fn attempt(
        &mut self,
        route: &mut RequestHandle,
        order: SendOrder,
    ) -> Option<RequestOver> {
        let attempt = order.attempt;
        let Some(address) = self.core.address(&order.server) else {
            self.report_failure(route, attempt, AttemptFailure::NotConnected, None);
            return None;
        };
        let flight = self.core.usage.track_attempt(&order.server);
        let end = match self.open(route, address, &order).await {
            Ok(stream) => self.follow(route, stream, &order).await,
            Err(end) => end,
        };
        drop(flight);
        let request = &self.request.request;
        match end {
            AttemptEnd::Complete(usage) => {
                self.core.trace.record(request, "answered whole");
                self.record_usage(&order, usage);
                route.notify(PolicyInput::Finished {
                    attempt,
                    cached_tokens: usage.cached_tokens,
                    output_tokens: usage.completion_tokens,
                });
                self.give(ResponsePart::Complete(usage)).await;
                Some(RequestOver)
            }
            AttemptEnd::CallerGone => {
                self.core.trace.record(request, "the caller went away");
                route.notify(PolicyInput::CallerGone { request: request.clone() });
                Some(RequestOver)
            }
            AttemptEnd::Cancelled => None,
            AttemptEnd::Refused(refusal) => {
                self.give(ResponsePart::Refused(Box::new(refusal))).await;
                Some(RequestOver)
            }
            AttemptEnd::Failed(error) => self.fail(route, attempt, error).await,
        }
    }

    async fn fail(
        &mut self,
        route: &RequestHandle,
        attempt: AttemptId,
        error: BackendError,
    ) -> Option<RequestOver> {
        let request = &self.request.request;
        self.core
            .trace
            .record(request, format!("attempt {} failed: {error}", attempt_text(attempt)));
        if error == BackendError::Crossed {
            count_mismatched_response();
        }
        let failure = error.failure();
        self.report_failure(route, attempt, failure, error.retry_after());
        match error {
            BackendError::Status { status, body, .. } if failure == AttemptFailure::CallerError => {
                self.give(ResponsePart::CallerError { status, body }).await;
                Some(RequestOver)
            }
            _ => None,
        }
    }

    fn report_failure(
        &self,
        route: &RequestHandle,
        attempt: AttemptId,
        failure: AttemptFailure,
        retry_after: Option<std::time::Duration>,
    ) {
        let relayed_tokens = u32::try_from(self.relayed.after).unwrap_or(u32::MAX);
        route.notify(PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after });
    }

    /// Opens the engine's stream, unless the caller leaves or the decision is withdrawn first.
    async fn open(
        &self,
        route: &mut RequestHandle,
        address: SocketAddr,
        order: &SendOrder,
    ) -> Result<EngineStream, AttemptEnd> {
        if self.relayed.after > 0 && (order.weights != self.weights || self.weights.is_none()) {
            // A continuation on other weights would join two different answers into one.
            return Err(AttemptEnd::Failed(BackendError::Status {
                status: 409,
                retry_after: None,
                body: bytes::Bytes::new(),
            }));
        }
        let limits = ExchangeLimits {
            send_before: order.send_before.into(),
            head_before: self.request.caller.deadline.into(),
        };
        // Boxed: an open stream should not carry the room that its opening needed.
        let mut opening = Box::pin(engine::generate(address, self.engine_call(order), limits));
        loop {
            tokio::select! {
                opened = &mut opening => return opened.map_err(AttemptEnd::Failed),
                () = self.answer.closed() => return Err(AttemptEnd::CallerGone),
                directive = route.next() => if let Some(end) = withdrawn(directive, order.attempt) {
                    return Err(end);
                },
            }
        }
    }

    fn engine_call(&self, order: &SendOrder) -> EngineCall {
        let ModelRequest { caller, prompt, .. } = &self.request;
        let salt = match &order.weights {
            Some(weights) => {
                cache_salt(&caller.organisation, &prompt.model, prompt.adapter.as_deref(), weights)
            }
            // Weights in doubt: a salt of its own, so that no cached block can be of older ones.
            None => format!("attempt-{}", attempt_text(order.attempt)),
        };
        EngineCall {
            attempt: order.attempt,
            path: prompt.format.path().to_owned(),
            body: prompt.body.clone(),
            cache_salt: salt,
            priority: order.priority,
            weights: order.weights.clone(),
            import: order.import.zip(order.incarnation),
            resume: (self.relayed.after > 0).then(|| self.relayed.clone()),
        }
    }

    /// Relays a stream until it ends one way or another.
    async fn follow(
        &mut self,
        route: &mut RequestHandle,
        mut stream: EngineStream,
        order: &SendOrder,
    ) -> AttemptEnd {
        self.weights = order.weights.clone();
        let mut usage = TokenUsage::default();
        let mut unreported = 0;
        let mut first = true;
        loop {
            let event = tokio::select! {
                event = stream.next_event() => event,
                () = self.answer.closed() => return AttemptEnd::CallerGone,
                directive = route.next() => match withdrawn(directive, order.attempt) {
                    Some(end) => return end,
                    None => continue,
                },
            };
            match event {
                Err(error) => return AttemptEnd::Failed(error),
                Ok(EngineEvent::Done) => return AttemptEnd::Complete(usage),
                Ok(EngineEvent::Usage { prompt_tokens, cached_tokens, completion_tokens }) => {
                    usage = TokenUsage { prompt_tokens, cached_tokens, completion_tokens };
                }
                Ok(EngineEvent::Chunk { number, body }) => {
                    if first {
                        first = false;
                        let cached_tokens = usage.cached_tokens;
                        let attempt = order.attempt;
                        route.notify(PolicyInput::FirstToken { attempt, cached_tokens });
                    }
                    unreported += 1;
                    if unreported == PROGRESS_GROUP {
                        let (attempt, tokens) = (order.attempt, unreported);
                        route.notify(PolicyInput::Progress { attempt, tokens });
                        unreported = 0;
                    }
                    if !self.relay(number, body).await {
                        return AttemptEnd::CallerGone;
                    }
                }
            }
        }
    }

    /// Passes one chunk on; false if the caller is gone.
    async fn relay(&mut self, number: u64, mut body: Value) -> bool {
        let ModelRequest { request, caller, prompt } = &self.request;
        let now = Instant::now();
        match self.last_chunk.replace(now) {
            None => record_first_token(&prompt.model, caller.class, now - caller.arrived),
            Some(last) => record_inter_token(&prompt.model, caller.class, now - last),
        }
        if self.relayed.text.len() < RESUME_TEXT_BYTES {
            self.relayed.text.push_str(chunk_text(&body));
        }
        self.relayed.after = number;
        if let Value::Object(fields) = &mut body {
            // One answer has one id, also when two engines made it.
            fields.insert("id".into(), json!(request));
            fields.remove("usage");
        }
        self.answer.send(ResponsePart::Chunk(body)).await.is_ok()
    }

    fn record_usage(&self, order: &SendOrder, usage: TokenUsage) {
        let model = &self.request.prompt.model;
        let hit = usage.cached_tokens.unwrap_or(0);
        count_prompt(model, usage.prompt_tokens, hit);
        count_recomputed(model, order.expected_hit.saturating_sub(hit));
        count_response(self.request.caller.class);
        self.usage.answered(usage.prompt_tokens.saturating_add(usage.completion_tokens));
    }
}

/// The text that a chunk adds to the answer.
fn chunk_text(body: &Value) -> &str {
    body.pointer("/choices/0/delta/content")
        .or_else(|| body.pointer("/choices/0/text"))
        .and_then(Value::as_str)
        .unwrap_or_default()
}

/// The end that a directive puts to the attempt that runs, if it does.
fn withdrawn(directive: DispatchDirective, attempt: AttemptId) -> Option<AttemptEnd> {
    match directive {
        DispatchDirective::Cancel(cancelled) => {
            (cancelled == attempt).then_some(AttemptEnd::Cancelled)
        }
        DispatchDirective::Refuse { reason, retry_after, did_run } => {
            let refusal = CallerRefusal::from_policy(reason, did_run, retry_after);
            Some(AttemptEnd::Refused(refusal))
        }
        DispatchDirective::Send(order) => {
            log::error!(request_id = order.request.as_str(); "an order came while another runs");
            None
        }
    }
}

/// The refusal for a stream that broke after its head was sent.
pub fn truncated_stream() -> CallerRefusal {
    let message = "the stream ended before it was whole; send the request again";
    CallerRefusal::after_send(502, refusal::BACKEND_FAILED, message)
}
