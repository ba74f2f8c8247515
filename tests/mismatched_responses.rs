//! A response may belong to another attempt than the one that was sent on its connection, or arrive
//! after the caller's deadline. Responses carry the id of their attempt, so that a mismatched one
//! is dropped, and the late response of a non-repeatable call is kept for its retry.

#[path = "../examples/fakes/engine.rs"]
mod engine;
#[path = "../examples/fakes/http_client.rs"]
mod http_client;
#[path = "../examples/fakes/lone_daemon.rs"]
mod lone_daemon;
#[path = "../examples/fakes/service.rs"]
mod service;

use {
    self::{
        engine::{EngineBehaviour, FakeEngine},
        http_client::BufferedResponse,
        lone_daemon::{KEY, LoneDaemon, MODEL},
        service::FakeService,
    },
    futures::future::join_all,
    serde_json::json,
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
};

async fn call_once(callers: SocketAddr, key: &str, deadline_ms: &str) -> BufferedResponse {
    let headers = [
        ("authorization", KEY),
        ("idempotency-key", key),
        ("x-oleandermount-deadline-ms", deadline_ms),
    ];
    let path = "/services/dispatch-app/bookings";
    http_client::send(callers, "POST", path, &headers, r#"{"slot":9}"#).await.expect("a response")
}

async fn chat(callers: SocketAddr, number: u64) -> BufferedResponse {
    let body = json!({
        "model": MODEL, "max_tokens": 3,
        "messages": [{ "role": "user", "content": number.to_string() }],
    });
    let headers = [("authorization", KEY)];
    let path = "/v1/chat/completions";
    http_client::send(callers, "POST", path, &headers, body.to_string()).await.expect("a response")
}

#[tokio::test(flavor = "multi_thread")]
async fn mismatched_response_is_dropped() {
    let behaviour = EngineBehaviour { prefill: Duration::from_millis(30), ..Default::default() };
    let mismatching = FakeEngine::start(behaviour.clone()).await.expect("it starts");
    let good = FakeEngine::start(behaviour).await.expect("it starts");
    mismatching.controls.mismatch_attempt.store(1, Ordering::SeqCst);
    let daemon = LoneDaemon::start(&[mismatching.address(), good.address()], &[]).await;
    // The requests are concurrent, so that the load is spread over both engines.
    let responses = join_all((0..12).map(|number| chat(daemon.callers(), number))).await;
    for (number, response) in responses.iter().enumerate() {
        let text = response.json()["choices"][0]["message"]["content"].to_string();
        let own = response.status == 200 && text.split_whitespace().count() == 4;
        let refused = response.status == 502 && response.json()["error"]["did_run"] == "unknown";
        assert!(own || refused, "request {number}: {}", String::from_utf8_lossy(&response.body));
    }
    assert!(responses.iter().any(|response| response.status == 200));
    assert!(
        mismatching.controls.started.load(Ordering::SeqCst) > 0,
        "no request was sent to the mismatching engine"
    );
    assert!(!daemon.metrics().await.contains("oleandermount_crossed_answers_total 0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_kept_for_the_retry() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    service.controls.hold.store(1, Ordering::SeqCst);
    let late = call_once(daemon.callers(), "late", "400").await;
    assert_eq!((late.status.as_u16(), late.code().as_str()), (504, "outcome_unknown"));
    assert_eq!(late.json()["error"]["did_run"], "unknown");
    service.controls.release();
    let retried = call_once(daemon.callers(), "late", "20000").await;
    assert_eq!((retried.status.as_u16(), &retried.json()["run"]), (200, &json!(1)));
    assert_eq!(service.controls.runs_of("late"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_with_lost_response_is_not_repeated() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    service.controls.break_connection.store(1, Ordering::SeqCst);
    for _ in 0..3 {
        let response = call_once(daemon.callers(), "lost", "20000").await;
        assert_eq!((response.status.as_u16(), response.code().as_str()), (502, "outcome_unknown"));
        assert_eq!(response.json()["error"]["did_run"], "unknown");
    }
    assert_eq!(service.controls.runs_of("lost"), 1);
}
