//! Whether the store serves this host, and what a silence of it means.

use std::{collections::BTreeSet, time::Duration};

use marjorampick_core::steering::outage::Others;

use super::{Feed, Progress};
use crate::{
    clock,
    events::{Event, Rank},
    registration::HOSTS_PREFIX,
    store::{Change, Fault},
};

impl Feed {
    /// Counts the other hosts that this host knows, by whether their registration, with this key, did not
    /// end.
    pub(super) fn count_others(&self, is_kept: impl Fn(&str) -> bool) -> Others {
        let hosts = self.state.hosts.borrow();
        let registered = hosts.iter().filter(|(_, host)| host.expires_at.is_none());
        let others = registered.filter(|(name, _)| **name != self.state.settings.host.name);
        Others::count(others.map(|(name, _)| is_kept(&format!("{HOSTS_PREFIX}{name}"))))
    }

    /// The other hosts after these changes.
    pub(super) fn others_after(&self, changes: &[Change]) -> Others {
        let is_removal = |change: &&Change| matches!(change, Change::Removed { revision, .. } if *revision > self.revision);
        let removed: BTreeSet<&str> = changes.iter().filter(is_removal).map(Change::key).collect();
        self.count_others(|key| !removed.contains(key))
    }

    /// Records that the host knows what the store held at `at`, or later, from the store or another host.
    /// `others` are the other hosts that were known before. Returns the time since the host last knew.
    pub(super) fn record_knowledge(&mut self, at: Duration, others: Others) -> Duration {
        let now = clock::now();
        let silence = now.saturating_sub(self.last_response_at);
        if self.progress == Progress::Complete {
            self.recovery.record(now, silence, others);
        }
        self.state.fleet.borrow_mut().learn_registrations(now, silence);
        self.last_response_at = self.last_response_at.max(at);
        self.state.store_last_response_at.set(self.last_response_at);
        silence
    }

    /// Records a response of the store.
    pub(super) fn record_response(&mut self, at: Duration, others: Others) {
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

    pub(super) fn record_failure(&mut self, fault: &Fault) {
        let reason = fault.to_string();
        if *fault == Fault::Restored && self.progress != Progress::Unread {
            self.record_restore();
            return;
        }
        if matches!(fault, Fault::Compacted | Fault::TooManyChanges) {
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
}
