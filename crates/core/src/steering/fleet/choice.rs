//! Choice of the instance that gets a request.
//!
//! Chooses the instance with the shortest expected response time, which is the work plus the wait
//! behind the requests that the instance already has. The work is much less if the instance handled
//! the request's object recently and has it cached. Among equal instances, the first one by
//! rendezvous hash of the object wins, so that all hosts send the requests for one object to the
//! same instance without any coordination. See docs/platform.md.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Fleet,
    admission::{has_capacity, is_serving},
    upstream::Upstream,
};
use crate::{
    rendezvous,
    steering::{cold, instance::Instance, work},
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

/// Assumed response time until the first answer, in seconds.
const DEFAULT_RESPONSE_SECONDS: f64 = 0.5;

/// Initial local share of a service's requests, relative to the share that the slots of the own
/// region can serve if all regions receive the same number of requests.
const INITIAL_LOCAL_FACTOR: f64 = 1.15;

/// Properties of a request that decide which instance gets it.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Name of the route, which tells kinds of requests with different work apart.
    pub route: &'a Arc<str>,
    /// Regions that the route allows; all if empty.
    pub route_regions: &'a [Arc<str>],
    /// Regions that the workspace allows; all if empty.
    pub workspace_regions: &'a [Arc<str>],
    /// Hash of the object that the request is about, if the service's instances cache objects.
    pub object_hash: Option<u64>,
    /// Ids of instances that must not get the request, because it was already sent to them.
    pub excluded: &'a [Arc<str>],
    /// Priority level, where 0 is the most urgent.
    pub priority: u8,
    /// Latency up to which an answer is on time.
    pub target_latency: Option<Duration>,
    /// Number from 0 to below 1. The own region is preferred if the number is below the local share
    /// of the service's requests, the other regions otherwise.
    pub locality_draw: f64,
}

/// Instance that gets a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Address of the instance.
    pub address: std::net::SocketAddr,
    /// Name of the request's route.
    pub route: Arc<str>,
    /// Hash of the request's object.
    pub object_hash: Option<u64>,
    /// Whether the instance is in another region.
    pub is_remote: bool,
    /// Whether the instance is expected to have the request's object cached. True if the request
    /// has no object.
    pub is_cached: bool,
    /// Expected response time plus the other costs of the instance, in seconds.
    pub cost_seconds: f64,
}

