//! A stand-in for a plain service that counts how often each idempotency key ran.

// Each program that includes this file uses a part of it.
#![allow(dead_code)]

use {
    bytes::Bytes,
    oleandermount::{
        backend::ATTEMPT_HEADER, http_api::server::HttpServer, options::RequestLimits,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Notify,
    viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode},
};

/// What a test sees and changes while the stand-in runs.
#[derive(Default)]
pub struct ServiceKnobs {
    /// Runs by idempotency key; bounded by the test that sends them.
    pub runs: Mutex<BTreeMap<String, u64>>,
    /// Hold each answer after the run until [`ServiceKnobs::release`]; 0 does not.
    pub hold: AtomicU64,
    /// Signalled to let held answers go.
    pub released: Notify,
    /// Answer with this status after the run; 0 means 200.
    pub status: AtomicU64,
    /// Break the connection after the run, without an answer; 0 does not.
    pub break_off: AtomicU64,
}

impl ServiceKnobs {
    /// Lets all held answers go.
    pub fn release(&self) {
        self.hold.store(0, Ordering::SeqCst);
        self.released.notify_waiters();
    }

    /// Runs of one key.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.runs.lock().expect("no holder panics").get(key).copied().unwrap_or(0)
    }
}

/// A running stand-in.
pub struct FakeService {
    server: HttpServer,
    /// Its knobs.
    pub knobs: Arc<ServiceKnobs>,
}

impl FakeService {
    /// Starts a stand-in.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let knobs = Arc::new(ServiceKnobs::default());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let router = router(Arc::clone(&knobs), now.as_nanos() as u64);
        let server = HttpServer::start(listen, router, RequestLimits::default()).await?;
        Ok(FakeService { server, knobs })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn router(knobs: Arc<ServiceKnobs>, incarnation: u64) -> Router {
    let counted = Arc::clone(&knobs);
    let switched = Arc::clone(&knobs);
    Router::new()
        .get("/v1/load", move |_: Request| async move {
            Ok::<_, viz::Error>(json_response(200, &json!({ "incarnation": incarnation })))
                as Result<Response>
        })
        .get("/runs", move |_: Request| {
            let runs = counted.runs.lock().expect("no holder panics").clone();
            async move { Ok::<_, viz::Error>(json_response(200, &json!(runs))) as Result<Response> }
        })
        // Switches for tests of whole processes: /knobs/hold/1, /knobs/status/500 and so on.
        .post("/knobs/:name/:value", move |request: Request| {
            let answer = turn_knob(&switched, &request);
            async move { Ok::<_, viz::Error>(answer) as Result<Response> }
        })
        .any("/*", move |request: Request| run(Arc::clone(&knobs), request))
}

fn turn_knob(knobs: &ServiceKnobs, request: &Request) -> Response {
    let name: String = request.param("name").unwrap_or_default();
    let value: u64 = request.param("value").unwrap_or_default();
    match name.as_str() {
        "hold" if value == 0 => knobs.release(),
        "hold" => knobs.hold.store(value, Ordering::SeqCst),
        "status" => knobs.status.store(value, Ordering::SeqCst),
        "break_off" => knobs.break_off.store(value, Ordering::SeqCst),
        _ => return json_response(404, &json!({ "error": "no such knob" })),
    }
    json_response(200, &json!({ name: value }))
}

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(Body::Full(Bytes::from(body.to_string()).into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("the codes here are valid");
    response.headers_mut().insert("content-type", "application/json".parse().expect("valid"));
    response
}

async fn run(knobs: Arc<ServiceKnobs>, mut request: Request) -> Result<Response> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let key: Option<String> = request.header("idempotency-key");
    let path = request.path().to_owned();
    let body = request.bytes().await.unwrap_or_default();
    let run = match key.clone() {
        Some(key) => {
            let mut runs = knobs.runs.lock().expect("no holder panics");
            let count = runs.entry(key).or_default();
            *count += 1;
            *count
        }
        None => 1,
    };
    while knobs.hold.load(Ordering::SeqCst) != 0 {
        let released = knobs.released.notified();
        if knobs.hold.load(Ordering::SeqCst) != 0 {
            released.await;
        }
    }
    if knobs.break_off.load(Ordering::SeqCst) != 0 {
        let broken = futures::stream::iter([Err::<Bytes, _>(io::Error::other("broken off"))]);
        return Ok(Response::new(Body::from_stream(broken)));
    }
    let status = match knobs.status.load(Ordering::SeqCst) {
        0 => 200,
        status => status as u16,
    };
    let echo = String::from_utf8_lossy(&body).into_owned();
    let mut response =
        json_response(status, &json!({ "path": path, "key": key, "run": run, "body": echo }));
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
    Ok(response)
}
