//! Selection among the instances of one side.
//!
//! The instance with the shortest expected response time gets the request, which is the work plus the
//! wait behind the requests that the instance already has. The work is much less if the instance has
//! the request's object cached. Among the instances that probably don't, the first one by rendezvous
//! hash gets it whatever their load, so that in an overload an object is not scattered over all of
//! them. See docs/steering-study.md.

use std::time::Duration;

use super::{
    Fleet,
    admission::has_capacity,
    choice::{Choice, Criteria},
    ranking::Ranking,
    upstream::Upstream,
};
use crate::{
    rendezvous,
    steering::{cache, cost, instance::Instance, work},
};

/// Cost of an instance whose slots are all taken, relative to the work on a cached object. It is
/// added to the wait, so that equal instances share the load even while slots are free.
const BUSY_COST: f64 = 0.3;

/// Cost of a failure rate of 1, relative to the work on an uncached object.
const FAILURE_COST: f64 = 4.0;

/// Cost of an instance in another failure domain of the own region, in seconds.
const OTHER_DOMAIN_COST_SECONDS: f64 = 0.005;

/// Cost of an instance in another region in addition to the network latency, in seconds.
const OTHER_REGION_COST_SECONDS: f64 = 0.02;

/// Instance that can take the request now.
struct Candidate<'a> {
    instance: &'a Instance,
    position: cache::Position,
    is_cached: bool,
    prediction: cost::Prediction,
    /// Expected response time plus the other costs, in seconds.
    cost: f64,
    /// Larger for instances that come first among those with equal costs.
    weight: u64,
}

impl Candidate<'_> {
    fn is_cheaper(&self, other: &Self) -> bool {
        self.cost < other.cost - f64::EPSILON
            || (self.cost <= other.cost && self.weight > other.weight)
    }
}

impl Fleet {
    /// The candidate with the least cost among those that can take the request now.
    pub(super) fn cheapest(
        &self,
        now: Duration,
        upstream: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
        key: Option<rendezvous::Key>,
    ) -> Option<Choice> {
        let times = upstream.work.times(criteria.route);
        let standing = self.standing(now, upstream, criteria.route_priority);
        let knows_remaining = upstream.cost.has_tail() || upstream.speed.is_reported();
        let uses_remaining = self.uses_remaining_work && upstream.knows_remaining();
        let weight = |instance: &&Instance| match key {
            Some(key) => key.weight(&instance.endpoint.id),
            None => u64::MAX - instance.last_request_at().as_nanos() as u64,
        };
        let weights: Vec<u64> = candidates.iter().map(weight).collect();
        let within_limit: Vec<bool> =
            candidates.iter().map(|instance| self.is_within_limit(now, instance)).collect();
        let ranking = Ranking::new(candidates.len(), &weights, |index| {
            let instance = candidates[index];
            within_limit[index] && !instance.is_cold(now) && instance.is_available(now)
        });
        let mut likely: Option<Candidate<'_>> = None;
        let mut unlikely: Option<Candidate<'_>> = None;
        let mut probe: Option<Candidate<'_>> = None;
        for (index, instance) in candidates.iter().enumerate() {
            let position = match criteria.object_hash {
                Some(object) if !upstream.has_cached(now, instance, object) => {
                    ranking.position(index)
                }
                _ => cache::Position::Known,
            };
            let is_cached = matches!(position, cache::Position::Known | cache::Position::First);
            let work = if is_cached { times.cached } else { times.uncached };
            let prediction = upstream.predict(now, instance, work, knows_remaining);
            let expected =
                if uses_remaining { prediction.by_remaining } else { prediction.by_mean };
            let is_admitted = !criteria.excluded.contains(&instance.endpoint.id)
                && instance.is_available(now)
                && self.is_warm_or_paced(now, upstream, instance)
                && within_limit[index]
                && self.allows_body(instance, criteria)
                && self.is_within_unreported_share(instance)
                && !(position == cache::Position::Later && upstream.is_busy(instance))
                && has_capacity(upstream, instance, criteria, standing, work, expected);
            if !is_admitted {
                continue;
            }
            let candidate = Candidate {
                instance,
                position,
                is_cached,
                prediction,
                cost: expected + self.other_costs_seconds(upstream, instance, times),
                weight: weights[index],
            };
            if self.is_limit_probe_due(now, instance) {
                probe = Some(candidate);
            } else if candidate.is_cached {
                if likely.as_ref().is_none_or(|best| candidate.is_cheaper(best)) {
                    likely = Some(candidate);
                }
            } else if unlikely.as_ref().is_none_or(|best| candidate.weight > best.weight) {
                unlikely = Some(candidate);
            }
        }
        let best = match (likely, unlikely) {
            (Some(likely), Some(unlikely)) if unlikely.cost < likely.cost => Some(unlikely),
            (likely, unlikely) => likely.or(unlikely),
        };
        probe.or(best).map(|best| Choice {
            id: best.instance.endpoint.id.clone(),
            incarnation: best.instance.endpoint.incarnation,
            address: best.instance.endpoint.address,
            region: best.instance.region.clone(),
            route: criteria.route.clone(),
            object_hash: criteria.object_hash,
            is_remote: !best.instance.is_local,
            position: best.position,
            is_cached: best.is_cached,
            cost_seconds: best.cost,
            body_bytes: criteria.body_bytes,
            prediction: best.prediction,
            number: 0,
        })
    }

    /// Whether the instance may get the request's body.
    fn allows_body(&self, instance: &Instance, criteria: &Criteria<'_>) -> bool {
        let endpoint = &instance.endpoint;
        self.uploads.allows(&endpoint.id, endpoint.incarnation, criteria.body_bytes)
    }

    /// Costs of the instance's load, distance and failures, in seconds.
    fn other_costs_seconds(
        &self,
        upstream: &Upstream,
        instance: &Instance,
        times: work::Times,
    ) -> f64 {
        let slots = f64::from(instance.endpoint.slots.max(1));
        let busy = BUSY_COST * times.cached * instance.requests / slots;
        let distance = if !instance.is_local {
            OTHER_REGION_COST_SECONDS
        } else if instance.endpoint.domain != self.locality.domain {
            OTHER_DOMAIN_COST_SECONDS
        } else {
            0.0
        };
        busy + distance + FAILURE_COST * times.uncached * upstream.excess_failure_rate(instance)
    }
}
