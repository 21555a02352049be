//! Follows the store: configuration, evacuations, instances and hosts.
//!
//! A full read, and then every change after its revision. A watch that fails is asked again from the
//! same revision; when that history is gone, everything is read anew. See docs/platform.md.

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
    metrics,
    registration::{HOSTS_PREFIX, KEY_PREFIX, SEATS_PREFIX},
    state::{Host, Registration, State},
    store::{Call, Change, Client, Fault, Item, Reply},
};

/// Everything in the store: one watch is enough, and every waiting watch costs money.
const ALL_KEYS: &str = "";

/// Follows the store until the process ends.
pub async fn run(state: Rc<State>, client: Client) {
    let mut feed = Feed {
        state,
        client,
        revision: 0,
        is_listed: false,
        is_reachable: false,
        lost_at: clock::now(),
        returned_at: None,
    };
    let between = feed.state.settings.store.propagation.mul_f64(WATCH_INTERVAL_RATIO);
    let mut pause = MIN_STORE_RETRY_DELAY;
    loop {
        let step = if feed.is_listed { feed.watch().await } else { feed.read().await };
        match step {
            Ok(()) => {
                pause = MIN_STORE_RETRY_DELAY;
                sleep(between).await;
            }
            Err(fault) => {
                feed.failed(&fault);
                sleep(pause).await;
                pause = (pause * 2).min(MAX_STORE_RETRY_DELAY);
            }
        }
    }
}

struct Feed {
    state: Rc<State>,
    client: Client,
    revision: u64,
    is_listed: bool,
    is_reachable: bool,
    lost_at: Duration,
    /// When the store last came back after an outage in which entries may have lapsed.
    returned_at: Option<Duration>,
}

impl Feed {
    /// Waits for changes and takes them.
    async fn watch(&mut self) -> Result<(), Fault> {
        let prefix = ALL_KEYS.to_owned();
        let call = Call::Watch { prefix, after: self.revision, wait: WATCH_WAIT };
        let reply = self.client.call(&call).await;
        metrics::record_store_call("watch", reply.is_ok());
        let Reply::Changes { changes, revision } = reply? else {
            return Err(Fault::Malformed("no changes in the answer".to_owned()));
        };
        self.answered();
        for change in changes {
            match change {
                Change::Written(item) => self.take(&item),
                Change::Removed { key, revision } => self.remove(&key, revision),
            }
        }
        self.revision = self.revision.max(revision);
        self.publish();
        Ok(())
    }

