//! Wire format: frames of a four-byte big-endian length and one value encoded with postcard.

use {
    crate::observe::memory::{HeldAmount, MemoryPart},
    displaydoc::Display,
    quinn::{ReadExactError, RecvStream, SendStream, WriteError},
    serde::{Serialize, de::DeserializeOwned},
};

/// The maximum length of a frame in bytes. A complete configuration of several megabytes fits in
/// one frame, and the limit bounds the memory that a peer can occupy with each stream.
pub const MAX_FRAME: usize = 8 << 20;
/// The number of bytes of the length that precedes each frame.
pub const HEADER_LENGTH: usize = 4;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// a frame of {length} bytes exceeds the limit of 8 MiB; make the register or the answer smaller
    Oversize {
        /// The length of the frame in bytes.
        length: usize,
    },
    /// the frame does not contain a known message; run the same version on both daemons
    Malformed,
    /// the stream ended inside a frame; the peer will send again
    Truncated,
}

impl std::error::Error for CodecError {}

/// Encodes `value` as a frame, including its length.
///
/// # Errors
/// [`CodecError::Oversize`] when the value exceeds [`MAX_FRAME`].
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let frame = postcard::to_extend(value, vec![0; HEADER_LENGTH])
        .map_err(|_error| CodecError::Malformed)?;
    write_length(frame)
}

fn write_length(mut frame: Vec<u8>) -> Result<Vec<u8>, CodecError> {
    let header = frame_header(frame.len() - HEADER_LENGTH)?;
    frame[..HEADER_LENGTH].copy_from_slice(&header);
    Ok(frame)
}

/// The header of a frame whose body has this length.
///
/// # Errors
/// [`CodecError::Oversize`] when the length exceeds [`MAX_FRAME`].
pub fn frame_header(length: usize) -> Result<[u8; HEADER_LENGTH], CodecError> {
    if length > MAX_FRAME {
        return Err(CodecError::Oversize { length });
    }
    Ok(u32::try_from(length).expect("the limit is below 4 GiB").to_be_bytes())
}

/// The length that a header announces.
///
/// # Errors
/// [`CodecError::Oversize`] when the length exceeds [`MAX_FRAME`]; no memory has been allocated then.
pub fn frame_length(header: [u8; HEADER_LENGTH]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME { Err(CodecError::Oversize { length }) } else { Ok(length) }
}

/// Decodes the body of a frame.
///
/// # Errors
/// [`CodecError::Malformed`], also when bytes follow the value.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(CodecError::Malformed),
    }
}

/// Reads one frame.
///
/// # Errors
/// Any [`CodecError`]; the stream must not be used after one.
pub async fn read_frame<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, CodecError> {
    decode(&read_body(stream).await?)
}

/// Reads the body of one frame without decoding it.
///
/// # Errors
/// Those of [`read_frame`], except [`CodecError::Malformed`].
pub async fn read_body(stream: &mut RecvStream) -> Result<Vec<u8>, CodecError> {
    read_parts(stream, || {}).await
}

/// Reads the body of one frame and calls `received` whenever a part of it has arrived.
///
/// # Errors
/// As [`read_body`].
pub async fn read_parts(
    stream: &mut RecvStream,
    mut received: impl FnMut(),
) -> Result<Vec<u8>, CodecError> {
    let mut header = [0; HEADER_LENGTH];
    stream.read_exact(&mut header).await.map_err(truncated)?;
    let length = frame_length(header)?;
    let _held = HeldAmount::new(MemoryPart::Received, length);
    let mut body = Vec::new();
    while body.len() < length {
        let part = stream.read_chunk(length - body.len(), true).await;
        let Ok(Some(part)) = part else { return Err(CodecError::Truncated) };
        if body.is_empty() {
            body.reserve_exact(length);
        }
        body.extend_from_slice(&part.bytes);
        received();
    }
    Ok(body)
}

fn truncated(_error: ReadExactError) -> CodecError {
    CodecError::Truncated
}

/// Writes a frame made by [`encode`].
///
/// # Errors
/// When the stream or its connection is closed; part of the frame may have been sent.
pub async fn write_frame(stream: &mut SendStream, frame: &[u8]) -> Result<(), WriteError> {
    stream.write_all(frame).await
}
