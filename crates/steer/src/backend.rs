//! HTTP/1.1 client for backend servers. Each connection carries one request at a time.

pub mod answer;
pub mod connection;
pub mod memory;
pub mod pool;
