//! Constants of the entry host.

use std::time::Duration;

/// Wait of one watch call. A connection that went silent is noticed soon after it.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Part of the time in which changes must be known after which the next watch call is made. Every
/// call costs money, and entries change many times a second.
pub(crate) const WATCH_PART: f64 = 0.6;

/// Longest time for an answer of the store beyond the time that the call may wait.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// First pause after a failed call to the store; doubles up to [`LONGEST_STORE_PAUSE`].
pub(crate) const FIRST_STORE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call to the store.
pub(crate) const LONGEST_STORE_PAUSE: Duration = Duration::from_millis(800);

/// Time without an answer of the store after which entries may have lapsed meanwhile.
pub(crate) const OUTAGE: Duration = Duration::from_millis(2500);

/// Lease of a host's registration. A dead host leaves the look-up answers when it ends.
pub(crate) const REGISTRATION_LEASE: Duration = Duration::from_millis(3500);

/// Interval between two renewals of the lease.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(1100);

/// Lifetime of look-up answers, unless the settings allow less.
pub(crate) const LOOKUP_LIFETIME: Duration = Duration::from_secs(2);

/// Most addresses in one look-up answer.
pub(crate) const LOOKUP_ADDRESSES: usize = 64;

/// Longest time for a new connection to a backend server, beyond which it counts as dead.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an acknowledgement after which the kernel gives up a connection to a backend server.
pub(crate) const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time after which a connection to a backend server is closed.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(6);

/// A request that must run at most once uses a connection only if it answered within this time, as a
/// backend server may be closing an older one.
pub(crate) const FRESH_LIMIT: Duration = Duration::from_secs(3);

/// Time before the announced end of an idle connection at which it is no longer used.
pub(crate) const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// Idle connections kept for one instance.
pub(crate) const IDLE_CONNECTIONS: usize = 16;

/// Largest answer of a backend server, in bytes.
pub(crate) const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Largest head of an answer, in bytes.
pub(crate) const ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// Headers that an answer may have.
pub(crate) const ANSWER_HEADERS: usize = 64;

/// Largest request body, in bytes. Bodies are held whole, so that a request which an instance
/// refused can be sent to another one.
pub(crate) const REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Time limit of requests that name none, on routes without a timeout.
pub(crate) const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);

/// Least time in which an attempt can be of use.
pub(crate) const LEAST_ATTEMPT: Duration = Duration::from_millis(60);

/// Attempts that did not run, for one request.
pub(crate) const UNRUN_ATTEMPTS: usize = 3;

/// Time after the start of a process in which requests wait for the first configuration.
pub(crate) const STARTING_WAIT: Duration = Duration::from_millis(800);

/// `Retry-After` of a host that is starting.
pub(crate) const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` when no instance can run a request.
pub(crate) const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Longest time that a caller may take no byte of its answer.
pub(crate) const WRITE_TIME: Duration = Duration::from_secs(10);

/// Pause after a failed accept, for instance when file descriptors run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Part of the grace period after which idle connections of callers are closed. Until then callers
/// learn from look-ups that the host is leaving.
pub(crate) const NOTICE_PART: f64 = 0.42;

/// Time before the end of the grace period at which the process ends.
pub(crate) const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Interval of the work that is due without an event.
pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Log lines that may wait to be written.
pub(crate) const LOG_QUEUE_LINES: usize = 2048;

/// Longest wait of a request for tokens that another host lends.
pub(crate) const LOAN_WAIT: Duration = Duration::from_millis(130);