    /// Reads everything, and drops what is no longer there.
    async fn read(&mut self) -> Result<(), Fault> {
        let mut items = Vec::new();
        let mut first_revision = u64::MAX;
        let prefixes: Vec<&str> =
            self.state.codec.key_prefixes.iter().copied().chain([KEY_PREFIX]).collect();
        let ranges = prefixes.into_iter().map(|prefix| self.range(prefix));
        for (page, revision) in try_join_all(ranges).await? {
            items.extend(page);
            first_revision = first_revision.min(revision);
        }
        self.answered();
        let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let entries = self.known_entries().into_iter();
        for entry in entries.filter(|entry| !keys.contains(entry.key.as_str())) {
            self.gone(&entry.kind, first_revision);
        }
        for item in &items {
            self.take(item);
        }
        self.state.fleet.borrow_mut().finish_initial_sync();
        self.revision = first_revision;
        self.is_listed = true;
        self.publish();
        Ok(())
    }

    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), Fault> {
        let mut all = Vec::new();
        let mut after = None;
        let mut first_revision = u64::MAX;
        loop {
            let call = Call::Range { prefix: prefix.to_owned(), after };
            let reply = self.client.call(&call).await;
            metrics::record_store_call("range", reply.is_ok());
            let Reply::Items { items, has_more, revision } = reply? else {
                return Err(Fault::Malformed("no items in the answer".to_owned()));
            };
            first_revision = first_revision.min(revision);
            after = items.last().map(|item| item.key.clone());
            all.extend(items);
            if !has_more || after.is_none() {
                return Ok((all, first_revision));
            }
        }
    }

    fn answered(&mut self) {
        let now = clock::now();
        if !self.is_reachable {
            let away = now.saturating_sub(self.lost_at);
            if self.is_listed && away >= OUTAGE_THRESHOLD {
                self.returned_at = Some(now);
            }
            let event = Event::StoreRegained { away_ms: away.as_millis(), revision: self.revision };
            self.state.log.write(Rank::Notice, event);
        }
        self.is_reachable = true;
        self.lost_at = now;
        self.state.store_answered_at.set(now);
    }

    fn failed(&mut self, fault: &Fault) {
        if *fault == Fault::Compacted {
            self.is_listed = false;
            // Nothing was heard for an unknown time, so entries may have lapsed and come back.
            self.state.log.write(
                Rank::Notice,
                Event::StoreFault { call: "watch", reason: "the history is gone; reading anew" },
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

    /// When an entry that is gone now stops counting; `None` for at once.
    fn grace(&self) -> Option<Duration> {
        let until = self.returned_at? + REREGISTRATION_GRACE;
        (clock::now() < until).then_some(until)
    }

    fn take(&self, item: &Item) {
        let now = clock::now();
        if let Some(name) = item.key.strip_prefix(HOSTS_PREFIX) {
            return self.take_host(name, item);
        }
        if let Some(name) = item.key.strip_prefix(SEATS_PREFIX) {
            return self.state.seats.borrow_mut().add(now, &Arc::from(name));
        }
        match (self.state.codec.decode_item)(item) {
            Ok(Record::Plan(plan)) => self.take_plan(*plan, item.revision),
            Ok(Record::Evacuation(domain)) => self.evacuate(&domain, true, item.revision),
            Ok(Record::Instance(listed)) => self.take_instance(&listed, item.revision),
            Ok(Record::Other) => {}
            Err(reason) => self.ignore(item, &reason.to_string()),
        }
    }

    fn take_host(&self, name: &str, item: &Item) {
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

    fn take_plan(&self, plan: Plan, revision: u64) {
        let now = clock::now();
        let known = self.state.plan.borrow().as_ref().map(|plan| plan.version);
        if known.is_some_and(|known| known >= plan.version) {
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

    fn evacuate(&self, domain: &Arc<str>, active: bool, revision: u64) {
        if self.state.fleet.borrow_mut().set_evacuated(clock::now(), domain, active) {
            let event = Event::Evacuation { domain, active, revision };
            self.state.log.write(Rank::Notice, event);
        }
    }

    fn take_instance(&self, listed: &Endpoint, revision: u64) {
        let changed = self.state.fleet.borrow_mut().register(clock::now(), listed.clone());
        if changed {
            let event = Event::Instance {
                id: &listed.id,
                service: &listed.service,
                domain: &listed.domain,
                draining: listed.is_draining,
                cold_ms: listed.warmup_left.as_millis(),
                revision,
            };
            self.state.log.write(Rank::Notice, event);
        }
    }

    /// An unusable entry names no instance, whatever it said before.
    fn ignore(&self, item: &Item, reason: &str) {
        let event = Event::Ignored { key: &item.key, reason, revision: item.revision };
        self.state.log.write(Rank::Notice, event);
        if let subject @ Subject::Instance(_) = (self.state.codec.parse_key)(&item.key) {
            self.gone(&Kind::Platform(subject), item.revision);
        }
    }

    fn remove(&self, key: &str, revision: u64) {
        if let Some(kind) = self.kind(key) {
            self.gone(&kind, revision);
        }
    }

    fn kind(&self, key: &str) -> Option<Kind> {
        if let Some(name) = key.strip_prefix(HOSTS_PREFIX) {
            return Some(Kind::Host(Arc::from(name)));
        }
        if let Some(name) = key.strip_prefix(SEATS_PREFIX) {
            return Some(Kind::Seat(Arc::from(name)));
        }
        Some(Kind::Platform((self.state.codec.parse_key)(key)))
    }

    fn gone(&self, kind: &Kind, revision: u64) {
        let now = clock::now();
        let grace = self.grace();
        match kind {
            Kind::Host(name) => {
                self.state.seats.borrow_mut().mark_unregistered(now, name);
                let mut hosts = self.state.hosts.borrow_mut();
                match (grace, hosts.get_mut(name)) {
                    (Some(until), Some(host)) => host.expires_at = Some(until),
                    _ => drop(hosts.remove(name)),
                }
            }
            Kind::Seat(name) => self.state.seats.borrow_mut().remove(name),
            Kind::Platform(Subject::Instance(id)) => {
                self.state.fleet.borrow_mut().deregister(id, grace);
                let reason = if grace.is_some() { "missing after an outage" } else { "removed" };
                self.state.log.write(Rank::Notice, Event::InstanceGone { id, reason });
            }
            Kind::Platform(Subject::Evacuation(domain)) => self.evacuate(domain, false, revision),
            // The last configuration stays in force.
            Kind::Platform(Subject::Plan | Subject::Other) => {}
        }
    }

    /// Entries that were there as far as this host knows.
    fn known_entries(&self) -> Vec<Entry> {
        let fleet = self.state.fleet.borrow();
        let instances = fleet.instance_ids().into_iter().map(Subject::Instance);
        let evacuated = fleet.evacuated_domains().cloned().map(Subject::Evacuation);
        let of_platform = instances.chain(evacuated).map(Kind::Platform);
        let hosts = self.state.hosts.borrow();
        let of_hosts = hosts.keys().cloned().map(Kind::Host);
        let kinds: Vec<Kind> = of_platform.chain(of_hosts).collect();
        kinds.into_iter().map(|kind| Entry { key: self.key(&kind), kind }).collect()
    }

    fn key(&self, kind: &Kind) -> String {
        match kind {
            Kind::Host(name) => format!("{HOSTS_PREFIX}{name}"),
            Kind::Seat(name) => format!("{SEATS_PREFIX}{name}"),
            Kind::Platform(subject) => (self.state.codec.subject_key)(subject),
        }
    }

    fn publish(&self) {
        self.state.publish_hosts();
        self.state.publish_readiness();
    }
}

/// What a key is about.
enum Kind {
    Host(Arc<str>),
    Seat(Arc<str>),
    Platform(Subject),
}

struct Entry {
    key: String,
    kind: Kind,
}

/// Drops what has not come back in time after an outage.
pub fn remove_expired(state: &Rc<State>) {
    let now = clock::now();
    for id in state.fleet.borrow_mut().remove_expired(now) {
        let event = Event::InstanceGone { id: &id, reason: "did not come back" };
        state.log.write(Rank::Notice, event);
    }
    let is_kept = |host: &Host| host.expires_at.is_none_or(|due| now < due);
    state.hosts.borrow_mut().retain(|_, host| is_kept(host));
    state.publish_hosts();
    state.publish_readiness();
}
