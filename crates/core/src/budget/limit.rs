//! Limits and how they are divided between the members.

use std::{sync::Arc, time::Duration};

use super::Budget;
use crate::rendezvous;

/// Thousandths in one token. A burst of 2^53 tokens still fits into `u64`.
pub(super) const MILLI: u64 = 1_000;

/// Tokens of burst that go to the host that ranks first before any other host gets some.
///
/// A host without a whole token of burst cannot keep what its rate yields, and a token that one host
/// keeps while another one needs it costs a round trip. Budgets up to this size stay in one place.
const HOME_BURST: u64 = 32;
/// Rate that goes to the host that ranks first before any other host gets some, in thousandths of a
/// token per second.
const HOME_RATE: u64 = 16 * MILLI;

/// Limit of a budget over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Every window of length t admits at most `burst` + `millitokens_per_second` × t.
    Rate {
        /// Thousandths of a token per second.
        millitokens_per_second: u64,
        /// Whole tokens.
        burst: u64,
    },
    /// At most `slots` requests run at the same time.
    Concurrency {
        /// Requests that may run at the same time.
        slots: u64,
        /// Longest time that a request occupies a slot: the longest deadline of the service.
        max_duration: Duration,
    },
}

impl Limit {
    /// Rate limit from a rate in tokens per second, rounded down to thousandths.
    pub fn rate(per_second: f64, burst: u64) -> Self {
        Self::Rate { millitokens_per_second: (per_second * MILLI as f64) as u64, burst }
    }

    /// The same kind of limit, but with nothing to spend.
    pub(super) fn emptied(self) -> Self {
        match self {
            Self::Rate { .. } => Self::Rate { millitokens_per_second: 0, burst: 0 },
            Self::Concurrency { max_duration, .. } => Self::Concurrency { slots: 0, max_duration },
        }
    }

    /// The whole limit as one share.
    pub(super) fn whole(self) -> Share {
        match self {
            Self::Rate { millitokens_per_second, burst } => {
                Share { capacity: burst.saturating_mul(MILLI), rate: millitokens_per_second }
            }
            Self::Concurrency { slots, .. } => Share { capacity: slots, rate: 0 },
        }
    }

    /// Shares of `members`, in their order. Without lending, all shares of a rate are equal.
    pub(super) fn shares(self, budget: &Budget, members: &[Arc<str>], lends: bool) -> Vec<Share> {
        let names = members.iter().map(AsRef::as_ref);
        let order = rendezvous::rank(&budget.rank_key(), names);
        let mut shares = vec![Share::default(); members.len()];
        for (place, index) in order.into_iter().enumerate() {
            shares[index] = self.share(members.len() as u64, place as u64, lends);
        }
        shares
    }

    /// Share of the host at `place` of `count`.
    fn share(self, count: u64, place: u64, lends: bool) -> Share {
        let (home_burst, home_rate) = if lends { (HOME_BURST, HOME_RATE) } else { (0, 0) };
        match self {
            Self::Rate { millitokens_per_second, burst } => Share {
                capacity: first_part(burst, home_burst, count, place).saturating_mul(MILLI),
                rate: first_part(millitokens_per_second, home_rate, count, place),
            },
            Self::Concurrency { slots, .. } => {
                Share { capacity: part(slots, count, place), rate: 0 }
            }
        }
    }
}

/// Part of a limit that one host may spend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Burst in thousandths of a token, or slots.
    pub(super) capacity: u64,
    /// Thousandths of a token per second; 0 for slots.
    pub(super) rate: u64,
}

impl Share {
    /// The smaller of both in each field.
    pub(super) fn min(self, other: Self) -> Self {
        Self { capacity: self.capacity.min(other.capacity), rate: self.rate.min(other.rate) }
    }
}

/// Part of `total` for the host at `place` of `count`; the remainder goes to the first places.
fn part(total: u64, count: u64, place: u64) -> u64 {
    total / count + u64::from(place < total % count)
}

/// Part of `total` when the first place gets all of it up to `home`, the others share the rest until
/// they have as much as the first, and all share what is left.
///
/// No part shrinks when `total` grows. So parts of different totals, which hosts may use while a
/// limit changes, never add up to more than the largest total, even if a host missed a change.
fn first_part(total: u64, home: u64, count: u64, place: u64) -> u64 {
    let even = home.saturating_mul(count);
    if total >= even {
        home + part(total - even, count, place)
    } else if place == 0 {
        total.min(home)
    } else {
        part(total.saturating_sub(home), count - 1, place - 1)
    }
}

impl Budget {
    /// Key of the budget for rendezvous hashing.
    fn rank_key(&self) -> String {
        match self {
            Self::Workspace { service, workspace } => format!("workspace/{service}/{workspace}"),
            Self::CrossRegion { service } => format!("cross-region/{service}"),
            Self::Region { service, region } => format!("region/{service}/{region}"),
        }
    }
}
