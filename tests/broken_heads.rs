//! Tests that a response which ends in its head or in its body is never taken for one, by any of the clients
//! of backend servers and of the operators' API.

#![allow(clippy::unwrap_used)]

#[path = "fakes/cut_server.rs"]
mod cut_server;

use {
    cut_server::{CutEnd, cuts, marked_forms, open_heads, start_cut_server},
    futures::{StreamExt, stream},
    oleandermount::{
        backend::{
            connection::ExchangeLimits,
            engine::{self, EngineCall},
            service::{ServiceRequest, send_call},
        },
        ids::FencingNumber,
        operator_client::connection::AdminConnection,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Limit of exchanges with a silent server.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// Exchanges at the same time.
const PARALLEL: usize = 64;
const FENCING: FencingNumber = FencingNumber { term: 1, index: 1 };
const REPORT: &str = r#"{"incarnation":7,"sequence":3,"running":1}"#;
const EVENTS: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n";

fn limits() -> ExchangeLimits {
    let until = Instant::now() + HEAD_LIMIT;
    ExchangeLimits { send_before: until, head_before: until }
}

async fn calls_service(address: SocketAddr) -> bool {
    let request = ServiceRequest {
        method: "GET".parse().unwrap(),
        path: "/feed".to_owned(),
        headers: Default::default(),
        body: Default::default(),
    };
    send_call(address, 1, request, limits()).await.is_ok()
}

/// Whether any control call of an engine succeeds.
async fn calls_engine(address: SocketAddr) -> bool {
    let until = Instant::now() + HEAD_LIMIT;
    let order = engine::order_weights(address, "m".to_owned(), "4".to_owned(), FENCING, until);
    let (report, events, order, cancelled) = tokio::join!(
        engine::load_report(address, "i-1".to_owned()),
        engine::cache_events(address, "i-1".to_owned(), 2),
        order,
        engine::cancel(address, 1),
    );
    report.is_ok() || events.is_ok() || order.is_ok() || cancelled.is_ok()
}

/// Whether a generation is received to its end.
async fn generates(address: SocketAddr) -> bool {
    let call = EngineCall {
        attempt: 1,
        path: "/v1/completions".to_owned(),
        body: json!({}),
        cache_salt: String::new(),
        priority: 0,
        weights: None,
        import: None,
        resume: None,
    };
    let Ok(mut stream) = engine::generate(address, call, limits()).await else { return false };
    loop {
        match stream.next_event().await {
            Ok(engine::EngineEvent::Done) => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
}

async fn queries_operator(address: SocketAddr) -> bool {
    let connection = AdminConnection::new(&[format!("http://{address}")]).unwrap();
    connection.query::<Value>("/v1/state").await.is_ok()
}

/// Sends a request for each part and each end; returns their number and those that were taken for a response.
async fn play(
    parts: Vec<String>,
    ends: &[CutEnd],
    is_taken: impl AsyncFn(SocketAddr) -> bool,
) -> (usize, Vec<(String, CutEnd)>) {
    let cases: Vec<(String, CutEnd)> =
        parts.iter().flat_map(|part| ends.iter().map(|end| (part.clone(), *end))).collect();
    let number = cases.len();
    let taken = stream::iter(cases).map(|(part, end)| {
        let is_taken = &is_taken;
        async move {
            let server = start_cut_server(part.clone(), end).await;
            is_taken(server.address).await.then_some((part, end))
        }
    });
    (number, taken.buffer_unordered(PARALLEL).filter_map(async |case| case).collect().await)
}

const ENDS: [CutEnd; 2] = [CutEnd::Close, CutEnd::Reset];

fn all_cuts(body: &str) -> Vec<String> {
    let forms = marked_forms("Content-Type: application/json\r\n", body);
    let heads = open_heads("Content-Type: application/json\r\n");
    forms.iter().chain(&heads).flat_map(|form| cuts(form)).collect()
}

/// Guards against a response of a plain service that ends anywhere before its end and is taken for one.
#[tokio::test]
async fn cut_service_response_is_broken() {
    let (number, taken) = play(all_cuts(REPORT), &ENDS, calls_service).await;
    assert!(taken.is_empty(), "{} of {number}: {taken:?}", taken.len());
}

/// Guards against a load report, cache events, or the acceptance of an order, that end anywhere before their
/// end and are taken for complete.
#[tokio::test]
async fn cut_engine_response_is_broken() {
    let (number, taken) = play(all_cuts(REPORT), &ENDS, calls_engine).await;
    assert!(taken.is_empty(), "{} of {number}: {taken:?}", taken.len());
}

/// Guards against a generation whose response ends anywhere before its last event and is taken for complete.
#[tokio::test]
async fn cut_generation_is_broken() {
    let parts = all_cuts(EVENTS).into_iter().filter(|part| !part.contains("[DONE]\n\n")).collect();
    let (number, taken) = play(parts, &ENDS, generates).await;
    assert!(taken.is_empty(), "{} of {number}: {taken:?}", taken.len());
}

/// Guards against a response of the operators' API that ends anywhere before its end and is taken for one.
#[tokio::test]
async fn cut_operator_response_is_lost() {
    let (number, taken) = play(all_cuts(REPORT), &ENDS, queries_operator).await;
    assert!(taken.is_empty(), "{} of {number}: {taken:?}", taken.len());
}

/// Guards against a health check that counts the beginning of a response as one, if the server then falls
/// silent.
#[tokio::test]
async fn silent_server_is_no_response() {
    let parts = all_cuts(REPORT);
    let (number, taken) = play(parts, &[CutEnd::Silence], async |address| {
        engine::load_report(address, "i-1".to_owned()).await.is_ok()
    })
    .await;
    assert!(taken.is_empty(), "{} of {number}: {taken:?}", taken.len());
}

/// Complete responses in all forms are taken, so that the parts above fail only since they are cut.
#[tokio::test]
async fn complete_responses_are_taken() {
    for form in marked_forms("Content-Type: application/json\r\n", REPORT) {
        let server = start_cut_server(form.clone(), CutEnd::Close).await;
        let address = server.address;
        assert!(calls_service(address).await && calls_engine(address).await, "{form}");
        assert!(queries_operator(address).await, "{form}");
    }
    for form in marked_forms("", EVENTS) {
        let server = start_cut_server(form.clone(), CutEnd::Close).await;
        let address = server.address;
        assert!(generates(address).await, "{form}");
    }
}
