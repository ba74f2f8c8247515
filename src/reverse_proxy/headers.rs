//! Headers that concern one connection only (RFC 9110, section 7.6.1).

use http::{HeaderMap, HeaderName, header};

/// Headers that are never passed on, whatever `Connection` names.
const OF_ONE_CONNECTION: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Two more without a constant in the library.
const OLD_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes what concerns one connection only, what `Connection` names included.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().chain(OF_ONE_CONNECTION.iter()).for_each(|name| {
        headers.remove(name);
    });
    OLD_NAMES.iter().for_each(|name| {
        headers.remove(*name);
    });
}
