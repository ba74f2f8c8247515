//! The client for engines: generation, cancellation, load reports, cache events and weight orders.

use {
    super::{
        ATTEMPT_HEADER, BackendError, OpenResponse,
        cache_key::cache_entry_key,
        connection::{ExchangeLimits, MAX_ERROR_BODY_BYTES, exchange, format_attempt_id},
        sse::{SseEvent, SseParser},
    },
    crate::{
        ids::{AttemptId, FencingNumber, Incarnation, ModelId, ServerId, WeightsVersion},
        policy::{CacheEvent, LoadReport, PrefixLevel},
    },
    bytes::Bytes,
    futures::future::FutureExt,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Method, Request, body::Incoming},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// A running engine sends a token or a comment at least this often; longer silence is a failure.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Small control calls: an engine that cannot answer within this is as good as down.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers to control calls stay below this.
const MAX_CONTROL_BODY_BYTES: usize = 1024 * 1024;

/// One generation that an engine is asked for.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// Path of the OpenAI form: `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// The caller's JSON body; always sent with `stream: true`.
    pub body: Value,
    /// Keeps cached blocks apart by organisation, model, adapter and weights version.
    pub cache_salt: String,
    /// Lower is served first.
    pub priority: u32,
    /// The weights that the engine must run; it answers 409 if it has others.
    pub weights: Option<WeightsVersion>,
    /// The prefix to import from prompt-keep, with the life of the engine it was decided for.
    pub import: Option<(PrefixLevel, Incarnation)>,
    /// Text that the caller already has, and the number of events it came in.
    pub resume: Option<ResumePoint>,
}

/// From where a broken stream goes on.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResumePoint {
    /// Events already relayed; the engine's next event has the following number.
    pub after: u64,
    /// The text generated so far.
    pub text: String,
}

/// What an engine's stream brings.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk in the OpenAI form.
    Chunk {
        /// Its number in the stream, from 1, without holes.
        number: u64,
        /// The chunk.
        body: Value,
    },
    /// The engine's account of tokens.
    Usage {
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Prompt tokens taken from the cache.
        cached_tokens: Option<u32>,
        /// Generated tokens.
        completion_tokens: u32,
    },
    /// The stream is whole.
    Done,
}

/// An open generation.
pub struct EngineStream {
    open: OpenResponse,
    parser: SseParser,
    ready: VecDeque<EngineEvent>,
    last_number: u64,
}

/// Starts a generation.
///
/// # Errors
/// As [`exchange`]; a status other than 200 comes with its body.
pub async fn generate(
    address: SocketAddr,
    call: EngineCall,
    limits: ExchangeLimits,
) -> Result<EngineStream, BackendError> {
    let last_number = call.resume.as_ref().map_or(0, |resume| resume.after);
    let attempt = call.attempt;
    let request = generation_request(call);
    let open = exchange(address, attempt, request, limits).await?;
    let mut open = expect_success(open).await?;
    // The headers hold on to the buffer that the head was read into.
    *open.response.headers_mut() = HeaderMap::new();
    Ok(EngineStream { open, parser: SseParser::default(), ready: VecDeque::new(), last_number })
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
        .expect("paths are checked by the gateway and the headers are constant")
}

/// Turns a status other than 2xx into an error that holds the start of the body.
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

/// Reads a whole body of at most `limit` bytes within [`CONTROL_TIMEOUT`].
async fn read_limited(body: &mut Incoming, limit: usize) -> Result<Bytes, BackendError> {
    match timeout(CONTROL_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(BackendError::Broken),
        Err(_) => Err(BackendError::TimedOut(CONTROL_TIMEOUT)),
    }
}

impl EngineStream {
    /// Waits for the next event. An end without [`EngineEvent::Done`] is `Broken`.
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

    /// An event that has already arrived, without waiting.
    ///
    /// # Errors
    /// As [`EngineStream::next_event`].
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
        let number = event.id.unwrap_or(self.last_number + 1);
        if number <= self.last_number {
            // An engine that resumes may repeat what the caller has; it must not get it twice.
            return Ok(());
        }
        if number != self.last_number + 1 {
            return Err(BackendError::Malformed(format!(
                "event {number} follows event {}",
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

/// Tells an engine to stop an attempt; an engine that does not know it answers so and all is well.
///
/// # Errors
/// As [`exchange`].
pub async fn cancel(address: SocketAddr, attempt: AttemptId) -> Result<(), BackendError> {
    let path = format!("/v1/attempts/{}/cancel", format_attempt_id(attempt));
    control_call(address, post(path, attempt, Bytes::new())).await.map(|_: Value| ())
}

/// What an engine or a service says of itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadResponse {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Loaded weights by model.
    #[serde(default)]
    pub weights: std::collections::BTreeMap<ModelId, WeightsVersion>,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    #[serde(default)]
    pub waiting_tokens: u64,
    /// Share of the KV cache in use, 0 to 1.
    #[serde(default)]
    pub cache_used: f64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Asks a server for its load.
///
/// # Errors
/// As [`exchange`], and `Malformed`.
pub async fn load(address: SocketAddr, server: ServerId) -> Result<LoadReport, BackendError> {
    let answer: LoadResponse = control_call(address, get("/v1/load")).await?;
    Ok(LoadReport {
        server,
        incarnation: answer.incarnation,
        weights: answer.weights,
        running: answer.running,
        waiting: answer.waiting,
        waiting_tokens: answer.waiting_tokens,
        cache_used: answer.cache_used,
        leaving: answer.leaving,
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

/// Asks an engine for cache events after `sequence`.
///
/// # Errors
/// As [`exchange`], and `Malformed`.
pub async fn cache_events(
    address: SocketAddr,
    server: ServerId,
    sequence: u64,
) -> Result<CacheEvent, BackendError> {
    let path = format!("/v1/cache_events?after={sequence}");
    let answer: CacheEventsResponse = control_call(address, get(path)).await?;
    let CacheEventsResponse { incarnation, sequence, stored, evicted } = answer;
    Ok(CacheEvent { server, incarnation, sequence, stored, evicted })
}

/// Orders an engine to load weights, unless `send_before` has passed once it is connected: an order
/// that left later could arrive after a new leader's. An engine that checks fencing refuses a lower
/// number.
///
/// # Errors
/// As [`exchange`]; `Stale` is an order that was not sent any more, `Status { status: 409, .. }` a
/// fenced one.
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
        .expect("the paths are built here and are valid")
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
