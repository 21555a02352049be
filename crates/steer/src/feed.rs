//! Follows the changes of the configuration, evacuations, instances and entry hosts in the store.
//!
//! Starts with a full read, and then applies each change after its revision, from watch calls of its own
//! or from the answers of another host. A failed watch call is repeated from the same revision. If the
//! store has compacted that history, everything is read again. See docs/platform.md.

mod entries;
mod probe;
pub mod relay;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::future::try_join_all;
use marjorampick_core::steering::{
    outage::{Others, Recovery},
    read_ahead::ReadAhead,
    relay::{Hosts, Schedule, Step},
    seats::SEAT_PROPAGATION_TIME,
};
use probe::Probe;
use relay::{Answer, Inbox, Outstanding, Question, Received};
use tokio::time::timeout;

use crate::{
    clock,
    constants::{
        MAX_COMPLETE_BYTES, MAX_COMPLETE_CHANGES, MAX_STORE_RETRY_DELAY, MIN_STORE_RETRY_DELAY,
        RELAY_WATCH_WAIT, WATCH_INTERVAL_RATIO, WATCH_WAIT,
    },
    departures::Outbox,
    events::{Event, Rank},
    metrics,
    peers::{Message, Socket, record_dropped},
    registration::{HOSTS_PREFIX, KEY_PREFIX},
    state::{Host, State},
    store::{Call, Change, Client, Fault, Item, Reply},
};

/// Most questions without an answer; the oldest one is forgotten.
const MAX_OUTSTANDING: usize = 4;

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
        revision: 0,
        progress: Progress::Unread,
        is_reachable: false,
        last_response_at: clock::now(),
        recovery: Recovery::default(),
        retry_delay: MIN_STORE_RETRY_DELAY,
        read_ahead: ReadAhead::default(),
        departures: Outbox::default(),
        probe: Probe::default(),
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
    /// Revision up to which changes have been applied.
    revision: u64,
    progress: Progress,
    is_reachable: bool,
    /// When the store last responded; at first, when the watch started.
    last_response_at: Duration,
    /// Latest recovery of the store from an outage that was long enough for leases to expire.
    recovery: Recovery,
    /// Delay before the next call of the store if this one fails.
    retry_delay: Duration,
    /// Keys whose state is later than [`Self::revision`].
    read_ahead: ReadAhead,
    /// Departures of instances that this host has just heard of.
    departures: Outbox,
    /// Call of a store that did not serve this host.
    probe: Probe,
}

/// All items of the store.
struct Snapshot {
    items: Vec<Item>,
    /// Revision up to which they are complete. Some may be of a later one, as they come in pages.
    revision: u64,
}

/// All changes from one revision to another.
struct Batch {
    /// Revision after which the changes begin.
    after: u64,
    changes: Vec<Change>,
    /// Revision up to which they are complete.
    until: u64,
}

impl Batch {
    /// Whether the response surely holds all changes. The store reports many of them in parts, and does
    /// not say so.
    fn is_complete(&self) -> bool {
        let bytes: usize = self.changes.iter().map(Change::value_bytes).sum();
        self.changes.len() < MAX_COMPLETE_CHANGES && bytes < MAX_COMPLETE_BYTES
    }
}

impl Feed {
    /// Does the next thing that is due.
    async fn step(&mut self) {
        for received in self.inbox.take_answers() {
            self.apply_answer(received);
        }
        if let Some(asked_at) = self.inbox.take_asked_at() {
            self.schedule.record_question(asked_at);
        }
        match self.probe.take() {
            // A missing history is for the next call to find.
            Some(Ok(()) | Err(Fault::Compacted)) => self.schedule.record_recovery(),
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
                self.probe.start(&self.state, &self.client, &self.inbox, self.revision);
            }
            Step::CallStore => self.call_store().await,
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
        Hosts {
            region: self.state.fleet.borrow().region_hosts().to_vec(),
            all: self.state.hosts.borrow().keys().cloned().collect(),
        }
    }

    /// Reads all items, or the changes since the last call.
    async fn call_store(&mut self) {
        match self.read().await {
            Ok(()) => {
                self.retry_delay = MIN_STORE_RETRY_DELAY;
                self.schedule.record_response(clock::now());
            }
            Err(fault) => self.record_call_failure(&fault),
        }
    }

    fn record_call_failure(&mut self, fault: &Fault) {
        self.record_failure(fault);
        self.schedule.record_failure(clock::now(), self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_STORE_RETRY_DELAY);
    }

    /// Reads what is missing.
    async fn read(&mut self) -> Result<(), Fault> {
        match self.progress {
            Progress::Unread => self.start().await,
            Progress::Incomplete => {
                let snapshot = self.read_all(false).await?;
                self.apply_snapshot(&snapshot);
                Ok(())
            }
            Progress::Complete => self.watch(WATCH_WAIT).await,
        }?;
        self.publish();
        Ok(())
    }

