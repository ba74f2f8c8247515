//! The head of a request as its bytes came, to see a body that is framed in two ways.
//!
//! The HTTP library drops a `Content-Length` that follows a `Transfer-Encoding`, so the service above
//! it cannot tell that a caller announced both. A proxy before this one may have believed the length
//! and taken the rest of the body for the next caller's request. The guard below the library keeps
//! the bytes of the head that is awaited, and the service looks at them.

use {
    http::{header, request},
    std::sync::{Arc, Mutex, PoisonError},
};

/// What the head of a request says of the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// One length, or none.
    Single,
    /// Both a length and chunks: whoever reads the one sees other requests than who reads the other.
    Conflicting,
    /// Chunks, and the bytes of the head were not kept: they came while an earlier request of the
    /// connection was served. Whether there was a length as well cannot be told.
    Unknown,
}

/// The bytes of the head that a connection awaits, shared by the guard and the service above it.
#[derive(Clone, Debug, Default)]
pub struct RawHead(Arc<Mutex<Vec<u8>>>);

impl RawHead {
    /// Keeps bytes of a head that has not ended, `most` in all. The library refuses longer heads.
    pub fn push(&self, bytes: &[u8], most: usize) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let room = most.saturating_sub(kept.len());
        kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Judges the request that the library made of these bytes, and forgets them.
    pub fn body_framing(&self, head: &request::Parts) -> BodyFraming {
        let bytes = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        if !head.headers.contains_key(header::TRANSFER_ENCODING) {
            return BodyFraming::Single;
        }
        if head.headers.contains_key(header::CONTENT_LENGTH) {
            return BodyFraming::Conflicting;
        }
        let text = String::from_utf8_lossy(&bytes);
        let begin = format!("{} {} ", head.method, head.uri);
        let Some(fields) = text.trim_start().strip_prefix(&begin) else {
            return BodyFraming::Unknown;
        };
        let names = fields
            .lines()
            .skip(1)
            .take_while(|line| !line.is_empty())
            .filter_map(|line| line.split_once(':'));
        let sized = names
            .into_iter()
            .any(|(name, _)| name.trim().eq_ignore_ascii_case(header::CONTENT_LENGTH.as_str()));
        if sized { BodyFraming::Conflicting } else { BodyFraming::Single }
    }
}
