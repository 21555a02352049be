//! Headers that concern one connection only.

use http::{HeaderMap, HeaderName, header};

/// Headers that concern one connection, beside those that `Connection` names.
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

/// Removes hop-by-hop headers.
///
/// `Connection` can't remove the headers that frame or route the message.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let is_kept = |name: &HeaderName| name == header::HOST || name == header::CONTENT_LENGTH;
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_kept(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
}

/// Whether `Connection` contains `close`.
pub fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
