//! Until when a host knows that its view is current.

use std::{collections::VecDeque, time::Duration};

use crate::constants::{CLOCK_DRIFT_PERCENT, CURRENCY_TERM};

/// Number of heartbeat rounds whose answers still count; later answers are older than the term.
const ROUNDS_KEPT: usize = 16;

/// How long a confirmation lasts on this host's clock.
pub fn term() -> Duration {
    CURRENCY_TERM * (100 - CLOCK_DRIFT_PERCENT) / 100
}

/// The moment until which a host is current, and the heartbeat rounds that may extend it.
#[derive(Clone, Debug, Default)]
pub struct Currency {
    until: Duration,
    rounds: VecDeque<(u64, Duration)>,
}

impl Currency {
    /// Moment until which the host is current; zero when it never was.
    ///
    /// It never moves back. A host that learns a larger revision stays current, as the confirmation
    /// says that nothing newer than a smaller revision was held when it was asked for.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Counts a confirmation that was asked for at `sent`.
    pub fn confirm(&mut self, sent: Duration) {
        self.until = self.until.max(sent + term());
    }

    /// Ends currency for good.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Notes when the heartbeats numbered `sequence` were sent.
    pub fn sent(&mut self, now: Duration, sequence: u64) {
        self.rounds.push_back((sequence, now));
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
    }

    /// When the heartbeats numbered `sequence` were sent.
    pub fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let round = self.rounds.iter().find(|(number, _)| *number == sequence);
        round.map(|(_, sent)| *sent)
    }
}

/// The largest value that more than half of the members reach; `None` for no members.
pub fn majority<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
