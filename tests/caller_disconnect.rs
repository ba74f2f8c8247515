//! A caller disconnects while its request runs. A generation must be cancelled at the engine, so
//! that it does not delay other callers. A non-repeatable call must continue, and a retry by the
//! caller must get its response.

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
        lone_daemon::{KEY, LoneDaemon, MODEL},
        service::FakeService,
    },
    http_body_util::BodyExt,
    serde_json::json,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::{task::yield_now, time::timeout},
};

/// Waits for the condition; the timeout only turns a hang into a failure.
async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            yield_now().await;
        }
    };
    timeout(Duration::from_secs(60), wait).await.expect("the condition holds in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_is_cancelled() {
    let behaviour = EngineBehaviour { token: Duration::from_millis(5), ..Default::default() };
    let engine = FakeEngine::start(behaviour).await.expect("it starts");
    let daemon = LoneDaemon::start(&[engine.address()], &[]).await;
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 1_000_000,
        "messages": [{ "role": "user", "content": "a long contract" }],
    });
    let headers = [("authorization", KEY)];
    let path = "/v1/chat/completions";
    let open = http_client::open(daemon.callers(), "POST", path, &headers, body.to_string()).await;
    let mut open = open.expect("the stream opens");
    open.response.body_mut().frame().await.expect("a first event").expect("no connection error");
    drop(open);
    wait_until(|| engine.controls.cancelled.load(Ordering::SeqCst) == 1).await;
    wait_until(|| engine.controls.dropped.load(Ordering::SeqCst) == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_call_continues_without_its_caller() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    service.controls.hold.store(1, Ordering::SeqCst);
    let callers = daemon.callers();
    let headers = [("authorization", KEY), ("idempotency-key", "gone")];
    let path = "/services/dispatch-app/bookings";
    let first = tokio::spawn(async move {
        http_client::send(callers, "POST", path, &headers, "{}").await.map(|_| ())
    });
    wait_until(|| service.controls.runs_of("gone") == 1).await;
    first.abort();
    service.controls.release();
    let retried = http_client::send(callers, "POST", path, &headers, "{}").await;
    let retried = retried.expect("a response");
    assert_eq!((retried.status.as_u16(), &retried.json()["run"]), (200, &json!(1)));
    assert_eq!(service.controls.runs_of("gone"), 1);
}
