//! Accepts callers' connections and answers on them.

use {
    super::{
        accept::accept_connection,
        core::ProxyCore,
        dialect::ProxyRefusal,
        exchange,
        raw_head::{BodyFraming, RawHead},
        request::{BufferedRequest, read_request},
        response::ResponseBody,
        timeout_stream::{ConnectionPhase, StreamTimeouts, TimeoutStream},
    },
    crate::{
        observe::{
            events,
            metrics::{CONNECTIONS, refusal},
        },
        pipeline::{
            counters::count_refusal,
            drain::{GateClosed, OpenRequest},
        },
        routing::CallerLimits,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header, request},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    log::Level,
    metrics::gauge,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        task::JoinHandle,
    },
};

/// The least room for a head; the library takes no less.
const LEAST_HEAD_BYTES: usize = 8192;
/// When to come back to another entry while this one stops.
const STOPPING_PAUSE: Duration = Duration::from_millis(100);

/// What a port tells its connections to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PortPhase {
    /// Go on.
    Serving,
    /// End each connection with its next answer; idle ones may still be used.
    Closing,
    /// End idle connections now.
    Ending,
}

/// The port for callers.
pub struct CallerListener {
    address: SocketAddr,
    phase: watch::Sender<PortPhase>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Listens on `address`; at most `connections` are open at a time.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        core: Arc<ProxyCore>,
        connections: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (phase, phases) = watch::channel(PortPhase::Serving);
        let task =
            tokio::spawn(accept(listener, core, phases, Arc::new(Semaphore::new(connections))));
        Ok(CallerListener { address, phase, task })
    }

    /// Where it listens, with the port that the kernel gave.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends each connection with its next answer. New ones are still taken: whoever sends callers
    /// here learns only after a while that it should not.
    pub fn close_after_response(&self) {
        self.phase.send_replace(PortPhase::Closing);
    }

    /// Ends idle connections.
    pub fn close_idle(&self) {
        self.phase.send_replace(PortPhase::Ending);
    }

    /// Takes no more connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    core: Arc<ProxyCore>,
    phase: watch::Receiver<PortPhase>,
    permits: Arc<Semaphore>,
) {
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let stream = accept_connection(&listener).await;
        tokio::spawn(serve(stream, Arc::clone(&core), phase.clone(), permit));
    }
}

async fn serve(
    stream: TcpStream,
    core: Arc<ProxyCore>,
    mut phase: watch::Receiver<PortPhase>,
    _permit: OwnedSemaphorePermit,
) {
    // Events are small writes; waiting to join them would delay each. Failure costs latency only.
    let _ = stream.set_nodelay(true);
    let limits = core.view().index.as_ref().map(|index| index.table.limits).unwrap_or_default();
    let between = ConnectionPhase::default();
    let head_bytes = limits.head_bytes.max(LEAST_HEAD_BYTES);
    let guard = StreamTimeouts { head: limits.head_time, idle: limits.idle_time, head_bytes };
    let raw = RawHead::default();
    let guarded = TimeoutStream::wrap(stream, between.clone(), raw.clone(), guard);
    let phases = phase.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        between.begin_request();
        let (head, body) = request.into_parts();
        let framing = raw.body_framing(&head);
        let arrived = ArrivedRequest { head, body, framing };
        answer(Arc::clone(&core), arrived, limits, between.clone(), phases.clone())
    });
    let mut builder = Builder::new();
    builder.max_buf_size(head_bytes);
    let connection = builder.serve_connection(guarded, service);
    tokio::pin!(connection);
    gauge!(CONNECTIONS).increment(1.0);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = ending(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        note_end(&error);
    }
    gauge!(CONNECTIONS).decrement(1.0);
}

/// Heads that the library refuses by itself never reach the service.
fn note_end(error: &hyper::Error) {
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

async fn ending(phase: &mut watch::Receiver<PortPhase>) {
    // A port that is gone ends its connections as well.
    let _ = phase.wait_for(|phase| *phase >= PortPhase::Ending).await;
}

/// A request as the library hands it over.
struct ArrivedRequest {
    head: request::Parts,
    body: Incoming,
    framing: BodyFraming,
}

async fn answer(
    core: Arc<ProxyCore>,
    arrived: ArrivedRequest,
    limits: CallerLimits,
    between: ConnectionPhase,
    phase: watch::Receiver<PortPhase>,
) -> Result<Response<ResponseBody>, Infallible> {
    let ArrivedRequest { head, body, framing } = arrived;
    let id = core.dialect.request_id(&head.headers).to_owned();
    let outcome = async {
        let admitted = admit(&core, head, body, framing, limits).await;
        let (whole, open) = admitted.inspect_err(|refusal| {
            count_refusal(refusal.code);
            // What the caller did wrong is routine: one that does so all day must not crowd out
            // what failed here.
            let level = if refusal.status.is_client_error() { Level::Info } else { Level::Warn };
            log::log!(level, request_id = id, reason = refusal.code,
                status = refusal.status.as_u16(), sent_to = 0; "{}", events::REQUEST_REFUSED);
        })?;
        exchange::run(Arc::clone(&core), whole, between.clone(), open).await
    };
    let mut response = outcome.await.unwrap_or_else(|refusal| refused(&core, &refusal, between));
    // Where the framing cannot be told, nothing that follows on the connection is believed.
    if *phase.borrow() >= PortPhase::Closing || framing == BodyFraming::Unknown {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Lets a request in and reads it whole; nothing was sent to a backend server.
async fn admit(
    core: &ProxyCore,
    head: request::Parts,
    body: Incoming,
    framing: BodyFraming,
    limits: CallerLimits,
) -> Result<(BufferedRequest, OpenRequest), ProxyRefusal> {
    if framing == BodyFraming::Conflicting {
        return Err(ProxyRefusal::new(StatusCode::BAD_REQUEST, refusal::BAD_REQUEST));
    }
    let open = core.gate.enter().map_err(|closed| match closed {
        GateClosed::Draining => stopping(refusal::DRAINING),
        GateClosed::Full => stopping(refusal::TOO_MANY_OPEN),
    })?;
    Ok((read_request(core, head, body, limits).await?, open))
}

fn stopping(code: &'static str) -> ProxyRefusal {
    ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, code).after(STOPPING_PAUSE)
}

fn refused(
    core: &ProxyCore,
    refusal: &ProxyRefusal,
    between: ConnectionPhase,
) -> Response<ResponseBody> {
    let response = core.dialect.refusal(refusal);
    let (mut parts, text) = response.into_parts();
    if matches!(refusal.status.as_u16(), 400 | 408 | 413) {
        // What is left of the request must not be taken for the next one.
        parts.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Response::from_parts(parts, ResponseBody::whole(Bytes::from(text), between, None))
}
