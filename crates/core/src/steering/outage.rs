//! Tells an outage of the store from a silence of this host alone.
//!
//! The load pattern is instances that are replaced while some hosts do not reach the store. After an
//! outage, entries whose leases ended are missing until their holders write them again, and a host that
//! dropped them would have no instance left. A host that alone was refused or cut off sees the same: it
//! heard nothing, and then entries are missing. But those say that their instances left. What tells the
//! two apart are the registrations of the other hosts, whose leases are shorter than those of instances:
//! if one of them was renewed all the time, the store was there. See docs/incidents/inc-drain.md.

use std::time::Duration;

/// Time without a response of the store after which leased entries may have expired.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// How long registrations that expired during an outage of the store may take to reappear.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2300);

/// Other hosts that were registered before a silence of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    /// Their number.
    pub known: usize,
    /// Those whose registration did not end in the silence.
    pub kept: usize,
}

impl Others {
    /// Counts hosts, each with whether its registration did not end.
    pub fn count(kept: impl Iterator<Item = bool>) -> Self {
        kept.fold(Self::default(), |others, is_kept| Self {
            known: others.known + 1,
            kept: others.kept + usize::from(is_kept),
        })
    }
}

/// Latest recovery of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    recovered_at: Option<Duration>,
}

impl Recovery {
    /// Records the first response after a silence. Without another host there is no evidence, and the
    /// silence counts as an outage.
    pub fn record(&mut self, now: Duration, silence: Duration, others: Others) {
        if silence >= OUTAGE_THRESHOLD {
            self.recovered_at = (others.kept == 0).then_some(now);
        }
    }

    /// Records that the store has been restored to an earlier copy, which may lack entries until their
    /// holders write them again.
    pub fn record_restore(&mut self, now: Duration) {
        self.recovered_at = Some(now);
    }

    /// Time until which an entry that is missing now may be written again; `None` if it is gone.
    pub fn reregistration_deadline(&self, now: Duration) -> Option<Duration> {
        let deadline = self.recovered_at? + REREGISTRATION_GRACE;
        (now < deadline).then_some(deadline)
    }
}
