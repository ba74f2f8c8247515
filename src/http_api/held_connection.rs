//! Counts a client's connection, requests and responses against the budget of the process.

use {
    crate::{
        pipeline::caller_budget::{CallerBudget, ClientConnection, ClientHold},
        policy::caller_memory::{HoldPhase, PortKind},
        reverse_proxy::{
            body_reader::{BodyError, BodyLimits, read_body},
            raw_head::RawHead,
            timeout_stream::{ConnectionPhase, StreamTimeouts, TimeoutStream},
        },
    },
    bytes::Bytes,
    http::Extensions,
    hyper::{
        Request, Response,
        body::{Body, Frame, Incoming, SizeHint},
        service::Service,
    },
    hyper_util::rt::TokioIo,
    std::{
        fmt::Display,
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Timeout of heads and idle connections. The HTTP library has shorter ones of its own.
const STREAM_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// What the process holds for a connection, and what that is doing.
#[derive(Clone)]
pub struct HeldConnection {
    phase: ConnectionPhase,
    raw_head: RawHead,
    hold: ClientHold,
}

/// Wraps a connection for use by the HTTP library.
pub fn hold_stream(
    stream: TcpStream,
    client: &ClientConnection,
    head_bytes: usize,
) -> (TokioIo<TimeoutStream>, HeldConnection) {
    let hold = client.hold().clone();
    let held = HeldConnection {
        phase: ConnectionPhase::new(hold.clone()),
        raw_head: RawHead::default(),
        hold,
    };
    let timeouts = StreamTimeouts { head: STREAM_TIMEOUT, idle: STREAM_TIMEOUT, head_bytes };
    (TimeoutStream::wrap(stream, held.phase.clone(), held.raw_head.clone(), timeouts), held)
}

/// Reads the body of a request with these extensions to its end.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_held_body(
    extensions: &Extensions,
    body: impl Body<Data = Bytes, Error: Display> + Unpin,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let own;
    let hold = match extensions.get::<ClientHold>() {
        Some(hold) => hold,
        // Without a `ClientService` each request has a budget of its own.
        None => {
            own = CallerBudget::default().admit(PortKind::Callers).await;
            own.hold()
        }
    };
    hold.set_phase(HoldPhase::Receiving);
    let read = read_body(body, hold, limits).await;
    hold.set_phase(HoldPhase::Running);
    read
}

/// Hands requests to a service, with what the process holds for their client among their extensions.
pub struct ClientService<S> {
    service: S,
    held: HeldConnection,
}

impl<S> ClientService<S> {
    /// Creates the service of one connection.
    pub fn new(service: S, held: HeldConnection) -> Self {
        ClientService { service, held }
    }
}

impl<S, B> Service<Request<Incoming>> for ClientService<S>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Future: Send + 'static,
    B: Body,
{
    type Response = Response<HeldBody<B>>;
    type Error = S::Error;
    type Future =
        Pin<Box<dyn Future<Output = Result<Response<HeldBody<B>>, S::Error>> + Send + 'static>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        let HeldConnection { phase, raw_head, hold } = self.held.clone();
        phase.begin_request();
        phase.begin_run();
        raw_head.clear();
        request.extensions_mut().insert(hold);
        let response = self.service.call(request);
        Box::pin(async move {
            // A service that is dropped ends with its connection.
            let response = response.await?;
            // The client may still be sending a body that was refused.
            phase.linger_at_end();
            Ok(response.map(|body| HeldBody { body: Box::pin(body), phase }))
        })
    }
}

/// A response body during which a request counts as running.
pub struct HeldBody<B> {
    body: Pin<Box<B>>,
    phase: ConnectionPhase,
}

impl<B> Drop for HeldBody<B> {
    fn drop(&mut self) {
        self.phase.end_request();
    }
}

impl<B: Body> Body for HeldBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
