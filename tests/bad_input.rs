//! Invalid requests must be refused with a 4xx status, a message that states what to change, and
//! the information that nothing ran. The daemon must not panic, hang or lose other callers'
//! requests.

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
        backend::sse::{EventBuffer, EventScanner, SseEvent, SseParser},
        pipeline::prompt::{ParsedPrompt, PromptFormat},
    },
    quickcheck::{Gen, QuickCheck},
    std::net::SocketAddr,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const CHAT_PATH: &str = "/v1/chat/completions";
const CALL_PATH: &str = "/services/dispatch-app/bookings";
const VALID_BODY: &str = r#"{"model":"basket-llm","messages":[{"role":"user","content":"x"}]}"#;

/// Method, path, headers, body, expected status and expected error code.
type BadCase = (
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    u16,
    &'static str,
);

const WITH_KEY: &[(&str, &str)] = &[("authorization", KEY)];

const CASES: [BadCase; 17] = [
    ("POST", CHAT_PATH, &[], VALID_BODY, 401, "no_key"),
    ("POST", CHAT_PATH, &[("authorization", "Basic firm-key")], VALID_BODY, 401, "no_key"),
    ("POST", CHAT_PATH, &[("authorization", "Bearer stolen")], VALID_BODY, 401, "unknown_key"),
    ("POST", CHAT_PATH, &[("authorization", "Bearer rival-key")], VALID_BODY, 403, "not_allowed"),
    ("POST", CHAT_PATH, WITH_KEY, "{", 400, "bad_request"),
    ("POST", CHAT_PATH, WITH_KEY, "[]", 400, "bad_request"),
    ("POST", CHAT_PATH, WITH_KEY, r#"{"messages":[]}"#, 400, "bad_request"),
    ("POST", CHAT_PATH, WITH_KEY, r#"{"model":"basket-llm","messages":[]}"#, 400, "bad_request"),
    ("POST", CHAT_PATH, WITH_KEY, r#"{"model":"basket-llm","messages":[1]}"#, 400, "bad_request"),
    ("POST", "/v1/completions", WITH_KEY, r#"{"model":"basket-llm"}"#, 400, "bad_request"),
    ("POST", "/v1/completions", WITH_KEY, r#"{"model":"no","prompt":"x"}"#, 404, "not_found"),
    (
        "POST",
        CHAT_PATH,
        &[("authorization", KEY), ("x-oleandermount-class", "vip")],
        VALID_BODY,
        400,
        "bad_request",
    ),
    (
        "POST",
        CHAT_PATH,
        &[("authorization", KEY), ("x-oleandermount-deadline-ms", "-1")],
        VALID_BODY,
        400,
        "bad_request",
    ),
    ("POST", CALL_PATH, WITH_KEY, "{}", 428, "key_missing"),
    (
        "POST",
        CALL_PATH,
        &[("authorization", KEY), ("idempotency-key", " ")],
        "{}",
        400,
        "bad_request",
    ),
    ("GET", "/services/no-app/x", WITH_KEY, "", 404, "not_found"),
    ("PATCH", "/v1/chat", WITH_KEY, "", 404, "not_found"),
];

async fn check_refusal(callers: SocketAddr, case: &BadCase) {
    let (method, path, headers, body, status, code) = case;
    let response = http_client::send(callers, method, path, headers, *body).await;
    let response = response.expect("a response");
    let text = String::from_utf8_lossy(&response.body);
    assert_eq!(
        (response.status.as_u16(), response.code().as_str()),
        (*status, *code),
        "{body} {text}"
    );
    assert_eq!(response.json()["error"]["did_run"], "no", "{text}");
    let message = response.json()["error"]["message"].as_str().unwrap_or_default().len();
    assert!(message > 10, "the message names no remedy: {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_request_gets_a_remedy() {
    let engine = FakeEngine::start(EngineBehaviour::default()).await.expect("it starts");
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[engine.address()], &[service.address()]).await;
    for case in &CASES {
        check_refusal(daemon.callers(), case).await;
    }
    let long: &'static str = Box::leak("x".repeat(300_000).into_boxed_str());
    check_refusal(daemon.callers(), &("POST", CHAT_PATH, WITH_KEY, long, 413, "too_large")).await;
    let many: Vec<(&str, &str)> = [("authorization", KEY)].repeat(120);
    let many: &'static [(&str, &str)] = Box::leak(many.into_boxed_slice());
    check_refusal(daemon.callers(), &("POST", CHAT_PATH, many, VALID_BODY, 431, "too_large")).await;
    let response =
        http_client::send(daemon.callers(), "POST", CHAT_PATH, WITH_KEY, VALID_BODY).await;
    assert_eq!(response.expect("a response").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_key_is_refused() {
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[], &[service.address()]).await;
    let headers = [("authorization", KEY), ("idempotency-key", "k")];
    let send =
        |body: &'static str| http_client::send(daemon.callers(), "POST", CALL_PATH, &headers, body);
    assert_eq!(send("{}").await.expect("a response").status, 200);
    let other = send(r#"{"slot":2}"#).await.expect("a response");
    assert_eq!((other.status.as_u16(), other.code().as_str()), (409, "key_reused"));
    assert_eq!(service.controls.runs_of("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_times_out() {
    let engine = FakeEngine::start(EngineBehaviour::default()).await.expect("it starts");
    let daemon = LoneDaemon::start(&[engine.address()], &[]).await;
    let mut stream = tokio::net::TcpStream::connect(daemon.callers()).await.expect("it accepts");
    let head = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: r\r\nauthorization: {KEY}\r\ncontent-length: 50\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let mut response = vec![0; 12];
    stream.read_exact(&mut response).await.expect("a response");
    assert_eq!(String::from_utf8_lossy(&response), "HTTP/1.1 408");
}

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 0x0aea_de12)).tests(400)
}

#[test]
fn prompt_parser_accepts_any_bytes() {
    fn property(bytes: Vec<u8>, form: bool) -> bool {
        let form = if form { PromptFormat::Chat } else { PromptFormat::Text };
        ParsedPrompt::parse(form, &bytes).map_or_else(|refusal| refusal.status == 400, |_| true)
    }
    check().quickcheck(property as fn(Vec<u8>, bool) -> bool);
}

#[test]
fn events_are_independent_of_chunk_boundaries() {
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

/// The position in a stream does not depend on how its bytes arrive, whatever ends its lines.
#[test]
fn positions_are_independent_of_chunk_boundaries() {
    fn property(choices: Vec<u8>, cuts: Vec<usize>) -> bool {
        let bytes: Vec<u8> =
            choices.into_iter().map(|choice| b"\r\n:a"[choice as usize % 4]).collect();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let (mut whole, mut parts) = (EventScanner::default(), EventBuffer::default());
        whole.scan(&bytes);
        let mut received = Vec::new();
        for pair in cuts.windows(2) {
            received.extend(parts.push(&bytes[pair[0]..pair[1]]).bytes);
        }
        received.extend(parts.take_incomplete());
        let state = |scanner: &EventScanner| (scanner.is_inside_event(), scanner.has_event());
        received == bytes && state(&whole) == state(parts.scanner())
    }
    check().quickcheck(property as fn(Vec<u8>, Vec<usize>) -> bool);
}
