//! The retry budget: retries stay a small part of the requests, so that they can't multiply load.

use std::sync::atomic::{AtomicU64, Ordering};

use super::constants::{REQUESTS_PER_RETRY, SAVED_RETRIES_LIMIT};

/// Retries that the requests so far have paid for.
pub(crate) struct Budget {
    /// Requests that no retry has used yet.
    requests: AtomicU64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { requests: AtomicU64::new(SAVED_RETRIES_LIMIT * REQUESTS_PER_RETRY) }
    }
}

impl Budget {
    /// Notes a request that pays for a part of a retry.
    pub(crate) fn record_request(&self) {
        let limit = SAVED_RETRIES_LIMIT * REQUESTS_PER_RETRY;
        let earned = |requests| (requests < limit).then_some(requests + 1);
        // A full budget stays as it is.
        self.requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earned).ok();
    }

    /// Takes one retry.
    pub(crate) fn try_retry(&self) -> bool {
        let spent = |requests: u64| requests.checked_sub(REQUESTS_PER_RETRY);
        self.requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spent).is_ok()
    }
}
