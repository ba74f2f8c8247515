//! Runs model requests: executes the dispatcher's decisions and relays the response stream.

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
            connection::{ExchangeLimits, format_attempt_id},
            engine::{self, ResumePoint},
        },
        ids::{AttemptId, RequestId, WeightsVersion},
        observe::metrics::refusal,
        policy::{
            AttemptFailure, PolicyInput, RequestTicket, RequestWork, SendOrder, prefix::cache_salt,
            suspect,
        },
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::sync::mpsc,
};

/// Number of response parts that are buffered for a slow caller. Beyond it, the engine's connection
/// is not read.
pub const PART_CAPACITY: usize = 16;
/// Number of tokens after which progress is reported to the dispatcher, which needs only the rate.
const PROGRESS_TOKENS: u32 = 16;
/// Maximum length of the generated text that is kept; longer streams cannot be resumed.
const MAX_RESUME_BYTES: usize = 256 * 1024;

/// A part of the response to a model request.
#[derive(Debug)]
pub enum ResponsePart {
    /// The next chunk of the response, in the OpenAI format.
    Chunk(Value),
    /// The response is complete.
    Complete(TokenUsage),
    /// The request was refused, before or after the first chunk. Boxed, because a channel allocates
    /// room for 32 parts for each open stream.
    Refused(Box<CallerRefusal>),
    /// The engine rejected the request as a client error; its response is passed to the caller.
    CallerError {
        /// HTTP status.
        status: u16,
        /// The body of the engine's response.
        body: bytes::Bytes,
    },
}

/// Token counts that the engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens read from the cache; `None` if the engine does not report them.
    pub cached_tokens: Option<u32>,
    /// Generated tokens.
    pub completion_tokens: u32,
}

/// A request for a model.
pub struct ModelRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The caller, with the class and the deadline of the request.
    pub caller: CallerContext,
    /// The parsed body.
    pub prompt: ParsedPrompt,
}

/// Outcome of an attempt.
enum AttemptOutcome {
    Complete(TokenUsage),
    Failed(BackendError),
    CallerDisconnected,
    Cancelled,
    Refused(CallerRefusal),
}

/// A running request with the state of its response.
struct RelayTask {
    core: Arc<PipelineCore>,
    usage: UsageGuard,
    request: ModelRequest,
    response: mpsc::Sender<ResponsePart>,
    /// The chunks that were relayed to the caller and their text, which is truncated at
    /// [`MAX_RESUME_BYTES`].
    relayed: ResumePoint,
    /// The weights that generated the relayed chunks.
    weights: Option<WeightsVersion>,
    last_chunk: Option<Instant>,
}

/// Runs `request` to its end and sends the parts of its response to `response`. The closing of that
/// channel means that the caller has disconnected.
pub async fn run_model(
    core: Arc<PipelineCore>,
    mut request: ModelRequest,
    response: mpsc::Sender<ResponsePart>,
) {
    let mut handle = core.dispatcher.submit(ticket(&request));
    // Only the prefix levels needed the chunks. Freeing them avoids a second copy of a long prompt
    // while the response streams.
    request.prompt.chunks = Vec::new();
    let usage = core.usage.track_request(&request.caller.organisation);
    let mut task = RelayTask {
        core,
        usage,
        request,
        response,
        relayed: ResumePoint::default(),
        weights: None,
        last_chunk: None,
    };
    loop {
        let directive = tokio::select! {
            directive = handle.next() => directive,
            () = task.response.closed() => {
                handle.notify(PolicyInput::CallerDisconnected {
                    request: task.request.request.clone(),
                });
                return;
            }
        };
        match directive {
            DispatchDirective::Cancel(_) | DispatchDirective::Withdraw(_) => {}
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                let refusal = CallerRefusal::from_policy(reason, did_run, retry_after);
                task.send_part(ResponsePart::Refused(Box::new(refusal))).await;
                return;
            }
            DispatchDirective::Send(order) => {
                if task.attempt(&mut handle, *order).await.is_some() {
                    return;
                }
            }
        }
    }
}

/// The request has ended, and nothing more is sent to the caller.
struct RequestFinished;

