//! All backend server instances, with the platform's registrations and this host's measurements.

mod admission;
mod candidate;
mod choice;
mod departures;
mod limits;
mod notices;
mod ranking;
mod reach;
mod side;
mod upstream;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

pub use choice::{Choice, Criteria, Rejection};
pub use reach::{ReachChange, Target};
use upstream::Upstream;

use super::{
    cost, departure,
    instance::{Endpoint, Instance, Outcome},
    limit,
    load::Report,
    notice, shift, upload,
};

/// Name and location of this host, and the layout of failure domains and regions.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Name of the host.
    pub host: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub domain_regions: HashMap<Arc<str>, Arc<str>>,
}

/// All known instances, from which [`Self::choose`] selects one for each request.
#[derive(Clone, Debug)]
pub struct Fleet {
    locality: Locality,
    /// Instances of each service.
    upstreams: HashMap<Arc<str>, Upstream>,
    /// Service of each instance, by the instance's id.
    service_by_id: HashMap<Arc<str>, Arc<str>>,
    evacuated_domains: BTreeSet<Arc<str>>,
    /// Limits that instances have stated.
    limits: limit::Book,
    /// Hosts that share these limits.
    limit_group: limit::Group,
    /// What instances have asked for in their answers.
    notices: notice::Book,
    /// What other hosts have heard of instances that leave.
    departures: departure::Book,
    /// Request bodies that this host has at the instances.
    uploads: upload::Book,
    /// Limits how fast this host's requests shift to other regions.
    shift_limiter: shift::Limiter,
    /// Names of the hosts of this region, including this one.
    region_hosts: Vec<Arc<str>>,
    /// Names of the routes with large answers.
    large_answer_routes: HashSet<Arc<str>>,
    /// Whether classes of different priority compete for the slots of a service.
    has_class_competition: bool,
    /// Whether the initial list of instances is complete. Instances that register later are treated
    /// as cold.
    is_synced: bool,
    /// Number of choices so far.
    choices: u64,
    /// Whether choices depend on the remaining work of requests.
    uses_remaining_work: bool,
}

impl Fleet {
    /// A fleet without instances.
    pub fn new(locality: Locality) -> Self {
        let region_hosts = vec![locality.host.clone()];
        let group =
            limit::Group { host: locality.host.clone(), members: Vec::new(), is_cut_off: false };
        Self {
            locality,
            upstreams: HashMap::new(),
            service_by_id: HashMap::new(),
            evacuated_domains: BTreeSet::new(),
            limits: limit::Book::default(),
            limit_group: group,
            notices: notice::Book::default(),
            departures: departure::Book::default(),
            uploads: upload::Book::default(),
            shift_limiter: shift::Limiter::default(),
            region_hosts,
            large_answer_routes: HashSet::new(),
            has_class_competition: false,
            is_synced: false,
            choices: 0,
            uses_remaining_work: false,
        }
    }

    /// Name and location of this host.
    pub fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Sets the names of the hosts of this region, including this one.
    pub fn set_region_hosts(&mut self, hosts: Vec<Arc<str>>) {
        self.region_hosts = hosts;
    }

    /// Names of the hosts of this region, including this one.
    pub fn region_hosts(&self) -> &[Arc<str>] {
        &self.region_hosts
    }

    /// Sets whether classes of different priority compete for the slots of a service. Without it, the
    /// priority of a request only moves the limit of its own wait.
    pub fn set_class_competition(&mut self, is_on: bool) {
        self.has_class_competition = is_on;
    }

    /// Sets the names of the routes with large answers, which come from instances nearby if possible.
    pub fn set_large_answer_routes(&mut self, routes: impl Iterator<Item = Arc<str>>) {
        self.large_answer_routes = routes.collect();
    }

    /// Sets how long a service's instances are cold after their start, and how many requests per
    /// second a cold instance tolerates from all hosts together.
    pub fn set_warmup(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        warmup: Duration,
        cold_rate: f64,
    ) {
        let upstream = self.upstream(now, service);
        upstream.warmup = warmup;
        upstream.cold_rate = cold_rate;
    }

