//! A caller sends something that cannot be served. It must get a 4xx that says what to change and
//! that nothing ran; the daemon must not panic, hang or lose other callers' requests.

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
        lone_daemon::{KEY, LoneDaemon},
        service::FakeService,
    },
    oleandermount::{
        backend::sse::{SseEvent, SseParser},
        pipeline::prompt::{ParsedPrompt, PromptFormat},
    },
    quickcheck::{Gen, QuickCheck},
    std::net::SocketAddr,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const CHAT: &str = "/v1/chat/completions";
const BOOKING: &str = "/services/dispatch-app/bookings";
const GOOD: &str = r#"{"model":"basket-llm","messages":[{"role":"user","content":"x"}]}"#;

/// Method, path, headers, body, then the expected status and code.
type BadCase = (
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    u16,
    &'static str,
);

const KEYED: &[(&str, &str)] = &[("authorization", KEY)];

const CASES: [BadCase; 17] = [
    ("POST", CHAT, &[], GOOD, 401, "no_key"),
    ("POST", CHAT, &[("authorization", "Basic firm-key")], GOOD, 401, "no_key"),
    ("POST", CHAT, &[("authorization", "Bearer stolen")], GOOD, 401, "unknown_key"),
    ("POST", CHAT, &[("authorization", "Bearer rival-key")], GOOD, 403, "not_allowed"),
    ("POST", CHAT, KEYED, "{", 400, "bad_request"),
    ("POST", CHAT, KEYED, "[]", 400, "bad_request"),
    ("POST", CHAT, KEYED, r#"{"messages":[]}"#, 400, "bad_request"),
    ("POST", CHAT, KEYED, r#"{"model":"basket-llm","messages":[]}"#, 400, "bad_request"),
    ("POST", CHAT, KEYED, r#"{"model":"basket-llm","messages":[1]}"#, 400, "bad_request"),
    ("POST", "/v1/completions", KEYED, r#"{"model":"basket-llm"}"#, 400, "bad_request"),
    ("POST", "/v1/completions", KEYED, r#"{"model":"no","prompt":"x"}"#, 404, "not_found"),
    (
        "POST",
        CHAT,
        &[("authorization", KEY), ("x-oleandermount-class", "vip")],
        GOOD,
        400,
        "bad_request",
    ),
    (
        "POST",
        CHAT,
        &[("authorization", KEY), ("x-oleandermount-deadline-ms", "-1")],
        GOOD,
        400,
        "bad_request",
    ),
    ("POST", BOOKING, KEYED, "{}", 428, "key_missing"),
    (
        "POST",
        BOOKING,
        &[("authorization", KEY), ("idempotency-key", " ")],
        "{}",
        400,
        "bad_request",
    ),
    ("GET", "/services/no-app/x", KEYED, "", 404, "not_found"),
    ("PATCH", "/v1/chat", KEYED, "", 404, "not_found"),
];

async fn refused(callers: SocketAddr, case: &BadCase) {
    let (method, path, headers, body, status, code) = case;
    let answer = http_client::send(callers, method, path, headers, *body).await;
    let answer = answer.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (*status, *code), "{body} {text}");
    assert_eq!(answer.json()["error"]["did_run"], "no", "{text}");
    let message = answer.json()["error"]["message"].as_str().unwrap_or_default().len();
    assert!(message > 10, "the message names no remedy: {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_gets_a_remedy() {
    let engine = FakeEngine::start(EngineBehaviour::default()).await.expect("it starts");
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[engine.address()], &[service.address()]).await;
    for case in &CASES {
        refused(daemon.callers(), case).await;
    }
    let long: &'static str = Box::leak("x".repeat(300_000).into_boxed_str());
    refused(daemon.callers(), &("POST", CHAT, KEYED, long, 413, "too_large")).await;
    let many: Vec<(&str, &str)> = [("authorization", KEY)].repeat(120);
    let many: &'static [(&str, &str)] = Box::leak(many.into_boxed_slice());
    refused(daemon.callers(), &("POST", CHAT, many, GOOD, 431, "too_large")).await;
    let answer = http_client::send(daemon.callers(), "POST", CHAT, KEYED, GOOD).await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_key_is_refused() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    let headers = [("authorization", KEY), ("idempotency-key", "k")];
    let send =
        |body: &'static str| http_client::send(daemon.callers(), "POST", BOOKING, &headers, body);
    assert_eq!(send("{}").await.expect("an answer").status, 200);
    let other = send(r#"{"slot":2}"#).await.expect("an answer");
    assert_eq!((other.status.as_u16(), other.code().as_str()), (409, "key_reused"));
    assert_eq!(service.controls.runs_of("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_cut() {
    let engine = FakeEngine::start(EngineBehaviour::default()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[engine.address()], &[]).await;
    let mut stream = tokio::net::TcpStream::connect(daemon.callers()).await.expect("it accepts");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: r\r\nauthorization: {KEY}\r\ncontent-length: 50\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.expect("it answers");
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 408");
}

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 0x0aea_de12)).tests(400)
}

#[test]
fn prompt_parser_takes_any_bytes() {
    fn property(bytes: Vec<u8>, form: bool) -> bool {
        let form = if form { PromptFormat::Chat } else { PromptFormat::Text };
        ParsedPrompt::parse(form, &bytes).map_or_else(|refusal| refusal.status == 400, |_| true)
    }
    check().quickcheck(property as fn(Vec<u8>, bool) -> bool);
}

#[test]
fn events_do_not_depend_on_where_bytes_are_cut() {
    fn property(words: Vec<String>, cuts: Vec<usize>) -> bool {
        let words: Vec<String> =
            words.into_iter().map(|word| word.replace(['\n', '\r'], "")).collect();
        let text: String = words
            .iter()
            .enumerate()
            .map(|(at, word)| format!(": note\nid: {at}\ndata: {word}\n\n"))
            .collect();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % (text.len() + 1)).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut parser = SseParser::default();
        let events: Vec<SseEvent> = cuts
            .windows(2)
            .flat_map(|pair| parser.push(&text.as_bytes()[pair[0]..pair[1]]).expect("short"))
            .collect();
        let data: Vec<String> = events.iter().map(|event| event.data.clone()).collect();
        let ids = events.iter().map(|event| event.id);
        data == words && ids.eq((0..words.len() as u64).map(Some))
    }
    check().quickcheck(property as fn(Vec<String>, Vec<usize>) -> bool);
}
