//! Raw bytes of request heads, to detect request smuggling by conflicting body framing.
//!
//! The HTTP library drops a `Content-Length` that follows a `Transfer-Encoding`, so that the
//! service above it cannot see that a request has both. A proxy in front of this one may have used
//! the length and interpreted the rest of the body as another caller's request. Therefore the
//! stream below the library keeps the bytes of the next head, and the service checks them.

use {
    http::{header, request},
    std::sync::{Arc, Mutex, PoisonError},
};

/// How the head of a request frames its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// At most one of `Content-Length` and `Transfer-Encoding`.
    Single,
    /// Both `Content-Length` and `Transfer-Encoding`: recipients that use different ones disagree
    /// on where the next request begins.
    Conflicting,
    /// `Transfer-Encoding`, and the bytes of the head were not kept, because they arrived while an
    /// earlier request of the connection was processed. Whether there was a `Content-Length` as
    /// well is unknown.
    Unknown,
}

/// The bytes of the next head of a connection, shared by the stream and the service above it.
#[derive(Clone, Debug, Default)]
pub struct RawHead(Arc<Mutex<Vec<u8>>>);

impl RawHead {
    /// Appends bytes of an incomplete head, up to a total of `max_bytes`. The HTTP library rejects
    /// longer heads.
    pub fn push(&self, bytes: &[u8], max_bytes: usize) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let room = max_bytes.saturating_sub(kept.len());
        kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Number of bytes that are kept.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Whether no bytes are kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the kept bytes.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Determines the framing of the request that the library parsed from these bytes, and clears
    /// them.
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
