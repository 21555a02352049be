//! A store with faults, in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use marjorampick_core::{
    catalog::{Record, Update},
    host::event::{Write, WriteOutcome},
    member::roster::{self, Roster},
};

/// Records of the store, the log of all writes, and the faults that are set.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) up: bool,
    /// Percentage of answers that are lost.
    pub(crate) lost_answers_percent: u64,
    /// Limit of the random delay in each direction, in milliseconds.
    pub(crate) delay_limit_ms: u64,
    pub(crate) head: u64,
    pub(crate) records: BTreeMap<Arc<str>, Record>,
    pub(crate) log: Vec<(u64, Write)>,
}

impl Store {
    pub(crate) fn write(&mut self, write: &Write) -> WriteOutcome {
        if self.head != write.expected_head {
            return WriteOutcome::Conflict;
        }
        if write.key.as_ref() == roster::KEY {
            let roster = Roster::parse(&write.value).expect("the record is valid");
            let before = self.records.get(&write.key).map_or(0, |r| r.revision);
            let replaced = roster.earlier.first().map_or(0, |table| table.revision);
            assert_eq!(replaced, before, "each member table replaces the newest one");
        }
        // In a real store, writes to other keys take revisions, too.
        self.head += 3;
        let record =
            Record { key: write.key.clone(), revision: self.head, value: write.value.clone() };
        self.records.insert(write.key.clone(), record);
        self.log.push((self.head, write.clone()));
        WriteOutcome::Done { revision: self.head }
    }

    /// Replaces the `members` record by the result of `change`, which gets the record and its
    /// revision.
    pub(crate) fn change_members(&mut self, change: impl Fn(Roster, u64) -> Roster) {
        let known = &self.records[roster::KEY];
        let roster = Roster::parse(&known.value).expect("the record is valid");
        let value = change(roster, known.revision).to_text();
        self.write(&Write {
            expected_head: self.head,
            key: Arc::from(roster::KEY),
            value: value.expect("the record can be written"),
            id: 0,
        });
    }

    pub(crate) fn update(&self) -> Update {
        Update { since: 0, through: self.head, records: self.records.values().cloned().collect() }
    }
}
