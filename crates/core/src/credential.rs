//! Extracts the caller's API key from a request and strips it from what is forwarded.
//!
//! See docs/design.md §6. A key is presented in exactly one of four places. Parameter and cookie
//! names are compared case-insensitively and after percent-decoding, so that a backend server with
//! a more lenient parser cannot find a key that was not stripped.

use std::{borrow::Cow, fmt};

use crate::document::Digest;

#[cfg(test)]
mod tests;

/// Lower-case names of the headers that are removed from every forwarded request.
///
/// The `cookie` header is not included, as [`strip_cookies`] rewrites it.
pub const REMOVED_HEADERS: [&str; 2] = ["authorization", "x-api-key"];

/// Name of the query parameter and of the cookie that carry a key.
const KEY_NAME: &str = "api_key";

/// Scheme of an `Authorization` header that carries a key.
const BEARER_SCHEME: &[u8] = b"bearer";

/// Part of a request in which a caller presents its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Header `Authorization: Bearer`.
    Authorization,
    /// Header `X-Api-Key`.
    ApiKey,
    /// Query parameter `api_key`.
    Query,
    /// Cookie `api_key`.
    Cookie,
}

/// Digest and place of a request's key. The key itself is not kept, so that it cannot leak.
#[derive(Clone, PartialEq, Eq)]
pub struct Credential {
    /// Digest of the key.
    pub digest: Digest,
    /// Part of the request that held the key.
    pub place: Place,
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credential")
            .field("digest", &"redacted")
            .field("place", &self.place)
            .finish()
    }
}

/// Why a request's credentials are rejected. Contains no part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More than one place holds a key.
    Conflicting,
    /// One place holds several keys.
    Duplicated(Place),
    /// The value in the place is not a valid key.
    Malformed(Place),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflicting => write!(f, "keys are presented in two places"),
            Self::Duplicated(place) => write!(f, "{place:?} presents several keys"),
            Self::Malformed(place) => write!(f, "{place:?} does not hold a key"),
        }
    }
}

impl std::error::Error for Fault {}

/// Extracts the key of a request; `None` if the request presents no key.
///
/// `headers` are the names and values as received, `query` is the raw query string without `?`.
/// A key that is malformed, or one that is presented more than once, is a [`Fault`].
pub fn extract<'a>(
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    query: Option<&'a str>,
) -> Result<Option<Credential>, Fault> {
    let mut collector = Collector::default();
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("authorization") {
            collector.add(Place::Authorization, bearer_token(value));
        } else if name.eq_ignore_ascii_case("x-api-key") {
            collector.add(Place::ApiKey, value.trim_ascii());
        } else if name.eq_ignore_ascii_case("cookie") {
            for value in key_values(value, is_cookie_separator) {
                collector.add(Place::Cookie, without_quotes(value));
            }
        }
    }
    for value in key_values(query.unwrap_or_default().as_bytes(), is_query_separator) {
        collector.add(Place::Query, &percent_decode(value));
    }
    collector.finish()
}

/// Removes keys from a query string; all other parameters keep their bytes and order.
///
/// The result is empty if no other parameter is left.
pub fn strip_query(query: &str) -> Cow<'_, str> {
    match without_keys(query.as_bytes(), is_query_separator) {
        None => Cow::Borrowed(query),
        // Only whole parameters between ASCII separators were removed, so the rest is valid UTF-8.
        Some(bytes) => Cow::Owned(String::from_utf8(bytes).unwrap_or_default()),
    }
}

/// Removes keys from the value of a `Cookie` header; all other cookies keep their bytes and order.
///
/// The result is empty if no other cookie is left; the caller must then remove the header.
pub fn strip_cookies(value: &[u8]) -> Cow<'_, [u8]> {
    without_keys(value, is_cookie_separator).map_or(Cow::Borrowed(value), Cow::Owned)
}

/// First key that [`extract`] has found so far, and the fault of any further key.
#[derive(Default)]
struct Collector {
    first: Option<(Place, Result<Digest, Fault>)>,
    fault: Option<Fault>,
}

impl Collector {
    fn add(&mut self, place: Place, key: &[u8]) {
        let Some((first, _)) = self.first else {
            let is_valid = !key.is_empty() && key.iter().all(|&byte| is_key_byte(byte));
            let digest = is_valid.then(|| Digest::of_key(key));
            self.first = Some((place, digest.ok_or(Fault::Malformed(place))));
            return;
        };
        let fault = if first == place { Fault::Duplicated(place) } else { Fault::Conflicting };
        if self.fault != Some(Fault::Conflicting) {
            self.fault = Some(fault);
        }
    }

