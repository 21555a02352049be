//! The choice of an instance for a request.
//!
//! An instance is chosen by the time in which it is likely to answer: the work, which is much less if
//! it handled the request's object lately, and the wait behind the requests that it already has. With
//! equal instances the first one by rendezvous hash of the object wins, so that all hosts send the
//! requests of one object to the same instance without talking. See docs/platform.md.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Fleet,
    admission::{has_room, is_usable},
    upstream::{Upstream, usual_seconds},
};
use crate::{
    rendezvous,
    steering::{cold, instance::Instance},
};

/// Cost of a fully busy instance beside the wait, relative to the work, so that equal instances
/// share the load.
const BUSY_COST: f64 = 0.3;

/// Cost of a failure, relative to the work on an unknown object.
const FAILURE_COST: f64 = 4.0;

/// Cost of another failure domain of the own region, in seconds.
const OTHER_DOMAIN_COST: f64 = 0.005;

/// Cost of another region beside the time on the way, in seconds.
const OTHER_REGION_COST: f64 = 0.02;

/// Usual time to an answer until one is known, in seconds.
const FIRST_ANSWER: f64 = 0.5;

/// How much more than an equal part of the requests a region is expected to keep at first, relative
/// to its part of the slots.
const FIRST_STAY: f64 = 1.15;

/// What a request needs of an instance.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Regions in which it may run; all when empty.
    pub route_regions: &'a [Arc<str>],
    /// Further regions that must also be allowed; all when empty.
    pub workspace_regions: &'a [Arc<str>],
    /// Hash of the object that it concerns, where instances remember objects.
    pub object_hash: Option<u64>,
    /// Instances that must not be tried again.
    pub excluded: &'a [Arc<str>],
    /// Rank, where 0 is the most urgent.
    pub priority: u8,
    /// Time within which an answer is of full use.
    pub target_latency: Option<Duration>,
    /// Number between 0 and 1 that decides whether the request stays in the own region.
    pub locality_draw: f64,
}

/// Instance that gets a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The instance.
    pub id: Arc<str>,
    /// Its start.
    pub incarnation: u64,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Whether it is in another region.
    pub is_remote: bool,
    /// Whether the instance is expected to know the object.
    pub is_cached: bool,
    /// Likely time to the answer with its other costs, in seconds.
    pub cost_seconds: f64,
}

