//! Which of the hosts that want to try a request at the same moment does so.

use std::time::Duration;

use super::CLAIM_TIME;

/// Wishes of hosts to try a request, until [`CLAIM_TIME`] after the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    best_rank: u64,
    ends_at: Duration,
}

impl Claim {
    /// Adds the wish of a host with this rank.
    pub(super) fn add(&mut self, now: Duration, rank: u64) {
        if now >= self.ends_at {
            *self = Self { best_rank: rank, ends_at: now + CLAIM_TIME };
        }
        self.best_rank = self.best_rank.max(rank);
    }

    /// Whether the host with this rank has the highest one.
    pub(super) fn is_held_by(self, rank: u64) -> bool {
        self.best_rank == rank
    }
}
