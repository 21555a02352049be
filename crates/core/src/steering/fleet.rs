//! All backend server instances, and the choice of one for a request.
//!
//! An instance is chosen by the time in which it is likely to answer: the work, which is much less if
//! it handled the request's object lately, and the wait behind the requests that it already has. With
//! equal instances the first one by rendezvous hash of the object wins, so that all hosts send the
//! requests of one object to the same instance without talking. See docs/platform.md.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    cold,
    instance::{Instance, Listed, Outcome},
    load::Report,
    spill::Spill,
};
use crate::rendezvous;

/// Work on an object that the instance handled lately, relative to the work on another one.
const KNOWN_OBJECT_WORK: f64 = 0.35;

/// Work on an object, in seconds, until it is known.
const FIRST_WORK: f64 = 0.5;

/// Cost of a fully busy instance beside the wait, relative to the work, so that equal instances
/// share the load.
const BUSY_COST: f64 = 0.3;

/// Cost of a failure, relative to the work on an unknown object.
const FAILURE_COST: f64 = 4.0;

/// Cost of another failure domain of the own region, in seconds.
const OTHER_DOMAIN_COST: f64 = 0.005;

/// Cost of another region beside the time on the way, in seconds.
const OTHER_REGION_COST: f64 = 0.02;

/// Part of the target time that the most urgent requests may be expected to take at an instance
/// whose slots are all taken. Beyond it they would be late and make others late.
const FULL_PART: f64 = 1.0;

/// Load of the own region, relative to its slots, above which [`SLOW_PART`] counts.
const BUSY_LOAD: f64 = 0.7;

/// Part of an instance's slots that requests may take which are expected to miss the target anyway.
/// Work on unknown objects would otherwise push out several times as much work on known ones.
const SLOW_PART: f64 = 0.6;

/// What each less urgent rank loses of [`FULL_PART`].
const PART_PER_RANK: f64 = 0.1;

/// Ranks that are told apart.
const RANKS: u8 = 4;

/// Target time of routes that name none, in seconds.
const DEFAULT_TARGET: f64 = 1.0;

/// Weight of the newest answer in a service's averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// How much more than an equal part of the requests a region is expected to keep at first, relative
/// to its part of the slots.
const FIRST_STAY: f64 = 1.15;

/// How long entries that vanished while the store was away may take to come back.
pub const RETURN_TIME: Duration = Duration::from_millis(2300);

/// What a request needs of an instance.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Regions in which it may run; all when empty.
    pub homes: &'a [Arc<str>],
    /// Further regions that must also be allowed; all when empty.
    pub also: &'a [Arc<str>],
    /// Hash of the object that it concerns, where instances remember objects.
    pub object: Option<u64>,
    /// Instances that must not be tried again.
    pub tried: &'a [Arc<str>],
    /// Rank, where 0 is the most urgent.
    pub priority: u8,
    /// Time within which an answer is of full use.
    pub target: Option<Duration>,
    /// Number between 0 and 1 that decides whether the request stays in the own region.
    pub draw: f64,
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
    pub knows: bool,
    /// Likely time to the answer with its other costs, in seconds.
    pub cost: f64,
}

/// Why no instance can get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shortage {
    /// No instance of the service is known that may run it.
    NoInstance,
    /// Those that may run it have as much as they can do in time.
    Full {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// Instances of one service.
#[derive(Clone, Debug)]
struct Group {
    instances: Vec<Instance>,
    spill: Spill,
    answer_seconds: Option<f64>,
    /// Load of the own region, relative to its slots.
    own_load: f64,
    /// Seconds of work on an object that the instance knows.
    known_work: Option<f64>,
    warmup: Duration,
    cold_rate: f64,
}

/// Who this host is, and who shares the cold instances' rate with it.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub domains: HashMap<Arc<str>, Arc<str>>,
}

/// All instances.
#[derive(Clone, Debug)]
pub struct Fleet {
    place: Place,
    groups: HashMap<Arc<str>, Group>,
    /// Service of each instance.
    services: HashMap<Arc<str>, Arc<str>>,
    evacuated: BTreeSet<Arc<str>>,
    /// Hosts of this region, this one included.
    peers: Vec<Arc<str>>,
    /// Whether the first complete list is in; instances that come later are cold.
    is_listed: bool,
}

impl Group {
    fn known_work(&self) -> f64 {
        self.known_work.unwrap_or(FIRST_WORK * KNOWN_OBJECT_WORK)
    }

    fn new_work(&self) -> f64 {
        self.known_work() / KNOWN_OBJECT_WORK
    }

    /// Takes the time of an answer. Only answers of instances without a queue tell the work.
    fn answered(&mut self, seconds: f64, choice: &Choice, report: Option<Report>) {
        average(&mut self.answer_seconds, seconds);
        if choice.knows && report.is_some_and(|report| report.waiting == 0) {
            average(&mut self.known_work, seconds);
        }
    }
}

