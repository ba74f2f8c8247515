//! Hop-by-hop headers (RFC 9110, section 7.6.1): their removal, and the framing that they declare.

use {
    crate::policy::AttemptFailure,
    http::{HeaderMap, HeaderName, header, response},
};

/// Hop-by-hop headers that are removed even if `Connection` does not list them.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Legacy hop-by-hop headers, for which the HTTP library has no constants.
const LEGACY_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().chain(HOP_BY_HOP.iter()).for_each(|name| {
        headers.remove(name);
    });
    LEGACY_HOP_BY_HOP.iter().for_each(|name| {
        headers.remove(*name);
    });
}

/// How the end of a backend server's response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By a length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which is also how a crash of the server looks.
    ConnectionClose,
}

impl ResponseFraming {
    /// Reads the framing from a head whose hop-by-hop headers have not been removed.
    pub fn read(parts: &response::Parts) -> Self {
        match () {
            () if parts.headers.contains_key(header::TRANSFER_ENCODING) => ResponseFraming::Chunked,
            () if parts.headers.contains_key(header::CONTENT_LENGTH) => ResponseFraming::Length,
            () => ResponseFraming::ConnectionClose,
        }
    }

    /// The failure of an attempt whose body ended with this mark before it was complete. A server
    /// that has crashed can't mark the end otherwise.
    pub fn incomplete_attempt(self) -> AttemptFailure {
        match self {
            ResponseFraming::Length | ResponseFraming::Chunked => AttemptFailure::ServerError,
            ResponseFraming::ConnectionClose => AttemptFailure::Broken,
        }
    }

    /// The value in log records.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFraming::Length => "length",
            ResponseFraming::Chunked => "chunked",
            ResponseFraming::ConnectionClose => "connection_close",
        }
    }
}
