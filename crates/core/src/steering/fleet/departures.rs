//! Departures of instances, read or announced by other hosts, applied to the choice of an instance.

use std::time::Duration;

use super::Fleet;
use crate::steering::{
    departure::Departure,
    history::Era,
    instance::{Endpoint, Instance},
};

impl Fleet {
    /// Records that another host has heard that an instance leaves. Returns whether that is new.
    pub fn record_departure(&mut self, now: Duration, departure: &Departure) -> bool {
        self.departures.record(now, departure)
    }

    /// The departure of an instance at `revision` of `era`, if the instance is known and its departure has
    /// not been announced.
    pub fn unannounced_departure(&self, id: &str, era: Era, revision: u64) -> Option<Departure> {
        let endpoint = self.endpoint(id)?;
        let (id, incarnation) = (endpoint.id.clone(), endpoint.incarnation);
        let departure = Departure { id, incarnation, revision, era };
        (!self.departures.is_announced(&departure)).then_some(departure)
    }

    /// Handles the end of an instance's registration while the store was there: this start has left, whatever
    /// brings its registration back, unless it stands for [`STANDING_TIME`] again.
    ///
    /// [`STANDING_TIME`]: crate::steering::departure::STANDING_TIME
    pub fn depart(&mut self, now: Duration, id: &str) {
        self.departures.miss(id);
        let start = self.endpoint(id).map(|endpoint| (endpoint.id.clone(), endpoint.incarnation));
        if let Some((id, incarnation)) = start {
            self.departures.end(now, &id, incarnation);
            self.remove(&id);
        }
    }

    /// Records that this host has learned what the store holds, after a silence of this length.
    pub fn learn_registrations(&mut self, now: Duration, silence: Duration) {
        self.departures.learn(now, silence);
    }

    /// Whether this start of the instance has left, though it is registered.
    pub fn has_departed(&self, now: Duration, id: &str) -> bool {
        let endpoint = self.endpoint(id);
        endpoint.is_some_and(|endpoint| self.departures.contains(now, id, endpoint.incarnation))
    }

    /// Whether an instance with this id is known.
    pub fn contains(&self, id: &str) -> bool {
        self.service_by_id.contains_key(id)
    }

    /// Whether the instance has said in the store that it leaves.
    pub fn is_draining(&self, id: &str) -> bool {
        self.endpoint(id).is_some_and(|endpoint| endpoint.is_draining)
    }

    pub(super) fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        let upstream = self.upstreams.get(self.service_by_id.get(id)?)?;
        let mut endpoints = upstream.instances.iter().map(|instance| &instance.endpoint);
        endpoints.find(|endpoint| *endpoint.id == *id)
    }

    /// Records the revision of `era` up to which this host has read the store.
    pub fn reach_revision(&mut self, era: Era, revision: u64) {
        self.departures.reach(era, revision);
    }

    /// Whether the instance takes no more requests: it drains, another host has heard that it leaves,
    /// or its registration has not returned in time.
    pub(super) fn is_leaving(&self, now: Duration, instance: &Instance) -> bool {
        let endpoint = &instance.endpoint;
        endpoint.is_draining
            || instance.is_expired(now)
            || self.departures.contains(now, &endpoint.id, endpoint.incarnation)
    }
}
