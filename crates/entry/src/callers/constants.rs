//! Constants of the request path.

use std::time::Duration;

/// Longest time that a connection to a backend server stays idle.
pub(crate) const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that must not run twice uses a connection only if it answered within this time.
pub(crate) const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections kept per backend server.
pub(crate) const IDLE_CONNECTIONS_LIMIT: usize = 330;

/// Instances of a service that are remembered after they left the host list.
pub(crate) const DEPARTED_INSTANCES_LIMIT: usize = 1000;

/// Retries of one request.
pub(crate) const RETRIES_PER_REQUEST: usize = 2;

/// Requests that pay for one retry.
pub(crate) const REQUESTS_PER_RETRY: u64 = 10;

/// Retries that a quiet time saves up.
pub(crate) const SAVED_RETRIES_LIMIT: u64 = 10;

/// Largest piece in which cross-region bytes are charged, and largest read from a connection.
pub(crate) const CHARGE_STEP_BYTES: usize = 64 * 1024;

/// Smallest piece in which cross-region bytes are charged, unless less is due.
pub(crate) const SMALLEST_CHARGE_BYTES: u64 = 1024;

/// Interval at which a stream that is short of cross-region bytes asks again.
pub(crate) const CHARGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Largest request body that is read before a claim, so that its content is part of the claim.
pub(crate) const CLAIM_REQUEST_LIMIT_BYTES: u64 = 64 * 1024;

/// `Retry-After` of refusals, in seconds.
pub(crate) const RETRY_AFTER_SECONDS: u64 = 1;

/// Pause after a failed accept, for instance when file descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
