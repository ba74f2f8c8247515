//! Fake plain service that counts how often each idempotency key was run.

// Programs that include this file use only parts of it.
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

/// Fault injection and counters for tests while the fake service runs.
#[derive(Default)]
pub struct ServiceControls {
    /// Number of runs by idempotency key; bounded by the requests of the test.
    pub runs: Mutex<BTreeMap<String, u64>>,
    /// If not 0, responses wait after the run until [`ServiceControls::release`].
    pub hold: AtomicU64,
    /// Notified to send held responses.
    pub released: Notify,
    /// HTTP status of responses; 0 for 200.
    pub status: AtomicU64,
    /// If not 0, the connection breaks after the run, without a response.
    pub break_connection: AtomicU64,
}

impl ServiceControls {
    /// Sends all held responses.
    pub fn release(&self) {
        self.hold.store(0, Ordering::SeqCst);
        self.released.notify_waiters();
    }

    /// The number of runs of a key.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.runs.lock().expect("no holder panics").get(key).copied().unwrap_or(0)
    }
}

/// A running fake service.
pub struct FakeService {
    server: HttpServer,
    /// Fault injection and counters.
    pub controls: Arc<ServiceControls>,
}

impl FakeService {
    /// Starts a fake service.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let controls = Arc::new(ServiceControls::default());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let router = router(Arc::clone(&controls), now.as_nanos() as u64);
        let server = HttpServer::start(listen, router, RequestLimits::default()).await?;
        Ok(FakeService { server, controls })
    }

    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn router(controls: Arc<ServiceControls>, incarnation: u64) -> Router {
    let counted = Arc::clone(&controls);
    let switchable = Arc::clone(&controls);
    Router::new()
        .get("/v1/load", move |_: Request| async move {
            Ok::<_, viz::Error>(json_response(200, &json!({ "incarnation": incarnation })))
                as Result<Response>
        })
        .get("/runs", move |_: Request| {
            let runs = counted.runs.lock().expect("no holder panics").clone();
            async move { Ok::<_, viz::Error>(json_response(200, &json!(runs))) as Result<Response> }
        })
        // Fault injection for tests with separate processes, such as POST /knobs/status/500.
        .post("/knobs/:name/:value", move |request: Request| {
            let response = set_control(&switchable, &request);
            async move { Ok::<_, viz::Error>(response) as Result<Response> }
        })
        .any("/*", move |request: Request| run(Arc::clone(&controls), request))
}

fn set_control(controls: &ServiceControls, request: &Request) -> Response {
    let name: String = request.param("name").unwrap_or_default();
    let value: u64 = request.param("value").unwrap_or_default();
    match name.as_str() {
        "hold" if value == 0 => controls.release(),
        "hold" => controls.hold.store(value, Ordering::SeqCst),
        "status" => controls.status.store(value, Ordering::SeqCst),
        "break_off" => controls.break_connection.store(value, Ordering::SeqCst),
        _ => return json_response(404, &json!({ "error": "unknown control" })),
    }
    json_response(200, &json!({ name: value }))
}

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(Body::Full(Bytes::from(body.to_string()).into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("the codes here are valid");
    response.headers_mut().insert("content-type", "application/json".parse().expect("valid"));
    response
}

async fn run(controls: Arc<ServiceControls>, mut request: Request) -> Result<Response> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let key: Option<String> = request.header("idempotency-key");
    let path = request.path().to_owned();
    let body = request.bytes().await.unwrap_or_default();
    let run = match key.clone() {
        Some(key) => {
            let mut runs = controls.runs.lock().expect("no holder panics");
            let count = runs.entry(key).or_default();
            *count += 1;
            *count
        }
        None => 1,
    };
    while controls.hold.load(Ordering::SeqCst) != 0 {
        let released = controls.released.notified();
        if controls.hold.load(Ordering::SeqCst) != 0 {
            released.await;
        }
    }
    if controls.break_connection.load(Ordering::SeqCst) != 0 {
        let broken = futures::stream::iter([Err::<Bytes, _>(io::Error::other("broken by test"))]);
        return Ok(Response::new(Body::from_stream(broken)));
    }
    let status = match controls.status.load(Ordering::SeqCst) {
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
