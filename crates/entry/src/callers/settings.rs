//! Settings of the request path.

use std::time::Duration;

/// Limits and timeouts of the request path.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum time for the head of a request to arrive, and for a connection to stay idle. It also
    /// limits the TLS handshake.
    pub header_timeout: Duration,
    /// Maximum time for which a caller may read nothing of its response.
    pub write_timeout: Duration,
    /// Maximum number of open connections per caller thread. Further ones wait to be accepted.
    pub max_connections: usize,
    /// Time to live of look-up answers. A draining host keeps accepting connections for this time.
    pub lookup_lifetime: Duration,
    /// Maximum time for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Time over which the share of traffic of a new backend server rises to the full share.
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
