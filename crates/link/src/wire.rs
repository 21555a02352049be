//! Parts of HTTP/1.1 that the HTTP library leaves open, for connections from callers and to backend
//! servers.

pub mod framing;
pub mod headers;
pub mod length;
pub mod line_break;
pub mod socket;
pub mod status;
pub mod stream;
