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
    ranking,
    side::Side,
    upstream::Upstream,
};
use crate::{
    rendezvous,
    steering::{cache, cold, instance::Instance, work},
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
    /// Random number from 0 to below 1, by which the request is refused early if it would wait.
    pub admission_draw: f64,
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
    /// What the host knows about whether the instance has cached the request's object.
    pub position: cache::Position,
    /// Whether the instance probably has the request's object cached. True if the request has no
    /// object.
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

/// Instance that can take the request now.
struct Candidate<'a> {
    instance: &'a Instance,
    position: cache::Position,
    is_cached: bool,
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
        let is_tried = |instance: &&Instance| criteria.excluded.contains(&instance.endpoint.id);
        if candidates.iter().all(is_tried) {
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
        let is_unavailable = preferred.iter().all(|instance| {
            !instance.is_available(now) || criteria.excluded.contains(&instance.endpoint.id)
        });
        let may_fall_back = is_unavailable || !stays_local;
        self.cheapest(now, upstream, &preferred, criteria, key).or_else(|| {
            may_fall_back.then(|| self.cheapest(now, upstream, &others, criteria, key)).flatten()
        })
    }

    /// Whether the request may run at the instance, regardless of load, failures and earlier attempts.
    fn is_eligible(&self, instance: &Instance, criteria: &Criteria<'_>) -> bool {
        let allows = |regions: &[Arc<str>]| {
            regions.is_empty()
                || instance.region.as_ref().is_some_and(|region| regions.contains(region))
        };
        !instance.endpoint.is_draining
            && !self.evacuated_domains.contains(&instance.endpoint.domain)
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
        let times = upstream.work.times(criteria.route);
        let ranking = key.map(|key| ranking::Ranking::new(now, key, candidates));
        let mut likely: Option<Candidate<'_>> = None;
        let mut unlikely: Option<Candidate<'_>> = None;
        for instance in candidates {
            let position = match (criteria.object_hash, &ranking) {
                (Some(object), Some(ranking)) if !upstream.has_cached(now, instance, object) => {
                    ranking.position(instance)
                }
                _ => cache::Position::Known,
            };
            let is_cached = matches!(position, cache::Position::Known | cache::Position::First);
            let work = if is_cached { times.cached } else { times.uncached };
            let expected = expected_seconds(now, upstream, instance, work);
            let is_admitted = !criteria.excluded.contains(&instance.endpoint.id)
                && instance.is_available(now)
                && self.is_warm_or_paced(now, upstream, instance)
                && self.is_within_unreported_share(instance)
                && !(position == cache::Position::Later && upstream.is_busy(instance))
                && has_capacity(now, upstream, instance, criteria, work, expected);
            if !is_admitted {
                continue;
            }
            let candidate = Candidate {
                instance,
                position,
                is_cached,
                cost: expected + self.other_costs_seconds(now, upstream, instance, times),
                weight: key.map_or_else(
                    || u64::MAX - instance.last_request_at().as_nanos() as u64,
                    |key| key.weight(&instance.endpoint.id),
                ),
            };
            if candidate.is_cached {
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
        best.map(|best| Choice {
            id: best.instance.endpoint.id.clone(),
            incarnation: best.instance.endpoint.incarnation,
            address: best.instance.endpoint.address,
            route: criteria.route.clone(),
            object_hash: criteria.object_hash,
            is_remote: !best.instance.is_local,
            position: best.position,
            is_cached: best.is_cached,
            cost_seconds: best.cost,
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
        let hosts = self.region_hosts.len().max(1) as f64;
        let Some(upstream) = self.upstreams.get_mut(service) else {
            return;
        };
        upstream.others_share = 1.0 - 1.0 / hosts;
        let (mut local, mut remote) = (Side::default(), Side::default());
        let instances = upstream.instances.iter();
        for instance in instances.filter(|i| is_serving(now, &self.evacuated_domains, i)) {
            let side = if instance.is_local { &mut local } else { &mut remote };
            side.add(upstream.load(now, instance), f64::from(instance.endpoint.slots));
        }
        let regions: BTreeSet<&Arc<str>> = self.locality.domain_regions.values().collect();
        let local_slot_share = local.slots() / (local.slots() + remote.slots()).max(1.0);
        upstream.spill.initialize(local_slot_share * regions.len() as f64 * INITIAL_LOCAL_FACTOR);
        upstream.spill.update(now, local.load_ratio(), remote.load_ratio());
        upstream.local_side = local;
        upstream.remote_side = remote;
    }
}

/// Expected response time of the instance for a request with this work, in seconds.
fn expected_seconds(now: Duration, upstream: &Upstream, instance: &Instance, work: f64) -> f64 {
    let slots = f64::from(instance.endpoint.slots.max(1));
    let waiting_per_slot = (upstream.load(now, instance) + 1.0 - slots).max(0.0) / slots;
    let wait = waiting_per_slot * upstream.work.mean_seconds();
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
