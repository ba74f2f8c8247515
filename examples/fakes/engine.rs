//! Fake inference engine that implements the protocol of docs/BACKENDS.md, with fault injection.
//!
//! Its output depends only on the prompt, so that any fake engine can continue the stream of
//! another.

// Programs that include this file use only parts of it.
#![allow(dead_code)]

use {
    bytes::Bytes,
    futures::stream,
    oleandermount::{
        backend::ATTEMPT_HEADER,
        http_api::server::HttpServer,
        ids::{FencingNumber, Incarnation},
        options::RequestLimits,
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::Notify, time::sleep},
    viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode},
    xxhash_rust::xxh3::xxh3_64,
};

/// Prompt bytes per token, as in the router's estimate.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of cached prefixes; at the limit the cache is cleared.
const CACHED_PREFIXES: usize = 4096;

/// Configuration of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineBehaviour {
    /// The address to listen on; with port 0 the kernel chooses a port.
    pub listen: SocketAddr,
    /// The model that it serves.
    pub model: String,
    /// The initial weights version.
    pub weights: String,
    /// Time until the first token.
    pub prefill: Duration,
    /// Time between two tokens.
    pub token: Duration,
    /// Number of generated tokens if the request sets no limit.
    pub tokens: u64,
    /// Whether weight orders with a lower fencing number are rejected.
    pub checks_fencing: bool,
}

impl Default for EngineBehaviour {
    fn default() -> Self {
        EngineBehaviour {
            listen: ([127, 0, 0, 1], 0).into(),
            model: "basket-llm".to_owned(),
            weights: "v1".to_owned(),
            prefill: Duration::ZERO,
            token: Duration::ZERO,
            tokens: 16,
            checks_fencing: true,
        }
    }
}

/// Fault injection and counters for tests while the fake engine runs.
#[derive(Default)]
pub struct EngineControls {
    /// Number of events after which each stream breaks; 0 for never.
    pub break_after: AtomicU64,
    /// If not 0, responses carry the id of another attempt.
    pub mismatch_attempt: AtomicU64,
    /// If not 0, streams wait before their first token until [`EngineControls::release`].
    pub hold: AtomicU64,
    /// Notified to continue held streams.
    pub released: Notify,
    /// Number of generation requests received.
    pub started: AtomicU64,
    /// Number of cancel calls received.
    pub cancelled: AtomicU64,
    /// Number of streams that the client closed before they were complete.
    pub dropped: AtomicU64,
    /// If not 0, the engine reports that it is leaving.
    pub leaving: AtomicU64,
}

impl EngineControls {
    /// Continues all held streams.
    pub fn release(&self) {
        self.hold.store(0, Ordering::SeqCst);
        self.released.notify_waiters();
    }
}

struct EngineState {
    behaviour: EngineBehaviour,
    controls: Arc<EngineControls>,
    incarnation: Incarnation,
    running: AtomicU64,
    cache: Mutex<BTreeSet<u64>>,
    weights: Mutex<(String, FencingNumber)>,
}

/// A running fake engine.
pub struct FakeEngine {
    server: HttpServer,
    /// Fault injection and counters.
    pub controls: Arc<EngineControls>,
}

impl FakeEngine {
    /// Starts a fake engine.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn start(behaviour: EngineBehaviour) -> io::Result<Self> {
        let controls = Arc::new(EngineControls::default());
        let listen = behaviour.listen;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = Arc::new(EngineState {
            weights: Mutex::new((behaviour.weights.clone(), FencingNumber::default())),
            behaviour,
            controls: Arc::clone(&controls),
            incarnation: now.as_nanos() as u64,
            running: AtomicU64::new(0),
            cache: Mutex::default(),
        });
        let server = HttpServer::start(listen, router(state), RequestLimits::default()).await?;
        Ok(FakeEngine { server, controls })
    }

    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the engine after its open streams have ended.
    pub async fn stop(self) {
        self.server.stop(Duration::ZERO).await;
    }
}

fn router(state: Arc<EngineState>) -> Router {
    let bind = |run: fn(Arc<EngineState>, Request) -> ResponseFuture| {
        let state = Arc::clone(&state);
        move |request: Request| {
            let response = run(Arc::clone(&state), request);
            async move { response.await as Result<Response> }
        }
    };
    Router::new()
        .post("/v1/chat/completions", bind(|state, request| Box::pin(generate(state, request))))
        .post("/v1/completions", bind(|state, request| Box::pin(generate(state, request))))
        .get("/v1/load", bind(|state, _| Box::pin(async move { Ok(load(&state)) })))
        .get("/v1/cache_events", bind(|state, _| Box::pin(async move { Ok(cache_events(&state)) })))
        .post("/v1/weights", bind(|state, request| Box::pin(order_weights(state, request))))
        .post(
            "/v1/attempts/:id/cancel",
            bind(|state, _| {
                state.controls.cancelled.fetch_add(1, Ordering::SeqCst);
                Box::pin(async { Ok(json_response(200, &json!({}))) })
            }),
        )
}

