//! Claims that a host holds as owner or backup, or held before a change of members.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use super::{Name, Record, State, history::Process};
use crate::constants::{CLAIM_MEMORY_LIMIT, CLAIM_RETENTION};

/// Memory of a record besides its name and its answer, in bytes.
const OVERHEAD: usize = 320;

/// A record and what its keeper knows about it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// When the state last changed.
    pub(super) since: Duration,
    /// Hosts that are known to hold the record.
    pub(super) keepers: Vec<Process>,
    /// Whether this host has granted it.
    pub(super) granted: bool,
    /// When the holder may be asked about it.
    pub(super) next_check: Duration,
}

impl Entry {
    /// The record as it is sent now.
    pub(super) fn sent(&self, now: Duration) -> Record {
        let age = now.saturating_sub(self.since);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Record { age_ms, ..self.record.clone() }
    }

    pub(super) fn holder(&self) -> Process {
        Process { host: self.record.holder.clone(), incarnation: self.record.incarnation }
    }

    /// Running claims do not expire, since their requests may still be at a backend server.
    fn is_expired(&self, now: Duration) -> bool {
        self.record.state != State::Running && now >= self.since + CLAIM_RETENTION
    }
}

/// All records of a host, bounded by their memory.
#[derive(Debug, Default)]
pub(super) struct Records {
    entries: BTreeMap<Name, Entry>,
    bytes: usize,
    cursor: Option<Name>,
}

impl Records {
    /// Whether no new claim may be recorded.
    pub(super) fn is_full(&self) -> bool {
        self.bytes >= CLAIM_MEMORY_LIMIT
    }

    /// Memory of the records in bytes, estimated.
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

    /// Adds a record, or keeps the later of two. A record that `keeper` sent is kept there too.
    pub(super) fn merge(&mut self, now: Duration, mut record: Record, keepers: &[Process]) {
        if self.is_full() && matches!(record.state, State::Done(_)) {
            record.state = State::DoneWithoutAnswer;
        }
        let since = now.saturating_sub(Duration::from_millis(record.age_ms));
        let Some(known) = self.entries.get_mut(&record.name) else {
            return self.insert(record, since, keepers);
        };
        let version = |record: &Record| (record.revision, record.sequence);
        match version(&record).cmp(&version(&known.record)) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Greater => self.insert(record, since, keepers),
            std::cmp::Ordering::Equal => {
                let new = keepers.iter().filter(|keeper| !known.keepers.contains(keeper));
                let new: Vec<Process> = new.cloned().collect();
                known.keepers.extend(new);
                if outranks(&record.state, &known.record.state) {
                    self.change(&record.name, record.state, since);
                }
            }
        }
    }

    /// Ends the claim that `holder` asked for as number `id`; answers whether it is the known one.
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
        if outranks(state, &entry.record.state) {
            let full = self.is_full() && matches!(state, State::Done(_));
            let state = if full { State::DoneWithoutAnswer } else { state.clone() };
            self.change(name, state, now);
        }
        true
    }

    /// Makes the running claims whose holder `is_gone` unknown.
    pub(super) fn lose(&mut self, now: Duration, is_gone: impl Fn(&Process) -> bool) {
        let running = |entry: &&mut Entry| entry.record.state == State::Running;
        for entry in self.entries.values_mut().filter(running) {
            if is_gone(&entry.holder()) {
                entry.record.state = State::Unknown;
                entry.since = now;
            }
        }
    }

    /// Names of the next records in turn, at most `count`; expired ones are removed.
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

    fn insert(&mut self, record: Record, since: Duration, keepers: &[Process]) {
        self.remove(&record.name);
        self.bytes += size(&record);
        let entry =
            Entry { since, keepers: keepers.to_vec(), granted: false, next_check: since, record };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    fn remove(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.bytes -= size(&entry.record);
        }
    }

    fn change(&mut self, name: &Name, state: State, since: Duration) {
        if let Some(entry) = self.entries.get_mut(name) {
            self.bytes -= size(&entry.record);
            entry.record.state = state;
            entry.since = since;
            self.bytes += size(&entry.record);
        }
    }
}

/// Whether `state` says more about a claim than `known`. What is final stays.
fn outranks(state: &State, known: &State) -> bool {
    let rank = |state: &State| match state {
        State::Running => 0,
        State::Unknown => 1,
        State::Done(_) | State::DoneWithoutAnswer | State::Dropped => 2,
    };
    rank(state) > rank(known)
}

fn size(record: &Record) -> usize {
    let name = &record.name;
    let names = name.service.len() + name.workspace.len() + name.key.len();
    let answer = match &record.state {
        State::Done(outcome) => {
            let headers = outcome.headers.iter().map(|(name, value)| name.len() + value.len() + 32);
            outcome.body.len() + headers.sum::<usize>()
        }
        _ => 0,
    };
    OVERHEAD + names + answer
}
