//! HTTP/1.1 connections of callers and to backend servers: what must be done below or beside the
//! HTTP library.

pub mod framing;
pub mod headers;
pub mod socket;
pub mod stream;