    /// Sets whether choices depend on the remaining work of this host's requests at an instance. It
    /// is off by default, see docs/design/request-cost.md.
    pub fn set_uses_remaining_work(&mut self, uses_remaining_work: bool) {
        self.uses_remaining_work = uses_remaining_work;
    }

    /// Marks the initial list of instances as complete. Instances that register later are treated
    /// as cold.
    pub fn finish_initial_sync(&mut self) {
        self.is_synced = true;
    }

    /// Time that requests of the route usually take, with the wait for a slot; `None` before the first
    /// answer.
    pub fn usual_time(&self, service: &str, route: &str) -> Option<Duration> {
        let upstream = self.upstreams.get(service)?;
        let response_seconds = upstream.response_seconds?;
        let seconds = upstream.work.times(route).uncached.max(response_seconds);
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.service_by_id.len()
    }

    /// Whether there are no instances.
    pub fn is_empty(&self) -> bool {
        self.service_by_id.is_empty()
    }

    /// Ids of all instances.
    pub fn instance_ids(&self) -> Vec<Arc<str>> {
        self.service_by_id.keys().cloned().collect()
    }

    /// Adds or updates the registration of an instance. Returns whether that changes where requests
    /// may go.
    pub fn register(&mut self, now: Duration, endpoint: Endpoint) -> bool {
        let previous_service = self.service_by_id.get(&endpoint.id).cloned();
        if previous_service.is_some_and(|service| service != endpoint.service) {
            self.remove(&endpoint.id);
        }
        let is_synced = self.is_synced;
        let region = self.locality.domain_regions.get(&endpoint.domain).cloned();
        let is_local = region.as_ref() == Some(&self.locality.region);
        let is_evacuated = self.evacuated_domains.contains(&endpoint.domain);
        let id = endpoint.id.clone();
        self.service_by_id.insert(id.clone(), endpoint.service.clone());
        self.limits.restart(&id, endpoint.incarnation);
        self.departures.stand(now, &id, endpoint.incarnation);
        // Whatever becomes of its entry, this start has said that it leaves.
        if endpoint.is_draining {
            let Endpoint { incarnation, address, .. } = endpoint;
            let origin = notice::Origin { id: &id, incarnation, address, sent_at_ms: 0 };
            self.notices.record_leaving(now, origin);
        }
        let notice = self.notices.get(&endpoint);
        let upstream = self.upstream(now, &endpoint.service.clone());
        let warmup = upstream.warmup;
        let position =
            upstream.instances.iter().position(|instance| instance.endpoint.id == endpoint.id);
        let is_changed = match position {
            Some(index)
                if upstream.instances[index].endpoint.incarnation == endpoint.incarnation =>
            {
                let instance = &mut upstream.instances[index];
                let has_moved = instance.endpoint.address != endpoint.address;
                let is_changed = has_moved
                    || instance.endpoint.is_draining != endpoint.is_draining
                    || instance.region != region
                    || instance.expires_at.is_some();
                instance.update(now, endpoint);
                instance.place(region, is_local);
                is_changed
            }
            position => {
                let mut instance = Instance::new(now, endpoint, region);
                instance.is_local = is_local;
                if let Some(notice) = notice {
                    instance.apply_notice(notice);
                }
                if is_synced || is_evacuated {
                    instance.mark_cold(now, warmup);
                }
                match position {
                    Some(index) => upstream.instances[index] = instance,
                    None => upstream.instances.push(instance),
                }
                true
            }
        };
        if is_changed {
            self.refresh_limit(now, &id);
        }
        is_changed
    }

    /// Handles the loss of an instance's registration that does not say that the instance left, see
    /// [`Self::depart`]. The instance is kept until `expires_at`, in case it registers again, or removed at
    /// once if that is `None`.
    pub fn deregister(&mut self, id: &str, expires_at: Option<Duration>) {
        self.departures.miss(id);
        match (expires_at, self.instance(id)) {
            (Some(expires_at), Some(instance)) => {
                instance.expires_at.get_or_insert(expires_at);
            }
            _ => self.remove(id),
        }
    }

