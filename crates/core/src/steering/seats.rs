//! How many hosts share the budgets.
//!
//! Each host writes a seat into the store once, and registers beside it under a lease. A host whose
//! registration ended may have died, or may only be cut off from the store and go on spending its
//! part, so its seat stays for a long time. A new host waits until the others have seen its seat.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long a host keeps its seat after its registration ended.
pub const SEAT_RETENTION: Duration = Duration::from_secs(600);

/// Time after which the others have seen a new seat.
pub const SEAT_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Hosts that share the budgets.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    /// When the registration of each host ended; `None` while it lasts.
    registration_ends: BTreeMap<Arc<str>, Option<Duration>>,
}

impl Seats {
    /// A host has a seat. It counts as unregistered from now until it is seen registered.
    pub fn add(&mut self, now: Duration, host: &Arc<str>) {
        self.registration_ends.entry(host.clone()).or_insert(Some(now));
    }

    /// A host's seat was taken away.
    pub fn remove(&mut self, host: &str) {
        self.registration_ends.remove(host);
    }

    /// A host is registered.
    pub fn mark_registered(&mut self, host: &str) {
        if let Some(ended) = self.registration_ends.get_mut(host) {
            *ended = None;
        }
    }

    /// A host's registration has ended.
    pub fn mark_unregistered(&mut self, now: Duration, host: &str) {
        if let Some(ended) = self.registration_ends.get_mut(host) {
            ended.get_or_insert(now);
        }
    }

    /// Hosts whose seats are due to be taken away.
    pub fn expired(&self, now: Duration) -> Vec<Arc<str>> {
        let is_expired =
            |ended: &Option<Duration>| ended.is_some_and(|ended| ended + SEAT_RETENTION <= now);
        self.registration_ends
            .iter()
            .filter(|(_, ended)| is_expired(ended))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether `host` has a seat.
    pub fn contains(&self, host: &str) -> bool {
        self.registration_ends.contains_key(host)
    }

    /// Names of the hosts with seats, in order.
    pub fn host_names(&self) -> Vec<Arc<str>> {
        self.registration_ends.keys().cloned().collect()
    }

    /// Number of seats, at least one.
    pub fn count(&self) -> usize {
        self.registration_ends.len().max(1)
    }
}
