//! Announcements of other hosts that instances leave, applied to the choice of an instance.

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
