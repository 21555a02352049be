//! Follows the changes of the configuration, evacuations, instances and entry hosts in the store.
//!
//! Starts with a full read, and then applies each change after its revision, from watch calls of its own
//! or from the answers of another host. A failed watch call is repeated from the same revision. If the
//! store has compacted that history, or has been restored to an earlier copy, everything is read again.
//! See docs/platform.md.

mod answers;
mod contact;
mod entries;
pub mod parts;
mod probe;
mod questions;
mod read;
mod reading;
pub mod recent;
pub mod relay;
mod restore;

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use entries::Entry;
use marjorampick_core::steering::{
    history::Era,
    outage::Recovery,
    read_ahead::ReadAhead,
    relay::{Hosts, Schedule, Step},
    seats::SEAT_PROPAGATION_TIME,
};
use parts::Collection;
use probe::Probe;
use read::Snapshot;
use reading::Reading;
use recent::Recent;
use relay::{Inbox, Outstanding};
use restore::Unconfirmed;
use tokio::time::timeout;

use crate::{
    clock,
    codec::Subject,
    constants::{MAX_STORE_RETRY_DELAY, MIN_STORE_RETRY_DELAY, WATCH_INTERVAL_RATIO},
    departures::Outbox,
    events::{Event, Rank},
    peers::Socket,
    state::{Host, State},
    store::{Change, Client, Fault, Item},
};

/// Prefix of all keys. A single watch covers the whole store, because each open watch call costs
/// money.
const ALL_KEYS_PREFIX: &str = "";

/// Follows the store until the process ends, itself or through other hosts.
pub async fn run(state: Rc<State>, client: Client, socket: Rc<Socket>, inbox: Rc<Inbox>) {
    let interval = state.settings.store.propagation.mul_f64(WATCH_INTERVAL_RATIO);
    let mut feed = Feed {
        schedule: Schedule::new(state.settings.host.name.clone(), interval),
        state,
        client,
        socket,
        inbox,
        outstanding: Vec::new(),
        collection: Collection::default(),
        era: Era::UNTOLD,
        revision: 0,
        configuration_bytes: 0,
        progress: Progress::Unread,
        is_restored: false,
        unconfirmed: Unconfirmed::default(),
        is_reachable: false,
        last_response_at: clock::now(),
        recovery: Recovery::default(),
        retry_delay: MIN_STORE_RETRY_DELAY,
        read_ahead: ReadAhead::default(),
        recent: Recent::default(),
        departures: Outbox::default(),
        probe: Probe::default(),
        is_probed: false,
        reading: None,
    };
    loop {
        feed.step().await;
    }
}

/// What was read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing yet.
    Unread,
    /// All items, but changes after them were missed.
    Incomplete,
    /// All items and all changes up to a revision.
    Complete,
}

/// Watch on the store, with the position up to which changes have been applied.
struct Feed {
    state: Rc<State>,
    client: Client,
    socket: Rc<Socket>,
    inbox: Rc<Inbox>,
    schedule: Schedule,
    /// Questions to relays without an answer, the oldest first.
    outstanding: Vec<Outstanding>,
    /// Parts of a configuration that other hosts send.
    collection: Collection,
    /// Era of the store in which [`Self::revision`] was read.
    era: Era,
    /// Revision up to which changes have been applied.
    revision: u64,
    /// Size of the configuration as it was last read, in bytes.
    configuration_bytes: usize,
    progress: Progress,
    /// Whether the store has been restored since the last full read.
    is_restored: bool,
    /// Entries in force that a restored store lacks.
    unconfirmed: Unconfirmed,
    is_reachable: bool,
    /// When the store last responded; at first, when the watch started.
    last_response_at: Duration,
    /// Latest recovery of the store from an outage that was long enough for leases to expire.
    recovery: Recovery,
    /// Delay before the next call of the store if this one fails.
    retry_delay: Duration,
    /// Keys whose state is later than [`Self::revision`].
    read_ahead: ReadAhead,
    /// Changes up to [`Self::revision`], from which this host answers others.
    recent: Recent,
    /// Departures of instances that this host has just heard of.
    departures: Outbox,
    /// Call of a store that did not serve this host.
    probe: Probe,
    /// Whether the store has answered a probe since the last read.
    is_probed: bool,
    /// The read that is under way.
    reading: Option<Reading>,
}

