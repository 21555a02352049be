//! Faults that the store can be told to have, and counts of the calls.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use tonic::Status;

use super::Store;

/// Faults of the store; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call and every watch fails at once.
    pub down: bool,
    /// Calls get no answer and watches report nothing until this ends.
    pub silent: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect although their answer is lost.
    pub lose_answers: u32,
    /// Number of next writes that are lost before they take effect.
    pub lose_requests: u32,
}

/// Number of calls by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(pub BTreeMap<String, u64>);

impl Store {
    pub(super) fn count(&self, kind: &str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.0.entry(kind.to_owned()).or_default() += 1;
        }
    }

    /// Waits as long as the faults of the moment demand, or fails.
    pub(super) async fn admit(&self) -> Result<(), Status> {
        let mut faults = self.faults.subscribe();
        let slow = faults.borrow().slow_ms;
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        let ready = faults.wait_for(|faults| faults.down || !faults.silent).await;
        if ready.map_or(true, |faults| faults.down) {
            return Err(Status::unavailable("the store is down"));
        }
        Ok(())
    }

    /// Returns when the store is down.
    pub(super) async fn down(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| faults.down).await;
    }

    /// Whether this write is to be lost before it takes effect.
    pub(super) fn loses_request(&self) -> bool {
        self.spend(|faults| &mut faults.lose_requests)
    }

    /// Whether the answer to this write is to be lost.
    pub(super) fn loses_answer(&self) -> bool {
        self.spend(|faults| &mut faults.lose_answers)
    }

    fn spend(&self, number: impl Fn(&mut Faults) -> &mut u32) -> bool {
        self.faults.send_if_modified(|faults| {
            let left = number(faults);
            let spent = *left > 0;
            *left = left.saturating_sub(1);
            spent
        })
    }
}

/// Stands for an answer that never arrives; the caller's timeout ends the wait.
pub(super) async fn lost() -> Status {
    tokio::time::sleep(Duration::from_secs(60)).await;
    Status::unavailable("the answer is lost")
}
