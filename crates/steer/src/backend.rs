//! Connections to backend servers, one request at a time each.

pub mod answer;
pub mod connection;
pub mod pool;
