//! Credentials: finds the caller's key and removes it from what backend servers see.
//!
//! See docs/design.md §6. A key is presented in exactly one of four places. Names are compared
//! without regard to case and after percent-decoding, so that a backend server with a more lenient
//! parser than ours cannot find a key that was not stripped.

use std::{borrow::Cow, fmt};

use crate::document::Digest;

#[cfg(test)]
mod tests;

/// Names of the headers that are removed from every forwarded request, in lower case.
///
/// The `cookie` header is not among them: it is rewritten with [`strip_cookies`].
pub const REMOVED_HEADERS: [&str; 2] = ["authorization", "x-api-key"];

/// Name of the query parameter and of the cookie that hold a key.
const PARAMETER: &str = "api_key";

/// Scheme of the `Authorization` header that holds a key.
const SCHEME: &[u8] = b"bearer";

/// Where a caller presented its key.
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

/// The one key of a request. Only its digest is kept, so that the key itself cannot leak.
#[derive(Clone, PartialEq, Eq)]
pub struct Credential {
    /// Digest of the key.
    pub digest: Digest,
    /// Where the key was found.
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

/// Why a request's credentials are refused. Holds no part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Keys are presented in two places.
    Conflicting,
    /// One place presents several keys.
    Duplicated(Place),
    /// The place holds something that cannot be a key.
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

/// The key of a request, `None` when it presents none.
///
/// `headers` are the names and values as received, `query` is the raw query string without `?`.
pub fn extract<'a>(
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    query: Option<&'a str>,
) -> Result<Option<Credential>, Fault> {
    let mut found = Found::default();
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("authorization") {
            found.add(Place::Authorization, bearer(value));
        } else if name.eq_ignore_ascii_case("x-api-key") {
            found.add(Place::ApiKey, value.trim_ascii());
        } else if name.eq_ignore_ascii_case("cookie") {
            for value in values(value, is_cookie_separator) {
                found.add(Place::Cookie, unquoted(value));
            }
        }
    }
    for value in values(query.unwrap_or_default().as_bytes(), is_query_separator) {
        found.add(Place::Query, &percent_decoded(value));
    }
    found.finish()
}

/// The query string without keys; every other parameter keeps its bytes and its position.
///
/// The answer is empty when nothing else is left.
pub fn strip_query(query: &str) -> Cow<'_, str> {
    match stripped(query.as_bytes(), is_query_separator) {
        None => Cow::Borrowed(query),
        // Only whole pieces between ASCII separators were removed, so the rest is still UTF-8.
        Some(bytes) => Cow::Owned(String::from_utf8(bytes).unwrap_or_default()),
    }
}

/// The value of a `Cookie` header without keys; every other cookie keeps its bytes and position.
///
/// The answer is empty when nothing else is left; the header is then to be removed.
pub fn strip_cookies(value: &[u8]) -> Cow<'_, [u8]> {
    stripped(value, is_cookie_separator).map_or(Cow::Borrowed(value), Cow::Owned)
}

/// What [`extract`] has met so far.
#[derive(Default)]
struct Found {
    first: Option<(Place, Result<Digest, Fault>)>,
    fault: Option<Fault>,
}

impl Found {
    fn add(&mut self, place: Place, key: &[u8]) {
        let Some((first, _)) = self.first else {
            let valid = !key.is_empty() && key.iter().all(|&byte| is_key_byte(byte));
            let digest = valid.then(|| Digest::of_key(key));
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

/// The token of a `Bearer` header; empty, and so malformed, for every other scheme.
fn bearer(value: &[u8]) -> &[u8] {
    let value = value.trim_ascii();
    let Some((scheme, rest)) = value.split_at_checked(SCHEME.len()) else {
        return &[];
    };
    let separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    if scheme.eq_ignore_ascii_case(SCHEME) && separated { rest.trim_ascii() } else { &[] }
}

/// Bytes of a key: those that RFC 6265 allows in a cookie, so that one key fits all four places.
fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'"' | b',' | b';' | b'\\')
}

/// Some servers split a query at semicolons too.
fn is_query_separator(byte: u8) -> bool {
    matches!(byte, b'&' | b';')
}

/// Some intermediaries join several `Cookie` headers with commas.
fn is_cookie_separator(byte: u8) -> bool {
    matches!(byte, b';' | b',')
}

/// Values of the pieces that are named like a key.
fn values(source: &[u8], separator: fn(u8) -> bool) -> impl Iterator<Item = &[u8]> {
    source
        .split(move |&byte| separator(byte))
        .filter(|piece| holds_key(piece))
        .map(|piece| name_and_value(piece).1.trim_ascii())
}

fn name_and_value(piece: &[u8]) -> (&[u8], &[u8]) {
    match piece.iter().position(|&byte| byte == b'=') {
        Some(index) => (&piece[..index], &piece[index + 1..]),
        None => (piece, &[]),
    }
}

fn holds_key(piece: &[u8]) -> bool {
    let decoded = percent_decoded(name_and_value(piece).0);
    // A plus sign stands for a space in a query, and lenient servers trim the name.
    let blank = |byte: &u8| byte.is_ascii_whitespace() || *byte == b'+';
    let start = decoded.iter().position(|byte| !blank(byte)).unwrap_or(decoded.len());
    let end = decoded.iter().rposition(|byte| !blank(byte)).map_or(start, |index| index + 1);
    decoded[start..end].eq_ignore_ascii_case(PARAMETER.as_bytes())
}

fn unquoted(value: &[u8]) -> &[u8] {
    let inner = value.strip_prefix(b"\"").and_then(|rest| rest.strip_suffix(b"\""));
    inner.unwrap_or(value)
}

/// Decodes `%` and two hexadecimal digits; anything else stays. A plus sign stays as well, since
/// keys may contain it and never contain a space.
fn percent_decoded(source: &[u8]) -> Cow<'_, [u8]> {
    if !source.contains(&b'%') {
        return Cow::Borrowed(source);
    }
    let mut decoded = Vec::with_capacity(source.len());
    let mut rest = source;
    while let Some((&first, tail)) = rest.split_first() {
        let byte = (first == b'%').then(|| hex_byte(tail)).flatten();
        decoded.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    Cow::Owned(decoded)
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digit = |index: usize| digits.get(index).and_then(|&byte| char::from(byte).to_digit(16));
    u8::try_from(16 * digit(0)? + digit(1)?).ok()
}

/// `source` without the pieces that hold a key, or `None` when there are none.
fn stripped(source: &[u8], separator: fn(u8) -> bool) -> Option<Vec<u8>> {
    let mut kept = Vec::with_capacity(source.len());
    let mut removed = false;
    let mut empty = true;
    let mut start = 0;
    for piece in source.split(|&byte| separator(byte)) {
        let end = start + piece.len();
        if holds_key(piece) {
            removed = true;
        } else if empty {
            kept.extend_from_slice(if removed { piece.trim_ascii_start() } else { piece });
            empty = false;
        } else {
            kept.extend_from_slice(&source[start - 1..end]);
        }
        start = end + 1;
    }
    removed.then_some(kept)
}
