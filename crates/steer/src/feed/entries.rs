//! Applies items of the store, and their removal, to the state of the host.

use std::{rc::Rc, sync::Arc};

use marjorampick_core::steering::{instance::Endpoint, plan::Plan, quarantine::Fingerprint};

use super::Feed;
use crate::{
    clock,
    codec::{Record, Subject},
    events::{Event, Rank},
    limits, metrics, quarantine,
    registration::{HOSTS_PREFIX, SEATS_PREFIX, SeatRecord},
    state::{Host, Registration},
    store::Item,
    tasks,
};

/// Most omitted entries of one configuration that are logged.
const MAX_LOGGED_OMISSIONS: usize = 20;

/// Kind of a store entry, with the name that its key contains.
pub(super) enum Kind {
    Host(Arc<str>),
    Seat(Arc<str>),
    Limit(Arc<str>),
    Sentence(Fingerprint),
    Platform(Subject),
}

/// Parses the fingerprint in a key.
fn parse(text: &str) -> Option<Fingerprint> {
    text.parse().ok()
}

/// Entry of the store with its key.
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) kind: Kind,
}

impl Feed {
    /// Applies an item as it was written. One that causes a panic is ignored like one that is invalid.
    pub(super) fn apply(&self, item: &Item) {
        if let Err(reason) = tasks::contain(|| self.apply_item(item)) {
            self.ignore(item, &reason);
        }
    }

    /// Applies a configuration, and returns its version; `None` if it is invalid.
    pub(super) fn apply_configuration(&self, item: &Item) -> Option<u64> {
        let applied = tasks::contain(|| match (self.state.codec.decode_item)(item) {
            Ok(Record::Plan(plan)) => {
                let version = plan.version;
                self.apply_plan(*plan, item.revision);
                Ok(Some(version))
            }
            Ok(_) => Ok(None),
            Err(reason) => Err(reason.to_string()),
        });
        applied.and_then(|result| result).unwrap_or_else(|reason| {
            self.ignore(item, &reason);
            None
        })
    }

    fn apply_item(&self, item: &Item) {
        match self.entry_kind(&item.key) {
            Kind::Host(name) => self.apply_host(name, item),
            Kind::Seat(name) => self.apply_seat(&name, item),
            Kind::Limit(id) => self.apply_limit(&id, item),
            Kind::Sentence(request) => self.apply_sentence(request, item),
            Kind::Platform(_) => self.apply_platform_item(item),
        }
    }

    fn apply_platform_item(&self, item: &Item) {
        match (self.state.codec.decode_item)(item) {
            Ok(Record::Plan(plan)) => self.apply_plan(*plan, item.revision),
            Ok(Record::Evacuation(domain)) => self.set_evacuated(&domain, true, item.revision),
            Ok(Record::Instance(endpoint)) => self.apply_instance(&endpoint, item.revision),
            Ok(Record::Other) => {}
            Err(reason) => self.ignore(item, &reason.to_string()),
        }
    }

    /// Adds a seat. One of an earlier version of the program says nothing about its host.
    fn apply_seat(&self, name: &Arc<str>, item: &Item) {
        let mut seats = self.state.seats.borrow_mut();
        seats.add(clock::now(), name);
        if let Ok(record) = serde_json::from_slice::<SeatRecord>(&item.value) {
            seats.set_region(name, record.region);
        }
    }

    /// Removes a seat. Without its own one, this host has no share of the limits until it has a new one.
    fn remove_seat(&self, name: &str) {
        self.state.seats.borrow_mut().remove(name);
        if *name == *self.state.settings.host.name {
            self.state.seat_valid_from.set(None);
            self.state.lost_entries.record_seat();
        }
    }

    fn apply_limit(&self, id: &Arc<str>, item: &Item) {
        match serde_json::from_slice::<limits::Record>(&item.value) {
            Ok(record) => limits::apply_record(&self.state, id, record, item.revision),
            Err(error) => self.ignore(item, &error.to_string()),
        }
    }

    fn apply_sentence(&self, request: Fingerprint, item: &Item) {
        match serde_json::from_slice::<quarantine::Record>(&item.value) {
            Ok(record) => {
                quarantine::apply_record(&self.state, request, &record, item.revision);
            }
            Err(error) => self.ignore(item, &error.to_string()),
        }
    }

