//! Hop-by-hop headers, which apply to one connection only.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers besides `Transfer-Encoding` and those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Removes all hop-by-hop headers, including those that `Connection` names.
///
/// `Host` and `Content-Length` stay even if `Connection` names them, as they are needed to route
/// and frame the message.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let is_protected = |name: &HeaderName| name == header::HOST || name == header::CONTENT_LENGTH;
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_protected(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
}

/// Whether the `Connection` header contains the option `close`.
pub fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
