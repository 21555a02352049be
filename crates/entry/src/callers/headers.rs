//! Hop-by-hop headers and the headers that the entry host sets.

use http::{HeaderMap, HeaderName, HeaderValue};
pub(crate) use marjorampick_link::wire::headers::says_close;
use marjorampick_link::wire::headers::strip_hop_by_hop;

/// Prefix of the headers that entry hosts and backend servers exchange. [`strip`] removes them, so
/// that callers cannot set them.
const INTERNAL_PREFIX: &str = "marjorampick-";

/// Tells the backend server the name of the request's workspace.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("marjorampick-workspace");

/// Remaining time until the request's deadline, in milliseconds.
pub(crate) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Addresses of the caller and of the proxies that forwarded the request.
pub(crate) const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Key that the caller chooses so that the request runs at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Removes hop-by-hop headers and internal ones.
pub(crate) fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(is_internal).cloned().collect();
    for name in &internal {
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

/// Encoded size of the headers.
pub(crate) fn encoded_bytes(headers: &HeaderMap) -> u64 {
    /// Length of `: ` and the line end.
    const SEPARATOR_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| (name.as_str().len() + value.len() + SEPARATOR_BYTES) as u64)
        .sum()
}