impl Feed {
    /// Does the next thing that is due.
    async fn step(&mut self) {
        self.take_read();
        let is_other_era = self.client.check_era(self.era).is_err();
        if is_other_era && self.progress != Progress::Unread && !self.is_restored {
            // Another call has heard of the restore.
            self.record_restore();
        }
        self.drop_unconfirmed();
        for received in self.inbox.take_answers() {
            self.apply_answer(received);
        }
        for (sender, decline) in self.inbox.take_declines() {
            self.record_decline(sender, &decline);
        }
        if self.schedule.is_unserved() {
            self.decline_all();
        }
        if let Some(asked_at) = self.inbox.take_asked_at() {
            self.schedule.record_question(asked_at);
        }
        match self.probe.take() {
            Some(Ok(())) => {
                self.schedule.record_recovery();
                self.is_probed = true;
            }
            Some(Err(fault)) => self.record_call_failure(&fault),
            None => {}
        }
        let has_questions = self.inbox.has_questions();
        let now = clock::now();
        // Until the others have seen its registration, they take this host for a stranger.
        let is_known = now >= self.state.started_at + SEAT_PROPAGATION_TIME;
        let hosts = if is_known { self.hosts_to_ask() } else { Hosts::default() };
        match self.schedule.next(now, &hosts, has_questions) {
            Step::CallStore
                if self.schedule.is_failing() && self.progress == Progress::Complete =>
            {
                self.schedule.record_probe(now, probe::MAX_TIME);
                self.probe.start(&self.state, &self.client, &self.inbox);
            }
            Step::CallStore => self.start_read(),
            Step::Ask(relay) => self.ask(&relay, now),
            Step::Wait(until) => {
                let wait = until.saturating_sub(clock::now());
                // A timeout means that it is time for the next step.
                timeout(wait, self.inbox.arrived()).await.ok();
            }
        }
    }

    /// Hosts that may be asked for changes.
    fn hosts_to_ask(&self) -> Hosts {
        let hosts = self.state.hosts.borrow();
        let links = hosts.iter().map(|(name, host)| (name, host.registration.link_mbps));
        Hosts {
            region: self.state.fleet.borrow().region_hosts().to_vec(),
            all: hosts.keys().cloned().collect(),
            slow: Hosts::find_slow(links),
        }
    }

    fn record_call_failure(&mut self, fault: &Fault) {
        self.record_failure(fault);
        self.schedule.record_failure(clock::now(), self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_STORE_RETRY_DELAY);
    }

