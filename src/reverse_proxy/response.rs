//! Answers on their way to a caller.

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
        task::{Context, Poll},
        time::Duration,
    },
};

/// When to come back after a refusal that names no time of its own: about what a server takes to
/// be listed anew.
const USUAL_PAUSE: Duration = Duration::from_millis(500);
/// When to come back with a request that crashes servers: after the servers are up again.
const CRASH_PAUSE: Duration = Duration::from_secs(5);

/// An answer that began and cannot be finished. The library then ends the connection without the
/// mark of a whole body, so that the caller cannot take it for one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TruncatedResponse {
    /// the backend server's answer broke off and cannot be gone on with
    BackendFailed,
    /// the time for the request is over
    TimeOver,
}

impl std::error::Error for TruncatedResponse {}

enum BodyBytes {
    Whole(Option<Bytes>),
    Stream(BoxStream<'static, Result<Bytes, TruncatedResponse>>),
}

/// The body of an answer; it holds the request open until it is sent or dropped.
pub struct ResponseBody {
    bytes: BodyBytes,
    phase: ConnectionPhase,
    _open: Option<OpenRequest>,
}

impl ResponseBody {
    /// A body that is whole already.
    pub fn whole(bytes: Bytes, phase: ConnectionPhase, open: Option<OpenRequest>) -> Self {
        ResponseBody { bytes: BodyBytes::Whole(Some(bytes)), phase, _open: open }
    }

    /// A body that arrives in pieces.
    pub fn stream(
        pieces: BoxStream<'static, Result<Bytes, TruncatedResponse>>,
        phase: ConnectionPhase,
        open: Option<OpenRequest>,
    ) -> Self {
        ResponseBody { bytes: BodyBytes::Stream(pieces), phase, _open: open }
    }

    /// The same body, holding `open` and ending the request on `phase`.
    pub fn held_by(mut self, phase: ConnectionPhase, open: OpenRequest) -> Self {
        self.phase = phase;
        self._open = Some(open);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
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
            BodyBytes::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            BodyBytes::Stream(pieces) => pieces
                .poll_next_unpin(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.bytes {
            BodyBytes::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodyBytes::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.bytes {
            BodyBytes::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodyBytes::Stream(_) => SizeHint::default(),
        }
    }
}

/// What a caller gets: an answer, or the reason why there is none.
pub type ProxyResult = Result<Response<ResponseBody>, ProxyRefusal>;

/// What the caller is told when the dispatcher gives a request up.
///
/// 503 promises that the request has not run and never will, so it is said only where the
/// dispatcher is certain; 502 and 504 promise nothing.
pub fn dispatch_refusal(
    reason: RefusalReason,
    retry_after: Option<Duration>,
    did_run: DidRun,
) -> ProxyRefusal {
    let code = reason.as_str();
    count_refusal(code);
    if did_run == DidRun::No {
        let usual = match reason {
            RefusalReason::CrashesServers => CRASH_PAUSE,
            _ => USUAL_PAUSE,
        };
        let refusal = ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, code);
        return refusal.after(retry_after.unwrap_or(usual));
    }
    let status = match reason {
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    ProxyRefusal::new(status, code)
}
