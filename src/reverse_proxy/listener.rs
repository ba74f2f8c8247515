//! Listener for callers' HTTP connections.

use {
    super::{
        accept::ClientPort,
        core::ProxyCore,
        dialect::ProxyRefusal,
        exchange,
        raw_head::{BodyFraming, RawHead},
        request::{BufferedRequest, read_request},
        response::{ResponseBody, STOPPING_RETRY_AFTER},
        timeout_stream::{ConnectionPhase, StreamTimeouts, TimeoutStream},
    },
    crate::{
        observe::{
            events,
            metrics::{CONNECTIONS, refusal},
        },
        pipeline::{
            caller_budget::{ClientConnection, ClientHold},
            counters::count_refusal,
            drain::{GateClosed, OpenRequest},
        },
        policy::caller_memory::PortKind,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, Version, header, request},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    log::Level,
    metrics::gauge,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpStream, sync::watch, task::JoinHandle},
};

/// Minimum buffer size for a head; the HTTP library accepts no smaller one.
const MIN_HEAD_BYTES: usize = 8192;

/// How the listener's connections are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ListenerPhase {
    /// Connections are kept open.
    Serving,
    /// Each connection is closed after its next response; idle ones stay open.
    Closing,
    /// Idle connections are closed at once.
    Ending,
}

/// Listener for callers.
pub struct CallerListener {
    address: SocketAddr,
    phase: watch::Sender<ListenerPhase>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Listens on `address`, within the budget of `core`.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn start(address: SocketAddr, core: Arc<ProxyCore>) -> io::Result<Self> {
        let port = ClientPort::bind(address, core.budget.clone(), PortKind::Callers).await?;
        let address = port.local_address()?;
        let (phase, listener_phase) = watch::channel(ListenerPhase::Serving);
        let task = tokio::spawn(accept(port, core, listener_phase));
        Ok(CallerListener { address, phase, task })
    }

    /// The local address, including a port that the kernel has chosen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes each connection after its next response. New connections are still accepted, because
    /// a load balancer needs some time to stop sending callers here.
    pub fn close_after_response(&self) {
        self.phase.send_replace(ListenerPhase::Closing);
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        self.phase.send_replace(ListenerPhase::Ending);
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn accept(port: ClientPort, core: Arc<ProxyCore>, phase: watch::Receiver<ListenerPhase>) {
    loop {
        let (stream, client) = port.accept().await;
        tokio::spawn(serve(stream, Arc::clone(&core), phase.clone(), client));
    }
}

async fn serve(
    stream: TcpStream,
    core: Arc<ProxyCore>,
    mut phase: watch::Receiver<ListenerPhase>,
    client: ClientConnection,
) {
    // Events are small writes, which Nagle's algorithm would delay. A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let limits = core.view().index.as_ref().map(|index| index.table.limits).unwrap_or_default();
    let hold = client.hold().clone();
    let connection_phase = ConnectionPhase::new(hold.clone());
    let head_bytes = limits.head_bytes.max(MIN_HEAD_BYTES);
    let timeouts = StreamTimeouts { head: limits.head_time, idle: limits.idle_time, head_bytes };
    let raw_head = RawHead::default();
    let limited = TimeoutStream::wrap(stream, connection_phase.clone(), raw_head.clone(), timeouts);
    let listener_phase = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        connection_phase.begin_request();
        let (head, body) = request.into_parts();
        let framing = raw_head.body_framing(&head);
        let arrived = ArrivedRequest { head, body, framing, hold: hold.clone() };
        respond(Arc::clone(&core), arrived, connection_phase.clone(), listener_phase.clone())
    });
    // A connection that is accepted late ends with the response to its first request, so that its caller
    // learns that the request has not run.
    let is_late = *phase.borrow() >= ListenerPhase::Ending;
    let mut builder = Builder::new();
    builder.max_buf_size(head_bytes).keep_alive(!is_late);
    let connection = builder.serve_connection(limited, service);
    tokio::pin!(connection);
    gauge!(CONNECTIONS).increment(1.0);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_ending(&mut phase), if !is_late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log_connection_error(&error);
    }
    gauge!(CONNECTIONS).decrement(1.0);
}

