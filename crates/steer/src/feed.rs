//! Watches the store for changes of the configuration, evacuations, instances and entry hosts.
//!
//! Starts with a full read, and then applies each change after its revision. A failed watch call is
//! repeated from the same revision. If the store has compacted that history, everything is read
//! again. See docs/platform.md.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use futures_util::future::try_join_all;
use marjorampick_core::steering::{fleet::REREGISTRATION_GRACE, instance::Endpoint, plan::Plan};
use tokio::time::sleep;

use crate::{
    clock,
    codec::{Record, Subject},
    constants::{
        MAX_STORE_RETRY_DELAY, MIN_STORE_RETRY_DELAY, OUTAGE_THRESHOLD, WATCH_INTERVAL_RATIO,
        WATCH_WAIT,
    },
    events::{Event, Rank},
    limits, metrics,
    registration::{HOSTS_PREFIX, KEY_PREFIX, SEATS_PREFIX, SeatRecord},
    state::{Host, Registration, State},
    store::{Call, Change, Client, Fault, Item, Reply},
};

/// Prefix of all keys. A single watch covers the whole store, because each open watch call costs
/// money.
const ALL_KEYS_PREFIX: &str = "";

/// Watches the store until the process ends.
pub async fn run(state: Rc<State>, client: Client) {
    let mut feed = Feed {
        state,
        client,
        revision: 0,
        is_synced: false,
        is_reachable: false,
        last_response_at: clock::now(),
        recovered_at: None,
    };
    let watch_interval = feed.state.settings.store.propagation.mul_f64(WATCH_INTERVAL_RATIO);
    let mut retry_delay = MIN_STORE_RETRY_DELAY;
    loop {
        let result = if feed.is_synced { feed.watch().await } else { feed.read_all().await };
        match result {
            Ok(()) => {
                retry_delay = MIN_STORE_RETRY_DELAY;
                sleep(watch_interval).await;
            }
            Err(fault) => {
                feed.record_failure(&fault);
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_STORE_RETRY_DELAY);
            }
        }
    }
}

/// Watch on the store, with the position up to which changes have been applied.
struct Feed {
    state: Rc<State>,
    client: Client,
    /// Revision up to which changes have been applied.
    revision: u64,
    /// Whether all items were read, so that only later changes are needed.
    is_synced: bool,
    is_reachable: bool,
    /// When the store last responded; at first, when the watch started.
    last_response_at: Duration,
    /// When the store last recovered from an outage that was long enough for leases to expire.
    recovered_at: Option<Duration>,
}

impl Feed {
    /// Waits for changes and applies them.
    async fn watch(&mut self) -> Result<(), Fault> {
        let prefix = ALL_KEYS_PREFIX.to_owned();
        let call = Call::Watch { prefix, after: self.revision, wait: WATCH_WAIT };
        let reply = self.client.call(&call).await;
        metrics::record_store_call("watch", reply.is_ok());
        let Reply::Changes { changes, revision } = reply? else {
            return Err(Fault::Malformed("the response has no changes".to_owned()));
        };
        self.record_response();
        for change in changes {
            match change {
                Change::Written(item) => self.apply(&item),
                Change::Removed { key, revision } => self.remove_key(&key, revision),
            }
        }
        self.revision = self.revision.max(revision);
        self.publish();
        Ok(())
    }

    /// Reads all items, and removes the entries of [`Self::known_entries`] that are no longer in
    /// the store.
    async fn read_all(&mut self) -> Result<(), Fault> {
        let mut items = Vec::new();
        let mut min_revision = u64::MAX;
        let prefixes: Vec<&str> =
            self.state.codec.key_prefixes.iter().copied().chain([KEY_PREFIX]).collect();
        let reads = prefixes.into_iter().map(|prefix| self.read_prefix(prefix));
        for (page, revision) in try_join_all(reads).await? {
            items.extend(page);
            min_revision = min_revision.min(revision);
        }
        self.record_response();
        let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let entries = self.known_entries().into_iter();
        for entry in entries.filter(|entry| !keys.contains(entry.key.as_str())) {
            self.remove_entry(&entry.kind, min_revision);
        }
        for item in &items {
            self.apply(item);
        }
        self.state.fleet.borrow_mut().finish_initial_sync();
        self.revision = min_revision;
        self.is_synced = true;
        self.publish();
        Ok(())
    }

