//! HTTP/1.1 connections of callers and backend servers, below the HTTP library.

pub mod framing;
pub mod headers;
pub mod socket;
pub mod stream;
