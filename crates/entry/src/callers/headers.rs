//! Headers that concern one connection only, and headers that the entry host sets itself.

use http::{HeaderMap, HeaderName, HeaderValue};
pub(crate) use marjorampick_link::wire::headers::says_close;
use marjorampick_link::wire::headers::strip_hop_by_hop;

/// Prefix of the headers between entry hosts and backend servers; a caller's own are removed.
const OWN_PREFIX: &str = "marjorampick-";

/// Name of the workspace of the request, for the backend server.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("marjorampick-workspace");

/// Time that is left for the request, in milliseconds.
pub(crate) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Addresses that the request came through.
pub(crate) const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Name under which a request runs at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Removes hop-by-hop headers and the headers of ours that the sender has set.
pub(crate) fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let own = |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX);
    let own: Vec<HeaderName> = headers.keys().filter(own).cloned().collect();
    for name in &own {
        headers.remove(name);
    }
}

/// Appends an address to `X-Forwarded-For`.
pub(crate) fn append_forwarded_for(headers: &mut HeaderMap, address: std::net::IpAddr) {
    let earlier: Vec<&str> =
        headers.get_all(FORWARDED_FOR).iter().filter_map(|value| value.to_str().ok()).collect();
    let address = address.to_string();
    let chain = [&earlier[..], &[address.as_str()]].concat().join(", ");
    if let Ok(value) = HeaderValue::try_from(chain) {
        headers.insert(FORWARDED_FOR, value);
    }
}

/// Bytes of the headers as they are sent.
pub(crate) fn encoded_bytes(headers: &HeaderMap) -> u64 {
    const SEPARATORS: usize = 4;
    headers
        .iter()
        .map(|(name, value)| (name.as_str().len() + value.len() + SEPARATORS) as u64)
        .sum()
}
