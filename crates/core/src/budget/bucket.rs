//! Token bucket of one host for a rate budget.

use std::{sync::Arc, time::Duration};

use super::{
    limit::{MILLITOKENS_PER_TOKEN, Share},
    version::Versions,
};

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Capacity that moved between this host and a peer with a loan.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    /// Capacity and rate that moved.
    share: Share,
    /// When the loan ends, on this host's clock.
    ends_at: Duration,
    /// Borrower of a granted loan, lender of a received one.
    peer: Arc<str>,
    /// Number of the loan request.
    id: u64,
}

impl Transfer {
    pub(super) fn new(share: Share, ends_at: Duration, peer: Arc<str>, id: u64) -> Self {
        Self { share, ends_at, peer, id }
    }
}

/// Tokens that this host may spend.
///
/// The tokens never exceed the effective capacity: the own share, less what is lent, plus what is
/// borrowed. The capacities of all hosts add up to at most the burst, and so do the tokens.
#[derive(Debug)]
pub(super) struct Bucket {
    versions: Versions,
    millitokens: u64,
    /// Fraction of a thousandth of a token that has accrued beyond `millitokens`, in billionths.
    fraction: u64,
    /// Time up to which tokens have accrued.
    updated_at: Duration,
    lent: Vec<Transfer>,
    borrowed: Vec<Transfer>,
    /// Capacity and rate until `next_change_at`.
    effective: Share,
    /// When the next loan ends or the next version of the share settles.
    next_change_at: Option<Duration>,
}

impl Bucket {
    /// An empty bucket with the share of `versions`.
    pub(super) fn new(now: Duration, versions: Versions) -> Self {
        let mut bucket = Self {
            versions,
            millitokens: 0,
            fraction: 0,
            updated_at: now,
            lent: Vec::new(),
            borrowed: Vec::new(),
            effective: Share::default(),
            next_change_at: None,
        };
        bucket.refresh();
        bucket
    }

    /// Changes the versions of the share; a smaller share takes effect at once.
    pub(super) fn change(&mut self, now: Duration, change: impl FnOnce(&mut Versions)) {
        self.advance(now);
        change(&mut self.versions);
        self.refresh();
        self.advance(now);
    }

    /// Takes `amount` whole tokens. The error is the number of whole tokens that are missing.
    pub(super) fn take(&mut self, now: Duration, amount: u64) -> Result<(), u64> {
        self.advance(now);
        let wanted = amount.saturating_mul(MILLITOKENS_PER_TOKEN);
        match self.millitokens.checked_sub(wanted) {
            Some(remaining) => {
                self.millitokens = remaining;
                Ok(())
            }
            None => Err((wanted - self.millitokens).div_ceil(MILLITOKENS_PER_TOKEN)),
        }
    }

    /// Tokens that can be lent, in thousandths. Borrowed capacity is not lent on.
    pub(super) fn lendable(&self) -> u64 {
        self.millitokens.min(self.retained_share().capacity)
    }

    /// Whether the whole newest share could be lent.
    pub(super) fn is_full(&self) -> bool {
        self.lendable() >= self.versions.newest().capacity
    }

    /// What was granted to `borrower` for its request `id`, if that loan has not ended.
    pub(super) fn find_grant(&self, borrower: &str, id: u64) -> Option<Share> {
        let same = |loan: &&Transfer| loan.peer.as_ref() == borrower && loan.id == id;
        self.lent.iter().find(same).map(|loan| loan.share)
    }

    /// Tokens in the bucket, in thousandths.
    pub(super) fn millitokens(&self) -> u64 {
        self.millitokens
    }

    /// Thousandths of a token that the own share has room for. Borrowed capacity does not count, as
    /// its loans end soon.
    pub(super) fn own_headroom(&self) -> u64 {
        self.retained_share().capacity.saturating_sub(self.millitokens)
    }

    /// Rate at which the bucket fills, in thousandths of a token per second.
    pub(super) fn rate(&self) -> u64 {
        self.effective.rate
    }

    /// Deducts a granted loan and its `millitokens`, which must be lendable.
    pub(super) fn deduct_loan(&mut self, millitokens: u64, loan: Transfer) {
        self.millitokens -= millitokens;
        self.lent.push(loan);
        self.refresh();
    }

    /// Adds a received loan and its `millitokens`.
    pub(super) fn add_loan(&mut self, millitokens: u64, loan: Transfer) {
        self.borrowed.push(loan);
        self.refresh();
        self.millitokens =
            self.millitokens.saturating_add(millitokens).min(self.effective.capacity);
    }

    /// Accrues tokens up to `now` and applies each change of the share and end of a loan in order.
    pub(super) fn advance(&mut self, now: Duration) {
        while let Some(change) = self.next_change_at.filter(|change| *change <= now) {
            self.accrue(change);
            self.lent.retain(|loan| loan.ends_at > change);
            self.borrowed.retain(|loan| loan.ends_at > change);
            self.versions.settle(change);
            self.refresh();
        }
        self.accrue(now);
    }

    /// The own share less what is lent.
    fn retained_share(&self) -> Share {
        let share = self.versions.effective_share();
        let lent = total(&self.lent);
        Share {
            capacity: share.capacity.saturating_sub(lent.capacity),
            rate: share.rate.saturating_sub(lent.rate),
        }
    }

    /// Accrues tokens up to `now` at the effective rate, up to the effective capacity.
    fn accrue(&mut self, now: Duration) {
        let Some(elapsed) = now.checked_sub(self.updated_at) else {
            return;
        };
        self.updated_at = now;
        let billionths =
            u128::from(self.effective.rate) * elapsed.as_nanos() + u128::from(self.fraction);
        let gained = u64::try_from(billionths / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.fraction = (billionths % NANOS_PER_SECOND) as u64;
        self.millitokens = self.millitokens.saturating_add(gained);
        if self.millitokens >= self.effective.capacity {
            self.millitokens = self.effective.capacity;
            self.fraction = 0;
        }
    }

    /// Recomputes the effective share and the next change, and drops tokens above the capacity.
    fn refresh(&mut self) {
        let own = self.retained_share();
        let borrowed = total(&self.borrowed);
        self.effective = Share {
            capacity: own.capacity.saturating_add(borrowed.capacity),
            rate: own.rate.saturating_add(borrowed.rate),
        };
        self.millitokens = self.millitokens.min(self.effective.capacity);
        let loans = self.lent.iter().chain(&self.borrowed);
        let ends = loans.map(|loan| loan.ends_at);
        self.next_change_at = ends.chain(self.versions.next_settling_at()).min();
    }
}

fn total(loans: &[Transfer]) -> Share {
    loans.iter().fold(Share::default(), |sum, loan| Share {
        capacity: sum.capacity.saturating_add(loan.share.capacity),
        rate: sum.rate.saturating_add(loan.share.rate),
    })
}
