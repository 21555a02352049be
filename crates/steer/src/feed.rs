//! Watches the store for changes of the configuration, evacuations, instances and entry hosts.
//!
//! Starts with a full read, and then applies each change after its revision. A failed watch call is
//! repeated from the same revision. If the store has compacted that history, everything is read
//! again. See docs/platform.md.

mod entries;

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use futures_util::future::try_join_all;
use tokio::time::sleep;

use crate::{
    clock,
    constants::{
        MAX_STORE_RETRY_DELAY, MIN_STORE_RETRY_DELAY, OUTAGE_THRESHOLD, WATCH_INTERVAL_RATIO,
        WATCH_WAIT,
    },
    events::{Event, Rank},
    metrics,
    registration::KEY_PREFIX,
    state::{Host, State},
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
