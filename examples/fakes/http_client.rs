//! HTTP client for tests and load generators, with one connection per request.

// Programs that include this file use only parts of it.
#![allow(dead_code)]

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{io, net::SocketAddr},
    tokio::{net::TcpStream, task::JoinHandle},
};

/// A response whose body has not been read; dropping it closes the connection.
pub struct OpenResponse {
    pub response: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub retry_after: Option<String>,
    pub body: Bytes,
}

impl BufferedResponse {
    /// The body as JSON; `Null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The error code of a refusal; empty for other responses.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
/// The error of the connection.
pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<OpenResponse> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let connection = tokio::spawn(async move {
        // A failure is also returned by the request or by reading its body.
        let _ = connection.await;
    });
    let builder = Request::builder().method(method).uri(path).header("host", "router");
    let builder =
        headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    let request = builder.body(Full::new(body.into())).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    Ok(OpenResponse { response, connection })
}

/// Sends a request and reads the complete response.
///
/// # Errors
/// The error of the connection, also if the body is truncated.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<BufferedResponse> {
    let mut open = open(address, method, path, headers, body).await?;
    let body = open.response.body_mut().collect().await.map_err(io::Error::other)?.to_bytes();
    let header = open.response.headers().get("retry-after");
    Ok(BufferedResponse {
        status: open.response.status(),
        retry_after: header.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body,
    })
}