fn ticket(request: &ModelRequest) -> RequestTicket {
    let ModelRequest { request, caller, prompt } = request;
    RequestTicket {
        request: request.clone(),
        organisation: caller.organisation.clone(),
        class: caller.class,
        deadline: caller.deadline,
        repeatable: true,
        fingerprint: suspect::fingerprint(
            &caller.organisation,
            &[&prompt.fingerprint.to_le_bytes()],
        ),
        parts: prompt.part_fingerprints(&caller.organisation),
        software: None,
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
    async fn send_part(&self, part: ResponsePart) {
        // A closed channel means that the caller has disconnected, which needs no handling here.
        let _ = self.response.send(part).await;
    }

    /// Runs one attempt and reports its outcome.
    async fn attempt(
        &mut self,
        handle: &mut RequestHandle,
        order: SendOrder,
    ) -> Option<RequestFinished> {
        let attempt = order.attempt;
        let Some(address) = self.core.address(&order.server) else {
            self.report_failure(handle, attempt, AttemptFailure::NotConnected, None);
            return None;
        };
        let in_flight = self.core.usage.track_attempt(&order.server);
        let outcome = match self.open(handle, address, &order).await {
            Ok(stream) => self.relay_stream(handle, stream, &order).await,
            Err(outcome) => outcome,
        };
        drop(in_flight);
        let request = &self.request.request;
        match outcome {
            AttemptOutcome::Complete(usage) => {
                self.core.trace.record(request, "answered whole");
                self.record_usage(&order, usage);
                handle.notify(PolicyInput::Finished {
                    attempt,
                    cached_tokens: usage.cached_tokens,
                    output_tokens: usage.completion_tokens,
                });
                self.send_part(ResponsePart::Complete(usage)).await;
                Some(RequestFinished)
            }
            AttemptOutcome::CallerDisconnected => {
                self.core.trace.record(request, "the caller disconnected");
                handle.notify_disconnected();
                Some(RequestFinished)
            }
            AttemptOutcome::Cancelled => None,
            AttemptOutcome::Refused(refusal) => {
                self.send_part(ResponsePart::Refused(Box::new(refusal))).await;
                Some(RequestFinished)
            }
            AttemptOutcome::Failed(error) => self.fail(handle, attempt, error).await,
        }
    }

    async fn fail(
        &mut self,
        handle: &RequestHandle,
        attempt: AttemptId,
        error: BackendError,
    ) -> Option<RequestFinished> {
        let request = &self.request.request;
        self.core
            .trace
            .record(request, format!("attempt {} failed: {error}", format_attempt_id(attempt)));
        if error == BackendError::MismatchedAttempt {
            count_mismatched_response();
        }
        let failure = error.failure();
        self.report_failure(handle, attempt, failure, error.retry_after());
        match error {
            BackendError::Status { status, body, .. } if failure == AttemptFailure::CallerError => {
                self.send_part(ResponsePart::CallerError { status, body }).await;
                Some(RequestFinished)
            }
            _ => None,
        }
    }

    fn report_failure(
        &self,
        handle: &RequestHandle,
        attempt: AttemptId,
        failure: AttemptFailure,
        retry_after: Option<std::time::Duration>,
    ) {
        let relayed_tokens = u32::try_from(self.relayed.after).unwrap_or(u32::MAX);
        handle.notify(PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after });
    }

    /// Opens the engine's stream, unless the caller disconnects or the attempt is withdrawn first.
    async fn open(
        &self,
        handle: &mut RequestHandle,
        address: SocketAddr,
        order: &SendOrder,
    ) -> Result<EngineStream, AttemptOutcome> {
        if self.relayed.after > 0 && (order.weights != self.weights || self.weights.is_none()) {
            // Continuing on other weights would join the output of two different models.
            return Err(AttemptOutcome::Failed(BackendError::Status {
                status: 409,
                retry_after: None,
                body: bytes::Bytes::new(),
            }));
        }
        let limits = ExchangeLimits {
            send_before: order.send_before.into(),
            head_before: self.request.caller.deadline.into(),
        };
        // Boxed, so that the future of an open stream does not include the state of its opening.
        let mut opening = Box::pin(engine::generate(address, self.engine_call(order), limits));
        loop {
            tokio::select! {
                opened = &mut opening => return opened.map_err(AttemptOutcome::Failed),
                () = self.response.closed() => return Err(AttemptOutcome::CallerDisconnected),
                directive = handle.next() => if let Some(end) = end_from(directive, order.attempt) {
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
            // The weights are unknown: a unique salt prevents hits on blocks of older weights.
            None => format!("attempt-{}", format_attempt_id(order.attempt)),
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

    /// Relays a stream until it ends, fails or is cancelled.
    async fn relay_stream(
        &mut self,
        handle: &mut RequestHandle,
        mut stream: EngineStream,
        order: &SendOrder,
    ) -> AttemptOutcome {
        self.weights = order.weights.clone();
        let mut usage = TokenUsage::default();
        let mut unreported_tokens = 0;
        let mut first = true;
        loop {
            let event = tokio::select! {
                event = stream.next_event() => event,
                () = self.response.closed() => return AttemptOutcome::CallerDisconnected,
                directive = handle.next() => match directive {
                    DispatchDirective::Withdraw(_) if !first => continue,
                    directive => match end_from(directive, order.attempt) {
                        Some(outcome) => return outcome,
                        None => continue,
                    },
                },
            };
            match event {
                Err(error) => return AttemptOutcome::Failed(error),
                Ok(EngineEvent::Done) => return AttemptOutcome::Complete(usage),
                Ok(EngineEvent::Usage { prompt_tokens, cached_tokens, completion_tokens }) => {
                    usage = TokenUsage { prompt_tokens, cached_tokens, completion_tokens };
                }
                Ok(EngineEvent::Chunk { number, body }) => {
                    if first {
                        first = false;
                        let cached_tokens = usage.cached_tokens;
                        let attempt = order.attempt;
                        handle.notify(PolicyInput::FirstToken { attempt, cached_tokens });
                    }
                    unreported_tokens += 1;
                    if unreported_tokens == PROGRESS_TOKENS {
                        let (attempt, tokens) = (order.attempt, unreported_tokens);
                        handle.notify(PolicyInput::Progress { attempt, tokens });
                        unreported_tokens = 0;
                    }
                    if !self.relay_chunk(number, body).await {
                        return AttemptOutcome::CallerDisconnected;
                    }
                }
            }
        }
    }

    /// Relays a chunk to the caller; returns `false` if the caller has disconnected.
    async fn relay_chunk(&mut self, number: u64, mut body: Value) -> bool {
        let ModelRequest { request, caller, prompt } = &self.request;
        let now = Instant::now();
        match self.last_chunk.replace(now) {
            None => record_first_token(&prompt.model, caller.class, now - caller.arrived),
            Some(last) => record_inter_token(&prompt.model, caller.class, now - last),
        }
        if self.relayed.text.len() < MAX_RESUME_BYTES {
            self.relayed.text.push_str(chunk_text(&body));
        }
        self.relayed.after = number;
        if let Value::Object(fields) = &mut body {
            // All chunks of a response carry the same id, even if two engines generate them.
            fields.insert("id".into(), json!(request));
            fields.remove("usage");
        }
        self.response.send(ResponsePart::Chunk(body)).await.is_ok()
    }

    fn record_usage(&self, order: &SendOrder, usage: TokenUsage) {
        let model = &self.request.prompt.model;
        let hit = usage.cached_tokens.unwrap_or(0);
        count_prompt(model, usage.prompt_tokens, hit);
        count_recomputed(model, order.expected_hit.saturating_sub(hit));
        count_response(self.request.caller.class);
        self.usage.record_completion(usage.prompt_tokens.saturating_add(usage.completion_tokens));
    }
}

/// The text that a chunk adds to the response.
fn chunk_text(body: &Value) -> &str {
    body.pointer("/choices/0/delta/content")
        .or_else(|| body.pointer("/choices/0/text"))
        .and_then(Value::as_str)
        .unwrap_or_default()
}

/// The outcome of the running attempt if the directive ends it.
fn end_from(directive: DispatchDirective, attempt: AttemptId) -> Option<AttemptOutcome> {
    match directive {
        DispatchDirective::Cancel(cancelled) => {
            (cancelled == attempt).then_some(AttemptOutcome::Cancelled)
        }
        DispatchDirective::Withdraw(withdrawn) => {
            (withdrawn == attempt).then_some(AttemptOutcome::Failed(BackendError::Withdrawn))
        }
        DispatchDirective::Refuse { reason, retry_after, did_run } => {
            let refusal = CallerRefusal::from_policy(reason, did_run, retry_after);
            Some(AttemptOutcome::Refused(refusal))
        }
        DispatchDirective::Send(order) => {
            log::error!(request_id = order.request.as_str();
                "received a send order while another attempt is running");
            None
        }
    }
}

/// The refusal of a stream that broke after its response head was sent.
pub fn truncated_stream() -> CallerRefusal {
    let message = "the stream ended before it was complete; send the request again";
    CallerRefusal::after_send(502, refusal::BACKEND_FAILED, message)
}
