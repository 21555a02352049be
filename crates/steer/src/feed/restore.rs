//! What a restore of the store to an earlier copy means for this host.
//!
//! Nothing in force goes back with the store. What the copy lacks stays for as long as its writer needs to
//! write it again: registrations of instances and hosts up to [`REREGISTRATION_GRACE`], evacuations up to
//! [`REWRITE_TIME`], limits and condemned requests until a host that knows them has written them. What the
//! copy holds and this host knows to be over does not return: configurations are compared by their version,
//! departures by the start of the instance (`core::steering::departure`). See docs/incidents/inc-restored-store.md.
//!
//! [`REREGISTRATION_GRACE`]: marjorampick_core::steering::outage::REREGISTRATION_GRACE

use std::{collections::BTreeMap, time::Duration};

use marjorampick_core::steering::{
    history::{Era, REWRITE_TIME},
    outage::OUTAGE_THRESHOLD,
};

use super::{
    Feed, Progress,
    entries::{Entry, Kind},
};
use crate::{
    clock,
    codec::Subject,
    events::{Event, Rank},
    limits, metrics, quarantine,
};

/// Entries of the operator that a restored store lacks, by key, with the time until which they stay.
#[derive(Debug, Default)]
pub(super) struct Unconfirmed(BTreeMap<String, Duration>);

impl Unconfirmed {
    /// Records that an entry has been written again.
    pub(super) fn confirm(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Whether an entry waits to be written again.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Removes and returns the keys of the entries that have not been written again in time.
    fn take_expired(&mut self, now: Duration) -> Vec<String> {
        let expired = self.0.extract_if(.., |_, stays_until| *stays_until <= now);
        expired.map(|(key, _)| key).collect()
    }
}

impl Feed {
    /// Records that the store has been restored: all that was read of it is of an earlier history.
    pub(super) fn record_restore(&mut self) {
        self.abandon_read();
        // Versions may be given out again.
        self.collection.clear();
        self.progress = Progress::Incomplete;
        self.is_restored = true;
        self.schedule.record_gap();
        self.state.lost_entries.record_restore();
        let event = Event::StoreRestored {
            era_before: self.era.0,
            era: self.client.era().0,
            revision_before: self.revision,
        };
        self.state.log.write(Rank::Notice, event);
        metrics::record_restore();
    }

    /// Goes over to the store's new history, which begins at most at `revision`. `missing` are the entries
    /// that this host knows from the earlier one and the store lacks.
    pub(super) fn start_era(&mut self, era: Era, revision: u64, missing: Vec<Entry>) {
        let now = clock::now();
        self.recent.clear();
        self.recovery.record_restore(now);
        // What has returned to the earlier history may have returned once more.
        self.state.fleet.borrow_mut().learn_registrations(now, OUTAGE_THRESHOLD);
        let event = Event::StoreReread { era: era.0, revision, missing: missing.len() };
        self.state.log.write(Rank::Notice, event);
        let known = std::mem::take(&mut self.unconfirmed);
        for Entry { key, kind } in missing {
            match kind {
                Kind::Limit(id) => limits::lose_record(&self.state, &id),
                Kind::Sentence(request) => quarantine::lose_record(&self.state, request),
                Kind::Platform(Subject::Evacuation(_)) => {
                    let stays_until = known.0.get(&key).copied().unwrap_or(now + REWRITE_TIME);
                    self.unconfirmed.0.insert(key, stays_until);
                }
                // These stay for a while after a restore.
                kind => self.remove_entry(&kind, revision),
            }
        }
    }

    /// Removes the entries that the operator has not written again in time after a restore.
    pub(super) fn drop_unconfirmed(&mut self) {
        for key in self.unconfirmed.take_expired(clock::now()) {
            self.remove_key(&key, self.revision);
        }
    }
}