    /// Removes the instances that have not registered again in time. Returns their ids.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Arc<str>> {
        self.notices.remove_expired(now);
        self.departures.remove_expired(now);
        let instances = self.upstreams.values().flat_map(|upstream| &upstream.instances);
        let expired = instances.filter(|instance| instance.is_expired(now));
        let expired: Vec<Arc<str>> = expired.map(|instance| instance.endpoint.id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Starts or ends the evacuation of a failure domain. Returns whether that is a change.
    pub fn set_evacuated(&mut self, now: Duration, domain: &Arc<str>, is_evacuated: bool) -> bool {
        if is_evacuated {
            return self.evacuated_domains.insert(domain.clone());
        }
        let has_ended = self.evacuated_domains.remove(domain);
        if has_ended {
            // The instances got no requests during the evacuation and may have become cold.
            for upstream in self.upstreams.values_mut() {
                let warmup = upstream.warmup;
                let idle = upstream.instances.iter_mut().filter(|i| i.endpoint.domain == *domain);
                idle.for_each(|instance| instance.mark_cold(now, warmup));
            }
        }
        has_ended
    }

    /// Failure domains under evacuation.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated_domains.iter()
    }

    /// Records that a request is being sent to the chosen instance.
    pub fn start_request(&mut self, now: Duration, choice: &Choice) {
        self.uploads.start(&choice.id, choice.incarnation, choice.body_bytes);
        let Some(service) = self.service_by_id.get(&choice.id) else {
            return;
        };
        self.shift_limiter.record_sent(choice.is_remote);
        self.limits.record_request(now, &choice.id);
        let cold_rate = self.upstreams.get(service).map_or(1.0, |upstream| upstream.cold_rate);
        let is_cold = self.instance(&choice.id).is_some_and(|instance| instance.is_cold(now));
        let host_rate = if is_cold { self.cold_host_rate(&choice.id, cold_rate) } else { 0.0 };
        if let Some(instance) = self.instance(&choice.id) {
            instance.start_request(now, host_rate);
            if instance.endpoint.incarnation == choice.incarnation {
                instance.running.push(cost::Running {
                    number: choice.number,
                    started_at: now + Duration::from_secs_f64(choice.prediction.wait),
                    route: choice.route.clone(),
                    is_cached: choice.is_cached,
                });
            }
        }
    }

    /// Records the end of a request to an instance, with the load report of its response. Returns
    /// whether the remaining work of requests may be used from now on, if that is a change.
    pub fn end_request(
        &mut self,
        now: Duration,
        choice: &Choice,
        outcome: Outcome,
        report: Option<Report>,
    ) -> Option<bool> {
        self.uploads.end(&choice.id, choice.incarnation, choice.body_bytes);
        let service = self.service_by_id.get(&choice.id)?;
        let upstream = self.upstreams.get_mut(service)?;
        if let Some(report) = report {
            upstream.record_report(now, choice, report);
        }
        let times = upstream.work.times(&choice.route);
        if let Outcome::Answered(time) = outcome {
            upstream.record_answer(time.as_secs_f64(), choice, report);
        }
        let mut change = None;
        if let Outcome::Answered(time) = outcome {
            change = upstream.accuracy.record(choice.prediction, time.as_secs_f64());
            change = change.filter(|_| self.uses_remaining_work);
        }
        upstream.end_request(now, choice, outcome, report, times);
        upstream.update_usual();
        change
    }

    /// Removes an instance whose registration is out of date, because another instance answers at
    /// its address.
    pub fn remove_stale(&mut self, id: &str) {
        self.remove(id);
    }

    fn upstream(&mut self, now: Duration, service: &Arc<str>) -> &mut Upstream {
        self.upstreams.entry(service.clone()).or_insert_with(|| Upstream::new(now))
    }

    fn instance(&mut self, id: &str) -> Option<&mut Instance> {
        let upstream = self.upstreams.get_mut(self.service_by_id.get(id)?)?;
        upstream.instances.iter_mut().find(|instance| instance.endpoint.id.as_ref() == id)
    }

    fn remove(&mut self, id: &str) {
        if let Some(service) = self.service_by_id.remove(id)
            && let Some(upstream) = self.upstreams.get_mut(&service)
        {
            upstream.instances.retain(|instance| instance.endpoint.id.as_ref() != id);
        }
    }
}
