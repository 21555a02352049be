//! Limits and how they are divided between the members.

use std::{sync::Arc, time::Duration};

use super::Budget;
use crate::rendezvous;

/// Rate budgets are counted in thousandths of a token, in which a burst of 2^53 tokens still fits
/// into `u64`.
pub(super) const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// Burst that the first-ranked host gets before any other host gets some, in tokens.
///
/// Spreading a small burst wastes it: a host with less than one token of burst cannot accumulate
/// what its rate yields, and a token held by a host that does not need it costs another host a
/// round trip. Bursts up to this size therefore stay on one host.
const FIRST_RANK_BURST_TOKENS: u64 = 32;

/// Rate that the first-ranked host gets before any other host gets some.
const FIRST_RANK_RATE_MILLITOKENS_PER_SECOND: u64 = 16 * MILLITOKENS_PER_TOKEN;

/// Limit of a budget over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Every window of length t admits at most `burst` tokens plus what the rate yields in t.
    Rate {
        /// Rate in thousandths of a token per second.
        millitokens_per_second: u64,
        /// Burst in whole tokens.
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
    /// Rate limit from a rate in tokens per second, rounded down to thousandths of a token, and a
    /// burst in whole tokens.
    pub fn rate(per_second: f64, burst: u64) -> Self {
        Self::Rate {
            millitokens_per_second: (per_second * MILLITOKENS_PER_TOKEN as f64) as u64,
            burst,
        }
    }

    /// A limit of the same kind that admits nothing.
    pub(super) fn zeroed(self) -> Self {
        match self {
            Self::Rate { .. } => Self::Rate { millitokens_per_second: 0, burst: 0 },
            Self::Concurrency { max_duration, .. } => Self::Concurrency { slots: 0, max_duration },
        }
    }

    /// The entire limit as one share.
    pub(super) fn full_share(self) -> Share {
        match self {
            Self::Rate { millitokens_per_second, burst } => Share {
                capacity: burst.saturating_mul(MILLITOKENS_PER_TOKEN),
                rate: millitokens_per_second,
            },
            Self::Concurrency { slots, .. } => Share { capacity: slots, rate: 0 },
        }
    }

    /// Shares of `members`, in the order of `members`.
    ///
    /// With `lending`, small rates and bursts go to the first-ranked hosts, which lend them on
    /// request. Without it, all shares are equal up to the remainder of the division.
    pub(super) fn shares(self, budget: &Budget, members: &[Arc<str>], lending: bool) -> Vec<Share> {
        let names = members.iter().map(AsRef::as_ref);
        let order = rendezvous::rank(&budget.rendezvous_key(), names);
        let mut shares = vec![Share::default(); members.len()];
        for (rank, index) in order.into_iter().enumerate() {
            shares[index] = self.share(members.len() as u64, rank as u64, lending);
        }
        shares
    }

    /// Share of the host with `rank`, counted from 0, among `count` hosts.
    fn share(self, count: u64, rank: u64, lending: bool) -> Share {
        let (first_burst, first_rate) = if lending {
            (FIRST_RANK_BURST_TOKENS, FIRST_RANK_RATE_MILLITOKENS_PER_SECOND)
        } else {
            (0, 0)
        };
        match self {
            Self::Rate { millitokens_per_second, burst } => Share {
                capacity: front_loaded_share(burst, first_burst, count, rank)
                    .saturating_mul(MILLITOKENS_PER_TOKEN),
                rate: front_loaded_share(millitokens_per_second, first_rate, count, rank),
            },
            Self::Concurrency { slots, .. } => {
                Share { capacity: even_share(slots, count, rank), rate: 0 }
            }
        }
    }
}

/// Part of a limit that one host may spend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Burst in thousandths of a token for a rate budget, slots for a concurrency budget.
    pub(super) capacity: u64,
    /// Thousandths of a token per second; 0 for a concurrency budget.
    pub(super) rate: u64,
}

impl Share {
    /// The smaller value of each field.
    pub(super) fn min(self, other: Self) -> Self {
        Self { capacity: self.capacity.min(other.capacity), rate: self.rate.min(other.rate) }
    }
}

/// Share of `total` for the host with `rank` among `count` hosts. The lowest ranks get one more
/// each when the division leaves a remainder.
fn even_share(total: u64, count: u64, rank: u64) -> u64 {
    total / count + u64::from(rank < total % count)
}

/// Share of `total` when the first rank gets up to `first`, then the others up to as much each, and
/// all hosts divide the rest evenly.
///
/// No share shrinks when `total` grows. While a limit changes, hosts may use shares of different
/// totals; this keeps their sum within the largest total, even if a host missed a change.
fn front_loaded_share(total: u64, first: u64, count: u64, rank: u64) -> u64 {
    let all_first = first.saturating_mul(count);
    if total >= all_first {
        first + even_share(total - all_first, count, rank)
    } else if rank == 0 {
        total.min(first)
    } else {
        even_share(total.saturating_sub(first), count - 1, rank - 1)
    }
}

impl Budget {
    /// Key by which rendezvous hashing ranks the hosts for this budget.
    fn rendezvous_key(&self) -> String {
        match self {
            Self::Workspace { service, workspace } => format!("workspace/{service}/{workspace}"),
            Self::CrossRegion { service } => format!("cross-region/{service}"),
            Self::Region { service, region } => format!("region/{service}/{region}"),
        }
    }
}
