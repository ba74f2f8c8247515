//! Client for engines: generation, cancellation, load reports, cache events and weight orders.

use {
    super::{
        ATTEMPT_HEADER, BackendError, OpenResponse,
        cache_key::cache_entry_key,
        connection::{ExchangeLimits, MAX_ERROR_BODY_BYTES, exchange, format_attempt_id},
        read_meter::MeteredBody,
        sse::{SseEvent, SseParser},
    },
    crate::{
        ids::{AttemptId, FencingNumber, Incarnation, ModelId, ServerId, WeightsVersion},
        policy::{CacheEvent, LoadReport, PrefixLevel},
    },
    bytes::Bytes,
    futures::future::FutureExt,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Method, Request},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// A running engine sends a token or a comment at least this often; a longer gap is a failure.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of control calls; an engine that takes longer is considered unavailable.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for response bodies of control calls.
const MAX_CONTROL_BODY_BYTES: usize = 1024 * 1024;

/// A request to an engine for one generation.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Attempt id, sent as [`ATTEMPT_HEADER`].
    pub attempt: AttemptId,
    /// Path of the OpenAI API: `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// The caller's JSON body; sent with `stream: true` in any case.
    pub body: Value,
    /// Isolates cached blocks by organisation, model, adapter and weights version.
    pub cache_salt: String,
    /// Scheduling priority; a lower number is served first.
    pub priority: u32,
    /// Weights version that the engine must run; it responds with 409 if it has another.
    pub weights: Option<WeightsVersion>,
    /// Prefix to import from the cache store, and the engine incarnation to which the import
    /// applies, so that a restarted engine can recognise it as outdated.
    pub import: Option<(PrefixLevel, Incarnation)>,
    /// Where to resume an interrupted stream; `None` for a new one.
    pub resume: Option<ResumePoint>,
}

/// Position from which an interrupted stream is resumed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResumePoint {
    /// Number of events already relayed; the engine's next event has the following number.
    pub after: u64,
    /// Text generated so far.
    pub text: String,
}

/// Parsed event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk in the format of the OpenAI API.
    Chunk {
        /// Sequence number in the stream, from 1, without gaps.
        number: u64,
        /// JSON body of the chunk.
        body: Value,
    },
    /// Token usage as counted by the engine.
    Usage {
        /// Prompt tokens; 0 if the engine does not report them.
        prompt_tokens: u32,
        /// Prompt tokens read from the cache; `None` if the engine does not report them.
        cached_tokens: Option<u32>,
        /// Generated tokens; 0 if the engine does not report them.
        completion_tokens: u32,
    },
    /// The stream is complete.
    Done,
}

/// Response stream of a running generation.
pub struct EngineStream {
    open: OpenResponse,
    parser: SseParser,
    ready: VecDeque<EngineEvent>,
    last_number: u64,
    /// Whether it continues an interrupted stream, so that its events need numbers.
    resumes: bool,
}

/// Starts a generation.
///
/// # Errors
/// Those of [`exchange`], and `Status` with the response body for a status other than 2xx.
pub async fn generate(
    address: SocketAddr,
    call: EngineCall,
    limits: ExchangeLimits,
) -> Result<EngineStream, BackendError> {
    let last_number = call.resume.as_ref().map_or(0, |resume| resume.after);
    let (attempt, resumes) = (call.attempt, call.resume.is_some());
    let request = generation_request(call);
    let open = exchange(address, attempt, request, limits).await?;
    let mut open = expect_success(open).await?;
    // Dropping the headers releases the buffer that the head was read into.
    *open.response.headers_mut() = HeaderMap::new();
    let (parser, ready) = (SseParser::default(), VecDeque::new());
    Ok(EngineStream { open, parser, ready, last_number, resumes })
}

fn generation_request(call: EngineCall) -> Request<Full<Bytes>> {
    let EngineCall { attempt, path, mut body, cache_salt, priority, weights, import, resume } =
        call;
    if let Value::Object(fields) = &mut body {
        fields.insert("stream".into(), json!(true));
        fields.insert("stream_options".into(), json!({ "include_usage": true }));
        fields.insert("cache_salt".into(), json!(cache_salt));
        fields.insert("priority".into(), json!(priority));
        if let Some(weights) = weights {
            fields.insert("weights".into(), json!(weights));
        }
        if let Some((level, incarnation)) = import {
            let key = cache_entry_key(&cache_salt, &level);
            fields.insert(
                "kv_import".into(),
                json!({ "key": key, "tokens": level.tokens, "incarnation": incarnation }),
            );
        }
        if let Some(resume) = resume {
            fields.insert("resume".into(), json!(resume));
        }
    }
    post(path, attempt, Bytes::from(body.to_string()))
}