/// Why no instance can get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No instance of the service is known that may run it.
    NoInstance,
    /// Those that may run it have as much as they can do in time.
    NoCapacity {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// It can only run in other regions, and the part that runs there may rise only slowly.
    ShiftLimited {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

impl Fleet {
    /// Chooses an instance.
    ///
    /// The draw decides between the own region and the others. A request goes to the other side only if
    /// no instance of the first one can be used at all, or if it may come home: moving to another region
    /// for want of a slot would shift traffic too fast.
    pub fn choose(&mut self, now: Duration, criteria: &Criteria<'_>) -> Result<Choice, Rejection> {
        self.update_spill(now, criteria.service);
        let group = self.groups.get(criteria.service).ok_or(Rejection::NoInstance)?;
        let retry_after = retry_after(group);
        let allowed = group.instances.iter().filter(|instance| self.may_run(instance, criteria));
        let candidates: Vec<&Instance> = allowed.collect();
        if candidates.is_empty() {
            return Err(Rejection::NoInstance);
        }
        let best = self.best_by_draw(now, group, &candidates, criteria);
        let best = best.ok_or(Rejection::NoCapacity { retry_after })?;
        let is_bound = self.is_bound(now, group, &candidates);
        let is_allowed = !is_bound || self.mix.allows_remote(now);
        self.mix.record_demand(now, best.is_remote);
        if is_allowed { Ok(best) } else { Err(Rejection::ShiftLimited { retry_after }) }
    }

    /// Whether a request with these candidates can only run in other regions although the own region
    /// takes requests, so that the bound on shifts counts.
    fn is_bound(&self, now: Duration, group: &Upstream, candidates: &[&Instance]) -> bool {
        let is_local = |instance: &&Instance| self.is_local(instance);
        let takes = |instance: &Instance| is_usable(now, &self.evacuated, instance);
        let has_own = group.instances.iter().filter(is_local).any(takes);
        has_own && !candidates.iter().any(is_local)
    }

    /// The best instance of the side that the draw decides for, or of the other one.
    fn best_by_draw(
        &self,
        now: Duration,
        group: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
    ) -> Option<Choice> {
        let stays = criteria.locality_draw < group.spill.local_share();
        let (preferred, others): (Vec<&Instance>, Vec<&Instance>) =
            candidates.iter().partition(|instance| self.is_local(instance) == stays);
        let key =
            criteria.object_hash.map(|object| rendezvous::Key::new([object.to_string().as_str()]));
        let is_unusable = preferred.iter().all(|instance| !instance.is_trusted(now));
        let may_change = is_unusable || !stays;
        self.best(now, group, &preferred, criteria, key)
            .or_else(|| may_change.then(|| self.best(now, group, &others, criteria, key)).flatten())
    }

    /// Whether the rules allow the request at the instance, whatever its load.
    fn may_run(&self, instance: &Instance, criteria: &Criteria<'_>) -> bool {
        let allows = |regions: &[Arc<str>]| {
            regions.is_empty()
                || instance.region.as_ref().is_some_and(|region| regions.contains(region))
        };
        !instance.endpoint.is_draining
            && !self.evacuated.contains(&instance.endpoint.domain)
            && !criteria.excluded.contains(&instance.endpoint.id)
            && allows(criteria.route_regions)
            && allows(criteria.workspace_regions)
    }

    /// The open instance with the least cost among the candidates.
    fn best(
        &self,
        now: Duration,
        group: &Upstream,
        candidates: &[&Instance],
        criteria: &Criteria<'_>,
        key: Option<rendezvous::Key>,
    ) -> Option<Choice> {
        let first = key.and_then(|key| {
            let settled = candidates.iter().filter(|i| !i.is_cold(now) && i.is_trusted(now));
            settled.max_by_key(|i| key.weight(&i.endpoint.id)).map(|i| i.endpoint.id.clone())
        });
        let usual = usual_seconds(group);
        let mut best: Option<(f64, u64, &Instance, bool)> = None;
        for instance in candidates {
            let is_first = first.as_ref() == Some(&instance.endpoint.id);
            let knows =
                criteria.object_hash.is_none_or(|object| is_first || instance.knows(now, object));
            let time = self.expected_time(now, group, instance, knows, usual);
            let is_open = instance.is_trusted(now)
                && self.tolerates(now, group, instance)
                && self.has_part(instance)
                && has_room(now, group, instance, criteria, time);
            if !is_open {
                continue;
            }
            let cost = time + self.other_costs(now, group, instance);
            let tie = key.map_or(0, |key| key.weight(&instance.endpoint.id));
            let wins = best.is_none_or(|(least, weight, ..)| {
                cost < least - f64::EPSILON || (cost <= least && tie > weight)
            });
            if wins {
                best = Some((cost, tie, instance, knows));
            }
        }
        best.map(|(cost, _, instance, knows)| Choice {
            id: instance.endpoint.id.clone(),
            incarnation: instance.endpoint.incarnation,
            address: instance.endpoint.address,
            is_remote: !self.is_local(instance),
            is_cached: knows,
            cost_seconds: cost,
        })
    }

    /// Seconds in which the instance is likely to answer.
    fn expected_time(
        &self,
        now: Duration,
        group: &Upstream,
        instance: &Instance,
        knows: bool,
        usual: f64,
    ) -> f64 {
        let slots = f64::from(instance.endpoint.slots.max(1));
        let load = instance.load.total(now);
        let work = if knows { group.known_work() } else { group.new_work() };
        let wait = (load + 1.0 - slots).max(0.0) / slots * group.known_work();
        (work + wait) * instance.slowness(usual)
    }

    /// What speaks against an instance beside the time, in seconds.
    fn other_costs(&self, now: Duration, group: &Upstream, instance: &Instance) -> f64 {
        let slots = f64::from(instance.endpoint.slots.max(1));
        let busy = BUSY_COST * group.known_work() * instance.load.total(now) / slots;
        let distance = if !self.is_local(instance) {
            OTHER_REGION_COST
        } else if instance.endpoint.domain != self.place.domain {
            OTHER_DOMAIN_COST
        } else {
            0.0
        };
        busy + distance + FAILURE_COST * group.new_work() * instance.failure_part()
    }

    /// This host's part of a cold instance's rate, in requests per second.
    pub(super) fn cold_part(&self, id: &str, rate: f64) -> f64 {
        let hosts: Vec<&str> = self.peers.iter().map(AsRef::as_ref).collect();
        cold::part(rate, id, &self.place.host, &hosts)
    }

    /// Moves the part of the service's requests that stays in the own region.
    fn update_spill(&mut self, now: Duration, service: &str) {
        let region = self.place.region.clone();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let (mut own, mut others) = ((0.0, 0.0), (0.0, 0.0));
        for instance in &group.instances {
            if !is_usable(now, &self.evacuated, instance) {
                continue;
            }
            let sum =
                if instance.region.as_ref() == Some(&region) { &mut own } else { &mut others };
            sum.0 += instance.load.total(now);
            sum.1 += f64::from(instance.endpoint.slots);
        }
        let regions: BTreeSet<&Arc<str>> = self.place.domain_regions.values().collect();
        let part = own.1 / (own.1 + others.1).max(1.0);
        group.spill.initialize(part * regions.len() as f64 * FIRST_STAY);
        let relative = |(load, slots): (f64, f64)| if slots > 0.0 { load / slots } else { 1.0 };
        group.own_load = relative(own);
        group.spill.update(now, group.own_load, relative(others));
    }
}

/// A full instance has room again after about one answer.
fn retry_after(group: &Upstream) -> Duration {
    const SHORTEST: Duration = Duration::from_millis(200);
    const LONGEST: Duration = Duration::from_millis(1500);
    let usual = Duration::from_secs_f64(group.answer_seconds.unwrap_or(FIRST_ANSWER));
    usual.clamp(SHORTEST, LONGEST)
}
