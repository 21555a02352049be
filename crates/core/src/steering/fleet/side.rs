//! Load of the instances on one side: in the host's own region, or in all others.
//!
//! Traffic comes in waves that differ by region, and a region may have few of the instances. So one
//! side may be full while the other one has free slots.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Criteria, Fleet,
    admission::{DEFAULT_TARGET_SECONDS, is_serving},
    choice::DEFAULT_RESPONSE_SECONDS,
    upstream::Upstream,
};
use crate::steering::{contention::Standing, instance::Instance};

/// Initial local share of a service's requests, relative to the share that the slots of the own
/// region can serve if all regions receive the same number of requests.
const INITIAL_LOCAL_FACTOR: f64 = 1.15;

/// Sums over the instances of one side that take requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Side {
    requests: f64,
    busy_slots: f64,
    slots: f64,
}

impl Side {
    /// Adds an instance with this number of requests and slots.
    pub(super) fn add(&mut self, requests: f64, slots: f64) {
        self.requests += requests;
        self.busy_slots += requests.min(slots);
        self.slots += slots;
    }

    /// Number of slots.
    pub(super) fn slots(&self) -> f64 {
        self.slots
    }

    /// Requests, also those in queues, relative to the slots; 1 without instances.
    pub(super) fn load_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.requests / self.slots } else { 1.0 }
    }

    /// Fraction of the slots that are busy if one more request takes one; 1 without instances.
    pub(super) fn busy_ratio_with_one_more(&self) -> f64 {
        if self.slots > 0.0 { (self.busy_slots + 1.0) / self.slots } else { 1.0 }
    }

    /// Fraction of the slots that are busy; 1 without instances.
    pub(super) fn busy_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.busy_slots / self.slots } else { 1.0 }
    }
}

impl Fleet {
    /// Counts a request in the demand of its priority level.
    pub(super) fn record_demand(&mut self, now: Duration, criteria: &Criteria<'_>) {
        // A request that returns from an instance has been counted.
        if !criteria.excluded.is_empty() {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(criteria.service) {
            let seconds = upstream.work.times(criteria.route).cached;
            let target =
                criteria.target_latency.map_or(DEFAULT_TARGET_SECONDS, |t| t.as_secs_f64());
            upstream.demand.record_request(
                now,
                criteria.route_priority,
                criteria.route,
                seconds,
                target,
            );
        }
    }

    /// How a request of this priority stands to the other levels.
    pub(super) fn standing(&self, now: Duration, upstream: &Upstream, priority: u8) -> Standing {
        if !self.has_class_competition {
            return Standing::default();
        }
        let regions: BTreeSet<&Arc<str>> = self.locality.domain_regions.values().collect();
        let hosts = self.region_hosts.len().max(1) * regions.len().max(1);
        let slots = upstream.local_side.slots() + upstream.remote_side.slots();
        upstream.demand.standing(now, priority, hosts as f64, slots)
    }

    /// Updates the load of both sides and the local share of the service's requests.
    pub(super) fn update_sides(&mut self, now: Duration, service: &str) {
        let hosts = self.region_hosts.len().max(1) as f64;
        let Some(upstream) = self.upstreams.get_mut(service) else {
            return;
        };
        upstream.others_share = 1.0 - 1.0 / hosts;
        upstream.update_loads(now);
        let response = upstream.response_seconds.unwrap_or(DEFAULT_RESPONSE_SECONDS);
        let (mut local, mut remote) = (Side::default(), Side::default());
        let instances = upstream.instances.iter();
        let departures = &self.departures;
        let has_left = |instance: &Instance| {
            departures.contains(now, &instance.endpoint.id, instance.endpoint.incarnation)
        };
        let serving =
            instances.filter(|i| is_serving(now, &self.evacuated_domains, i) && !has_left(i));
        for instance in serving {
            let side = if instance.is_local { &mut local } else { &mut remote };
            let slots = f64::from(instance.endpoint.slots);
            let limit = self.limits.rate(&instance.endpoint.id);
            side.add(instance.requests, limit.map_or(slots, |rate| slots.min(rate * response)));
        }
        let regions: BTreeSet<&Arc<str>> = self.locality.domain_regions.values().collect();
        let local_slot_share = local.slots() / (local.slots() + remote.slots()).max(1.0);
        upstream.spill.initialize(local_slot_share * regions.len() as f64 * INITIAL_LOCAL_FACTOR);
        upstream.spill.update(now, local.load_ratio(), remote.load_ratio());
        upstream.local_side = local;
        upstream.remote_side = remote;
    }
}