/// Why no instance can get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No registered instance of the service may run the request.
    NoInstance,
    /// The instances that may run the request have no capacity for it.
    NoCapacity {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
    /// The request can run only in other regions, and the share of requests that run there may rise
    /// only slowly.
    ShiftLimited {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
}

impl Fleet {
    /// Chooses an instance for a request.
    ///
    /// [`Criteria::locality_draw`] selects the own region or the other regions. The request falls
    /// back to the other side only if no instance of the selected side is available, or if the
    /// fallback is the own region. Falling back to another region for lack of capacity would shift
    /// traffic too fast.
    pub fn choose(&mut self, now: Duration, criteria: &Criteria<'_>) -> Result<Choice, Rejection> {
        self.update_spill(now, criteria.service);
        let upstream = self.upstreams.get(criteria.service).ok_or(Rejection::NoInstance)?;
        let retry_after = retry_after(upstream);
        let eligible =
            upstream.instances.iter().filter(|instance| self.is_eligible(instance, criteria));
        let candidates: Vec<&Instance> = eligible.collect();
        if candidates.is_empty() {
            return Err(Rejection::NoInstance);
        }
        let choice = self.choose_by_draw(now, upstream, &candidates, criteria);
        let choice = choice.ok_or(Rejection::NoCapacity { retry_after })?;
        let is_limited = self.is_shift_limited(now, upstream, &candidates);
        let is_allowed = !is_limited || self.shift_limiter.allows_remote(now);
        self.shift_limiter.record_demand(now, choice.is_remote);
        if is_allowed { Ok(choice) } else { Err(Rejection::ShiftLimited { retry_after }) }
    }

    /// Whether the limit on traffic shifts applies to a request with these candidates: all of them
    /// are in other regions although an instance of the own region is serving requests.
    fn is_shift_limited(
        &self,
        now: Duration,
        upstream: &Upstream,
        candidates: &[&Instance],
    ) -> bool {
        let is_local = |instance: &&Instance| instance.is_local;
        let is_serving = |instance: &Instance| is_serving(now, &self.evacuated_domains, instance);
        let has_serving_local = upstream.instances.iter().filter(is_local).any(is_serving);
        has_serving_local && !candidates.iter().any(is_local)
    }

    /// The best instance on the side that the draw selects, or on the other side if the request may
    /// fall back to it.
    fn choose_by_draw(
        &self,
        now: Duration,
        upstream: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
    ) -> Option<Choice> {
        let stays_local = criteria.locality_draw < upstream.spill.local_share();
        let (preferred, others): (Vec<&Instance>, Vec<&Instance>) =
            candidates.iter().partition(|instance| instance.is_local == stays_local);
        let key =
            criteria.object_hash.map(|object| rendezvous::Key::new([object.to_string().as_str()]));
        let is_unavailable = preferred.iter().all(|instance| !instance.is_available(now));
        let may_fall_back = is_unavailable || !stays_local;
        self.cheapest(now, upstream, &preferred, criteria, key).or_else(|| {
            may_fall_back.then(|| self.cheapest(now, upstream, &others, criteria, key)).flatten()
        })
    }

    /// Whether the request may run at the instance, regardless of load and failures.
    fn is_eligible(&self, instance: &Instance, criteria: &Criteria<'_>) -> bool {
        let allows = |regions: &[Arc<str>]| {
            regions.is_empty()
                || instance.region.as_ref().is_some_and(|region| regions.contains(region))
        };
        !instance.endpoint.is_draining
            && !self.evacuated_domains.contains(&instance.endpoint.domain)
            && !criteria.excluded.contains(&instance.endpoint.id)
            && allows(criteria.route_regions)
            && allows(criteria.workspace_regions)
    }

    /// The candidate with the least cost among those that can take the request now.
    fn cheapest(
        &self,
        now: Duration,
        upstream: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
        key: Option<rendezvous::Key>,
    ) -> Option<Choice> {
        let first_ranked = key.and_then(|key| {
            let ready = candidates.iter().filter(|i| !i.is_cold(now) && i.is_available(now));
            ready.max_by_key(|i| key.weight(&i.endpoint.id)).map(|i| i.endpoint.id.clone())
        });
        let times = upstream.work.times(criteria.route);
        let mut best: Option<(f64, u64, &Instance, bool)> = None;
        let mut first_uncached: Option<(f64, u64, &Instance, bool)> = None;
        for instance in candidates {
            let is_first = first_ranked.as_ref() == Some(&instance.endpoint.id);
            let is_cached = criteria
                .object_hash
                .is_none_or(|object| is_first || upstream.has_cached(now, instance, object));
            let expected = expected_seconds(now, upstream, instance, is_cached, times);
            let is_admitted = instance.is_available(now)
                && self.is_warm_or_paced(now, upstream, instance)
                && self.is_within_unreported_share(instance)
                && has_capacity(now, upstream, instance, criteria, expected);
            if !is_admitted {
                continue;
            }
            let cost = expected + self.other_costs_seconds(now, upstream, instance, times);
            let weight = key.map_or_else(
                || u64::MAX - instance.last_request_at().as_nanos() as u64,
                |key| key.weight(&instance.endpoint.id),
            );
            let candidate = Some((cost, weight, *instance, is_cached));
            if is_cached {
                let is_better = best.is_none_or(|(best_cost, best_weight, ..)| {
                    cost < best_cost - f64::EPSILON || (cost <= best_cost && weight > best_weight)
                });
                if is_better {
                    best = candidate;
                }
            } else if first_uncached.is_none_or(|(_, best_weight, ..)| weight > best_weight) {
                first_uncached = candidate;
            }
        }
        let best = match (best, first_uncached) {
            (Some(cached), Some(uncached)) if uncached.0 < cached.0 => Some(uncached),
            (None, uncached) => uncached,
            (cached, _) => cached,
        };
        best.map(|(cost_seconds, _, instance, is_cached)| Choice {
            id: instance.endpoint.id.clone(),
            incarnation: instance.endpoint.incarnation,
            address: instance.endpoint.address,
            route: criteria.route.clone(),
            object_hash: criteria.object_hash,
            is_remote: !instance.is_local,
            is_cached,
            cost_seconds,
        })
    }

    /// Costs of the instance's load, distance and failures, in seconds.
    fn other_costs_seconds(
        &self,
        now: Duration,
        upstream: &Upstream,
        instance: &Instance,
        times: work::Times,
    ) -> f64 {
        let slots = f64::from(instance.endpoint.slots.max(1));
        let busy = BUSY_COST * times.cached * upstream.load(now, instance) / slots;
        let distance = if !instance.is_local {
            OTHER_REGION_COST_SECONDS
        } else if instance.endpoint.domain != self.locality.domain {
            OTHER_DOMAIN_COST_SECONDS
        } else {
            0.0
        };
        busy + distance + FAILURE_COST * times.uncached * upstream.excess_failure_rate(instance)
    }

    /// This host's rate for a cold instance, in requests per second. `rate` is what the instance
    /// tolerates from all hosts together.
    pub(super) fn cold_host_rate(&self, id: &str, rate: f64) -> f64 {
        let hosts: Vec<&str> = self.region_hosts.iter().map(AsRef::as_ref).collect();
        cold::host_rate(rate, id, &self.locality.host, &hosts)
    }

    /// Updates the load of the own region and the local share of the service's requests.
    fn update_spill(&mut self, now: Duration, service: &str) {
        let region = self.locality.region.clone();
        let hosts = self.region_hosts.len().max(1) as f64;
        let Some(upstream) = self.upstreams.get_mut(service) else {
            return;
        };
        upstream.others_share = 1.0 - 1.0 / hosts;
        // Sums of requests and of slots.
        let (mut local, mut remote) = ((0.0, 0.0), (0.0, 0.0));
        for instance in &upstream.instances {
            if !is_serving(now, &self.evacuated_domains, instance) {
                continue;
            }
            let sums =
                if instance.region.as_ref() == Some(&region) { &mut local } else { &mut remote };
            sums.0 += upstream.load(now, instance);
            sums.1 += f64::from(instance.endpoint.slots);
        }
        let regions: BTreeSet<&Arc<str>> = self.locality.domain_regions.values().collect();
        let local_slot_share = local.1 / (local.1 + remote.1).max(1.0);
        upstream.spill.initialize(local_slot_share * regions.len() as f64 * INITIAL_LOCAL_FACTOR);
        let load_ratio = |(load, slots): (f64, f64)| if slots > 0.0 { load / slots } else { 1.0 };
        upstream.local_load = load_ratio(local);
        upstream.spill.update(now, upstream.local_load, load_ratio(remote));
    }
}

/// Expected response time of the instance, in seconds.
fn expected_seconds(
    now: Duration,
    upstream: &Upstream,
    instance: &Instance,
    is_cached: bool,
    times: work::Times,
) -> f64 {
    let slots = f64::from(instance.endpoint.slots.max(1));
    let load = upstream.load(now, instance);
    let work = if is_cached { times.cached } else { times.uncached };
    let wait = (load + 1.0 - slots).max(0.0) / slots * upstream.work.mean_seconds();
    (work + wait) * instance.slowdown(now, upstream.usual_slowness)
}

/// Suggested retry delay: an instance without capacity has some again after about one response.
fn retry_after(upstream: &Upstream) -> Duration {
    const MIN_DELAY: Duration = Duration::from_millis(200);
    const MAX_DELAY: Duration = Duration::from_millis(1500);
    let response_time =
        Duration::from_secs_f64(upstream.response_seconds.unwrap_or(DEFAULT_RESPONSE_SECONDS));
    response_time.clamp(MIN_DELAY, MAX_DELAY)
}
