//! A caller gets the answer of another caller's request, or an answer after it was told that none
//! came: a connection's answer belongs to an earlier attempt, or a service answers long after the
//! caller's deadline. Answers carry the attempt they belong to, and a late answer of a booking is
//! kept for the resend.

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

async fn book(callers: SocketAddr, key: &str, deadline_ms: &str) -> BufferedResponse {
    let headers = [
        ("authorization", KEY),
        ("idempotency-key", key),
        ("x-oleandermount-deadline-ms", deadline_ms),
    ];
    let path = "/services/dispatch-app/bookings";
    http_client::send(callers, "POST", path, &headers, r#"{"slot":9}"#).await.expect("an answer")
}

async fn ask(callers: SocketAddr, number: u64) -> BufferedResponse {
    let body = json!({
        "model": MODEL, "max_tokens": 3,
        "messages": [{ "role": "user", "content": number.to_string() }],
    });
    let headers = [("authorization", KEY)];
    let path = "/v1/chat/completions";
    http_client::send(callers, "POST", path, &headers, body.to_string()).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answer_is_dropped() {
    let behaviour = EngineBehaviour { prefill: Duration::from_millis(30), ..Default::default() };
    let crossing = FakeEngine::start(behaviour.clone()).await.expect("it starts");
    let good = FakeEngine::start(behaviour).await.expect("it starts");
    crossing.controls.mismatch_attempt.store(1, Ordering::SeqCst);
    let daemon = LoneDaemon::start(&[crossing.address(), good.address()], &[]).await;
    // Asked together, so that the load is spread over both engines.
    let answers = join_all((0..12).map(|number| ask(daemon.callers(), number))).await;
    for (number, answer) in answers.iter().enumerate() {
        let text = answer.json()["choices"][0]["message"]["content"].to_string();
        let own = answer.status == 200 && text.split_whitespace().count() == 4;
        let refused = answer.status == 502 && answer.json()["error"]["did_run"] == "unknown";
        assert!(own || refused, "request {number}: {}", String::from_utf8_lossy(&answer.body));
    }
    assert!(answers.iter().any(|answer| answer.status == 200));
    assert!(
        crossing.controls.started.load(Ordering::SeqCst) > 0,
        "no request met the crossing engine"
    );
    assert!(!daemon.metrics().await.contains("oleandermount_crossed_answers_total 0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_kept_for_the_resend() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    service.controls.hold.store(1, Ordering::SeqCst);
    let late = book(daemon.callers(), "late", "400").await;
    assert_eq!((late.status.as_u16(), late.code().as_str()), (504, "outcome_unknown"));
    assert_eq!(late.json()["error"]["did_run"], "unknown");
    service.controls.release();
    let resent = book(daemon.callers(), "late", "20000").await;
    assert_eq!((resent.status.as_u16(), &resent.json()["run"]), (200, &json!(1)));
    assert_eq!(service.controls.runs_of("late"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_never_run_again() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    service.controls.break_off.store(1, Ordering::SeqCst);
    for _ in 0..3 {
        let answer = book(daemon.callers(), "lost", "20000").await;
        assert_eq!((answer.status.as_u16(), answer.code().as_str()), (502, "outcome_unknown"));
        assert_eq!(answer.json()["error"]["did_run"], "unknown");
    }
    assert_eq!(service.controls.runs_of("lost"), 1);
}
