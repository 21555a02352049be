//! Faults that can be injected into the store, and counts of its calls.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use tonic::Status;

use super::Store;

/// Faults of the store. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call and every watch fails at once.
    pub down: bool,
    /// Whether calls get no response and watches send no changes, until this is unset.
    pub silent: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of next writes whose request is lost, so that they do not take effect.
    pub lose_requests: u32,
}

/// Number of calls by kind: `range`, `put`, `delete_range`, `txn` and `watch`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(pub BTreeMap<String, u64>);

impl Store {
    pub(super) fn count(&self, kind: &str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.0.entry(kind.to_owned()).or_default() += 1;
        }
    }

    /// Delays a call or lets it fail, as the current faults demand.
    pub(super) async fn apply_faults(&self) -> Result<(), Status> {
        let mut faults = self.faults.subscribe();
        let delay_ms = faults.borrow().slow_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let ready = faults.wait_for(|faults| faults.down || !faults.silent).await;
        if ready.map_or(true, |faults| faults.down) {
            return Err(Status::unavailable("the store is down"));
        }
        Ok(())
    }

    /// Waits until the fault `down` is set.
    pub(super) async fn wait_until_down(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| faults.down).await;
    }

    /// Whether the request of this write is lost. Uses up one of the lost requests.
    pub(super) fn take_lost_request(&self) -> bool {
        self.decrement(|faults| &mut faults.lose_requests)
    }

    /// Whether the response to this write is lost. Uses up one of the lost responses.
    pub(super) fn take_lost_response(&self) -> bool {
        self.decrement(|faults| &mut faults.lose_answers)
    }

    /// Decrements a counter of the faults; false when it is 0 already.
    fn decrement(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        self.faults.send_if_modified(|faults| {
            let remaining = counter(faults);
            let is_decremented = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            is_decremented
        })
    }
}

/// Simulates a lost message: waits longer than any caller's timeout, then returns an error.
pub(super) async fn wait_and_fail() -> Status {
    tokio::time::sleep(Duration::from_secs(60)).await;
    Status::unavailable("the answer is lost")
}
