//! Token bucket of one host for a rate budget.

use std::{sync::Arc, time::Duration};

use super::{
    limit::{MILLI, Share},
    version::Versions,
};

const NANOS: u128 = 1_000_000_000;

/// Capacity that left with a loan or came with one.
#[derive(Clone, Debug)]
pub(super) struct Moved {
    /// Burst in thousandths of a token and rate.
    share: Share,
    /// When it ends, on this host's clock.
    until: Duration,
    /// The other host.
    peer: Arc<str>,
    id: u64,
}

impl Moved {
    pub(super) fn new(share: Share, until: Duration, peer: Arc<str>, id: u64) -> Self {
        Self { share, until, peer, id }
    }
}

/// Tokens that this host may spend.
///
/// The tokens never exceed the capacity: own share, less what is lent, plus what is borrowed. As
/// the capacities of all hosts add up to at most the burst, so do the tokens.
#[derive(Debug)]
pub(super) struct Bucket {
    versions: Versions,
    /// Thousandths of a token.
    tokens: u64,
    /// Part of a thousandth, times [`NANOS`].
    fraction: u64,
    updated: Duration,
    lent: Vec<Moved>,
    borrowed: Vec<Moved>,
    /// Capacity and rate until `next_change`.
    current: Share,
    next_change: Option<Duration>,
}

impl Bucket {
    /// An empty bucket without a share.
    pub(super) fn new(now: Duration, versions: Versions) -> Self {
        let mut bucket = Self {
            versions,
            tokens: 0,
            fraction: 0,
            updated: now,
            lent: Vec::new(),
            borrowed: Vec::new(),
            current: Share::default(),
            next_change: None,
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

    /// Takes whole tokens, or answers how many are missing.
    pub(super) fn take(&mut self, now: Duration, amount: u64) -> Result<(), u64> {
        self.advance(now);
        let wanted = amount.saturating_mul(MILLI);
        match self.tokens.checked_sub(wanted) {
            Some(rest) => {
                self.tokens = rest;
                Ok(())
            }
            None => Err((wanted - self.tokens).div_ceil(MILLI)),
        }
    }

    /// Tokens of the own share in thousandths; borrowed capacity is not lent on.
    pub(super) fn lendable(&self) -> u64 {
        self.tokens.min(self.own().capacity)
    }

    /// Whether the whole share could be lent.
    pub(super) fn is_full(&self) -> bool {
        self.lendable() >= self.versions.newest().capacity
    }

    /// What was granted to `borrower` for its request `id`, if that has not ended.
    pub(super) fn granted(&self, borrower: &str, id: u64) -> Option<Share> {
        let same = |loan: &&Moved| loan.peer.as_ref() == borrower && loan.id == id;
        self.lent.iter().find(same).map(|loan| loan.share)
    }

    /// Thousandths of a token in the bucket.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Thousandths of a token that the own share can still receive. Borrowed capacity does not count,
    /// as it is about to end.
    pub(super) fn own_room(&self) -> u64 {
        self.own().capacity.saturating_sub(self.tokens)
    }

    /// Rate at which the bucket fills, in thousandths of a token per second.
    pub(super) fn rate(&self) -> u64 {
        self.current.rate
    }

    /// Deducts a loan of `tokens` thousandths, which must be lendable.
    pub(super) fn lend(&mut self, tokens: u64, loan: Moved) {
        self.tokens -= tokens;
        self.lent.push(loan);
        self.refresh();
    }

    /// Adds a loan of `tokens` thousandths.
    pub(super) fn borrow(&mut self, tokens: u64, loan: Moved) {
        self.borrowed.push(loan);
        self.refresh();
        self.tokens = self.tokens.saturating_add(tokens).min(self.current.capacity);
    }

    /// Brings the tokens up to `now`, through every change of capacity on the way.
    pub(super) fn advance(&mut self, now: Duration) {
        while let Some(change) = self.next_change.filter(|change| *change <= now) {
            self.accrue(change);
            self.lent.retain(|loan| loan.until > change);
            self.borrowed.retain(|loan| loan.until > change);
            self.versions.settle(change);
            self.refresh();
        }
        self.accrue(now);
    }

    /// Own share less what is lent.
    fn own(&self) -> Share {
        let share = self.versions.share();
        let lent = total(&self.lent);
        Share {
            capacity: share.capacity.saturating_sub(lent.capacity),
            rate: share.rate.saturating_sub(lent.rate),
        }
    }

    fn accrue(&mut self, now: Duration) {
        let Some(elapsed) = now.checked_sub(self.updated) else {
            return;
        };
        self.updated = now;
        let nanos = u128::from(self.current.rate) * elapsed.as_nanos() + u128::from(self.fraction);
        let gained = u64::try_from(nanos / NANOS).unwrap_or(u64::MAX);
        self.fraction = (nanos % NANOS) as u64;
        self.tokens = self.tokens.saturating_add(gained);
        if self.tokens >= self.current.capacity {
            self.tokens = self.current.capacity;
            self.fraction = 0;
        }
    }

    fn refresh(&mut self) {
        let own = self.own();
        let borrowed = total(&self.borrowed);
        self.current = Share {
            capacity: own.capacity.saturating_add(borrowed.capacity),
            rate: own.rate.saturating_add(borrowed.rate),
        };
        self.tokens = self.tokens.min(self.current.capacity);
        let loans = self.lent.iter().chain(&self.borrowed);
        let ends = loans.map(|loan| loan.until);
        self.next_change = ends.chain(self.versions.next_settled()).min();
    }
}

fn total(loans: &[Moved]) -> Share {
    loans.iter().fold(Share::default(), |sum, loan| Share {
        capacity: sum.capacity.saturating_add(loan.share.capacity),
        rate: sum.rate.saturating_add(loan.share.rate),
    })
}
