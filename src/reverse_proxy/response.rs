//! Responses to callers.

use {
    super::{dialect::ProxyRefusal, timeout_stream::ConnectionPhase},
    crate::{
        pipeline::{counters::count_refusal, drain::OpenRequest},
        policy::{DidRun, RefusalReason},
    },
    bytes::Bytes,
    displaydoc::Display,
    futures::stream::{BoxStream, StreamExt},
    http::{Response, StatusCode},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// `Retry-After` while this process drains or is full; another one can serve the caller.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Default `Retry-After` of refusals: about the time until a restarted server is listed again.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` for a request that crashes servers: the time until the servers have restarted.
const CRASH_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Error of a response that has begun and cannot be completed. The HTTP library then closes the
/// connection without the end marker of the body, so that the caller detects the truncation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TruncatedResponse {
    /// the backend server's response was interrupted and cannot be resumed
    BackendFailed,
    /// the deadline of the request has passed
    DeadlinePassed,
}

impl std::error::Error for TruncatedResponse {}

enum BodySource {
    Full(Option<Bytes>),
    Stream(BoxStream<'static, Result<Bytes, TruncatedResponse>>),
}

/// The body of a response. The request counts as open until the connection has taken all bytes of the body, or
/// has ended.
pub struct ResponseBody {
    bytes: BodySource,
    phase: ConnectionPhase,
    /// Whether the body ends with its connection, as streams do for HTTP/1.0 callers.
    ends_with_connection: bool,
    open: Option<OpenRequest>,
}

impl ResponseBody {
    /// Creates a body from bytes that are already complete.
    pub fn full(bytes: Bytes, phase: ConnectionPhase, open: Option<OpenRequest>) -> Self {
        let bytes = BodySource::Full(Some(bytes));
        ResponseBody { bytes, phase, ends_with_connection: false, open }
    }

    /// Creates a body from a stream of chunks.
    pub fn stream(
        chunks: BoxStream<'static, Result<Bytes, TruncatedResponse>>,
        phase: ConnectionPhase,
        open: Option<OpenRequest>,
    ) -> Self {
        let bytes = BodySource::Stream(chunks);
        ResponseBody { bytes, phase, ends_with_connection: false, open }
    }

    /// Marks that the body ends with its connection if its length is unknown. The connection is then
    /// reset unless the body is sent to its end.
    pub fn end_with_connection(&mut self) {
        self.ends_with_connection = matches!(self.bytes, BodySource::Stream(_));
        if self.ends_with_connection {
            self.phase.reset_at_end();
        }
    }

    /// Attaches the request that the body keeps open, and the connection whose phase it ends.
    pub fn with_request(mut self, phase: ConnectionPhase, open: OpenRequest) -> Self {
        self.phase = phase;
        self.open = Some(open);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // The HTTP library may still hold all of its bytes.
        if let Some(open) = self.open.take() {
            self.phase.keep_until_sent(open);
        }
        self.phase.end_request();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut self.bytes {
            BodySource::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            BodySource::Stream(chunks) => {
                let chunk = ready!(chunks.poll_next_unpin(context));
                if self.ends_with_connection && chunk.is_none() {
                    self.phase.close_at_end();
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.bytes {
            BodySource::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.bytes {
            BodySource::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodySource::Stream(_) => SizeHint::default(),
        }
    }
}

/// A response to the caller, or the reason why there is none.
pub type ProxyResult = Result<Response<ResponseBody>, ProxyRefusal>;

/// Maps a refusal of the dispatcher to the response for the caller.
///
/// 503 guarantees that the request has not run and never will, so that it is used only if the
/// dispatcher is certain; 502 and 504 make no such guarantee.
pub fn dispatch_refusal(
    reason: RefusalReason,
    retry_after: Option<Duration>,
    did_run: DidRun,
) -> ProxyRefusal {
    let code = reason.as_str();
    count_refusal(code);
    if did_run == DidRun::No {
        let refusal = ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, code);
        let default = match reason {
            // A stream that cannot go on now cannot later either.
            RefusalReason::NotResumable => return refusal,
            RefusalReason::CrashesServers => CRASH_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        return refusal.retry_after(retry_after.unwrap_or(default));
    }
    let status = match reason {
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    ProxyRefusal::new(status, code)
}
