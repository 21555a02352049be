//! Settings of the caller listener.

use std::time::Duration;

/// Limits of the caller listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Longest time for the head of a request, also the longest idle time of a connection.
    pub header_timeout: Duration,
    /// Longest time in which a caller takes no byte of its answer.
    pub write_timeout: Duration,
    /// Connections that are served at the same time; further ones wait to be accepted.
    pub max_connections: usize,
    /// How long callers keep a look-up answer; a draining host keeps accepting for this time.
    pub lookup_lifetime: Duration,
    /// Longest time for a new connection to a backend server.
    pub connect_timeout: Duration,
    /// Time over which a new backend server gets a rising part of the traffic.
    pub warmup: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * 1024,
            max_headers: 64,
            header_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            max_connections: 16 * 1024,
            lookup_lifetime: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            warmup: Duration::from_secs(10),
        }
    }
}
