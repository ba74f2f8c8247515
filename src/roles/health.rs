//! HTTP server for health checks and other single pages.

use {
    crate::reverse_proxy::accept::accept_connection,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// How long a client may take to send the request head before its connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the responses of `page` until the returned task is aborted.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_health_page(
    address: SocketAddr,
    page: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Send + Sync + 'static,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let page = Arc::new(page);
    Ok(tokio::spawn(async move {
        loop {
            let stream = accept_connection(&listener).await;
            let page = Arc::clone(&page);
            let service = service_fn(move |request| {
                let (status, text) = page(&request);
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    }))
}