    /// Reads everything for the first time.
    ///
    /// The items may be of an earlier state, which costs less. Nothing of it counts until the changes
    /// after it are known too: instances may have left and keys been withdrawn since then.
    async fn start(&mut self) -> Result<(), Fault> {
        let snapshot = self.read_all(true).await?;
        let batch = self.read_batch(snapshot.revision, RELAY_WATCH_WAIT).await?;
        self.apply_snapshot(&snapshot);
        self.record_response(clock::now(), self.others_after(&batch.changes));
        self.apply_changes(batch.changes, batch.until);
        Ok(())
    }

    /// Waits for changes, applies them and passes them on to the hosts that have asked for them.
    async fn watch(&mut self, wait: Duration) -> Result<(), Fault> {
        let questions = self.inbox.take_questions(self.revision);
        let asked = questions.iter().map(|(_, question)| question.revision);
        let oldest = asked.fold(self.revision, u64::min);
        let wait = if questions.is_empty() { wait } else { RELAY_WATCH_WAIT };
        let batch = match self.read_batch(oldest, wait).await {
            // The changes that only other hosts are missing are gone. They have to ask the store.
            Err(Fault::Compacted) if oldest < self.revision => {
                self.read_batch(self.revision, wait).await?
            }
            result => result?,
        };
        self.record_response(clock::now(), self.others_after(&batch.changes));
        self.answer(&questions, &batch);
        self.apply_changes(batch.changes, batch.until);
        Ok(())
    }

    /// Returns all changes after a revision, which the store may report in parts.
    async fn read_batch(&self, after: u64, wait: Duration) -> Result<Batch, Fault> {
        let mut batch = self.read_changes(after, wait).await?;
        let mut is_complete = batch.is_complete();
        while !is_complete {
            let next = self.read_changes(batch.until, RELAY_WATCH_WAIT).await?;
            is_complete = next.is_complete();
            batch.until = batch.until.max(next.until);
            batch.changes.extend(next.changes);
        }
        Ok(batch)
    }

    /// Returns the changes after a revision.
    async fn read_changes(&self, after: u64, wait: Duration) -> Result<Batch, Fault> {
        let prefix = ALL_KEYS_PREFIX.to_owned();
        let reply = self.client.call(&Call::Watch { prefix, after, wait }).await;
        metrics::record_store_call("watch", reply.is_ok());
        match reply? {
            Reply::Changes { changes, revision: until } => Ok(Batch { after, changes, until }),
            _ => Err(Fault::Malformed("the response has no changes".to_owned())),
        }
    }

