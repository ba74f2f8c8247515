//! Buffers responses until they are complete.
//!
//! A response that never ends is held up to the limit of one response, and a server in trouble sends
//! many of them. They share the budget of the process with the requests of its callers. A short response
//! always has room.

use {
    crate::pipeline::caller_budget::ClientHold, bytes::Bytes, displaydoc::Display,
    http_body_util::BodyExt, hyper::body::Body, std::pin::pin,
};

/// Maximum size of a response that is buffered until it is complete; only streams may be longer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Size up to which a response always has room.
const FREE_BYTES: usize = 64 << 10;

/// Why a response was not buffered.
#[derive(Debug, Display)]
pub enum BufferError<E> {
    /// the response broke: {0}
    Broken(E),
    /// the response is longer than 4 MiB; stream responses of this size
    TooLong,
    /// the process holds as much for its callers as it can; retry later
    NoMemory,
}

/// Reads a body to its end for the client of `hold`. The memory counts against the budget until the result
/// is dropped.
///
/// # Errors
/// If the body breaks, is too long, or no memory is left.
pub async fn collect_response<B>(hold: &ClientHold, body: B) -> Result<Bytes, BufferError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut buffer = hold.response_buffer(FREE_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BufferError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLong);
        }
        buffer.push(&data, MAX_RESPONSE_BYTES).await.map_err(|_short| BufferError::NoMemory)?;
    }
    Ok(buffer.freeze())
}