/// Median of the instances' work on a known object; those that have not answered count as usual. A
/// slow instance that gets many requests does not change it.
fn usual_seconds(group: &Group) -> f64 {
    let instances = group.instances.iter();
    let mut seconds: Vec<f64> = instances
        .map(|instance| instance.answer_seconds().unwrap_or_else(|| group.known_work()))
        .collect();
    let middle = seconds.len() / 2;
    if seconds.is_empty() {
        return group.known_work();
    }
    *seconds.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn average(mean: &mut Option<f64>, newest: f64) {
    let before = mean.unwrap_or(newest);
    *mean = Some(before + NEWEST_WEIGHT * (newest - before));
}

impl Fleet {
    /// No instances.
    pub fn new(place: Place) -> Self {
        let peers = vec![place.host.clone()];
        Self {
            place,
            groups: HashMap::new(),
            services: HashMap::new(),
            evacuated: BTreeSet::new(),
            peers,
            is_listed: false,
        }
    }

    /// Sets the hosts of this region, this one included.
    pub fn set_peers(&mut self, peers: Vec<Arc<str>>) {
        self.peers = peers;
    }

    /// Sets how a service's instances behave while they are cold.
    pub fn set_cold(&mut self, now: Duration, service: &Arc<str>, warmup: Duration, rate: f64) {
        let group = self.group(now, service);
        group.warmup = warmup;
        group.cold_rate = rate;
    }

    /// The first complete list of instances is in.
    pub fn finish_list(&mut self) {
        self.is_listed = true;
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Names of all instances.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.services.keys().cloned().collect()
    }

    /// Takes an entry of the platform's list; answers whether it changes where requests may go.
    pub fn list(&mut self, now: Duration, listed: Listed) -> bool {
        let known = self.services.get(&listed.id).cloned();
        if known.is_some_and(|service| service != listed.service) {
            self.remove(&listed.id);
        }
        let is_late = self.is_listed;
        let region = self.place.domains.get(&listed.domain).cloned();
        let is_evacuated = self.evacuated.contains(&listed.domain);
        self.services.insert(listed.id.clone(), listed.service.clone());
        let group = self.group(now, &listed.service.clone());
        let warmup = group.warmup;
        let position = group.instances.iter().position(|known| known.listed.id == listed.id);
        match position {
            Some(index) if group.instances[index].listed.incarnation == listed.incarnation => {
                let known = &mut group.instances[index];
                let moved = known.listed.address != listed.address;
                let changed = moved
                    || known.listed.is_draining != listed.is_draining
                    || known.missing_until.is_some();
                known.update(now, listed);
                changed
            }
            found => {
                let mut instance = Instance::new(now, listed, region);
                if is_late || is_evacuated {
                    instance.turn_cold(now, warmup);
                }
                match found {
                    Some(index) => group.instances[index] = instance,
                    None => group.instances.push(instance),
                }
                true
            }
        }
    }

    /// An entry was removed. It counts until `until` if it may come back.
    pub fn unlist(&mut self, id: &str, until: Option<Duration>) {
        match (until, self.instance(id)) {
            (Some(until), Some(instance)) => {
                instance.missing_until.get_or_insert(until);
            }
            _ => self.remove(id),
        }
    }

    /// Removes the instances whose entries have not come back in time; answers their names.
    pub fn settle(&mut self, now: Duration) -> Vec<Arc<str>> {
        let is_due = |instance: &&Instance| instance.missing_until.is_some_and(|due| due <= now);
        let instances = self.groups.values().flat_map(|group| &group.instances);
        let due: Vec<Arc<str>> =
            instances.filter(is_due).map(|instance| instance.listed.id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// Starts or ends the evacuation of a failure domain; answers whether that changes anything.
    pub fn evacuate(&mut self, now: Duration, domain: &Arc<str>, is_evacuated: bool) -> bool {
        if is_evacuated {
            return self.evacuated.insert(domain.clone());
        }
        let ended = self.evacuated.remove(domain);
        if ended {
            // Without requests the instances may have become cold.
            for group in self.groups.values_mut() {
                let warmup = group.warmup;
                let emptied = group.instances.iter_mut().filter(|i| i.listed.domain == *domain);
                emptied.for_each(|instance| instance.turn_cold(now, warmup));
            }
        }
        ended
    }

    /// Failure domains that are being evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated.iter()
    }

    /// Chooses an instance.
    pub fn choose(&mut self, now: Duration, wish: &Wish<'_>) -> Result<Choice, Shortage> {
        self.update_spill(now, wish.service);
        let Some(group) = self.groups.get(wish.service) else {
            return Err(Shortage::NoInstance);
        };
        let candidates: Vec<&Instance> =
            group.instances.iter().filter(|instance| self.may_run(instance, wish)).collect();
        if candidates.is_empty() {
            return Err(Shortage::NoInstance);
        }
        let is_local = |instance: &&&Instance| self.is_local(instance);
        let stays = wish.draw < group.spill.stays();
        let near: Vec<&Instance> =
            candidates.iter().filter(|i| is_local(i) == stays).copied().collect();
        let key = wish.object.map(|object| rendezvous::Key::new([object.to_string().as_str()]));
        let best = self.best(now, group, &near, wish, key);
        let best = best.or_else(|| {
            let far: Vec<&Instance> =
                candidates.iter().filter(|i| is_local(i) != stays).copied().collect();
            let has_room = near.is_empty() || near.iter().all(|i| !i.is_trusted(now)) || !stays;
            if has_room { self.best(now, group, &far, wish, key) } else { None }
        });
        best.ok_or_else(|| Shortage::Full { retry_after: self.retry_after(group) })
    }

    /// A request is sent to the chosen instance.
    pub fn start(&mut self, now: Duration, choice: &Choice, object: Option<u64>) {
        let Some(service) = self.services.get(&choice.id) else {
            return;
        };
        let rate = self.groups.get(service).map_or(1.0, |group| group.cold_rate);
        let part = self.cold_part(&choice.id, rate);
        if let Some(instance) = self.instance(&choice.id) {
            instance.start(now, object, part);
        }
    }

    /// A request to an instance has ended.
    pub fn end(
        &mut self,
        now: Duration,
        choice: &Choice,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let Some(service) = self.services.get(&choice.id).cloned() else {
            return;
        };
        if let (Outcome::Answered(time), Some(group)) = (outcome, self.groups.get_mut(&service)) {
            group.answered(time.as_secs_f64(), choice, report);
        }
        if let Some(instance) = self.instance(&choice.id)
            && instance.listed.incarnation == choice.incarnation
        {
            let known_part = if choice.knows { 1.0 } else { KNOWN_OBJECT_WORK };
            instance.end(now, outcome, report, known_part);
        }
    }

    /// The instance at the address is another one: its entry is out of date.
    pub fn misdirected(&mut self, id: &str) {
        self.remove(id);
    }

    /// The instance said that it is cold for `left`.
    pub fn turned_cold(&mut self, now: Duration, id: &str, left: Duration) {
        if let Some(instance) = self.instance(id) {
            instance.turn_cold(now, left);
        }
    }

    /// Usual time to an answer of `service`, if it has answered.
    pub fn usual_answer(&self, service: &str) -> Option<Duration> {
        let seconds = self.groups.get(service)?.answer_seconds?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Whether `service` has an instance that may be used.
    pub fn has_instances(&self, service: &str) -> bool {
        self.groups.get(service).is_some_and(|group| !group.instances.is_empty())
    }

    fn group(&mut self, now: Duration, service: &Arc<str>) -> &mut Group {
        self.groups.entry(service.clone()).or_insert_with(|| Group {
            instances: Vec::new(),
            spill: Spill::new(now),
            answer_seconds: None,
            own_load: 0.0,
            known_work: None,
            warmup: Duration::ZERO,
            cold_rate: f64::INFINITY,
        })
    }

    fn instance(&mut self, id: &str) -> Option<&mut Instance> {
        let group = self.groups.get_mut(self.services.get(id)?)?;
        group.instances.iter_mut().find(|instance| instance.listed.id.as_ref() == id)
    }

    fn remove(&mut self, id: &str) {
        if let Some(service) = self.services.remove(id)
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.instances.retain(|instance| instance.listed.id.as_ref() != id);
        }
    }

    fn is_local(&self, instance: &Instance) -> bool {
        instance.region.as_ref() == Some(&self.place.region)
    }

    /// Whether the rules allow the request at the instance, whatever its load.
    fn may_run(&self, instance: &Instance, wish: &Wish<'_>) -> bool {
        let allows = |homes: &[Arc<str>]| {
            homes.is_empty()
                || instance.region.as_ref().is_some_and(|region| homes.contains(region))
        };
        !instance.listed.is_draining
            && !self.evacuated.contains(&instance.listed.domain)
            && !wish.tried.contains(&instance.listed.id)
            && allows(wish.homes)
            && allows(wish.also)
    }

    fn best(
        &self,
        now: Duration,
        group: &Group,
        candidates: &[&Instance],
        wish: &Wish<'_>,
        key: Option<rendezvous::Key>,
    ) -> Option<Choice> {
        let first = key.and_then(|key| {
            let settled = candidates.iter().filter(|i| !i.is_cold(now) && i.is_trusted(now));
            settled.max_by_key(|i| key.weight(&i.listed.id)).map(|i| i.listed.id.clone())
        });
        let usual = usual_seconds(group);
        let mut best: Option<(f64, u64, &Instance, bool)> = None;
        for instance in candidates {
            let is_first = first.as_ref() == Some(&instance.listed.id);
            let knows = wish.object.is_none_or(|object| is_first || instance.knows(now, object));
            let time = self.expected_time(now, group, instance, knows, usual);
            if !self.is_open(now, group, instance, wish, time) {
                continue;
            }
            let cost = time + self.other_costs(now, group, instance);
            let tie = key.map_or(0, |key| key.weight(&instance.listed.id));
            let wins = best.is_none_or(|(least, weight, ..)| {
                cost < least - f64::EPSILON || (cost <= least && tie > weight)
            });
            if wins {
                best = Some((cost, tie, instance, knows));
            }
        }
        best.map(|(cost, _, instance, knows)| Choice {
            id: instance.listed.id.clone(),
            incarnation: instance.listed.incarnation,
            address: instance.listed.address,
            is_remote: !self.is_local(instance),
            knows,
            cost,
        })
    }

    /// Whether the instance can take one more request now that is expected to take `time`.
    fn is_open(
        &self,
        now: Duration,
        group: &Group,
        instance: &Instance,
        wish: &Wish<'_>,
        time: f64,
    ) -> bool {
        if !instance.is_trusted(now) {
            return false;
        }
        if instance.is_cold(now) {
            let part = self.cold_part(&instance.listed.id, group.cold_rate);
            let may_send = self.is_local(instance) && part > 0.0 && instance.pace_is_open(now);
            if !may_send {
                return false;
            }
        }
        let slots = f64::from(instance.listed.slots.max(1));
        let in_target = time <= wish.target.map_or(DEFAULT_TARGET, |target| target.as_secs_f64());
        let free_for =
            if in_target || group.own_load < BUSY_LOAD { slots } else { slots * SLOW_PART };
        let has_slot = instance.load.total(now) + 1.0 <= free_for.max(1.0);
        let rank = f64::from(wish.priority.min(RANKS));
        let part = FULL_PART - rank * PART_PER_RANK;
        let target = wish.target.map_or(DEFAULT_TARGET, |target| target.as_secs_f64());
        has_slot || time <= target * part
    }

    /// Seconds in which the instance is likely to answer.
    fn expected_time(
        &self,
        now: Duration,
        group: &Group,
        instance: &Instance,
        knows: bool,
        usual: f64,
    ) -> f64 {
        let slots = f64::from(instance.listed.slots.max(1));
        let load = instance.load.total(now);
        let work = if knows { group.known_work() } else { group.new_work() };
        let wait = (load + 1.0 - slots).max(0.0) / slots * group.known_work();
        (work + wait) * instance.slowness(usual)
    }

    /// What speaks against an instance beside the time, in seconds.
    fn other_costs(&self, now: Duration, group: &Group, instance: &Instance) -> f64 {
        let slots = f64::from(instance.listed.slots.max(1));
        let busy = BUSY_COST * group.known_work() * instance.load.total(now) / slots;
        let distance = if !self.is_local(instance) {
            OTHER_REGION_COST
        } else if instance.listed.domain != self.place.domain {
            OTHER_DOMAIN_COST
        } else {
            0.0
        };
        busy + distance + FAILURE_COST * group.new_work() * instance.failure_part()
    }

    fn cold_part(&self, id: &str, rate: f64) -> f64 {
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
            let is_usable = !instance.listed.is_draining
                && !self.evacuated.contains(&instance.listed.domain)
                && instance.is_trusted(now);
            if !is_usable {
                continue;
            }
            let sum =
                if instance.region.as_ref() == Some(&region) { &mut own } else { &mut others };
            sum.0 += instance.load.total(now);
            sum.1 += f64::from(instance.listed.slots);
        }
        let regions: BTreeSet<&Arc<str>> = self.place.domains.values().collect();
        let part = own.1 / (own.1 + others.1).max(1.0);
        group.spill.start(part * regions.len() as f64 * FIRST_STAY);
        let relative = |(load, slots): (f64, f64)| if slots > 0.0 { load / slots } else { 1.0 };
        group.own_load = relative(own);
        group.spill.update(now, group.own_load, relative(others));
    }

    /// A full instance has room again after about one answer.
    fn retry_after(&self, group: &Group) -> Duration {
        const SHORTEST: Duration = Duration::from_millis(200);
        const LONGEST: Duration = Duration::from_millis(1500);
        let usual = Duration::from_secs_f64(group.answer_seconds.unwrap_or(0.5));
        usual.clamp(SHORTEST, LONGEST)
    }
}