    /// Applies the changes that are new, in the order of their revisions.
    fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) {
        let is_plan = |change: &Change| self.is_plan(change);
        let is_new = |change: &Change| change.revision() > self.revision;
        let (plans, others): (Vec<Change>, Vec<Change>) =
            changes.into_iter().filter(is_new).partition(is_plan);
        let plan_revision = plans.last().map(Change::revision);
        let mut others = others.into_iter().peekable();
        while let Some(change) = others.next_if(|change| Some(change.revision()) < plan_revision) {
            self.apply_change(change);
        }
        self.apply_plans(plans);
        others.for_each(|change| self.apply_change(change));
        self.revision = self.revision.max(revision);
        self.read_ahead.reach(self.revision);
        self.state.fleet.borrow_mut().reach_revision(self.era, self.revision);
        self.departures.flush(&self.state, true);
    }

    /// Whether a change is the write of a configuration.
    fn is_plan(&self, change: &Change) -> bool {
        matches!(change, Change::Written(_))
            && (self.state.codec.parse_key)(change.key()) == Subject::Plan
    }

    /// Applies the last one of these writes of the configuration, which replaces the others, unless it is
    /// invalid or of an earlier version.
    fn apply_plans(&mut self, mut plans: Vec<Change>) {
        while let Some(Change::Written(item)) = plans.pop() {
            if self.apply_plan_item(item) {
                break;
            }
        }
    }

    /// Applies the write of a configuration, and returns whether it is in force now.
    fn apply_plan_item(&mut self, item: Item) -> bool {
        self.measure(&item);
        let version = self.apply_configuration(&item);
        match version {
            Some(version) => self.recent.record_plan(item, version),
            // Another build may be able to use it.
            None => self.recent.forget_until(item.revision),
        }
        version == Some(self.state.version())
    }

    /// Applies any other change.
    fn apply_change(&mut self, change: Change) {
        if !self.read_ahead.is_over(change.key(), change.revision()) {
            self.apply_state(&change);
        }
        self.recent.record(change);
    }

    fn apply_state(&mut self, change: &Change) {
        match change {
            Change::Written(item) => {
                self.unconfirmed.confirm(&item.key);
                self.apply(item);
            }
            Change::Removed { key, revision } => self.remove_key(key, *revision),
        }
    }

    /// Applies a change after which earlier ones are still to come.
    fn apply_ahead(&mut self, change: &Change) {
        if !self.read_ahead.is_over(change.key(), change.revision()) {
            self.apply_state(change);
            self.read_ahead.record(change.key(), change.revision(), self.revision);
        }
    }

    /// Applies all items, and removes the entries of [`Self::known_entries`] that are no longer in the
    /// store. Of those that a restored store lacks, none is removed at once.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let Snapshot { items, revision, era } = snapshot;
        let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        // Revisions of an earlier era say nothing about those of this one.
        let unchanged =
            items.iter().filter(|item| !self.is_restored && item.revision <= self.revision);
        let unchanged: BTreeSet<&str> = unchanged.map(|item| item.key.as_str()).collect();
        let others = self.count_others(|key| unchanged.contains(key));
        self.record_response(clock::now(), others);
        // Before the first read, the host knows only its own registration, which may be later.
        let is_first = self.progress == Progress::Unread;
        let entries = self.known_entries().into_iter().filter(|_| !is_first);
        let is_missing = |entry: &Entry| {
            let is_unconfirmed = !self.is_restored && self.unconfirmed.contains(&entry.key);
            !keys.contains(entry.key.as_str()) && !is_unconfirmed
        };
        let missing: Vec<Entry> = entries.filter(is_missing).collect();
        if self.is_restored {
            self.start_era(*era, *revision, missing);
        } else {
            missing.iter().for_each(|entry| self.remove_entry(&entry.kind, *revision));
        }
        self.era = *era;
        self.read_ahead.clear();
        self.recent.restart(*revision);
        for item in items {
            match (self.state.codec.parse_key)(&item.key) {
                Subject::Plan => drop(self.apply_plan_item(item.clone())),
                _ => self.apply(item),
            }
            self.read_ahead.record(&item.key, item.revision, *revision);
        }
        self.state.fleet.borrow_mut().finish_initial_sync();
        self.revision = *revision;
        self.state.fleet.borrow_mut().reach_revision(self.era, self.revision);
        self.departures.flush(&self.state, false);
        self.progress = Progress::Complete;
        self.is_restored = false;
    }

    /// Records the size of an item that holds the configuration.
    fn measure(&mut self, item: &Item) {
        if (self.state.codec.parse_key)(&item.key) == Subject::Plan {
            self.configuration_bytes = item.value.len();
        }
    }

    fn publish(&self) {
        self.state.publish_hosts();
        self.state.publish_readiness();
    }
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
