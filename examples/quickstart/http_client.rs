//! HTTP client of the quick start.

use {
    bytes::Bytes,
    http::{Request, header},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        io::{self, Write},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Timeout of a whole request. Each request here takes well under a second; a longer one hangs.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Complete HTTP response.
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    body: Bytes,
}

impl HttpResponse {
    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Client for plain HTTP/1.1.
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        HttpClient { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a GET request. Fails on connection errors and timeouts, whatever the status.
    pub async fn get(&self, url: &str) -> io::Result<HttpResponse> {
        let request = Request::get(url).body(Full::default()).map_err(io::Error::other)?;
        self.send_request(request).await
    }

    /// Sends a POST request with an API key and an idempotency key.
    pub async fn post(
        &self,
        url: &str,
        api_key: &str,
        idempotency_key: &str,
        body: &str,
    ) -> io::Result<HttpResponse> {
        let request = Request::post(url)
            .header(header::AUTHORIZATION, format!("Bearer {api_key}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("Idempotency-Key", idempotency_key)
            .body(Full::from(body.to_owned()))
            .map_err(io::Error::other)?;
        self.send_request(request).await
    }

    /// Sends a POST request and prints the content of the streamed answer as it arrives. Returns
    /// the number of events; fails if the stream ends without `[DONE]`.
    pub async fn stream(&self, url: &str, api_key: &str, body: &str) -> io::Result<usize> {
        let request = Request::post(url)
            .header(header::AUTHORIZATION, format!("Bearer {api_key}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_owned()))
            .map_err(io::Error::other)?;
        timeout(RESPONSE_TIMEOUT, self.print_stream(request)).await?
    }

    async fn print_stream(&self, request: Request<Full<Bytes>>) -> io::Result<usize> {
        let response = self.client.request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        let mut body = response.into_body();
        let mut buffer = String::new();
        let mut events = 0;
        let mut done = false;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(io::Error::other)?;
            let bytes = frame.into_data().unwrap_or_default();
            buffer.push_str(&String::from_utf8_lossy(&bytes));
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                events += 1;
                done = event.contains("data: [DONE]");
                print!("{}", event_content(&event));
                io::stdout().flush()?;
            }
        }
        if done {
            Ok(events)
        } else {
            Err(io::Error::other(format!("the stream ended before [DONE]: {status} {buffer}")))
        }
    }

    async fn send_request(&self, request: Request<Full<Bytes>>) -> io::Result<HttpResponse> {
        let exchange = async {
            let response = self.client.request(request).await.map_err(io::Error::other)?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(io::Error::other)?;
            Ok(HttpResponse { status, body: body.to_bytes() })
        };
        timeout(RESPONSE_TIMEOUT, exchange).await?
    }
}

fn event_content(event: &str) -> String {
    event
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}
