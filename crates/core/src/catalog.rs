//! The catalog: everything that a host knows of the chain of records in the store.
//!
//! See docs/design.md §5. A smaller revision never replaces a larger one, so nothing reverts.

use std::{collections::BTreeMap, sync::Arc};

/// A record of the chain, as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key below the prefix: `members` or `documents/<service>`.
    pub key: Arc<str>,
    /// Revision of the chain at which this value was written.
    pub revision: u64,
    /// Value in its stored form. An empty value is the tombstone of a removed document.
    pub value: Arc<str>,
}

/// Records that bring a host from `since` to `through`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The update holds every record that changed after this revision.
    pub since: u64,
    /// Revision of a host that has applied the update.
    pub through: u64,
    /// Changed records.
    pub records: Vec<Record>,
}

/// Records known to a host, complete up to [`Catalog::revision`].
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: u64,
    records: BTreeMap<Arc<str>, Record>,
}

impl Catalog {
    /// Revision up to which every record is known; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The record under `key`.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// All records in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The update that brings a host from `since` to this catalog.
    pub fn update_since(&self, since: u64) -> Update {
        let changed = self.records.values().filter(|record| record.revision > since);
        Update { since, through: self.revision, records: changed.cloned().collect() }
    }

    /// Applies `update` and returns the records that changed, or `None` when the update leaves a gap.
    pub fn apply(&mut self, update: &Update) -> Option<Vec<Record>> {
        if update.since > self.revision {
            return None;
        }
        let newer = |record: &&Record| {
            self.records.get(&record.key).is_none_or(|known| known.revision < record.revision)
        };
        let changed: Vec<Record> = update.records.iter().filter(newer).cloned().collect();
        for record in &changed {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.revision = self.revision.max(update.through);
        Some(changed)
    }
}
