//! Constants of the entry host.

use std::time::Duration;

/// Longest time for which the store may hold a watch call without a change. A watch on a dead
/// connection fails soon after it.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Changes in a response of the store from which on it may lack later ones.
pub(crate) const MAX_COMPLETE_CHANGES: usize = 250;

/// Bytes of the values in a response of the store from which on it may lack later changes.
pub(crate) const MAX_COMPLETE_BYTES: usize = 256 * 1024;

/// Longest time for which the store may hold the watch call of a host that others have asked for changes.
pub(crate) const RELAY_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Longest time for which a host does not learn what the store holds, relative to the configured
/// propagation time of changes. The delay collects several changes in one call, because every call costs
/// money and entries change many times a second.
pub(crate) const WATCH_INTERVAL_RATIO: f64 = 0.45;

/// Time after hearing of a later configuration from which on a host without it is behind, relative to the
/// configured propagation time of changes. A host that reads as often as it should has it by then.
pub(crate) const BEHIND_RATIO: f64 = 0.5;

/// Timeout of a store call, in addition to the time for which the store may hold it.
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time for a read of the store whose response keeps coming. The largest value takes a second on a
/// link of 10 Mbit/s that nothing else uses.
pub(crate) const MAX_STORE_READ_TIME: Duration = Duration::from_secs(6);

/// Size of the largest history that is read, in bytes: a configuration of the largest size, as the store encodes
/// it, and some other changes. A host that has missed more reads the state of the store instead.
pub(crate) const MAX_HISTORY_BYTES: usize = 1536 * 1024;

/// Delay after the first failed store call; doubles up to [`MAX_STORE_RETRY_DELAY`].
pub(crate) const MIN_STORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay after a failed store call.
pub(crate) const MAX_STORE_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Lease of a host's registration. A crashed host stays in look-up responses until
/// the lease expires.
pub(crate) const REGISTRATION_LEASE: Duration = Duration::from_millis(3500);

/// Interval between two renewals of the lease.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(1100);

/// Upper bound of the time to live of look-up responses, which the settings can lower.
pub(crate) const MAX_LOOKUP_LIFETIME: Duration = Duration::from_secs(2);

/// Most addresses in one look-up response.
pub(crate) const MAX_LOOKUP_ADDRESSES: usize = 64;

/// Timeout for opening a connection to a backend server.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an acknowledgement after which the kernel closes a connection to a backend server
/// (`TCP_USER_TIMEOUT`).
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time after which a connection to a backend server is closed.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(6);

/// Idle time up to which a connection may carry a request that must run at most once. The backend
/// server may be closing a connection that has been idle for longer, and a request that fails this
/// way can't be retried.
pub(crate) const MAX_IDLE_TIME_AT_MOST_ONCE: Duration = Duration::from_secs(3);

/// Time before the announced keep-alive timeout of an idle connection at which it is no longer
/// used.
pub(crate) const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// Most idle connections kept for one instance.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 16;

/// Largest body of an answer of a backend server, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Largest head of an answer of a backend server, in bytes.
pub(crate) const MAX_ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// Bytes of an answer that need no share of the memory for responses ([`crate::intake::budget`]).
pub(crate) const UNRESERVED_ANSWER_BYTES: usize = 64 * 1024;

/// Largest body of an answer that is received completely before any of it is sent to the caller, in
/// bytes. Larger ones are streamed.
pub(crate) const MAX_BUFFERED_ANSWER_BYTES: usize = 16 * 1024;

/// Largest body of a failure that is not streamed, in bytes. The request may go to another instance
/// instead, so that the caller gets none of it before it is complete.
pub(crate) const MAX_FAILURE_BYTES: usize = 256 * 1024;

/// Most bytes of a streamed answer that the host holds.
pub(crate) const STREAM_WINDOW_BYTES: usize = 64 * 1024;

/// Most bytes of a streamed answer that the host holds while more than half of the memory for
/// answers is in use, so that more of them fit.
pub(crate) const SMALL_STREAM_WINDOW_BYTES: usize = 16 * 1024;