fn post(path: impl AsRef<str>, attempt: AttemptId, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(Method::POST)
        .uri(path.as_ref())
        .header("host", "backend")
        .header("content-type", "application/json")
        .header(ATTEMPT_HEADER, format_attempt_id(attempt))
        .body(Full::new(body))
        .expect("paths are validated by the HTTP API and the headers are constant")
}

/// Turns a status other than 2xx into an error that contains the body.
pub(super) async fn expect_success(mut open: OpenResponse) -> Result<OpenResponse, BackendError> {
    let status = open.response.status();
    if status.is_success() {
        return Ok(open);
    }
    let retry_after = open
        .response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let body =
        read_limited(open.response.body_mut(), MAX_ERROR_BODY_BYTES).await.unwrap_or_default();
    Err(BackendError::Status { status: status.as_u16(), retry_after, body })
}

/// Reads a complete body of at most `limit` bytes within [`CONTROL_TIMEOUT`].
async fn read_limited(body: &mut MeteredBody, limit: usize) -> Result<Bytes, BackendError> {
    match timeout(CONTROL_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(BackendError::Broken),
        Err(_) => Err(BackendError::TimedOut(CONTROL_TIMEOUT)),
    }
}

impl EngineStream {
    /// Waits for the next event. A stream that ends without [`EngineEvent::Done`] is `Broken`.
    ///
    /// # Errors
    /// `Broken` and `TimedOut` from the connection; `Malformed` if events are missing or do not
    /// parse.
    pub async fn next_event(&mut self) -> Result<EngineEvent, BackendError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let frame = timeout(STREAM_IDLE_TIMEOUT, self.open.response.body_mut().frame())
                .await
                .map_err(|_| BackendError::TimedOut(STREAM_IDLE_TIMEOUT))?;
            self.handle_frame(frame)?;
        }
    }

    /// The next event if it has already arrived; `None` otherwise.
    ///
    /// # Errors
    /// Those of [`EngineStream::next_event`], except `TimedOut`.
    pub fn try_next_event(&mut self) -> Result<Option<EngineEvent>, BackendError> {
        while self.ready.is_empty() {
            match self.open.response.body_mut().frame().now_or_never() {
                Some(frame) => self.handle_frame(frame)?,
                None => return Ok(None),
            }
        }
        Ok(self.ready.pop_front())
    }

    fn handle_frame(
        &mut self,
        frame: Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>,
    ) -> Result<(), BackendError> {
        let frame = frame.ok_or(BackendError::Broken)?.map_err(|_| BackendError::Broken)?;
        let Ok(bytes) = frame.into_data() else { return Ok(()) };
        let events = self
            .parser
            .push(&bytes)
            .map_err(|_| BackendError::Malformed("an event is too long".to_owned()))?;
        events.into_iter().try_for_each(|event| self.handle_event(event))
    }

    fn handle_event(&mut self, event: SseEvent) -> Result<(), BackendError> {
        if event.data == "[DONE]" {
            self.ready.push_back(EngineEvent::Done);
            return Ok(());
        }
        if event.name == "error" {
            return Err(BackendError::Malformed(
                "the engine ended its stream with an error".into(),
            ));
        }
        let body: Value = serde_json::from_str(&event.data)
            .map_err(|error| BackendError::Malformed(error.to_string()))?;
        if let Some(usage) = body.get("usage").filter(|usage| !usage.is_null()) {
            self.ready.push_back(usage_event(usage));
        }
        let has_choices =
            body.get("choices").and_then(Value::as_array).is_some_and(|all| !all.is_empty());
        if !has_choices {
            return Ok(());
        }
        if event.id.is_none() && self.resumes {
            let reason = "an event of a resumed stream has no number";
            return Err(BackendError::Malformed(reason.to_owned()));
        }
        let number = event.id.unwrap_or(self.last_number + 1);
        if number <= self.last_number {
            // An engine that resumes a stream may repeat events that the caller already received.
            return Ok(());
        }
        if number != self.last_number + 1 {
            return Err(BackendError::Malformed(format!(
                "event {number} follows event {}; events in between are missing",
                self.last_number
            )));
        }
        self.last_number = number;
        self.ready.push_back(EngineEvent::Chunk { number, body });
        Ok(())
    }
}

