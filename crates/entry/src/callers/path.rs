//! The path as a backend server is likely to read it.
//!
//! Routes decide whether a key is needed, so that a path must not reach a keyed route's code under
//! the name of an open one, by escapes or dot segments.

/// Decodes escapes and joins repeated slashes; `None` for dot segments and broken escapes.
pub(crate) fn normalize(path: &str) -> Option<String> {
    let decoded = decode(path)?;
    let mut normal = String::with_capacity(decoded.len());
    for segment in decoded.split(['/', '\\']) {
        if matches!(segment, "." | "..") {
            return None;
        }
        if !segment.is_empty() {
            normal.push('/');
            normal.push_str(segment);
        }
    }
    if normal.is_empty() || decoded.ends_with('/') {
        normal.push('/');
    }
    Some(normal)
}

fn decode(path: &str) -> Option<String> {
    if !path.contains('%') {
        return Some(path.to_owned());
    }
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        if byte == b'%' {
            let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return None;
            }
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &tail[2..];
        } else {
            bytes.push(byte);
            rest = tail;
        }
    }
    // A zero byte would end the path early in some servers.
    let decoded = String::from_utf8(bytes).ok()?;
    (!decoded.contains('\0')).then_some(decoded)
}