/// Logs how a connection failed, and counts heads that the HTTP library has rejected without
/// calling the service.
fn log_connection_error(error: &hyper::Error) {
    let refused = match () {
        () if error.is_parse_too_large() => (refusal::TOO_LARGE, 431),
        () if error.is_parse() => (refusal::BAD_REQUEST, 400),
        () => {
            return log::debug!(error:% = error; "a caller's connection ended with an error");
        }
    };
    count_refusal(refused.0);
    log::info!(reason = refused.0, status = refused.1, sent_to = 0, error:% = error;
        "{}", events::REQUEST_REFUSED);
}

async fn wait_ending(phase: &mut watch::Receiver<ListenerPhase>) {
    // Dropping the listener ends its connections as well.
    let _ = phase.wait_for(|phase| *phase >= ListenerPhase::Ending).await;
}

/// A request as received from the HTTP library.
struct ArrivedRequest {
    head: request::Parts,
    body: Incoming,
    framing: BodyFraming,
    hold: ClientHold,
}

async fn respond(
    core: Arc<ProxyCore>,
    arrived: ArrivedRequest,
    connection_phase: ConnectionPhase,
    phase: watch::Receiver<ListenerPhase>,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = core.dialect.request_id(&arrived.head.headers).to_owned();
    let (version, framing) = (arrived.head.version, arrived.framing);
    let result = async {
        let admitted = admit(&core, arrived).await;
        let (buffered, open) = admitted.inspect_err(|refusal| {
            count_refusal(refusal.code);
            // Client errors are logged at a lower level, so that a misbehaving caller cannot crowd
            // out the log records of server failures.
            let level = if refusal.status.is_client_error() { Level::Info } else { Level::Warn };
            log::log!(level, request_id = id, reason = refusal.code,
                status = refusal.status.as_u16(), sent_to = 0; "{}", events::REQUEST_REFUSED);
        })?;
        connection_phase.begin_run();
        exchange::run(Arc::clone(&core), buffered, connection_phase.clone(), open).await
    };
    let mut response =
        result.await.unwrap_or_else(|refusal| refusal_response(&core, &refusal, connection_phase));
    // With the HTTP/1.0 of a server a stream would have no mark of its end. The HTTP library lowers the
    // version for callers of HTTP/1.0.
    *response.version_mut() = Version::HTTP_11;
    if version == Version::HTTP_10 {
        response.body_mut().end_with_connection();
    }
    // If the framing is unknown, further bytes on the connection cannot be trusted.
    if *phase.borrow() >= ListenerPhase::Closing || framing == BodyFraming::Unknown {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Admits a request and buffers its body. Nothing has been sent to a backend server if it fails.
async fn admit(
    core: &ProxyCore,
    arrived: ArrivedRequest,
) -> Result<(BufferedRequest, OpenRequest), ProxyRefusal> {
    let ArrivedRequest { head, body, framing, hold } = arrived;
    if framing == BodyFraming::Conflicting {
        return Err(ProxyRefusal::new(StatusCode::BAD_REQUEST, refusal::BAD_REQUEST));
    }
    let open = core.gate.enter().map_err(|closed| match closed {
        GateClosed::Draining => unavailable(refusal::DRAINING),
        GateClosed::Full => unavailable(refusal::TOO_MANY_OPEN),
    })?;
    Ok((read_request(core, head, body, &hold).await?, open))
}

fn unavailable(code: &'static str) -> ProxyRefusal {
    ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, code).retry_after(STOPPING_RETRY_AFTER)
}

fn refusal_response(
    core: &ProxyCore,
    refusal: &ProxyRefusal,
    connection_phase: ConnectionPhase,
) -> Response<ResponseBody> {
    let response = core.dialect.refusal(refusal);
    let (mut parts, text) = response.into_parts();
    // The caller may still be sending the body.
    connection_phase.linger_at_end();
    let is_unread = matches!(refusal.status.as_u16(), 400 | 408 | 413);
    if is_unread || refusal.code == refusal::NO_MEMORY {
        // The rest of the request must not be interpreted as the next request.
        parts.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Response::from_parts(parts, ResponseBody::full(Bytes::from(text), connection_phase, None))
}
