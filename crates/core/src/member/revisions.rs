//! Which revisions are held by more than half of the members, and which are in force.

use std::{collections::VecDeque, time::Duration};

use super::currency::majority_value;
use crate::constants::{CLOCK_DRIFT_PERCENT, CURRENCY_TERM, IN_FORCE_MARGIN};

/// How long after a change is held it is in force: every host then has it or is not current.
pub fn in_force_delay() -> Duration {
    CURRENCY_TERM * (100 + CLOCK_DRIFT_PERCENT) / 100 + IN_FORCE_MARGIN
}

/// Largest revision known to be held and the largest one known to be in force.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    held: u64,
    in_force: u64,
    /// Held revisions and the times at which they come into force, oldest first.
    pending: VecDeque<(Duration, u64)>,
}

impl Revisions {
    /// Largest revision known to be held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Largest revision known to be in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Records that `revision` is held. Returns whether it is larger than any recorded before.
    pub fn record_held(&mut self, now: Duration, revision: u64) -> bool {
        if revision <= self.held {
            return false;
        }
        self.held = revision;
        self.pending.push_back((now + in_force_delay(), revision));
        true
    }

    /// Returns the largest revision that has come into force since the last call, if any.
    pub fn advance_in_force(&mut self, now: Duration) -> Option<u64> {
        let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
        let (_, revision) = self.pending.drain(..due).next_back()?;
        self.in_force = revision;
        Some(revision)
    }
}

/// Returns the largest revision that more than half of the members hold.
///
/// `current` and `previous` are the revisions that the members of the current and the previous
/// table are known to have, `u64::MAX` for a member that is gone. Until the current table, written
/// at `table_revision`, is held itself, more than half of the previous members must hold the
/// revision, too. `held_before` is the largest revision known to be held so far.
pub fn held_revision(
    current: Vec<u64>,
    previous: Vec<u64>,
    table_revision: u64,
    held_before: u64,
) -> u64 {
    // A table without members, such as the one before the first, requires no holders.
    let by_current = majority_value(current).unwrap_or(u64::MAX);
    if held_before >= table_revision {
        return by_current;
    }
    let by_previous = majority_value(previous).unwrap_or(u64::MAX);
    let by_both = by_current.min(by_previous);
    if by_both >= table_revision { by_current } else { by_both }
}
