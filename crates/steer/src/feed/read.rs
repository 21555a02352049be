//! Reads of the store: all items, and the changes after a revision.

use std::{rc::Rc, time::Duration};

use futures_util::future::try_join_all;
use marjorampick_core::steering::history::Era;
use tokio::time::timeout;

use super::ALL_KEYS_PREFIX;
use crate::{
    codec::Subject,
    constants::{
        MAX_COMPLETE_BYTES, MAX_COMPLETE_CHANGES, MAX_HISTORY_BYTES, MAX_STORE_READ_TIME,
        RELAY_WATCH_WAIT,
    },
    metrics,
    registration::KEY_PREFIX,
    state::State,
    store::{Call, Change, Client, Fault, Item, Reply},
};

/// Size of the largest history that is read, relative to that of the configuration: two of them, in Base64.
const CONFIGURATIONS_IN_HISTORY: usize = 3;

/// Longest time for all calls of one read: the longest one for the items, and as long for what follows.
const MAX_READ_TIME: Duration = MAX_STORE_READ_TIME.saturating_mul(2);

/// What to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// Everything for the first time.
    Start,
    /// All items as they are now.
    Items,
    /// All changes after a revision; the store waits up to `wait` for one.
    Changes { after: u64, wait: Duration },
}

/// What was read.
pub(super) enum Content {
    /// All items, perhaps of an earlier state, and the changes after them.
    Start(Snapshot, Batch),
    /// All items as they were at the time of the read.
    Items(Snapshot),
    /// All changes after a revision.
    Changes(Batch),
}

/// All items of the store.
pub(super) struct Snapshot {
    pub(super) items: Vec<Item>,
    /// Revision up to which they are complete. Some may be of a later one, as they come in pages.
    pub(super) revision: u64,
    /// Era of the store that holds them.
    pub(super) era: Era,
}

/// All changes after a revision.
pub(super) struct Batch {
    pub(super) changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub(super) until: u64,
}

impl Batch {
    /// Whether the response surely holds all changes. The store reports many of them in parts, and does
    /// not say so.
    fn is_complete(&self) -> bool {
        self.changes.len() < MAX_COMPLETE_CHANGES && self.value_bytes() < MAX_COMPLETE_BYTES
    }

    /// Size of the values.
    fn value_bytes(&self) -> usize {
        self.changes.iter().map(Change::value_bytes).sum()
    }
}

/// Reads the store.
pub(super) struct Reader {
    pub(super) state: Rc<State>,
    pub(super) client: Client,
    /// Size of the configuration as it was last read, in bytes.
    pub(super) configuration_bytes: usize,
}

impl Reader {
    /// Reads something, in a bounded time.
    pub(super) async fn read(mut self, target: Target) -> Result<Content, Fault> {
        let reading = async {
            match target {
                Target::Start => self.read_start().await,
                Target::Items => self.read_all(false).await.map(Content::Items),
                Target::Changes { after, wait } => {
                    self.read_batch(after, wait).await.map(Content::Changes)
                }
            }
        };
        let ended = timeout(MAX_READ_TIME, reading).await;
        ended.map_err(|_| Fault::Unknown(format!("the read took over {MAX_READ_TIME:?}")))?
    }

    /// Reads everything for the first time.
    ///
    /// The items may be of an earlier state, which costs less. Nothing of it counts until the changes
    /// after it are known too: instances may have left and keys been withdrawn since then.
    async fn read_start(&mut self) -> Result<Content, Fault> {
        let snapshot = self.read_all(true).await?;
        let is_plan = |item: &&Item| (self.state.codec.parse_key)(&item.key) == Subject::Plan;
        let plan = snapshot.items.iter().rfind(is_plan);
        self.configuration_bytes = plan.map_or(self.configuration_bytes, |plan| plan.value.len());
        let batch = self.read_batch(snapshot.revision, RELAY_WATCH_WAIT).await?;
        Ok(Content::Start(snapshot, batch))
    }

    /// Returns all changes after a revision, which the store may report in parts. Fails if all parts together
    /// are larger than the state: a failure in a later part would lose the earlier ones, time after time.
    async fn read_batch(&self, after: u64, wait: Duration) -> Result<Batch, Fault> {
        let mut batch = self.read_changes(after, wait).await?;
        let mut is_complete = batch.is_complete();
        while !is_complete {
            if batch.value_bytes() > self.max_history_bytes() {
                return Err(Fault::TooManyChanges);
            }
            let next = self.read_changes(batch.until, RELAY_WATCH_WAIT).await?;
            is_complete = next.is_complete();
            batch.until = batch.until.max(next.until);
            batch.changes.extend(next.changes);
        }
        Ok(batch)
    }

    /// Returns the changes after a revision. Fails if they are larger than the state that they lead to.
    async fn read_changes(&self, after: u64, wait: Duration) -> Result<Batch, Fault> {
        let prefix = ALL_KEYS_PREFIX.to_owned();
        let call = Call::Watch { prefix, after, wait };
        let reply = self.client.call_up_to(&call, self.max_history_bytes()).await;
        metrics::record_store_call("watch", reply.is_ok());
        match reply? {
            Reply::Changes { changes, revision: until } => Ok(Batch { changes, until }),
            _ => Err(Fault::Malformed("the response has no changes".to_owned())),
        }
    }

    /// Size of changes, as the store encodes them, from which on the state takes less. Most of it is the
    /// configuration, which each change to it contains as a whole.
    fn max_history_bytes(&self) -> usize {
        MAX_HISTORY_BYTES.max(CONFIGURATIONS_IN_HISTORY * self.configuration_bytes)
    }

    /// Reads all items. `may_be_stale` allows items of an earlier revision. Fails if the store is restored
    /// between two pages.
    async fn read_all(&self, may_be_stale: bool) -> Result<Snapshot, Fault> {
        let asked_in = self.client.era();
        let mut items = Vec::new();
        let mut revision = u64::MAX;
        let prefixes: Vec<&str> =
            self.state.codec.key_prefixes.iter().copied().chain([KEY_PREFIX]).collect();
        let reads = prefixes.into_iter().map(|prefix| self.read_prefix(prefix, may_be_stale));
        for (page, page_revision) in try_join_all(reads).await? {
            items.extend(page);
            revision = revision.min(page_revision);
        }
        let era = self.client.era();
        // The first response of all tells the era.
        if !asked_in.is_untold() {
            self.client.check_era(asked_in)?;
        }
        Ok(Snapshot { items, revision, era })
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
}
