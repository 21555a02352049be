//! Normalizes request paths to the form in which backend servers are likely to read them.
//!
//! The route decides whether a request needs a key. Escapes or dot segments must not let a request
//! match a route without a key here and run as another one at the backend server.

/// Decodes percent-encoding, treats backslashes as slashes and merges repeated slashes.
///
/// Returns `None` for paths with dot segments, invalid escapes, invalid UTF-8 or a zero byte.
pub(crate) fn normalize(path: &str) -> Option<String> {
    let decoded = decode(path)?;
    let mut normalized = String::with_capacity(decoded.len());
    for segment in decoded.split(['/', '\\']) {
        if matches!(segment, "." | "..") {
            return None;
        }
        if !segment.is_empty() {
            normalized.push('/');
            normalized.push_str(segment);
        }
    }
    if normalized.is_empty() || decoded.ends_with('/') {
        normalized.push('/');
    }
    Some(normalized)
}

/// Decodes percent-encoding; `None` if it is invalid or the result is not a plain string.
fn decode(path: &str) -> Option<String> {
    if !path.contains('%') {
        return Some(path.to_owned());
    }
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, remaining)) = rest.split_first() {
        if byte == b'%' {
            let digits = std::str::from_utf8(remaining.get(..2)?).ok()?;
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return None;
            }
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &remaining[2..];
        } else {
            bytes.push(byte);
            rest = remaining;
        }
    }
    let decoded = String::from_utf8(bytes).ok()?;
    // Some servers end the path at a zero byte.
    (!decoded.contains('\0')).then_some(decoded)
}
