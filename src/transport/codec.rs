//! Frames on the wire: a four-byte length, then one value in postcard.

use {
    displaydoc::Display,
    quinn::{ReadExactError, RecvStream, SendStream, WriteError},
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest frame in bytes: a configuration of several megabytes fits whole, and one peer can
/// make a daemon hold no more than this for each stream.
pub const MAX_FRAME: usize = 8 << 20;
/// Bytes of the length before each frame.
pub const HEADER_LENGTH: usize = 4;

/// Why a frame was not taken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// a frame of {length} bytes is over the limit of 8 MiB; make the register or the answer smaller
    Oversize {
        /// Its length.
        length: usize,
    },
    /// the frame does not hold a known message; run the same version on both daemons
    Malformed,
    /// the stream ended inside a frame; the peer will send again
    Truncated,
}

impl std::error::Error for CodecError {}

/// Encodes `value` with its length in front.
///
/// # Errors
/// [`CodecError::Oversize`] when it does not fit one frame.
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
/// [`CodecError::Oversize`] when that does not fit one frame.
pub fn frame_header(length: usize) -> Result<[u8; HEADER_LENGTH], CodecError> {
    if length > MAX_FRAME {
        return Err(CodecError::Oversize { length });
    }
    Ok(u32::try_from(length).expect("the limit is below 4 GiB").to_be_bytes())
}

/// The length that a header announces.
///
/// # Errors
/// [`CodecError::Oversize`] before any memory is set aside for the frame.
pub fn frame_length(header: [u8; HEADER_LENGTH]) -> Result<usize, CodecError> {
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME { Err(CodecError::Oversize { length }) } else { Ok(length) }
}

/// Decodes the body of a frame; bytes left over are refused.
///
/// # Errors
/// [`CodecError::Malformed`].
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(CodecError::Malformed),
    }
}

/// Reads one frame.
///
/// # Errors
/// Any [`CodecError`]; after one the stream is of no more use.
pub async fn read_frame<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, CodecError> {
    decode(&read_body(stream).await?)
}

/// Reads the body of one frame as it is.
///
/// # Errors
/// As [`read_frame`], but for [`CodecError::Malformed`].
pub async fn read_body(stream: &mut RecvStream) -> Result<Vec<u8>, CodecError> {
    let mut header = [0; HEADER_LENGTH];
    stream.read_exact(&mut header).await.map_err(cut)?;
    let mut body = vec![0; frame_length(header)?];
    stream.read_exact(&mut body).await.map_err(cut)?;
    Ok(body)
}

fn cut(_error: ReadExactError) -> CodecError {
    CodecError::Truncated
}

/// Writes a frame made by [`encode`].
///
/// # Errors
/// When the stream or its connection is gone; a part may have been sent.
pub async fn write_frame(stream: &mut SendStream, frame: &[u8]) -> Result<(), WriteError> {
    stream.write_all(frame).await
}
