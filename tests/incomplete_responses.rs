//! Tests that the response of a plain service is used only if it is complete.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::backend::{
        BackendError,
        connection::ExchangeLimits,
        service::{ServiceRequest, ServiceResponse, send_call},
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::Instant,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls a service that sends `body` without a length and closes its connection.
async fn call_unframed(content_type: &str, body: &str) -> Result<ServiceResponse, BackendError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reply = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\r\n{body}");
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream.write_all(reply.as_bytes()).await.unwrap();
    };
    let request = ServiceRequest {
        method: "GET".parse().unwrap(),
        path: "/feed".to_owned(),
        headers: Default::default(),
        body: Default::default(),
    };
    let until = Instant::now() + TEST_TIMEOUT;
    let limits = ExchangeLimits { send_before: until, head_before: until };
    let (response, ()) = tokio::join!(send_call(address, 1, request, limits), serve);
    response
}

/// Guards against an event stream that a service did not finish and that is forwarded as complete, because
/// its connection was closed without an error.
#[tokio::test]
async fn interrupted_event_is_broken() {
    for body in ["data: a\n\ndata: b", "data: a\n\ndata: b\n", "data: a"] {
        let response = call_unframed("text/event-stream; charset=utf-8", body).await;
        assert_eq!(response.err(), Some(BackendError::Broken), "{body:?}");
    }
}

/// Complete event streams, and other content, may end with their connection.
#[tokio::test]
async fn complete_responses_are_used() {
    for (content_type, body) in [
        ("text/event-stream", "data: a\n\ndata: b\n\n"),
        ("text/event-stream", "data: a\r\n\r\n: end\r\n"),
        ("application/json", "{\"data\":1}"),
        ("text/plain", ""),
    ] {
        let response = call_unframed(content_type, body).await.unwrap();
        assert_eq!(response.body, body.as_bytes(), "{content_type}");
    }
}