    /// Reads all pages of the items under a prefix. Returns the lowest revision of the pages, as
    /// items may change between two pages.
    async fn read_prefix(&self, prefix: &str) -> Result<(Vec<Item>, u64), Fault> {
        let mut all_items = Vec::new();
        let mut after = None;
        let mut min_revision = u64::MAX;
        loop {
            let call = Call::Range { prefix: prefix.to_owned(), after };
            let reply = self.client.call(&call).await;
            metrics::record_store_call("range", reply.is_ok());
            let Reply::Items { items, has_more, revision } = reply? else {
                return Err(Fault::Malformed("the response has no items".to_owned()));
            };
            min_revision = min_revision.min(revision);
            after = items.last().map(|item| item.key.clone());
            all_items.extend(items);
            if !has_more || after.is_none() {
                return Ok((all_items, min_revision));
            }
        }
    }

    fn record_response(&mut self) {
        let now = clock::now();
        if !self.is_reachable {
            let outage_time = now.saturating_sub(self.last_response_at);
            if self.is_synced && outage_time >= OUTAGE_THRESHOLD {
                self.recovered_at = Some(now);
            }
            let event =
                Event::StoreRegained { away_ms: outage_time.as_millis(), revision: self.revision };
            self.state.log.write(Rank::Notice, event);
        }
        self.is_reachable = true;
        self.last_response_at = now;
        self.state.store_last_response_at.set(now);
    }

    fn record_failure(&mut self, fault: &Fault) {
        if *fault == Fault::Compacted {
            self.is_synced = false;
            // Changes were missed for an unknown time, in which entries may have expired and
            // reappeared, so everything has to be read again.
            self.state.log.write(
                Rank::Notice,
                Event::StoreFault {
                    call: "watch",
                    reason: "history compacted; reading all items again",
                },
            );
            return;
        }
        let reason = fault.to_string();
        let event = if self.is_reachable {
            Event::StoreLost { reason: &reason, revision: self.revision }
        } else {
            Event::StoreFault { call: "watch", reason: &reason }
        };
        let rank = if self.is_reachable { Rank::Notice } else { Rank::Failure };
        self.state.log.write(rank, event);
        self.is_reachable = false;
    }

    /// Returns the time until which a missing entry is kept, or `None` if it is removed at once.
    /// Soon after an outage of the store, entries whose leases expired may still be registered
    /// again.
    fn reregistration_deadline(&self) -> Option<Duration> {
        let expires_at = self.recovered_at? + REREGISTRATION_GRACE;
        (clock::now() < expires_at).then_some(expires_at)
    }

    fn apply(&self, item: &Item) {
        if let Some(name) = item.key.strip_prefix(HOSTS_PREFIX) {
            return self.apply_host(name, item);
        }
        if let Some(name) = item.key.strip_prefix(SEATS_PREFIX) {
            return self.apply_seat(name, item);
        }
        if let Some(id) = item.key.strip_prefix(limits::PREFIX) {
            return self.apply_limit(id, item);
        }
        match (self.state.codec.decode_item)(item) {
            Ok(Record::Plan(plan)) => self.apply_plan(*plan, item.revision),
            Ok(Record::Evacuation(domain)) => self.set_evacuated(&domain, true, item.revision),
            Ok(Record::Instance(endpoint)) => self.apply_instance(&endpoint, item.revision),
            Ok(Record::Other) => {}
            Err(reason) => self.ignore(item, &reason.to_string()),
        }
    }

    /// Adds a seat. One of an earlier version of the program says nothing about its host.
    fn apply_seat(&self, name: &str, item: &Item) {
        let mut seats = self.state.seats.borrow_mut();
        seats.add(clock::now(), &Arc::from(name));
        if let Ok(record) = serde_json::from_slice::<SeatRecord>(&item.value) {
            seats.set_region(name, record.region);
        }
    }

    /// Removes a seat. Without its own one, this host has no share of the limits until it has a new one.
    fn remove_seat(&self, name: &str) {
        self.state.seats.borrow_mut().remove(name);
        if *name == *self.state.settings.host.name {
            self.state.seat_valid_from.set(None);
            self.state.has_lost_seat.set(true);
        }
    }

    fn apply_limit(&self, id: &str, item: &Item) {
        match serde_json::from_slice::<limits::Record>(&item.value) {
            Ok(record) => limits::apply_record(&self.state, &Arc::from(id), record, item.revision),
            Err(error) => self.ignore(item, &error.to_string()),
        }
    }

