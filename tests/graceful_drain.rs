//! A draining daemon must complete its open streams, refuse new requests as not run, and report on
//! `/readyz` that it is not ready, so that a restart does not truncate responses.

#[path = "../examples/fakes/engine.rs"]
mod engine;
#[path = "../examples/fakes/http_client.rs"]
mod http_client;
#[path = "../examples/fakes/lone_daemon.rs"]
mod lone_daemon;

use {
    self::{
        engine::{EngineBehaviour, FakeEngine},
        lone_daemon::{KEY, LoneDaemon, MODEL},
    },
    futures::future::join_all,
    serde_json::json,
    std::{net::SocketAddr, sync::atomic::Ordering},
    tokio::task::yield_now,
};

const STREAMS: u64 = 24;

async fn chat(callers: SocketAddr, question: u64) -> http_client::BufferedResponse {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 30,
        "messages": [{ "role": "user", "content": question.to_string() }],
    });
    let headers = [("authorization", KEY)];
    let path = "/v1/chat/completions";
    http_client::send(callers, "POST", path, &headers, body.to_string()).await.expect("a response")
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_open_streams() {
    let engine = FakeEngine::start(EngineBehaviour::default()).await.expect("it starts");
    engine.controls.hold.store(1, Ordering::SeqCst);
    let daemon = LoneDaemon::start(&[engine.address()], &[]).await;
    let callers = daemon.callers();
    let streams: Vec<_> = (0..STREAMS).map(|number| tokio::spawn(chat(callers, number))).collect();
    while engine.controls.started.load(Ordering::SeqCst) < 1 {
        yield_now().await;
    }
    let in_flight = "oleandermount_requests_total{class=\"interactive\"} 24";
    while !daemon.metrics().await.contains(in_flight) {
        yield_now().await;
    }
    let (draining, _directory) = daemon.drain();
    let finishing = tokio::spawn(draining.finish(std::future::pending()));
    // The streams remain open here, so the daemon must keep responding on its port.
    for _ in 0..20 {
        let ready = http_client::send(callers, "GET", "/readyz", &[], "").await;
        assert_eq!(ready.expect("a response").status, 503);
        let refused = chat(callers, 99).await;
        assert_eq!((refused.status.as_u16(), refused.code().as_str()), (503, "draining"));
        assert_eq!(refused.json()["error"]["did_run"], "no");
        assert!(refused.retry_after.is_some());
    }
    assert!(!finishing.is_finished(), "the daemon stopped before its streams were complete");
    engine.controls.release();
    assert_eq!(finishing.await.expect("no panic").cut, 0);
    for response in join_all(streams).await {
        let text = String::from_utf8_lossy(&response.expect("no panic").body).into_owned();
        assert_eq!(text.matches("\"content\"").count(), 30, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}