    fn apply_host(&self, name: Arc<str>, item: &Item) {
        let is_own = name == self.state.settings.host.name;
        if is_own && self.state.is_draining() {
            return;
        }
        match serde_json::from_slice::<Registration>(&item.value) {
            Ok(registration) => {
                self.state.seats.borrow_mut().mark_registered(&name);
                self.state.hosts.borrow_mut().insert(name, Host { registration, expires_at: None });
            }
            Err(error) => self.ignore(item, &error.to_string()),
        }
    }

    fn apply_plan(&self, plan: Plan, revision: u64) {
        let now = clock::now();
        let current_version = self.state.plan.borrow().as_ref().map(|plan| plan.version);
        if current_version.is_some_and(|current| current >= plan.version) {
            return;
        }
        let mut fleet = self.state.fleet.borrow_mut();
        for (name, service) in &plan.services {
            fleet.set_warmup(now, name, service.warmup, service.cold_rate);
        }
        let event = Event::Plan {
            version: plan.version,
            routes: plan.route_count(),
            workspaces: plan.workspaces.len(),
            omitted: plan.omissions.len(),
            revision,
        };
        self.state.log.write(Rank::Notice, event);
        self.report_omissions(&plan);
        fleet.set_large_answer_routes(plan.large_answer_routes().map(|route| route.name.clone()));
        let names = plan.large_answer_routes().map(|route| route.host.clone()).collect();
        self.state.snapshot.large_answer_names.store(Arc::new(names));
        self.state.lag.borrow_mut().reach(now, plan.version);
        *self.state.plan.borrow_mut() = Some(Rc::new(plan));
    }

    /// Logs the entries of the configuration that are not used, and sets their number in the metrics.
    fn report_omissions(&self, plan: &Plan) {
        metrics::set_omitted_entries(plan.omissions.len());
        for omission in plan.omissions.iter().take(MAX_LOGGED_OMISSIONS) {
            let event = Event::Omitted {
                version: plan.version,
                kind: omission.kind.name(),
                name: &omission.name,
                reason: &omission.reason,
            };
            self.state.log.write(Rank::Notice, event);
        }
    }

    fn set_evacuated(&self, domain: &Arc<str>, active: bool, revision: u64) {
        if self.state.fleet.borrow_mut().set_evacuated(clock::now(), domain, active) {
            let event = Event::Evacuation { domain, active, revision };
            self.state.log.write(Rank::Notice, event);
        }
    }

    fn apply_instance(&self, endpoint: &Endpoint, revision: u64) {
        let is_changed = self.state.fleet.borrow_mut().register(clock::now(), endpoint.clone());
        if is_changed && endpoint.is_draining {
            self.departures.add(&self.state, &endpoint.id, self.era, revision);
        }
        if is_changed {
            let event = Event::Instance {
                id: &endpoint.id,
                service: &endpoint.service,
                domain: &endpoint.domain,
                draining: endpoint.is_draining,
                cold_ms: endpoint.warmup_left.as_millis(),
                revision,
            };
            self.state.log.write(Rank::Notice, event);
        }
        if is_changed && self.state.fleet.borrow().has_departed(clock::now(), &endpoint.id) {
            let event = Event::InstanceReturned { id: &endpoint.id, revision };
            self.state.log.write(Rank::Notice, event);
        }
    }

    /// Logs an invalid item. An instance with an invalid item is removed, even if an earlier
    /// version of the item was valid.
    fn ignore(&self, item: &Item, reason: &str) {
        let event = Event::Ignored { key: &item.key, reason, revision: item.revision };
        self.state.log.write(Rank::Notice, event);
        if let Subject::Instance(id) = (self.state.codec.parse_key)(&item.key) {
            // The next heartbeat may write it again, so that this is no departure.
            self.remove_instance(&id, item.revision, false);
        }
    }

    /// Applies the removal of a key.
    pub(super) fn remove_key(&self, key: &str, revision: u64) {
        let kind = self.entry_kind(key);
        // A late write of an earlier process may have bound the registration to its own lease.
        if matches!(&kind, Kind::Host(name) if *name == self.state.settings.host.name) {
            self.state.lost_entries.record_registration();
        }
        self.remove_entry(&kind, revision);
    }

