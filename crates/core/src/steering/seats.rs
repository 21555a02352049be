//! How many hosts share the budgets.
//!
//! Each host writes a seat into the store once, and registers beside it under a lease. A host whose
//! registration ended may have died, or may only be cut off from the store and go on spending its
//! part, so its seat stays for a long time. A new host waits until the others have seen its seat.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long a host keeps its seat after its registration ended.
pub const SEAT_TIME: Duration = Duration::from_secs(600);

/// Time after which the others have seen a new seat.
pub const SEEN_AFTER: Duration = Duration::from_secs(3);

/// Hosts that share the budgets.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    /// When the registration of each host ended; `None` while it lasts.
    hosts: BTreeMap<Arc<str>, Option<Duration>>,
}

impl Seats {
    /// A host has a seat. It counts as unregistered from now until it is seen registered.
    pub fn hold(&mut self, now: Duration, host: &Arc<str>) {
        self.hosts.entry(host.clone()).or_insert(Some(now));
    }

    /// A host's seat was taken away.
    pub fn release(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// A host is registered.
    pub fn registered(&mut self, host: &str) {
        if let Some(ended) = self.hosts.get_mut(host) {
            *ended = None;
        }
    }

    /// A host's registration has ended.
    pub fn ended(&mut self, now: Duration, host: &str) {
        if let Some(ended) = self.hosts.get_mut(host) {
            ended.get_or_insert(now);
        }
    }

    /// Hosts whose seats are due to be taken away.
    pub fn due(&self, now: Duration) -> Vec<Arc<str>> {
        let is_due = |ended: &Option<Duration>| ended.is_some_and(|ended| ended + SEAT_TIME <= now);
        self.hosts.iter().filter(|(_, ended)| is_due(ended)).map(|(name, _)| name.clone()).collect()
    }

    /// Whether `host` has a seat.
    pub fn has(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Names of the hosts with seats, in order.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.hosts.keys().cloned().collect()
    }

    /// Number of seats, at least one.
    pub fn count(&self) -> usize {
        self.hosts.len().max(1)
    }
}
