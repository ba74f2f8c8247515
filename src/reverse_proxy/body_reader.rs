//! Reads the bodies of clients' requests within the limits of a body and the budget of the process.

use {
    crate::pipeline::caller_budget::ClientHold,
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{fmt::Display as StdDisplay, time::Duration},
    tokio::{
        task::yield_now,
        time::{Instant, timeout, timeout_at},
    },
};

/// Pieces of a body that are read in one turn, so that a body of many small chunks does not delay other
/// clients.
const TURN_PIECES: u32 = 8;

/// Why a body was not read. Nothing has been done with it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyError {
    /// the body is longer than the limit; send a shorter one
    TooLong,
    /// the body is malformed or its connection was closed; send all of it
    Broken,
    /// the body did not arrive in time; send it faster
    TimedOut,
    /// the process holds as much for its clients as it can; retry later
    NoMemory,
}

impl std::error::Error for BodyError {}

/// Limits of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length in bytes.
    pub bytes: usize,
    /// Maximum time without a byte.
    pub idle: Duration,
    /// When the body has to be complete.
    pub deadline: Instant,
}

/// Reads a body to its end.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(
    body: impl Body<Data = Bytes, Error: StdDisplay> + Unpin,
    hold: &ClientHold,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limits.bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let read = timeout_at(limits.deadline, read_pieces(body, hold, limits));
    tokio::select! {
        read = read => read.unwrap_or(Err(BodyError::TimedOut)),
        () = hold.wait_closing() => Err(BodyError::NoMemory),
    }
}

async fn read_pieces(
    mut body: impl Body<Data = Bytes, Error: StdDisplay> + Unpin,
    hold: &ClientHold,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let longest = body.size_hint().upper().map_or(limits.bytes, |length| length as usize);
    let mut buffer = hold.request_buffer();
    let mut pieces = 0;
    loop {
        let frame = match timeout(limits.idle, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(error))) => {
                log::debug!(error:% = error; "failed to read a request body");
                return Err(BodyError::Broken);
            }
            Err(_elapsed) => return Err(BodyError::TimedOut),
        };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > limits.bytes {
            return Err(BodyError::TooLong);
        }
        buffer.push(&data, longest).await.map_err(|_short| BodyError::NoMemory)?;
        pieces += 1;
        if pieces % TURN_PIECES == 0 {
            yield_now().await;
        }
    }
}
