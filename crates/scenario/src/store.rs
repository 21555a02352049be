//! In-memory fake of the platform's key-value store.

use std::{collections::BTreeMap, sync::Arc};

use marjorampick_core::{
    catalog::{Record, Update},
    host::event::{Write, WriteOutcome},
};

/// Records and the revision of `head`, which each write increases by one.
#[derive(Debug, Default)]
pub struct Store {
    head: u64,
    records: BTreeMap<Arc<str>, Record>,
    /// Number of calls that reached the store.
    pub calls: u64,
}

impl Store {
    /// Reads the revision of `head`; 0 before the first write.
    pub fn read_head(&mut self) -> u64 {
        self.calls += 1;
        self.head
    }

    /// Reads all records.
    pub fn read_records(&mut self) -> Update {
        self.calls += 1;
        self.snapshot()
    }

    /// Writes a record if `head` still has the expected revision.
    pub fn write(&mut self, write: &Write) -> WriteOutcome {
        self.calls += 1;
        if write.expected_head != self.head {
            return WriteOutcome::Conflict;
        }
        self.head += 1;
        let record =
            Record { key: write.key.clone(), revision: self.head, value: write.value.clone() };
        self.records.insert(write.key.clone(), record);
        WriteOutcome::Done { revision: self.head }
    }

    fn snapshot(&self) -> Update {
        Update { since: 0, through: self.head, records: self.records.values().cloned().collect() }
    }
}
