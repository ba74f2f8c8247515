//! Answers the balancer's question whether this node takes callers.

use {
    crate::edge::accept::accept_one,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// A balancer that sends no head for so long is cut off.
const HEAD_LIMIT: Duration = Duration::from_secs(5);

/// Serves one page for as long as the task runs.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn serve_health_page(
    address: SocketAddr,
    page: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Send + Sync + 'static,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let page = Arc::new(page);
    Ok(tokio::spawn(async move {
        loop {
            let stream = accept_one(&listener).await;
            let page = Arc::clone(&page);
            let service = service_fn(move |request| {
                let (status, text) = page(&request);
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT);
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    }))
}
