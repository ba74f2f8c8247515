//! An engine's stream breaks in the middle. The caller must receive each word once, in order and
//! followed by `[DONE]`, or an error event without `[DONE]`, so that it does not mistake a partial
//! response for the complete one.

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
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::atomic::Ordering},
};

const TOKENS: u64 = 40;

async fn chat(callers: SocketAddr, question: &str, stream: bool) -> http_client::BufferedResponse {
    let body = json!({
        "model": MODEL, "stream": stream, "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": question }],
    });
    let headers = [("authorization", KEY)];
    let path = "/v1/chat/completions";
    http_client::send(callers, "POST", path, &headers, body.to_string()).await.expect("a response")
}

/// The words of a streamed response, in the order of arrival.
fn streamed_words(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}

async fn start_engines(count: usize) -> Vec<FakeEngine> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(FakeEngine::start(EngineBehaviour::default()).await.expect("it starts"));
    }
    engines
}

async fn start_daemon(engines: &[FakeEngine]) -> LoneDaemon {
    let addresses: Vec<SocketAddr> = engines.iter().map(FakeEngine::address).collect();
    LoneDaemon::start(&addresses, &[]).await
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_resumes_on_another_engine() {
    let engines = start_engines(2).await;
    let daemon = start_daemon(&engines).await;
    let questions: Vec<String> = (0..8).map(|number| format!("question {number}")).collect();
    engines[0].controls.break_after.store(25, Ordering::SeqCst);
    let mut broken = Vec::new();
    for question in &questions {
        broken.push(chat(daemon.callers(), question, true).await);
    }
    let resumed = "oleandermount_retries_total{reason=\"stream_resumed\"} ";
    let metrics = daemon.metrics().await;
    let count = metrics.lines().find_map(|line| line.strip_prefix(resumed));
    assert_ne!(count, Some("0"), "no stream used the engine that breaks streams");
    engines[0].controls.break_after.store(0, Ordering::SeqCst);
    for (question, response) in questions.iter().zip(broken) {
        let complete = streamed_words(&chat(daemon.callers(), question, true).await.body);
        assert_eq!(complete.split_whitespace().count() as u64, TOKENS);
        let text = String::from_utf8_lossy(&response.body);
        assert_eq!(streamed_words(&response.body), complete, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_another_engine_ends_with_an_error() {
    let engines = start_engines(1).await;
    let daemon = start_daemon(&engines).await;
    let complete = streamed_words(&chat(daemon.callers(), "first", true).await.body);
    engines[0].controls.break_after.store(25, Ordering::SeqCst);
    let response = chat(daemon.callers(), "first", true).await;
    let text = String::from_utf8_lossy(&response.body);
    assert!(complete.starts_with(&streamed_words(&response.body)), "{text}");
    assert!(text.contains("event: error\n"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    // Without streaming, the same failure must not yield a truncated response.
    let response = chat(daemon.callers(), "second", false).await;
    assert_eq!(response.status, 502, "{}", String::from_utf8_lossy(&response.body));
}

/// Guards against a stream that goes on at an engine whose software version writes something else.
#[tokio::test(flavor = "multi_thread")]
async fn stream_stays_at_its_software_version() {
    let engines = start_engines(2).await;
    engines.iter().for_each(|engine| engine.controls.break_after.store(25, Ordering::SeqCst));
    let versions = [(engines[0].address(), "v1"), (engines[1].address(), "v2")];
    let daemon = LoneDaemon::start_with_versions(&versions).await;
    let response = chat(daemon.callers(), "first", true).await;
    let text = String::from_utf8_lossy(&response.body);
    assert_eq!(streamed_words(&response.body).split_whitespace().count(), 25, "{text}");
    assert!(text.contains("event: error\n"), "{text}");
    let started = engines.iter().map(|engine| engine.controls.started.load(Ordering::SeqCst));
    assert_eq!(started.min(), Some(0), "the engine of the other version got the request");
}
