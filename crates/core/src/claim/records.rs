//! Deduplication records that a host keeps as owner or backup, or kept before a change of members.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use super::{Name, Record, State, history::Process};
use crate::constants::{CLAIM_MEMORY_LIMIT_BYTES, CLAIM_RETENTION};

/// Memory of a record besides its name and its response, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// A record and what this host knows about it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// When the state last changed.
    pub(super) changed_at: Duration,
    /// Processes that are known to store the record.
    pub(super) stored_by: Vec<Process>,
    /// Whether this host has granted the claim, as its owner.
    pub(super) granted: bool,
    /// When the claim was last checked; equal to `changed_at` before the first check.
    pub(super) last_check: Duration,
}

impl Entry {
    /// The record with its present age, as it is sent.
    pub(super) fn snapshot(&self, now: Duration) -> Record {
        let age = now.saturating_sub(self.changed_at);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Record { age_ms, ..self.record.clone() }
    }

    pub(super) fn holder(&self) -> Process {
        Process { host: self.record.holder.clone(), incarnation: self.record.incarnation }
    }

    /// A running claim does not expire, since its request may still be at a backend server.
    fn is_expired(&self, now: Duration) -> bool {
        self.record.state != State::Running && now >= self.changed_at + CLAIM_RETENTION
    }
}

/// All records of a host, with a limit on their memory.
#[derive(Debug, Default)]
pub(super) struct Records {
    entries: BTreeMap<Name, Entry>,
    bytes: usize,
    /// Last record that [`Self::sweep`] visited; `None` to start with the first one.
    cursor: Option<Name>,
}

impl Records {
    /// Whether the memory limit is reached, so that no new claim may be recorded.
    pub(super) fn is_full(&self) -> bool {
        self.bytes >= CLAIM_MEMORY_LIMIT_BYTES
    }

    /// Estimated memory of the records in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.entries.iter()
    }

    pub(super) fn get(&self, now: Duration, name: &Name) -> Option<&Entry> {
        self.entries.get(name).filter(|entry| !entry.is_expired(now))
    }

    pub(super) fn get_mut(&mut self, name: &Name) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    /// Adds a record, or keeps the later one of two. `stored_by` are processes that store it.
    pub(super) fn merge(&mut self, now: Duration, mut record: Record, stored_by: &[Process]) {
        if self.is_full() && matches!(record.state, State::Done(_)) {
            record.state = State::DoneWithoutAnswer;
        }
        let changed_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        let Some(known) = self.entries.get_mut(&record.name) else {
            return self.insert(record, changed_at, stored_by);
        };
        let version = |record: &Record| (record.revision, record.sequence);
        match version(&record).cmp(&version(&known.record)) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Greater => self.insert(record, changed_at, stored_by),
            std::cmp::Ordering::Equal => {
                let new = stored_by.iter().filter(|process| !known.stored_by.contains(process));
                let new: Vec<Process> = new.cloned().collect();
                known.stored_by.extend(new);
                if supersedes(&record.state, &known.record.state) {
                    self.set_state(&record.name, record.state, changed_at);
                }
            }
        }
    }

    /// Ends the claim that `holder` requested with `id`. Returns whether the record of the name is
    /// the one of this claim.
    pub(super) fn end(
        &mut self,
        now: Duration,
        name: &Name,
        holder: &Process,
        id: u64,
        state: &State,
    ) -> bool {
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        if entry.record.id != id || entry.holder() != *holder {
            return false;
        }
        if supersedes(state, &entry.record.state) {
            let full = self.is_full() && matches!(state, State::Done(_));
            let state = if full { State::DoneWithoutAnswer } else { state.clone() };
            self.set_state(name, state, now);
        }
        true
    }

    /// Marks the running claims whose holder `is_gone` as unknown.
    pub(super) fn mark_unknown(&mut self, now: Duration, is_gone: impl Fn(&Process) -> bool) {
        let running = |entry: &&mut Entry| entry.record.state == State::Running;
        for entry in self.entries.values_mut().filter(running) {
            if is_gone(&entry.holder()) {
                entry.record.state = State::Unknown;
                entry.changed_at = now;
            }
        }
    }

    /// Visits the next `count` records or fewer, in cyclic order. Removes those that are expired
    /// and returns the names of the others.
    pub(super) fn sweep(&mut self, now: Duration, count: usize) -> Vec<Name> {
        let start = self.cursor.take().map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range((start, Bound::Unbounded)).take(count);
        let (expired, kept): (Vec<_>, Vec<_>) = range.partition(|(_, e)| e.is_expired(now));
        let names = |part: Vec<(&Name, &Entry)>| part.into_iter().map(|(n, _)| n.clone()).collect();
        let (expired, kept): (Vec<Name>, Vec<Name>) = (names(expired), names(kept));
        if expired.len() + kept.len() == count {
            self.cursor = expired.last().max(kept.last()).cloned();
        }
        for name in expired {
            self.remove(&name);
        }
        kept
    }

    fn insert(&mut self, record: Record, changed_at: Duration, stored_by: &[Process]) {
        self.remove(&record.name);
        self.bytes += estimated_bytes(&record);
        let entry = Entry {
            changed_at,
            stored_by: stored_by.to_vec(),
            granted: false,
            last_check: changed_at,
            record,
        };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    fn remove(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.bytes -= estimated_bytes(&entry.record);
        }
    }

    fn set_state(&mut self, name: &Name, state: State, changed_at: Duration) {
        if let Some(entry) = self.entries.get_mut(name) {
            self.bytes -= estimated_bytes(&entry.record);
            entry.record.state = state;
            entry.changed_at = changed_at;
            self.bytes += estimated_bytes(&entry.record);
        }
    }
}

/// Whether `state` replaces `known`. A final state is never replaced.
fn supersedes(state: &State, known: &State) -> bool {
    let rank = |state: &State| match state {
        State::Running => 0,
        State::Unknown => 1,
        State::Done(_) | State::DoneWithoutAnswer | State::Dropped => 2,
    };
    rank(state) > rank(known)
}

fn estimated_bytes(record: &Record) -> usize {
    let name = &record.name;
    let names = name.service.len() + name.workspace.len() + name.key.len();
    let response = match &record.state {
        State::Done(outcome) => {
            let headers = outcome.headers.iter().map(|(name, value)| name.len() + value.len() + 32);
            outcome.body.len() + headers.sum::<usize>()
        }
        _ => 0,
    };
    RECORD_OVERHEAD_BYTES + names + response
}
