//! Constants shared by the decision modules.

use std::time::Duration;

/// Interval between two heartbeats to the same host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two reads of the `head` key in the store.
pub const HEAD_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long one confirmation keeps a host current, counted from sending the question.
pub const CURRENCY_TERM: Duration = Duration::from_secs(3);

/// Largest difference in rate between two monotonic clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// Silence after which a host is suspected to be dead.
pub const SUSPICION_AFTER: Duration = Duration::from_secs(2);

/// Term of a rate loan, counted by the lender from granting it.
pub const LOAN_TERM: Duration = Duration::from_secs(2);

/// Longest time that a request waits for borrowed tokens.
pub const BORROW_WAIT: Duration = Duration::from_millis(150);

/// How long the outcome of a claim is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Largest answer body kept with a claim, in bytes.
pub const CLAIM_BODY_LIMIT: usize = 64 * 1024;

/// Bound within which a change is in force everywhere, and within which a withdrawn key or a
/// leaving backend server is honoured.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