type ResponseFuture = futures::future::BoxFuture<'static, Result<Response>>;

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(Body::Full(Bytes::from(body.to_string()).into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("the codes here are valid");
    response
}

fn load(state: &EngineState) -> Response {
    let (weights, _) = state.weights.lock().expect("no holder panics").clone();
    json_response(
        200,
        &json!({
            "incarnation": state.incarnation,
            "weights": BTreeMap::from([(state.behaviour.model.clone(), weights)]),
            "running": state.running.load(Ordering::SeqCst),
            "waiting": 0,
            "leaving": state.controls.leaving.load(Ordering::SeqCst) != 0,
        }),
    )
}

fn cache_events(state: &EngineState) -> Response {
    json_response(200, &json!({ "incarnation": state.incarnation, "sequence": 0 }))
}

async fn order_weights(state: Arc<EngineState>, mut request: Request) -> Result<Response> {
    let order: Value = serde_json::from_slice(&request.bytes().await?).unwrap_or_default();
    let fencing: FencingNumber =
        serde_json::from_value(order["fencing"].clone()).unwrap_or_default();
    let mut weights = state.weights.lock().expect("no holder panics");
    if state.behaviour.checks_fencing && fencing < weights.1 {
        return Ok(json_response(409, &json!({ "error": "fencing number is outdated" })));
    }
    *weights = (order["weights"].as_str().unwrap_or_default().to_owned(), fencing);
    state.cache.lock().expect("no holder panics").clear();
    Ok(json_response(200, &json!({})))
}

/// State of a generation.
struct Generation {
    state: Arc<EngineState>,
    /// Seed of the generated words, which is a hash of the prompt.
    seed: u64,
    tokens: u64,
    next: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Whether the last event has been generated.
    is_complete: bool,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_complete {
            self.state.controls.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn generate(state: Arc<EngineState>, mut request: Request) -> Result<Response> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let body: Value = serde_json::from_slice(&request.bytes().await?).unwrap_or_default();
    state.controls.started.fetch_add(1, Ordering::SeqCst);
    let (weights, _) = state.weights.lock().expect("no holder panics").clone();
    if body["weights"].as_str().is_some_and(|wanted| wanted != weights) {
        return Ok(json_response(409, &json!({ "error": "other weights are loaded" })));
    }
    let (prompt_tokens, cached_tokens) = prefill(&state, &body);
    let count = body["max_tokens"].as_u64().unwrap_or(state.behaviour.tokens);
    let resumed = body["resume"]["after"].as_u64().unwrap_or(0);
    state.running.fetch_add(1, Ordering::SeqCst);
    let generation = Generation {
        seed: xxh3_64(format!("{}{}", body["messages"], body["prompt"]).as_bytes()),
        tokens: count,
        next: resumed + 1,
        prompt_tokens,
        cached_tokens,
        is_complete: false,
        state: Arc::clone(&state),
    };
    let mut response = Response::new(Body::from_stream(stream::unfold(generation, next_event)));
    if let Some(attempt) = attempt {
        let mismatched = state.controls.mismatch_attempt.load(Ordering::SeqCst) != 0;
        let echo = if mismatched { "0".repeat(32).parse().expect("digits") } else { attempt };
        response.headers_mut().insert(ATTEMPT_HEADER, echo);
    }
    Ok(response)
}

/// Returns the number of prompt tokens and of those cached under the salt, and caches the prompt.
fn prefill(state: &EngineState, body: &Value) -> (u64, u64) {
    let salt = body["cache_salt"].as_str().unwrap_or_default();
    let parts: Vec<String> = match body["messages"].as_array() {
        Some(messages) => messages.iter().map(Value::to_string).collect(),
        None => vec![body["prompt"].to_string()],
    };
    let mut cache = state.cache.lock().expect("no holder panics");
    if cache.len() > CACHED_PREFIXES {
        cache.clear();
    }
    let mut chain = salt.to_owned();
    parts.iter().fold((0, 0), |(tokens, cached), part| {
        chain.push_str(part);
        let size = part.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let is_new = cache.insert(xxh3_64(chain.as_bytes()));
        (tokens + size, cached + if is_new { 0 } else { size })
    })
}

/// Generates the next event of a stream.
async fn next_event(mut generation: Generation) -> Option<(io::Result<Bytes>, Generation)> {
    if generation.is_complete {
        return None;
    }
    let state = Arc::clone(&generation.state);
    if generation.next == 1 {
        sleep(state.behaviour.prefill).await;
        while state.controls.hold.load(Ordering::SeqCst) != 0 {
            let released = state.controls.released.notified();
            if state.controls.hold.load(Ordering::SeqCst) != 0 {
                released.await;
            }
        }
    } else {
        sleep(state.behaviour.token).await;
    }
    let break_after = state.controls.break_after.load(Ordering::SeqCst);
    if break_after != 0 && generation.next > break_after {
        return Some((Err(io::Error::other("stream broken by the test")), generation));
    }
    let number = generation.next;
    generation.next += 1;
    let text = if number <= generation.tokens {
        let word = format!("w{number}-{:04x} ", (generation.seed ^ number) & 0xffff);
        chunk_event(number, &word, number == generation.tokens)
    } else {
        generation.is_complete = true;
        usage_event(&generation)
    };
    Some((Ok(Bytes::from(text)), generation))
}

fn chunk_event(number: u64, word: &str, is_last: bool) -> String {
    let finish = if is_last { json!("stop") } else { Value::Null };
    let choice = json!({
        "index": 0, "delta": { "role": "assistant", "content": word }, "text": word,
        "finish_reason": finish,
    });
    let chunk = json!({ "object": "chat.completion.chunk", "choices": [choice] });
    format!("id: {number}\ndata: {chunk}\n\n")
}

fn usage_event(generation: &Generation) -> String {
    let usage = json!({
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.tokens,
        "prompt_tokens_details": { "cached_tokens": generation.cached_tokens },
    });
    format!("data: {}\n\ndata: [DONE]\n\n", json!({ "choices": [], "usage": usage }))
}
