//! Choice of the instance that gets a request.
//!
//! A draw by the request's object selects the own region or the other ones, so that both sides carry
//! their part of a load that comes in waves, and each object stays on one side. Among the instances
//! of that side [`super::candidate`] selects the best one. See docs/platform.md.

use std::{sync::Arc, time::Duration};

use super::{Fleet, admission::is_serving, upstream::Upstream};
use crate::{
    rendezvous,
    steering::{cache, cost, instance::Instance, plan::is_home},
};

/// Assumed response time until the first answer, in seconds.
pub(super) const DEFAULT_RESPONSE_SECONDS: f64 = 0.5;

/// Fewest instances of the own failure domain that are preferred for large answers.
const MIN_NEARBY_INSTANCES: usize = 3;

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
    /// Priority level, where 0 is the most urgent. That of the workspace goes before that of the route.
    pub priority: u8,
    /// Priority level of the route, by which the classes of a service compete for its slots.
    pub route_priority: u8,
    /// Latency up to which an answer is on time.
    pub target_latency: Option<Duration>,
    /// Number from 0 to below 1. The own region is preferred if the number is below the local share
    /// of the service's requests, the other regions otherwise.
    pub locality_draw: f64,
    /// Random number from 0 to below 1, by which the request is refused early if it would wait.
    pub admission_draw: f64,
    /// Size of the request's body.
    pub body_bytes: u64,
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
    /// Region of the instance; `None` if its failure domain is unknown.
    pub region: Option<Arc<str>>,
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
    /// Size of the request's body.
    pub body_bytes: u64,
    /// Expected response time.
    pub prediction: cost::Prediction,
    /// Distinguishes the choices of this host.
    pub number: u64,
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
    /// Of the instances that may run the request, this host does not reach many, and the others have no
    /// capacity for it.
    Unreached {
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
        self.update_sides(now, criteria.service);
        self.record_demand(now, criteria);
        let upstream = self.upstreams.get(criteria.service).ok_or(Rejection::NoInstance)?;
        let eligible =
            upstream.instances.iter().filter(|instance| self.is_eligible(now, instance, criteria));
        let candidates: Vec<&Instance> = eligible.collect();
        let is_tried = |instance: &&Instance| criteria.excluded.contains(&instance.endpoint.id);
        if candidates.iter().all(is_tried) {
            return Err(Rejection::NoInstance);
        }
        let retry_after = retry_after(upstream).max(Self::pause_left(now, &candidates));
        let choice = self.choose_by_draw(now, upstream, &candidates, criteria);
        let mut choice =
            choice.ok_or_else(|| match Self::are_unreached(upstream, &candidates) {
                true => Rejection::Unreached { retry_after },
                false => Rejection::NoCapacity { retry_after },
            })?;
        choice.number = self.choices;
        let is_limited = self.is_shift_limited(now, upstream, &candidates);
        self.choices += 1;
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
        let is_serving = |instance: &Instance| {
            is_serving(now, &self.evacuated_domains, instance) && !self.is_leaving(now, instance)
        };
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
        self.cheapest_nearby(now, upstream, &preferred, criteria, key)
            .or_else(|| self.cheapest(now, upstream, &preferred, criteria, key))
            .or_else(|| {
                may_fall_back
                    .then(|| self.cheapest(now, upstream, &others, criteria, key))
                    .flatten()
            })
    }

    /// The best instance of the own failure domain for a request with a large answer; `None` if it has no
    /// free slot, or there are too few to carry the load alone. Large answers that cross failure domains
    /// take the links that all traffic shares.
    fn cheapest_nearby(
        &self,
        now: Duration,
        upstream: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
        key: Option<rendezvous::Key>,
    ) -> Option<Choice> {
        if !self.large_answer_routes.contains(criteria.route) {
            return None;
        }
        let is_near = |instance: &&Instance| instance.endpoint.domain == self.locality.domain;
        let nearby: Vec<&Instance> = candidates.iter().copied().filter(is_near).collect();
        if nearby.len() < MIN_NEARBY_INSTANCES {
            return None;
        }
        let choice = self.cheapest(now, upstream, &nearby, criteria, key)?;
        let chosen = nearby.iter().find(|instance| instance.endpoint.id == choice.id)?;
        (chosen.requests + 1.0 <= f64::from(chosen.endpoint.slots)).then_some(choice)
    }

    /// Whether the request may run at the instance, regardless of load, failures and earlier attempts.
    fn is_eligible(&self, now: Duration, instance: &Instance, criteria: &Criteria<'_>) -> bool {
        let region = instance.region.as_ref();
        !self.is_leaving(now, instance)
            && !self.evacuated_domains.contains(&instance.endpoint.domain)
            && is_home(criteria.route_regions, region)
            && is_home(criteria.workspace_regions, region)
    }
}

/// Suggested retry delay: an instance without capacity has some again after about one response.
fn retry_after(upstream: &Upstream) -> Duration {
    const MIN_DELAY: Duration = Duration::from_millis(200);
    const MAX_DELAY: Duration = Duration::from_millis(1500);
    let response_time =
        Duration::from_secs_f64(upstream.response_seconds.unwrap_or(DEFAULT_RESPONSE_SECONDS));
    response_time.clamp(MIN_DELAY, MAX_DELAY)
}
