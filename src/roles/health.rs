//! HTTP server for health checks and other single pages.

use {
    crate::{
        pipeline::caller_budget::CallerBudget,
        policy::caller_memory::PortKind,
        reverse_proxy::{
            accept::ClientPort,
            raw_head::RawHead,
            response::ResponseBody,
            timeout_stream::{ConnectionPhase, StreamTimeouts, TimeoutStream},
        },
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::task::JoinHandle,
};

/// Size of a head, and how long a client may take to send it and may stay idle.
const PAGE_TIMEOUTS: StreamTimeouts = StreamTimeouts {
    head: Duration::from_secs(5),
    idle: Duration::from_secs(5),
    head_bytes: 8 << 10,
};

/// Serves the responses of `page` until the returned task is aborted. Its connections count against
/// `budget`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_health_page(
    address: SocketAddr,
    budget: CallerBudget,
    page: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Send + Sync + 'static,
) -> io::Result<JoinHandle<()>> {
    let port = ClientPort::bind(address, budget, PortKind::Pages).await?;
    let page = Arc::new(page);
    Ok(tokio::spawn(async move {
        loop {
            let (stream, client) = port.accept().await;
            let page = Arc::clone(&page);
            let phase = ConnectionPhase::new(client.hold().clone());
            let raw_head = RawHead::default();
            let limited =
                TimeoutStream::wrap(stream, phase.clone(), raw_head.clone(), PAGE_TIMEOUTS);
            let service = service_fn(move |request: Request<Incoming>| {
                phase.begin_request();
                raw_head.clear();
                let (status, text) = page(&request);
                let body = ResponseBody::full(Bytes::from(text), phase.clone(), None);
                let mut response = Response::new(body);
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = Builder::new();
            builder.max_buf_size(PAGE_TIMEOUTS.head_bytes);
            let connection = builder.serve_connection(limited, service);
            tokio::spawn(async move {
                let _client = client;
                if let Err(error) = connection.await {
                    log::debug!(error:% = error; "a client's connection ended with an error");
                }
            });
        }
    }))
}
