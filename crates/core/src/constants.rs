//! Intervals, timeouts and limits that several modules or crates share.

use std::time::Duration;

/// Interval between two heartbeats to the same host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two reads of the `head` key in the store.
pub const HEAD_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long one confirmation keeps a host current, counted from sending the request that it
/// answers.
pub const CURRENCY_TERM: Duration = Duration::from_secs(3);

/// Largest difference between the rates of two hosts' monotonic clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// Time without a message from a host after which it is suspected to have failed.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Upper bound on the term of a loan of rate tokens. A change of limits or members settles, and an
/// unanswered loan request expires, only after this time. Lenders grant shorter terms.
pub const LOAN_TERM: Duration = Duration::from_secs(2);

/// Term of a loan of concurrency slots, within which requests may start on them.
pub const SLOT_LOAN_TERM: Duration = Duration::from_secs(10);

/// Longest time that a request waits for borrowed tokens.
pub const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest number of borrowing attempts of a request within [`BORROW_TIMEOUT`]. More than one, as
/// other requests may take the borrowed tokens first.
pub const BORROW_ATTEMPTS: u32 = 3;

/// How long the outcome of a claim is kept to answer repeated requests.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Largest response body that is kept with a claim.
pub const CLAIM_BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Time within which an accepted change is in force on every host, and within which hosts stop
/// using a withdrawn key or a leaving backend server.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Time added to the currency term before a held revision counts as in force. Covers the time
/// between two ticks of the control thread.
pub const IN_FORCE_MARGIN: Duration = Duration::from_millis(50);

/// Interval between two retries of a store write whose outcome is unknown.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest random delay before a host writes a change of members, so that the writes of hosts that
/// start together rarely conflict.
pub const MEMBERS_WRITE_JITTER: Duration = Duration::from_millis(100);

/// Largest number of earlier member tables in the `members` record. 32 tables of 60 members take
/// about half of the largest value that the store accepts.
pub const EARLIER_TABLES_LIMIT: usize = 32;

/// Largest number of edits that are queued in one host.
pub const EDIT_QUEUE_LIMIT: usize = 64;

/// Interval between two ticks of the budget ledger.
pub const LEDGER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest service document. The store accepts values up to 1 MB, and the marker of the edit is
/// appended to the document.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// Memory used by claim records at which a host grants no new claim. It is a quarter of the memory
/// that a host may use.
pub const CLAIM_MEMORY_LIMIT_BYTES: usize = 64 << 20;

/// How long a host waits for the reply of a claim's owner, and an owner for the acknowledgement of
/// its backup.
pub const CLAIM_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two retries of a message about a claim.
pub const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an owner asks the holder of a running claim whether it has ended.
pub const CLAIM_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Largest number of claims that one host acquires, holds or resolves at the same time.
pub const OPEN_CLAIMS_LIMIT: usize = 50_000;
