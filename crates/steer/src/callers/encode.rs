//! Encodes requests that this host sends, to instances and to other hosts.

use bytes::{BufMut as _, Bytes, BytesMut};
use http::{HeaderName, header};

use super::routing::Call;
use crate::backend::connection::Request;

/// Size of the buffer for a head before it grows, in bytes.
const HEAD_BYTES: usize = 512;

/// Encodes a request with the headers to forward and these ones. `id_header` names the header with the id.
pub(super) fn encode(
    call: &Call,
    body: &Bytes,
    headers: &[(&str, &[u8])],
    id_header: &HeaderName,
) -> Request {
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut head = BytesMut::with_capacity(HEAD_BYTES);
    head.put_slice(call.method.as_str().as_bytes());
    head.put_slice(b" ");
    head.put_slice(target.as_bytes());
    head.put_slice(b" HTTP/1.1\r\n");
    let mut add = |name: &str, value: &[u8]| {
        head.put_slice(name.as_bytes());
        head.put_slice(b": ");
        head.put_slice(value);
        head.put_slice(b"\r\n");
    };
    call.headers.iter().for_each(|(name, value)| add(name.as_str(), value.as_bytes()));
    headers.iter().for_each(|(name, value)| add(name, value));
    if !body.is_empty() || method_has_body(call) {
        add(header::CONTENT_LENGTH.as_str(), body.len().to_string().as_bytes());
    }
    head.put_slice(b"\r\n");
    Request {
        method: call.method.clone(),
        head: head.freeze(),
        body: body.clone(),
        id: call.id.clone(),
        id_header: id_header.clone(),
    }
}

/// Whether the method normally has a body, so that an empty one needs a `Content-Length` of 0.
fn method_has_body(call: &Call) -> bool {
    matches!(call.method.as_str(), "POST" | "PUT" | "PATCH")
}
