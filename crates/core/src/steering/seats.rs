//! Seats: the hosts that share the budgets, such as rate limits and retries.
//!
//! Each host writes a seat, a permanent key, into the store once, and registers separately under a
//! lease. A host whose registration ended may have died, or may only be cut off from the store and
//! continue to spend its share. So its seat is kept for a long time. A new host spends nothing
//! until the others have seen its seat.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time for which a host keeps its seat after its registration ended.
pub const SEAT_RETENTION: Duration = Duration::from_secs(600);

/// Time after which all other hosts have seen a new seat.
pub const SEAT_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Hosts that have a seat.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    /// End of each host's registration; `None` while the host is registered.
    registration_ends: BTreeMap<Arc<str>, Option<Duration>>,
}

impl Seats {
    /// Adds a seat. Its host counts as unregistered since now until its registration is seen.
    pub fn add(&mut self, now: Duration, host: &Arc<str>) {
        self.registration_ends.entry(host.clone()).or_insert(Some(now));
    }

    /// Removes the seat of a host.
    pub fn remove(&mut self, host: &str) {
        self.registration_ends.remove(host);
    }

    /// Marks a host as registered.
    pub fn mark_registered(&mut self, host: &str) {
        if let Some(ended) = self.registration_ends.get_mut(host) {
            *ended = None;
        }
    }

    /// Marks a host as unregistered since now, unless it already is.
    pub fn mark_unregistered(&mut self, now: Duration, host: &str) {
        if let Some(ended) = self.registration_ends.get_mut(host) {
            ended.get_or_insert(now);
        }
    }

    /// Hosts whose registrations ended at least [`SEAT_RETENTION`] ago, so that their seats are
    /// to be removed.
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

    /// Names of the hosts that have a seat, sorted.
    pub fn host_names(&self) -> Vec<Arc<str>> {
        self.registration_ends.keys().cloned().collect()
    }

    /// Number of seats, but at least one, as shares are computed by dividing by it.
    pub fn count(&self) -> usize {
        self.registration_ends.len().max(1)
    }
}
