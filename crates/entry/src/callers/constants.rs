//! Constants of the request path.

use std::time::Duration;

/// Idle time after which a connection to a backend server is closed.
pub(crate) const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum idle time of a connection that is used for a request that must not run twice. Such a
/// request can't be sent again if the connection turns out to be dead after it was sent.
pub(crate) const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections that are kept to one backend server.
pub(crate) const IDLE_CONNECTIONS_LIMIT: usize = 330;

/// Maximum number of instances of a service that are kept after they left the list of hosts.
pub(crate) const DEPARTED_INSTANCES_LIMIT: usize = 1000;

/// Maximum number of retries of one request.
pub(crate) const RETRIES_PER_REQUEST: usize = 2;

/// Number of requests that add one retry to the retry budget.
pub(crate) const REQUESTS_PER_RETRY: u64 = 10;

/// Maximum number of retries that the retry budget holds.
pub(crate) const SAVED_RETRIES_LIMIT: u64 = 10;

/// Maximum number of cross-region bytes charged at once, and read from a connection at once.
pub(crate) const CHARGE_STEP_BYTES: usize = 64 * 1024;

/// Minimum number of cross-region bytes charged at once, unless fewer are left to charge.
pub(crate) const SMALLEST_CHARGE_BYTES: u64 = 1024;

/// Interval between two attempts of a body to charge bytes to an exhausted cross-region budget.
pub(crate) const CHARGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a request body that is read into memory before the claim, so that the
/// fingerprint of the claim covers its content.
pub(crate) const CLAIM_REQUEST_LIMIT_BYTES: u64 = 64 * 1024;

/// `Retry-After` of refusals, in seconds.
pub(crate) const RETRY_AFTER_SECONDS: u64 = 1;

/// Delay after a failed accept, for instance when file descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