    fn apply_host(&self, name: &str, item: &Item) {
        let is_own = *name == *self.state.settings.host.name;
        if is_own && self.state.is_draining.get() {
            return;
        }
        match serde_json::from_slice::<Registration>(&item.value) {
            Ok(registration) => {
                let name: Arc<str> = Arc::from(name);
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
            revision,
        };
        self.state.log.write(Rank::Notice, event);
        *self.state.plan.borrow_mut() = Some(Rc::new(plan));
    }

    fn set_evacuated(&self, domain: &Arc<str>, active: bool, revision: u64) {
        if self.state.fleet.borrow_mut().set_evacuated(clock::now(), domain, active) {
            let event = Event::Evacuation { domain, active, revision };
            self.state.log.write(Rank::Notice, event);
        }
    }

    fn apply_instance(&self, endpoint: &Endpoint, revision: u64) {
        let is_changed = self.state.fleet.borrow_mut().register(clock::now(), endpoint.clone());
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
    }

    /// Logs an invalid item. An instance with an invalid item is removed, even if an earlier
    /// version of the item was valid.
    fn ignore(&self, item: &Item, reason: &str) {
        let event = Event::Ignored { key: &item.key, reason, revision: item.revision };
        self.state.log.write(Rank::Notice, event);
        if let subject @ Subject::Instance(_) = (self.state.codec.parse_key)(&item.key) {
            self.remove_entry(&Kind::Platform(subject), item.revision);
        }
    }

    fn remove_key(&self, key: &str, revision: u64) {
        if let Some(kind) = self.entry_kind(key) {
            self.remove_entry(&kind, revision);
        }
    }

    fn entry_kind(&self, key: &str) -> Option<Kind> {
        if let Some(name) = key.strip_prefix(HOSTS_PREFIX) {
            return Some(Kind::Host(Arc::from(name)));
        }
        if let Some(name) = key.strip_prefix(SEATS_PREFIX) {
            return Some(Kind::Seat(Arc::from(name)));
        }
        if let Some(id) = key.strip_prefix(limits::PREFIX) {
            return Some(Kind::Limit(Arc::from(id)));
        }
        Some(Kind::Platform((self.state.codec.parse_key)(key)))
    }

    fn remove_entry(&self, kind: &Kind, revision: u64) {
        let now = clock::now();
        let expires_at = self.reregistration_deadline();
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
            Kind::Platform(Subject::Instance(id)) => {
                self.state.fleet.borrow_mut().deregister(id, expires_at);
                let reason =
                    if expires_at.is_some() { "missing after an outage" } else { "removed" };
                self.state.log.write(Rank::Notice, Event::InstanceGone { id, reason });
            }
            Kind::Platform(Subject::Evacuation(domain)) => {
                self.set_evacuated(domain, false, revision);
            }
            // The last configuration stays in force if it is removed from the store.
            Kind::Platform(Subject::Plan | Subject::Other) => {}
        }
    }

    /// Returns the instances, evacuations, hosts and limits that this host knows from earlier reads
    /// and changes, but not the seats.
    fn known_entries(&self) -> Vec<Entry> {
        let fleet = self.state.fleet.borrow();
        let instances = fleet.instance_ids().into_iter().map(Subject::Instance);
        let evacuated = fleet.evacuated_domains().cloned().map(Subject::Evacuation);
        let platform_entries = instances.chain(evacuated).map(Kind::Platform);
        let hosts = self.state.hosts.borrow();
        let host_entries = hosts.keys().cloned().map(Kind::Host);
        let limit_entries = fleet.recorded_limits().into_iter().map(Kind::Limit);
        let kinds: Vec<Kind> = platform_entries.chain(host_entries).chain(limit_entries).collect();
        kinds.into_iter().map(|kind| Entry { key: self.entry_key(&kind), kind }).collect()
    }

    fn entry_key(&self, kind: &Kind) -> String {
        match kind {
            Kind::Host(name) => format!("{HOSTS_PREFIX}{name}"),
            Kind::Seat(name) => format!("{SEATS_PREFIX}{name}"),
            Kind::Limit(id) => format!("{}{id}", limits::PREFIX),
            Kind::Platform(subject) => (self.state.codec.subject_key)(subject),
        }
    }

    fn publish(&self) {
        self.state.publish_hosts();
        self.state.publish_readiness();
    }
}

/// Kind of a store entry, with the name that its key contains.
enum Kind {
    Host(Arc<str>),
    Seat(Arc<str>),
    Limit(Arc<str>),
    Platform(Subject),
}

/// Entry of the store with its key.
struct Entry {
    key: String,
    kind: Kind,
}

/// Removes the instances and hosts that have not been registered again in time after an outage of
/// the store.
pub fn remove_expired(state: &Rc<State>) {
    let now = clock::now();
    for id in state.fleet.borrow_mut().remove_expired(now) {
        let event = Event::InstanceGone { id: &id, reason: "did not come back" };
        state.log.write(Rank::Notice, event);
    }
    let is_current = |host: &Host| host.expires_at.is_none_or(|expires_at| now < expires_at);
    state.hosts.borrow_mut().retain(|_, host| is_current(host));
    state.publish_hosts();
    state.publish_readiness();
}
