//! A stand-in for an engine: docs/BACKENDS.md in a few hundred lines, with knobs for failures.
//!
//! What it generates depends on the prompt alone, so that any two stand-ins continue each other.

// Each program that includes this file uses a part of it.
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

/// Bytes of prompt that count as one token, as in the router's estimate.
const BYTES_PER_TOKEN: usize = 4;
/// Prefixes remembered; the stand-in forgets all at the bound, as a full cache would.
const CACHED_PREFIXES: usize = 4096;

/// How a stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineBehaviour {
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// The model it runs.
    pub model: String,
    /// The weights it starts with.
    pub weights: String,
    /// Time for the prompt.
    pub prefill: Duration,
    /// Time for each token.
    pub token: Duration,
    /// Tokens of an answer when the caller sets no limit.
    pub tokens: u64,
    /// Whether it refuses orders with a lower fencing number.
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

/// What a test sees and changes while the stand-in runs.
#[derive(Default)]
pub struct EngineKnobs {
    /// Break each stream off after this many events; 0 never does.
    pub break_after: AtomicU64,
    /// Answer with another attempt's id; 0 does not.
    pub cross_answers: AtomicU64,
    /// Hold each stream before its first token until [`EngineKnobs::release`]; 0 does not.
    pub hold: AtomicU64,
    /// Signalled to let held streams go on.
    pub released: Notify,
    /// Generations begun.
    pub started: AtomicU64,
    /// Cancel calls received.
    pub cancelled: AtomicU64,
    /// Streams dropped by the other side before they were whole.
    pub dropped: AtomicU64,
    /// Whether it says that it is leaving; 0 does not.
    pub leaving: AtomicU64,
}

impl EngineKnobs {
    /// Lets all held streams go on.
    pub fn release(&self) {
        self.hold.store(0, Ordering::SeqCst);
        self.released.notify_waiters();
    }
}

struct EngineState {
    behaviour: EngineBehaviour,
    knobs: Arc<EngineKnobs>,
    incarnation: Incarnation,
    running: AtomicU64,
    cache: Mutex<BTreeSet<u64>>,
    weights: Mutex<(String, FencingNumber)>,
}

/// A running stand-in.
pub struct FakeEngine {
    server: HttpServer,
    /// Its knobs.
    pub knobs: Arc<EngineKnobs>,
}

impl FakeEngine {
    /// Starts a stand-in.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub async fn start(behaviour: EngineBehaviour) -> io::Result<Self> {
        let knobs = Arc::new(EngineKnobs::default());
        let listen = behaviour.listen;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = Arc::new(EngineState {
            weights: Mutex::new((behaviour.weights.clone(), FencingNumber::default())),
            behaviour,
            knobs: Arc::clone(&knobs),
            incarnation: now.as_nanos() as u64,
            running: AtomicU64::new(0),
            cache: Mutex::default(),
        });
        let server = HttpServer::start(listen, router(state), RequestLimits::default()).await?;
        Ok(FakeEngine { server, knobs })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops it after its open streams.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn router(state: Arc<EngineState>) -> Router {
    let on = |run: fn(Arc<EngineState>, Request) -> AnswerFuture| {
        let state = Arc::clone(&state);
        move |request: Request| {
            let answer = run(Arc::clone(&state), request);
            async move { answer.await as Result<Response> }
        }
    };
    Router::new()
        .post("/v1/chat/completions", on(|state, request| Box::pin(generate(state, request))))
        .post("/v1/completions", on(|state, request| Box::pin(generate(state, request))))
        .get("/v1/load", on(|state, _| Box::pin(async move { Ok(load(&state)) })))
        .get("/v1/cache_events", on(|state, _| Box::pin(async move { Ok(cache_events(&state)) })))
        .post("/v1/weights", on(|state, request| Box::pin(order_weights(state, request))))
        .post(
            "/v1/attempts/:id/cancel",
            on(|state, _| {
                state.knobs.cancelled.fetch_add(1, Ordering::SeqCst);
                Box::pin(async { Ok(json_response(200, &json!({}))) })
            }),
        )
}

type AnswerFuture = futures::future::BoxFuture<'static, Result<Response>>;

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
            "leaving": state.knobs.leaving.load(Ordering::SeqCst) != 0,
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
        return Ok(json_response(409, &json!({ "error": "an order with a higher number came" })));
    }
    *weights = (order["weights"].as_str().unwrap_or_default().to_owned(), fencing);
    state.cache.lock().expect("no holder panics").clear();
    Ok(json_response(200, &json!({})))
}

/// What one generation needs to know.
struct Generation {
    state: Arc<EngineState>,
    /// Seeds the words: the hash of the prompt alone.
    seed: u64,
    tokens: u64,
    next: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Set when the last event has gone out.
    whole: bool,
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.whole {
            self.state.knobs.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn generate(state: Arc<EngineState>, mut request: Request) -> Result<Response> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let body: Value = serde_json::from_slice(&request.bytes().await?).unwrap_or_default();
    state.knobs.started.fetch_add(1, Ordering::SeqCst);
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
        whole: false,
        state: Arc::clone(&state),
    };
    let mut response = Response::new(Body::from_stream(stream::unfold(generation, step)));
    if let Some(attempt) = attempt {
        let crossed = state.knobs.cross_answers.load(Ordering::SeqCst) != 0;
        let echo = if crossed { "0".repeat(32).parse().expect("digits") } else { attempt };
        response.headers_mut().insert(ATTEMPT_HEADER, echo);
    }
    Ok(response)
}

/// Counts prompt tokens and those found in the cache under the salt, and remembers the prompt.
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

/// Makes the next event of a stream.
async fn step(mut generation: Generation) -> Option<(io::Result<Bytes>, Generation)> {
    if generation.whole {
        return None;
    }
    let state = Arc::clone(&generation.state);
    if generation.next == 1 {
        sleep(state.behaviour.prefill).await;
        while state.knobs.hold.load(Ordering::SeqCst) != 0 {
            let released = state.knobs.released.notified();
            if state.knobs.hold.load(Ordering::SeqCst) != 0 {
                released.await;
            }
        }
    } else {
        sleep(state.behaviour.token).await;
    }
    let break_after = state.knobs.break_after.load(Ordering::SeqCst);
    if break_after != 0 && generation.next > break_after {
        return Some((Err(io::Error::other("the stand-in breaks off")), generation));
    }
    let number = generation.next;
    generation.next += 1;
    let text = if number <= generation.tokens {
        let word = format!("w{number}-{:04x} ", (generation.seed ^ number) & 0xffff);
        chunk_event(number, &word, number == generation.tokens)
    } else {
        generation.whole = true;
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