/// Largest piece in which a streamed answer is read, in bytes.
pub(crate) const STREAM_PIECE_BYTES: usize = 16 * 1024;

/// Memory that one piece of a streamed answer takes in addition to its bytes.
pub(crate) const STREAM_PIECE_OVERHEAD_BYTES: usize = 256;

/// Largest line with the size of a chunk of an answer, in bytes.
pub(crate) const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Most interim answers (1xx) before an answer.
pub(crate) const MAX_INTERIM_ANSWERS: usize = 16;

/// Most answers to other requests that are skipped before an answer.
pub(crate) const MAX_SKIPPED_ANSWERS: usize = 8;

/// Requests without a success after which a connection to an instance is not used again.
pub(crate) const MAX_FAILED_IDS: usize = 64;

/// Most headers in an answer of a backend server.
pub(crate) const MAX_ANSWER_HEADERS: usize = 64;

/// Largest request body, in bytes. Bodies are buffered completely, so that a request that one
/// instance refused can be sent to another.
pub(crate) const MAX_REQUEST_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of requests that state none, on routes without a timeout.
pub(crate) const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Least time before a request's deadline at which an attempt still starts.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Most retries of one request. Attempts that reached no instance count as well, although they
/// don't count towards the route's limit.
pub(crate) const MAX_RETRIES: usize = 3;

/// Time after the start of the process during which requests wait for the first configuration.
pub(crate) const STARTUP_WAIT: Duration = Duration::from_millis(800);

/// `Retry-After` of a host without a configuration.
pub(crate) const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` when no instance can run a request.
pub(crate) const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time without progress after which writing a response to a caller fails.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a new connection may still bring its first request when the host closes its
/// connections.
pub(crate) const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Delay after a failed accept, for example when no file descriptors are left.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Fraction of the grace period after which a draining host closes idle caller connections. Until
/// then callers learn from look-ups that the host is leaving.
pub(crate) const CLOSE_DELAY_RATIO: f64 = 0.42;

/// Time before the end of the grace period at which the process exits.
pub(crate) const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Interval of periodic maintenance.
pub(crate) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the queue of log lines that are waiting to be written.
pub(crate) const LOG_QUEUE_LINES: usize = 2048;

/// Longest wait for the queued log lines at the end of the process.
pub(crate) const LOG_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which a request waits for tokens from other hosts.
pub(crate) const MAX_LOAN_WAIT: Duration = Duration::from_millis(130);

/// Most announcements that wait until they are sent.
pub(crate) const MAX_WAITING_ANNOUNCEMENTS: usize = 256;

/// Time after the end of its registration for which a host's messages count and it gets announcements.
pub(crate) const FORMER_HOST_TIME: Duration = Duration::from_secs(60);

/// Timeout for opening a connection to another host.
pub(crate) const HELPER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time beyond a request's deadline in which the host that runs it may still answer, as its clock started
/// later by the time on the way.
pub(crate) const HELPER_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Most hosts that are asked to run one request.
pub(crate) const MAX_HELPERS_ASKED: usize = 3;

/// Failed connections of one request, from which on it is passed on to another host.
pub(crate) const FAILED_CONNECTIONS_BEFORE_CARRY: usize = 2;

/// Most requests of other hosts that run at the same time.
pub(crate) const MAX_CARRIED_REQUESTS: usize = 256;

/// Memory of the bodies of requests of other hosts, in bytes.
pub(crate) const MAX_CARRIED_BODY_BYTES: usize = 32 * 1024 * 1024;

/// `Retry-After` of a host that carries all that it can.
pub(crate) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of a host whose configuration is older than that of the others.
pub(crate) const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Interval at which a connection is opened to an instance of each service that is not reached.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest pause between two rounds of such connections.
pub(crate) const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which a host checks whether the others should know of a change of the services that it reaches.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the last answer of any instance before which a connection that failed says nothing of the network.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(300);

/// Time without any answer of an instance, while requests wait for one, after which the network is checked.
pub(crate) const SILENCE_TIME: Duration = Duration::from_millis(800);

/// Time after an instance refused a connection after which the host finds out whether it reaches others, and
/// then until it tries the instance once more.
pub(crate) const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
