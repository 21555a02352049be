//! The caller's key: read from one of four places in the request, and removed from all of them.
//!
//! Adapts [`marjorampick_core::credential`] to the types of the `http` crate. See docs/design.md
//! §6.

use http::{HeaderMap, HeaderValue, Uri, header, uri::PathAndQuery};
use marjorampick_core::{
    credential::{self, Fault},
    document::Digest,
};

use super::refusal::{Code, Refusal};

/// Digest of the key in the request, or `None` if it has none. Several keys are an error.
pub(crate) fn digest(headers: &HeaderMap, query: Option<&str>) -> Result<Option<Digest>, Refusal> {
    let pairs = headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    match credential::extract(pairs, query) {
        Ok(found) => Ok(found.map(|credential| credential.digest)),
        Err(Fault::Malformed(_)) => {
            Err(Refusal::bad_request("a place for a key does not hold a key"))
        }
        Err(Fault::Conflicting | Fault::Duplicated(_)) => {
            let detail = "the request presents several keys";
            Err(Refusal::not_run(Code::CredentialConflict, detail))
        }
    }
}

/// Removes keys from all headers in which a caller may send them.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    for name in credential::REMOVED_HEADERS {
        headers.remove(name);
    }
    strip_referer(headers);
    let cookies: Vec<HeaderValue> = headers.get_all(header::COOKIE).iter().cloned().collect();
    headers.remove(header::COOKIE);
    for cookie in cookies {
        let kept = credential::strip_cookies(cookie.as_bytes());
        // This cannot fail, since parts of a valid header value are valid.
        if let Ok(kept) = HeaderValue::from_bytes(&kept)
            && !kept.is_empty()
        {
            headers.append(header::COOKIE, kept);
        }
    }
}

/// Removes keys from the query of the `Referer` header.
fn strip_referer(headers: &mut HeaderMap) {
    let Some(referer) = headers.remove(header::REFERER) else {
        return;
    };
    // A value that is not ASCII text can't be searched for keys, so the header stays removed.
    let Ok(text) = referer.to_str() else {
        return;
    };
    let kept = match text.split_once('?') {
        Some((path, query)) => format!("{path}?{}", credential::strip_query(query)),
        None => text.to_owned(),
    };
    if let Ok(kept) = HeaderValue::try_from(kept) {
        headers.insert(header::REFERER, kept);
    }
}

/// Path and query of the request, without keys.
pub(crate) fn strip_target(uri: &Uri) -> Result<PathAndQuery, Refusal> {
    let query = credential::strip_query(uri.query().unwrap_or_default());
    let separator = if query.is_empty() { "" } else { "?" };
    PathAndQuery::try_from(format!("{}{separator}{query}", uri.path()))
        .map_err(|_| Refusal::bad_request("the query can't be forwarded"))
}
