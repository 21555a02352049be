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
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Term of a rate loan, counted by the lender from granting it.
pub const LOAN_TERM: Duration = Duration::from_secs(2);

/// Term in which requests may start on borrowed slots.
pub const SLOT_LOAN_TERM: Duration = Duration::from_secs(10);

/// Longest time that a request waits for borrowed tokens.
pub const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Answers of lenders that a request waits for within [`BORROW_TIMEOUT`], as another request may take the
/// tokens of the first one.
pub const BORROW_ATTEMPTS: u32 = 3;

/// How long the outcome of a claim is kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Largest answer body kept with a claim, in bytes.
pub const CLAIM_BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Bound within which a change is in force everywhere, and within which a withdrawn key or a
/// leaving backend server is honoured.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Added to the currency term when a host waits for a change to be in force; covers the time between
/// two ticks of the control thread.
pub const IN_FORCE_MARGIN: Duration = Duration::from_millis(50);

/// Interval between two attempts to settle a write whose answer is unknown.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest random wait before a host writes a change of members, so that hosts that start together
/// rarely collide.
pub const MEMBERS_WRITE_JITTER: Duration = Duration::from_millis(100);

/// Largest number of earlier member tables in the `members` record. 32 tables of 60 members take
/// about half of the store's largest value.
pub const EARLIER_TABLES_LIMIT: usize = 32;

/// Largest number of edits that wait in one host.
pub const EDIT_QUEUE_LIMIT: usize = 64;

/// Interval between two calls of the ledger's periodic work.
pub const LEDGER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest document in bytes. The store takes values up to 1 MB, and the mark of the edit is added.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// Memory of claim records at which a host grants no new claim, in bytes. A quarter of what a host
/// may use in all.
pub const CLAIM_MEMORY_LIMIT_BYTES: usize = 64 << 20;

/// How long a host waits for the answer of a claim's owner, and an owner for its backup.
pub const CLAIM_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two attempts to deliver a message about a claim.
pub const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an owner checks with the holder of a claim that it is still running.
pub const CLAIM_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Questions and results about claims that one host keeps open at the same time.
pub const OPEN_CLAIMS_LIMIT: usize = 50_000;
