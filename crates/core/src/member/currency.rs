//! Currency: the time until which a host's configuration is confirmed to be current.

use std::{collections::VecDeque, time::Duration};

use crate::constants::{CLOCK_DRIFT_PERCENT, CURRENCY_TERM};

/// Number of heartbeat rounds whose replies are still matched. Replies to older rounds arrive after
/// the currency term and would confirm nothing.
const HEARTBEAT_ROUNDS_LIMIT: usize = 16;

/// How long a confirmation lasts on this host's clock, which may run slower than others.
pub fn confirmation_lifetime() -> Duration {
    CURRENCY_TERM * (100 - CLOCK_DRIFT_PERCENT) / 100
}

/// Time until which a host is current, and the recent heartbeat rounds that may extend it.
#[derive(Clone, Debug, Default)]
pub struct Currency {
    until: Duration,
    /// Sequence number and sending time of each round, oldest first.
    rounds: VecDeque<(u64, Duration)>,
}

impl Currency {
    /// Time until which the host is current; zero if it never was.
    ///
    /// Except for [`Self::end`], it never moves back. A host that learns a larger revision stays
    /// current: the confirmation shows that, when it was requested, nothing newer than the smaller
    /// revision was held by more than half of the members.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Extends currency by a confirmation that was requested at `sent`.
    pub fn confirm(&mut self, sent: Duration) {
        self.until = self.until.max(sent + confirmation_lifetime());
    }

    /// Ends currency and forgets all heartbeat rounds, so that late replies cannot extend it.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Records a heartbeat round that is sent now.
    pub fn record_round(&mut self, now: Duration, sequence: u64) {
        self.rounds.push_back((sequence, now));
        if self.rounds.len() > HEARTBEAT_ROUNDS_LIMIT {
            self.rounds.pop_front();
        }
    }

    /// Returns when the heartbeat round with this sequence number was sent, if it still counts.
    pub fn round_sent_at(&self, sequence: u64) -> Option<Duration> {
        let round = self.rounds.iter().find(|(number, _)| *number == sequence);
        round.map(|(_, sent)| *sent)
    }
}

/// Returns the largest value that more than half of `values` reach or exceed; `None` if there are
/// no values.
pub fn majority_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