    /// Applies the changes that are new, in the order of their revisions.
    fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) {
        for change in changes.into_iter().filter(|change| change.revision() > self.revision) {
            if self.read_ahead.is_over(change.key(), change.revision()) {
                continue;
            }
            match change {
                Change::Written(item) => self.apply(&item),
                Change::Removed { key, revision } => self.remove_key(&key, revision),
            }
        }
        self.revision = self.revision.max(revision);
        self.read_ahead.reach(self.revision);
        self.state.fleet.borrow_mut().reach_revision(self.revision);
        self.departures.flush(&self.state, true);
    }

    /// Asks another host for the changes.
    fn ask(&mut self, relay: &str, now: Duration) {
        let Some(address) =
            self.state.hosts.borrow().get(relay).map(|host| host.registration.peers)
        else {
            return;
        };
        let question = Question { id: rand::random(), revision: self.revision };
        self.socket.send(&Message::Follow(question.clone()), address);
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.remove(0);
        }
        self.outstanding.push(Outstanding { question, relay: address, asked_at: now });
    }

    /// Answers the questions of other hosts from a batch. A host that has missed changes from before it, or
    /// knows a revision that the store has not reached, gets no answer and asks the store.
    fn answer(&self, questions: &[(SocketAddr, Question)], batch: &Batch) {
        let mut payloads: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        let is_answerable =
            |asked: &Question| (batch.after..=batch.until).contains(&asked.revision);
        for (host, question) in questions.iter().filter(|(_, asked)| is_answerable(asked)) {
            let Question { id, revision: after } = *question;
            let payload = payloads
                .entry(after)
                .or_insert_with(|| relay::encode(&batch.changes, after).unwrap_or_default());
            let answer = Answer { id, after, until: batch.until };
            let message = Message::Changes(answer);
            let is_sent = self.socket.send_with_payload(&message, payload, *host);
            metrics::record_relay(if is_sent { "answered" } else { "unanswered" });
        }
    }

    /// Applies the answer of another host to a question of this process. One that claims more than the
    /// store can have reached is not used; the host asks the store.
    fn apply_answer(&mut self, received: Received) {
        let asked = self.outstanding.iter().position(|asked| asked.is_answered_by(&received));
        let Some(index) = asked else {
            record_dropped(&self.state, received.sender, "unasked");
            return;
        };
        let asked_at = self.outstanding.swap_remove(index).asked_at;
        if !received.is_plausible() {
            record_dropped(&self.state, received.sender, "implausible");
            self.schedule.record_gap();
            return;
        }
        if self.progress != Progress::Complete {
            return;
        }
        metrics::record_relay("followed");
        self.schedule.record_answer(asked_at);
        self.record_knowledge(asked_at, self.others_after(&received.changes));
        self.apply_changes(received.changes, received.answer.until);
        self.publish();
    }

    /// Reads all items. `may_be_stale` allows items of an earlier revision.
    async fn read_all(&self, may_be_stale: bool) -> Result<Snapshot, Fault> {
        let mut items = Vec::new();
        let mut revision = u64::MAX;
        let prefixes: Vec<&str> =
            self.state.codec.key_prefixes.iter().copied().chain([KEY_PREFIX]).collect();
        let reads = prefixes.into_iter().map(|prefix| self.read_prefix(prefix, may_be_stale));
        for (page, page_revision) in try_join_all(reads).await? {
            items.extend(page);
            revision = revision.min(page_revision);
        }
        Ok(Snapshot { items, revision })
    }

    /// Applies all items, and removes the entries of [`Self::known_entries`] that are no longer in the
    /// store.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let Snapshot { items, revision } = snapshot;
        let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let unchanged = items.iter().filter(|item| item.revision <= self.revision);
        let unchanged: BTreeSet<&str> = unchanged.map(|item| item.key.as_str()).collect();
        let others = self.count_others(|key| unchanged.contains(key));
        self.record_response(clock::now(), others);
        // Before the first read, the host knows only its own registration, which may be later.
        let is_first = self.progress == Progress::Unread;
        let entries = self.known_entries().into_iter().filter(|_| !is_first);
        for entry in entries.filter(|entry| !keys.contains(entry.key.as_str())) {
            self.remove_entry(&entry.kind, *revision);
        }
        self.read_ahead.clear();
        for item in items {
            self.apply(item);
            self.read_ahead.record(&item.key, item.revision, *revision);
        }
        self.state.fleet.borrow_mut().finish_initial_sync();
        self.revision = *revision;
        self.state.fleet.borrow_mut().reach_revision(self.revision);
        self.departures.flush(&self.state, false);
        self.progress = Progress::Complete;
    }

    /// Reads all pages of the items under a prefix. Returns the lowest revision of the pages, as
    /// items may change between two pages.
    async fn read_prefix(
        &self,
        prefix: &str,
        may_be_stale: bool,
    ) -> Result<(Vec<Item>, u64), Fault> {
        let mut all_items = Vec::new();
        let mut after = None;
        let mut min_revision = u64::MAX;
        loop {
            let call = Call::Range { prefix: prefix.to_owned(), after, may_be_stale };
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

    /// Counts the other hosts that this host knows, by whether their registration, with this key, did not
    /// end.
    fn count_others(&self, is_kept: impl Fn(&str) -> bool) -> Others {
        let hosts = self.state.hosts.borrow();
        let registered = hosts.iter().filter(|(_, host)| host.expires_at.is_none());
        let others = registered.filter(|(name, _)| **name != self.state.settings.host.name);
        Others::count(others.map(|(name, _)| is_kept(&format!("{HOSTS_PREFIX}{name}"))))
    }

    /// The other hosts after these changes.
    fn others_after(&self, changes: &[Change]) -> Others {
        let is_removal = |change: &&Change| matches!(change, Change::Removed { revision, .. } if *revision > self.revision);
        let removed: BTreeSet<&str> = changes.iter().filter(is_removal).map(Change::key).collect();
        self.count_others(|key| !removed.contains(key))
    }

    /// Records that the host knows what the store held at `at`, or later, from the store or another host.
    /// `others` are the other hosts that were known before. Returns the time since the host last knew.
    fn record_knowledge(&mut self, at: Duration, others: Others) -> Duration {
        let now = clock::now();
        let silence = now.saturating_sub(self.last_response_at);
        if self.progress == Progress::Complete {
            self.recovery.record(now, silence, others);
        }
        self.last_response_at = self.last_response_at.max(at);
        self.state.store_last_response_at.set(self.last_response_at);
        silence
    }

    /// Records a response of the store.
    fn record_response(&mut self, at: Duration, others: Others) {
        let outage_time = self.record_knowledge(at, others);
        if !self.is_reachable {
            let event = Event::StoreRegained {
                away_ms: outage_time.as_millis(),
                revision: self.revision,
                hosts: others.known,
                hosts_kept: others.kept,
            };
            self.state.log.write(Rank::Notice, event);
        }
        self.is_reachable = true;
    }

    fn record_failure(&mut self, fault: &Fault) {
        let reason = fault.to_string();
        if *fault == Fault::Compacted {
            self.progress = Progress::Incomplete;
            self.schedule.record_gap();
            // Changes were missed for an unknown time, in which entries may have expired and
            // reappeared, or what was applied is not the store's, so everything has to be read again.
            let event = Event::StoreFault { call: "watch", reason: &reason };
            self.state.log.write(Rank::Notice, event);
            return;
        }
        let event = if self.is_reachable {
            Event::StoreLost { reason: &reason, revision: self.revision }
        } else {
            Event::StoreFault { call: "watch", reason: &reason }
        };
        let rank = if self.is_reachable { Rank::Notice } else { Rank::Failure };
        self.state.log.write(rank, event);
        self.is_reachable = false;
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
