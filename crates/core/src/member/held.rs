//! Which changes are held by more than half of the members, and which are in force.

use std::{collections::VecDeque, time::Duration};

use super::currency::majority;
use crate::constants::{CLOCK_DRIFT_PERCENT, CURRENCY_TERM, IN_FORCE_MARGIN};

/// How long after a change is held every host has it or is not current.
pub fn in_force_after() -> Duration {
    CURRENCY_TERM * (100 + CLOCK_DRIFT_PERCENT) / 100 + IN_FORCE_MARGIN
}

/// Largest revision known to be held and the largest one known to be in force.
#[derive(Clone, Debug, Default)]
pub struct Held {
    revision: u64,
    in_force: u64,
    waiting: VecDeque<(Duration, u64)>,
}

impl Held {
    /// Largest revision that is known to be held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Largest revision that is known to be in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Notes that `revision` is held. Answers whether this is news.
    pub fn observe(&mut self, now: Duration, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.waiting.push_back((now + in_force_after(), revision));
        true
    }

    /// The revision that came into force by now, if any.
    pub fn advance(&mut self, now: Duration) -> Option<u64> {
        let due = self.waiting.iter().take_while(|(at, _)| *at <= now).count();
        let (_, revision) = self.waiting.drain(..due).next_back()?;
        self.in_force = revision;
        Some(revision)
    }
}

/// The largest revision that more than half of the members have; `previous` counts as well while the
/// current table itself, written at `table`, is not held.
///
/// Each value is the revision that a member is known to have, `u64::MAX` for a member that is gone.
pub fn held(current: Vec<u64>, previous: Vec<u64>, table: u64, held_before: u64) -> u64 {
    // A table without members, such as the one before the first, needs nobody.
    let by_current = majority(current).unwrap_or(u64::MAX);
    if held_before >= table {
        return by_current;
    }
    let by_previous = majority(previous).unwrap_or(u64::MAX);
    let by_both = by_current.min(by_previous);
    if by_both >= table { by_current } else { by_both }
}