fn usage_event(usage: &Value) -> EngineEvent {
    let count = |value: Option<&Value>| value.and_then(Value::as_u64).map(|count| count as u32);
    EngineEvent::Usage {
        prompt_tokens: count(usage.get("prompt_tokens")).unwrap_or(0),
        cached_tokens: count(usage.pointer("/prompt_tokens_details/cached_tokens")),
        completion_tokens: count(usage.get("completion_tokens")).unwrap_or(0),
    }
}

/// Cancels an attempt at an engine. The call has no effect at an engine that does not run the
/// attempt.
///
/// # Errors
/// Those of [`exchange`], `Status` and `Malformed`.
pub async fn cancel(address: SocketAddr, attempt: AttemptId) -> Result<(), BackendError> {
    let path = format!("/v1/attempts/{}/cancel", format_attempt_id(attempt));
    control_call(address, post(path, attempt, Bytes::new())).await.map(|_: Value| ())
}

/// Load report of an engine or a service, as received.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadResponse {
    /// Current incarnation of the server.
    pub incarnation: Incarnation,
    /// Loaded weights version by model.
    #[serde(default)]
    pub weights: std::collections::BTreeMap<ModelId, WeightsVersion>,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of queued requests.
    #[serde(default)]
    pub waiting: u32,
    /// Prompt tokens queued for prefill.
    #[serde(default)]
    pub waiting_tokens: u64,
    /// Fraction of the KV cache in use, 0 to 1.
    #[serde(default)]
    pub cache_used: f64,
    /// Whether the server is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Requests the load report of a server.
///
/// # Errors
/// Those of [`exchange`], `Status` and `Malformed`.
pub async fn load_report(
    address: SocketAddr,
    server: ServerId,
) -> Result<LoadReport, BackendError> {
    let response: LoadResponse = control_call(address, get("/v1/load")).await?;
    Ok(LoadReport {
        server,
        incarnation: response.incarnation,
        weights: response.weights,
        running: response.running,
        waiting: response.waiting,
        waiting_tokens: response.waiting_tokens,
        cache_used: response.cache_used,
        leaving: response.leaving,
    })
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    incarnation: Incarnation,
    sequence: u64,
    #[serde(default)]
    stored: Vec<u64>,
    #[serde(default)]
    evicted: Vec<u64>,
}

/// Requests the cache events of an engine after `sequence`.
///
/// # Errors
/// Those of [`exchange`], `Status` and `Malformed`.
pub async fn cache_events(
    address: SocketAddr,
    server: ServerId,
    sequence: u64,
) -> Result<CacheEvent, BackendError> {
    let path = format!("/v1/cache_events?after={sequence}");
    let response: CacheEventsResponse = control_call(address, get(path)).await?;
    let CacheEventsResponse { incarnation, sequence, stored, evicted } = response;
    Ok(CacheEvent { server, incarnation, sequence, stored, evicted })
}

/// Orders an engine to load weights. The order is not sent if `send_before` has passed when the
/// connection is established, because it could then arrive after the order of a new leader. An
/// engine that checks fencing rejects an order with a lower number.
///
/// # Errors
/// Those of [`exchange`], `Status` and `Malformed`. `Stale` means that the order was not sent;
/// `Status { status: 409, .. }` means that the engine rejected it by its fencing number.
pub async fn order_weights(
    address: SocketAddr,
    model: ModelId,
    weights: WeightsVersion,
    fencing: FencingNumber,
    send_before: Instant,
) -> Result<(), BackendError> {
    let body = json!({ "model": model, "weights": weights, "fencing": fencing });
    let request = post("/v1/weights", 0, Bytes::from(body.to_string()));
    control_call_before(address, request, send_before).await.map(|_: Value| ())
}

fn get(path: impl AsRef<str>) -> Request<Full<Bytes>> {
    Request::builder()
        .uri(path.as_ref())
        .header("host", "backend")
        .body(Full::default())
        .expect("the paths are built in this module and are valid")
}

async fn control_call<T: DeserializeOwned>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<T, BackendError> {
    control_call_before(address, request, Instant::now() + CONTROL_TIMEOUT).await
}

async fn control_call_before<T: DeserializeOwned>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    send_before: Instant,
) -> Result<T, BackendError> {
    let head_before = Instant::now() + CONTROL_TIMEOUT;
    let limits = ExchangeLimits { send_before: send_before.min(head_before), head_before };
    let attempt = request
        .headers()
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| AttemptId::from_str_radix(text, 16).ok())
        .unwrap_or(0);
    let open = exchange(address, attempt, request, limits).await?;
    let mut open = expect_success(open).await?;
    let body = read_limited(open.response.body_mut(), MAX_CONTROL_BODY_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| BackendError::Malformed(error.to_string()))
}
