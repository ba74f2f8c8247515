//! The events of an engine that resumes a stream are taken only from the place that it was asked for.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::backend::{
        ATTEMPT_HEADER, BackendError, EngineCall, EngineEvent,
        connection::{ExchangeLimits, format_attempt_id},
        engine::{ResumePoint, generate},
    },
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::Instant,
    },
};

const ATTEMPT: u128 = 7;

/// An engine that answers one request with these events.
async fn start_engine(events: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = vec![0; 64 * 1024];
        assert_ne!(stream.read(&mut received).await.unwrap(), 0);
        let attempt = format_attempt_id(ATTEMPT);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT_HEADER}: {attempt}\r\ncontent-type: text/event-stream\r\n\
             content-length: {}\r\n\r\n",
            events.len()
        );
        stream.write_all((head + &events).as_bytes()).await.unwrap();
        let _ = stream.read(&mut received).await;
    });
    address
}

fn event(id: &str, text: &str) -> String {
    let body = json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
    format!("{id}data: {body}\n\n")
}

/// The numbers of the chunks that an engine sends after `after`, and how the stream ends.
async fn read_chunks(events: String, after: u64) -> (Vec<u64>, Result<(), BackendError>) {
    let address = start_engine(events).await;
    let call = EngineCall {
        attempt: ATTEMPT,
        path: "/v1/chat/completions".to_owned(),
        body: json!({ "messages": [] }),
        cache_salt: "salt".to_owned(),
        priority: 0,
        weights: None,
        import: None,
        resume: (after > 0).then(|| ResumePoint { after, text: "ab".to_owned() }),
    };
    let end = Instant::now() + Duration::from_secs(10);
    let limits = ExchangeLimits { send_before: end, head_before: end };
    let mut stream = generate(address, call, limits).await.unwrap();
    let mut numbers = Vec::new();
    loop {
        match stream.next_event().await {
            Ok(EngineEvent::Chunk { number, .. }) => numbers.push(number),
            Ok(EngineEvent::Usage { .. }) => {}
            Ok(EngineEvent::Done) => return (numbers, Ok(())),
            Err(error) => return (numbers, Err(error)),
        }
    }
}

/// Guards against an engine that begins a resumed stream again, without numbers, whose words then come twice.
#[tokio::test]
async fn unnumbered_resumption_is_refused() {
    let events = event("", "a") + &event("", "b") + &event("", "c") + "data: [DONE]\n\n";
    assert_eq!(read_chunks(events.clone(), 0).await, (vec![1, 2, 3], Ok(())));
    let (numbers, end) = read_chunks(events, 2).await;
    assert!(
        numbers.is_empty() && matches!(end, Err(BackendError::Malformed(_))),
        "{numbers:?} {end:?}"
    );
}

/// Numbered events are taken after the last one that was relayed, and a gap is an error.
#[tokio::test]
async fn numbered_resumption_goes_on() {
    let events: String = (1..=4).map(|number| event(&format!("id: {number}\n"), "a")).collect();
    let events = events + "data: [DONE]\n\n";
    assert_eq!(read_chunks(events.clone(), 2).await, (vec![3, 4], Ok(())));
    let gap = event("id: 4\n", "d") + "data: [DONE]\n\n";
    let (numbers, end) = read_chunks(gap, 2).await;
    assert!(
        numbers.is_empty() && matches!(end, Err(BackendError::Malformed(_))),
        "{numbers:?} {end:?}"
    );
}
