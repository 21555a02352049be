//! All backend server instances, as the platform lists them and as this host sees them.

mod admission;
mod choice;
mod upstream;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

pub use choice::{Choice, Criteria, Rejection};
use upstream::{KNOWN_OBJECT_WORK, Upstream};

use super::{
    instance::{Endpoint, Instance, Outcome},
    load::Report,
    shift,
};

/// How long entries that vanished while the store was away may take to come back.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2300);

/// Who this host is, and who shares the cold instances' rate with it.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub domain_regions: HashMap<Arc<str>, Arc<str>>,
}

/// All instances.
#[derive(Clone, Debug)]
pub struct Fleet {
    place: Locality,
    groups: HashMap<Arc<str>, Upstream>,
    /// Service of each instance.
    services: HashMap<Arc<str>, Arc<str>>,
    evacuated: BTreeSet<Arc<str>>,
    /// Where the requests of this host run.
    mix: shift::Limiter,
    /// Hosts of this region, this one included.
    peers: Vec<Arc<str>>,
    /// Whether the first complete list is in; instances that come later are cold.
    is_listed: bool,
}

impl Fleet {
    /// No instances.
    pub fn new(place: Locality) -> Self {
        let peers = vec![place.host.clone()];
        Self {
            place,
            groups: HashMap::new(),
            services: HashMap::new(),
            evacuated: BTreeSet::new(),
            mix: shift::Limiter::default(),
            peers,
            is_listed: false,
        }
    }

    /// Sets the hosts of this region, this one included.
    pub fn set_region_hosts(&mut self, peers: Vec<Arc<str>>) {
        self.peers = peers;
    }

    /// Sets how a service's instances behave while they are cold.
    pub fn set_warmup(&mut self, now: Duration, service: &Arc<str>, warmup: Duration, rate: f64) {
        let group = self.group(now, service);
        group.warmup = warmup;
        group.cold_rate = rate;
    }

    /// The first complete list of instances is in.
    pub fn finish_initial_sync(&mut self) {
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
    pub fn instance_ids(&self) -> Vec<Arc<str>> {
        self.services.keys().cloned().collect()
    }

    /// Takes an entry of the platform's list; answers whether it changes where requests may go.
    pub fn register(&mut self, now: Duration, listed: Endpoint) -> bool {
        let known = self.services.get(&listed.id).cloned();
        if known.is_some_and(|service| service != listed.service) {
            self.remove(&listed.id);
        }
        let is_late = self.is_listed;
        let region = self.place.domain_regions.get(&listed.domain).cloned();
        let is_evacuated = self.evacuated.contains(&listed.domain);
        self.services.insert(listed.id.clone(), listed.service.clone());
        let group = self.group(now, &listed.service.clone());
        let warmup = group.warmup;
        let position = group.instances.iter().position(|known| known.endpoint.id == listed.id);
        match position {
            Some(index) if group.instances[index].endpoint.incarnation == listed.incarnation => {
                let known = &mut group.instances[index];
                let moved = known.endpoint.address != listed.address;
                let changed = moved
                    || known.endpoint.is_draining != listed.is_draining
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
    pub fn deregister(&mut self, id: &str, until: Option<Duration>) {
        match (until, self.instance(id)) {
            (Some(until), Some(instance)) => {
                instance.missing_until.get_or_insert(until);
            }
            _ => self.remove(id),
        }
    }

    /// Removes the instances whose entries have not come back in time; answers their names.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Arc<str>> {
        let is_due = |instance: &&Instance| instance.missing_until.is_some_and(|due| due <= now);
        let instances = self.groups.values().flat_map(|group| &group.instances);
        let due: Vec<Arc<str>> =
            instances.filter(is_due).map(|instance| instance.endpoint.id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// Starts or ends the evacuation of a failure domain; answers whether that changes anything.
    pub fn set_evacuated(&mut self, now: Duration, domain: &Arc<str>, is_evacuated: bool) -> bool {
        if is_evacuated {
            return self.evacuated.insert(domain.clone());
        }
        let ended = self.evacuated.remove(domain);
        if ended {
            // Without requests the instances may have become cold.
            for group in self.groups.values_mut() {
                let warmup = group.warmup;
                let emptied = group.instances.iter_mut().filter(|i| i.endpoint.domain == *domain);
                emptied.for_each(|instance| instance.turn_cold(now, warmup));
            }
        }
        ended
    }

    /// Failure domains that are being evacuated.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated.iter()
    }

    /// A request is sent to the chosen instance.
    pub fn start_request(&mut self, now: Duration, choice: &Choice, object: Option<u64>) {
        let Some(service) = self.services.get(&choice.id) else {
            return;
        };
        self.mix.record_sent(choice.is_remote);
        let rate = self.groups.get(service).map_or(1.0, |group| group.cold_rate);
        let part = self.cold_part(&choice.id, rate);
        if let Some(instance) = self.instance(&choice.id) {
            instance.start_request(now, object, part);
        }
    }

    /// A request to an instance has ended.
    pub fn end_request(
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
            && instance.endpoint.incarnation == choice.incarnation
        {
            let known_part = if choice.is_cached { 1.0 } else { KNOWN_OBJECT_WORK };
            instance.end_request(now, outcome, report, known_part);
        }
    }

    /// The instance at the address is another one: its entry is out of date.
    pub fn remove_stale(&mut self, id: &str) {
        self.remove(id);
    }

    fn group(&mut self, now: Duration, service: &Arc<str>) -> &mut Upstream {
        self.groups.entry(service.clone()).or_insert_with(|| Upstream::new(now))
    }

    fn instance(&mut self, id: &str) -> Option<&mut Instance> {
        let group = self.groups.get_mut(self.services.get(id)?)?;
        group.instances.iter_mut().find(|instance| instance.endpoint.id.as_ref() == id)
    }

    fn remove(&mut self, id: &str) {
        if let Some(service) = self.services.remove(id)
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.instances.retain(|instance| instance.endpoint.id.as_ref() != id);
        }
    }

    fn is_local(&self, instance: &Instance) -> bool {
        instance.region.as_ref() == Some(&self.place.region)
    }
}
