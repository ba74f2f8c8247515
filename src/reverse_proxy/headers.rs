//! Removal of hop-by-hop headers (RFC 9110, section 7.6.1).

use http::{HeaderMap, HeaderName, header};

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