    fn entry_kind(&self, key: &str) -> Kind {
        if let Some(name) = key.strip_prefix(HOSTS_PREFIX) {
            Kind::Host(Arc::from(name))
        } else if let Some(name) = key.strip_prefix(SEATS_PREFIX) {
            Kind::Seat(Arc::from(name))
        } else if let Some(id) = key.strip_prefix(limits::PREFIX) {
            Kind::Limit(Arc::from(id))
        } else if let Some(request) = key.strip_prefix(quarantine::PREFIX).and_then(parse) {
            Kind::Sentence(request)
        } else {
            Kind::Platform((self.state.codec.parse_key)(key))
        }
    }

    /// Applies the removal of an entry.
    pub(super) fn remove_entry(&self, kind: &Kind, revision: u64) {
        let now = clock::now();
        let expires_at = self.recovery.reregistration_deadline(now);
        match kind {
            Kind::Host(name) => {
                self.state.seats.borrow_mut().mark_unregistered(now, name);
                let mut hosts = self.state.hosts.borrow_mut();
                match (expires_at, hosts.get_mut(name)) {
                    (Some(expires_at), Some(host)) => host.expires_at = Some(expires_at),
                    _ => drop(hosts.remove(name)),
                }
            }
            Kind::Seat(name) => self.remove_seat(name),
            Kind::Limit(id) => limits::remove_record(&self.state, id, revision),
            Kind::Sentence(request) => quarantine::remove_record(&self.state, *request),
            Kind::Platform(Subject::Instance(id)) => {
                self.remove_instance(id, revision, true);
            }
            Kind::Platform(Subject::Evacuation(domain)) => {
                self.set_evacuated(domain, false, revision);
            }
            // The last configuration stays in force if it is removed from the store.
            Kind::Platform(Subject::Plan | Subject::Other) => {}
        }
    }

    /// Removes an instance whose entry is gone or, if not `is_gone`, cannot be read.
    fn remove_instance(&self, id: &str, revision: u64, is_gone: bool) {
        let now = clock::now();
        let expires_at = self.recovery.reregistration_deadline(now);
        let is_known = self.state.fleet.borrow().contains(id);
        if expires_at.is_none() && !self.state.fleet.borrow().is_draining(id) {
            self.departures.add(&self.state, id, self.era, revision);
        }
        let mut fleet = self.state.fleet.borrow_mut();
        match expires_at {
            None if is_gone => fleet.depart(now, id),
            _ => fleet.deregister(id, expires_at),
        }
        let reason = if expires_at.is_some() { "missing after an outage" } else { "removed" };
        if is_known {
            self.state.log.write(Rank::Notice, Event::InstanceGone { id, reason });
        }
    }

    /// Returns the instances, evacuations, hosts, limits and condemned requests that this host knows from
    /// earlier reads and changes, but not the seats.
    pub(super) fn known_entries(&self) -> Vec<Entry> {
        let fleet = self.state.fleet.borrow();
        let instances = fleet.instance_ids().into_iter().map(Subject::Instance);
        let evacuated = fleet.evacuated_domains().cloned().map(Subject::Evacuation);
        let platform_entries = instances.chain(evacuated).map(Kind::Platform);
        let hosts = self.state.hosts.borrow();
        let host_entries = hosts.keys().cloned().map(Kind::Host);
        let limit_entries = fleet.recorded_limits().into_iter().map(Kind::Limit);
        let book = self.state.quarantine.borrow();
        let sentences = book.recorded().map(Kind::Sentence);
        let own_entries = host_entries.chain(limit_entries).chain(sentences);
        let kinds: Vec<Kind> = platform_entries.chain(own_entries).collect();
        kinds.into_iter().map(|kind| Entry { key: self.entry_key(&kind), kind }).collect()
    }

    fn entry_key(&self, kind: &Kind) -> String {
        match kind {
            Kind::Host(name) => format!("{HOSTS_PREFIX}{name}"),
            Kind::Seat(name) => format!("{SEATS_PREFIX}{name}"),
            Kind::Limit(id) => format!("{}{id}", limits::PREFIX),
            Kind::Sentence(request) => format!("{}{request}", quarantine::PREFIX),
            Kind::Platform(subject) => (self.state.codec.subject_key)(subject),
        }
    }
}