    fn finish(self) -> Result<Option<Credential>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        self.first.map(|(place, digest)| Ok(Credential { digest: digest?, place })).transpose()
    }
}

/// The token of a `Bearer` header. Empty for every other scheme, which makes the key malformed.
fn bearer_token(value: &[u8]) -> &[u8] {
    let value = value.trim_ascii();
    let Some((scheme, rest)) = value.split_at_checked(BEARER_SCHEME.len()) else {
        return &[];
    };
    let is_separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    if scheme.eq_ignore_ascii_case(BEARER_SCHEME) && is_separated { rest.trim_ascii() } else { &[] }
}

/// Whether a key may contain `byte`. RFC 6265 allows the same bytes in a cookie value, so that
/// every key can be presented in all four places.
fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'"' | b',' | b';' | b'\\')
}

/// Includes semicolons, as some servers split a query at them too.
fn is_query_separator(byte: u8) -> bool {
    matches!(byte, b'&' | b';')
}

/// Includes commas, as some intermediaries join several `Cookie` headers with them.
fn is_cookie_separator(byte: u8) -> bool {
    matches!(byte, b';' | b',')
}

/// Values of all parameters or cookies whose name is that of a key.
fn key_values(source: &[u8], separator: fn(u8) -> bool) -> impl Iterator<Item = &[u8]> {
    source
        .split(move |&byte| separator(byte))
        .filter(|piece| has_key_name(piece))
        .map(|piece| split_name_and_value(piece).1.trim_ascii())
}

fn split_name_and_value(piece: &[u8]) -> (&[u8], &[u8]) {
    match piece.iter().position(|&byte| byte == b'=') {
        Some(index) => (&piece[..index], &piece[index + 1..]),
        None => (piece, &[]),
    }
}

fn has_key_name(piece: &[u8]) -> bool {
    let decoded = percent_decode(split_name_and_value(piece).0);
    // A plus sign encodes a space in a query, and lenient servers trim names.
    let is_blank = |byte: &u8| byte.is_ascii_whitespace() || *byte == b'+';
    let start = decoded.iter().position(|byte| !is_blank(byte)).unwrap_or(decoded.len());
    let end = decoded.iter().rposition(|byte| !is_blank(byte)).map_or(start, |index| index + 1);
    decoded[start..end].eq_ignore_ascii_case(KEY_NAME.as_bytes())
}

fn without_quotes(value: &[u8]) -> &[u8] {
    let inner = value.strip_prefix(b"\"").and_then(|rest| rest.strip_suffix(b"\""));
    inner.unwrap_or(value)
}

/// Decodes percent-encoded bytes. Incomplete escapes stay as they are, and so do plus signs, since
/// keys may contain them and never contain a space.
fn percent_decode(source: &[u8]) -> Cow<'_, [u8]> {
    if !source.contains(&b'%') {
        return Cow::Borrowed(source);
    }
    let mut decoded = Vec::with_capacity(source.len());
    let mut rest = source;
    while let Some((&first, tail)) = rest.split_first() {
        let byte = (first == b'%').then(|| parse_hex_byte(tail)).flatten();
        decoded.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    Cow::Owned(decoded)
}

fn parse_hex_byte(digits: &[u8]) -> Option<u8> {
    let digit = |index: usize| digits.get(index).and_then(|&byte| char::from(byte).to_digit(16));
    u8::try_from(16 * digit(0)? + digit(1)?).ok()
}

/// Removes the parameters or cookies that hold a key; `None` if there are none.
fn without_keys(source: &[u8], separator: fn(u8) -> bool) -> Option<Vec<u8>> {
    let mut kept = Vec::with_capacity(source.len());
    let mut has_removed = false;
    let mut is_first = true;
    let mut start = 0;
    for piece in source.split(|&byte| separator(byte)) {
        let end = start + piece.len();
        if has_key_name(piece) {
            has_removed = true;
        } else if is_first {
            kept.extend_from_slice(if has_removed { piece.trim_ascii_start() } else { piece });
            is_first = false;
        } else {
            kept.extend_from_slice(&source[start - 1..end]);
        }
        start = end + 1;
    }
    has_removed.then_some(kept)
}
