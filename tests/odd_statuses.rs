//! Tests that a response whose status is none of HTTP's, or which changes the protocol unasked, is no response
//! to any client of backend servers.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        backend::{
            BackendError,
            connection::ExchangeLimits,
            engine::{self, EngineCall},
            service::{ServiceRequest, ServiceResponse, send_call},
        },
        ids::FencingNumber,
    },
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::Instant,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Status codes that no final response has: RFC 9110, section 15.
const ODD_STATUSES: [&str; 13] =
    ["000", "001", "099", "00", "0200", "2000", "+20", "-20", "101", "199", "600", "666", "999"];
const FENCING: FencingNumber = FencingNumber { term: 1, index: 1 };

fn limits() -> ExchangeLimits {
    let until = Instant::now() + TEST_TIMEOUT;
    ExchangeLimits { send_before: until, head_before: until }
}

/// Starts a server that answers every request with this status and then closes the connection.
async fn start_server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reply = format!(
        "HTTP/1.1 {status} Odd\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\nnull"
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reply = reply.clone();
            tokio::spawn(async move {
                let mut request = vec![0; 16 << 10];
                if matches!(stream.read(&mut request).await, Ok(1..)) {
                    stream.write_all(reply.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

async fn call_service(address: SocketAddr) -> Result<ServiceResponse, BackendError> {
    let request = ServiceRequest {
        method: "POST".parse().unwrap(),
        path: "/book".to_owned(),
        headers: Default::default(),
        body: "x".into(),
    };
    send_call(address, 1, request, limits()).await
}

/// Guards against a response without a valid status that a service's caller gets as an answer.
#[tokio::test]
async fn odd_status_is_no_response() {
    for status in ODD_STATUSES {
        let response = call_service(start_server(status).await).await;
        let error = response.expect_err(status);
        assert!(!error.nothing_sent(), "{status}: the service may have run the call");
        assert!(!matches!(error, BackendError::Status { .. }), "{status}: {error}");
    }
    for status in [200, 204, 302, 404, 418, 500, 599] {
        let response = call_service(start_server(&status.to_string()).await).await;
        assert_eq!(response.unwrap().status, status);
    }
}

/// Guards against an odd status that is passed on as the status of an engine, or taken for its consent.
#[tokio::test]
async fn odd_status_is_no_engine_response() {
    for status in ODD_STATUSES {
        let address = start_server(status).await;
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
        let error = engine::generate(address, call, limits()).await.err().expect(status);
        assert!(!matches!(error, BackendError::Status { .. }), "{status}: {error}");
        let until = Instant::now() + TEST_TIMEOUT;
        let order = engine::order_weights(address, "m".to_owned(), "4".to_owned(), FENCING, until);
        let (report, order) = tokio::join!(engine::load_report(address, "i-1".to_owned()), order);
        assert!(report.is_err() && order.is_err(), "{status}");
    }
}
