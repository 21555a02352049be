//! Retry budget: limits retries to a small ratio of the requests, so that they cannot multiply the
//! load on backend servers that already fail.

use std::sync::atomic::{AtomicU64, Ordering};

use super::constants::{REQUESTS_PER_RETRY, SAVED_RETRIES_LIMIT};

/// Retry budget. Each retry uses up [`REQUESTS_PER_RETRY`] requests, and at most
/// [`SAVED_RETRIES_LIMIT`] retries are saved up. A new budget is full.
pub(crate) struct Budget {
    /// Requests that no retry has used up yet.
    unused_requests: AtomicU64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { unused_requests: AtomicU64::new(SAVED_RETRIES_LIMIT * REQUESTS_PER_RETRY) }
    }
}

impl Budget {
    /// Records a request.
    pub(crate) fn record_request(&self) {
        let max_requests = SAVED_RETRIES_LIMIT * REQUESTS_PER_RETRY;
        let add = |requests| (requests < max_requests).then_some(requests + 1);
        // The update fails if the budget is full, which needs no handling.
        self.unused_requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok();
    }

    /// Takes one retry from the budget and returns true, or returns false if it is exhausted.
    pub(crate) fn try_retry(&self) -> bool {
        let subtract = |requests: u64| requests.checked_sub(REQUESTS_PER_RETRY);
        self.unused_requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }
}
