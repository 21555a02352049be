//! Settings of the caller listener.

use std::time::Duration;

/// Limits of the caller listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest number of headers of a request.
    pub headers: usize,
    /// Longest time for the head of a request, also the longest idle time of a connection.
    pub header_time: Duration,
    /// Longest time in which a caller takes no byte of its answer.
    pub write_time: Duration,
    /// Connections that are served at the same time; further ones wait to be accepted.
    pub connections: usize,
    /// How long callers keep a look-up answer; a draining host keeps accepting for this time.
    pub lookup_lifetime: Duration,
    /// Longest time for a new connection to a backend server.
    pub connect_time: Duration,
    /// Time over which a new backend server gets a rising part of the traffic.
    pub warmup: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            headers: 64,
            header_time: Duration::from_secs(30),
            write_time: Duration::from_secs(30),
            connections: 16 * 1024,
            lookup_lifetime: Duration::from_secs(5),
            connect_time: Duration::from_secs(1),
            warmup: Duration::from_secs(10),
        }
    }
}
