//! Seats: the hosts that share the budgets, such as rate limits and retries.
//!
//! Each host writes a seat, a permanent key, into the store once, and registers separately under a
//! lease. A host whose registration ended may have died, or may only be cut off from the store and
//! continue to spend its share. So its seat is kept for a long time. A new host spends nothing
//! until the others have seen its seat.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::limit;

/// Time for which a host keeps its seat after its registration ended.
pub const SEAT_RETENTION: Duration = Duration::from_secs(600);

/// Time after which all other hosts have seen a new seat.
pub const SEAT_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time after the end of its registration for which a host still shares the limits of instances. A
/// part that nobody uses for as long as a seat is kept would be lost to the callers.
pub const LIMIT_RETENTION: Duration = Duration::from_secs(30);

/// Time without the store after which a host counts as cut off. Its successor does not begin before
/// [`LIMIT_RETENTION`] has passed.
pub const CUT_OFF_TIME: Duration = Duration::from_secs(25);

/// Hosts that have a seat.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    seats: BTreeMap<Arc<str>, Seat>,
}

#[derive(Clone, Debug)]
struct Seat {
    /// Region of the host, if known.
    region: Option<Arc<str>>,
    /// End of the host's registration; `None` while the host is registered.
    registration_ended: Option<Duration>,
}

impl Seats {
    /// Adds a seat. Its host counts as unregistered since now until its registration is seen.
    pub fn add(&mut self, now: Duration, host: &Arc<str>) {
        let seat = || Seat { region: None, registration_ended: Some(now) };
        self.seats.entry(host.clone()).or_insert_with(seat);
    }

    /// Sets the region of a host that has a seat.
    pub fn set_region(&mut self, host: &str, region: Arc<str>) {
        if let Some(seat) = self.seats.get_mut(host) {
            seat.region = Some(region);
        }
    }

    /// Removes the seat of a host.
    pub fn remove(&mut self, host: &str) {
        self.seats.remove(host);
    }

    /// Marks a host as registered.
    pub fn mark_registered(&mut self, host: &str) {
        if let Some(seat) = self.seats.get_mut(host) {
            seat.registration_ended = None;
        }
    }

    /// Marks a host as unregistered since now, unless it already is.
    pub fn mark_unregistered(&mut self, now: Duration, host: &str) {
        if let Some(seat) = self.seats.get_mut(host) {
            seat.registration_ended.get_or_insert(now);
        }
    }

    /// Hosts whose registrations ended at least [`SEAT_RETENTION`] ago, so that their seats are
    /// to be removed.
    pub fn expired(&self, now: Duration) -> Vec<Arc<str>> {
        let is_expired = |seat: &Seat| seat.has_ended_before(now, SEAT_RETENTION);
        let expired = self.seats.iter().filter(|(_, seat)| is_expired(seat));
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Hosts that share the limits of instances.
    pub fn limit_members(&self, now: Duration) -> Vec<limit::Member> {
        let is_active = |seat: &Seat| !seat.has_ended_before(now, LIMIT_RETENTION);
        let active = self.seats.iter().filter(|(_, seat)| is_active(seat));
        active
            .map(|(name, seat)| limit::Member { host: name.clone(), region: seat.region.clone() })
            .collect()
    }

    /// Whether `host` has a seat.
    pub fn contains(&self, host: &str) -> bool {
        self.seats.contains_key(host)
    }

    /// Names of the hosts that have a seat, sorted.
    pub fn host_names(&self) -> Vec<Arc<str>> {
        self.seats.keys().cloned().collect()
    }

    /// Number of seats, but at least one, as shares are computed by dividing by it.
    pub fn count(&self) -> usize {
        self.seats.len().max(1)
    }
}

impl Seat {
    /// Whether the host's registration ended at least `time` ago.
    fn has_ended_before(&self, now: Duration, time: Duration) -> bool {
        self.registration_ended.is_some_and(|ended| ended + time <= now)
    }
}
