//! The catalog: a host's copy of the versioned records in the store.
//!
//! See docs/design.md §5. A record is replaced only by one of a larger revision, so that late or
//! repeated updates never bring back an older value.

use std::{collections::BTreeMap, sync::Arc};

/// A versioned record, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key below the prefix: `members` or `documents/<service>`.
    pub key: Arc<str>,
    /// Revision of the write that stored this value.
    pub revision: u64,
    /// Stored text. An empty value is the tombstone of a removed document.
    pub value: Arc<str>,
}

/// Records that bring a catalog from revision `since` to revision `through`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Smallest revision of a catalog to which the update applies; all later changes are included.
    pub since: u64,
    /// Revision of a catalog after the update is applied.
    pub through: u64,
    /// Records that changed after `since`, each with its latest value.
    pub records: Vec<Record>,
}

/// Latest known value of every record, complete up to [`Catalog::revision`].
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: u64,
    records: BTreeMap<Arc<str>, Record>,
}

impl Catalog {
    /// Revision up to which every change is known; 0 before the first update.
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

    /// Returns the update that brings another catalog from `since` to this revision.
    pub fn update_since(&self, since: u64) -> Update {
        let changed = self.records.values().filter(|record| record.revision > since);
        Update { since, through: self.revision, records: changed.cloned().collect() }
    }

    /// Applies `update` and returns the records that changed.
    ///
    /// Returns `None` and changes nothing if the update starts after this catalog's revision, as
    /// the changes in between would be missing.
    pub fn apply(&mut self, update: &Update) -> Option<Vec<Record>> {
        if update.since > self.revision {
            return None;
        }
        let is_newer = |record: &&Record| {
            self.records.get(&record.key).is_none_or(|known| known.revision < record.revision)
        };
        let changed: Vec<Record> = update.records.iter().filter(is_newer).cloned().collect();
        for record in &changed {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.revision = self.revision.max(update.through);
        Some(changed)
    }
}
