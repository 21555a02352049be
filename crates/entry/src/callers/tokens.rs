//! Tokens and concurrency slots of the budgets that all entry hosts share. See docs/design.md §7.

use std::{sync::Arc, time::Duration};

use marjorampick_core::budget::{Account, Budget, Ledger};

use crate::shared::Shared;

/// Options for taking an amount from a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TakeOptions {
    /// Whether an earlier attempt to take the amount failed, so that it isn't counted as demand
    /// twice.
    pub is_retry: bool,
    /// Headroom: share of the slots that must stay free, in percent.
    pub headroom_percent: f64,
}

impl TakeOptions {
    /// Options to take from the whole amount, headroom included.
    pub fn with_headroom(is_retry: bool) -> Self {
        Self { is_retry, headroom_percent: 0.0 }
    }
}

/// Takes an amount from a budget; false if the host has less.
pub type Take = dyn Fn(&Budget, u64, TakeOptions) -> bool + Send + Sync;

/// Releases slots of a concurrency budget.
pub type Release = dyn Fn(&Budget, u64) + Send + Sync;

/// Whole tokens or free slots of a budget that the host can take.
pub type Available = dyn Fn(&Budget) -> u64 + Send + Sync;

/// Access of the request path to the budgets. The operations are closures, so that tests can
/// replace the ledger.
#[derive(Clone)]
pub struct Tokens {
    /// Takes an amount from a budget; false if the host has less.
    pub take: Arc<Take>,
    /// Releases slots of a concurrency budget.
    pub release: Arc<Release>,
    /// Whole tokens or free slots of a budget that the host can take.
    pub available: Arc<Available>,
}

impl Tokens {
    /// Unlimited budgets.
    pub fn unlimited() -> Self {
        Self {
            take: Arc::new(|_, _, _| true),
            release: Arc::new(|_, _| ()),
            available: Arc::new(|_| u64::MAX),
        }
    }

    /// Budgets of a ledger. A budget without an account is empty.
    pub fn from_ledger(ledger: Arc<Ledger>, shared: Arc<Shared>) -> Self {
        Self::with_clock(ledger, move || shared.now())
    }

    /// Like [`Self::from_ledger`], with `now` as the clock.
    pub fn with_clock(
        ledger: Arc<Ledger>,
        now: impl Fn() -> Duration + Clone + Send + Sync + 'static,
    ) -> Self {
        let (take_ledger, take_clock) = (ledger.clone(), now.clone());
        let (release_ledger, release_clock) = (ledger.clone(), now.clone());
        let take = move |budget: &Budget, amount: u64, options: TakeOptions| {
            let account = take_ledger.account(budget);
            account.is_some_and(|account| take_from(&account, take_clock(), amount, options))
        };
        let release = move |budget: &Budget, amount: u64| {
            if let Some(account) = release_ledger.account(budget) {
                account.release(release_clock(), amount);
            }
        };
        let available = move |budget: &Budget| {
            let account = ledger.account(budget);
            account.map_or(0, |account| account.available(now()))
        };
        Self { take: Arc::new(take), release: Arc::new(release), available: Arc::new(available) }
    }

    /// Takes one slot of a concurrency budget, which is released when the result is dropped.
    pub(crate) fn take_slot(&self, budget: Budget, options: TakeOptions) -> Option<Slot> {
        (self.take)(&budget, 1, options).then(|| Slot { tokens: self.clone(), budget })
    }
}

fn take_from(account: &Account, now: Duration, amount: u64, options: TakeOptions) -> bool {
    if options.headroom_percent > 0.0 {
        let free = account.available(now);
        let headroom = headroom_slots(free + account.used(), options.headroom_percent);
        // Two threads may both pass this check for the last slot outside the headroom.
        if free < headroom + amount {
            return false;
        }
    }
    let taken =
        if options.is_retry { account.retry_take(now, amount) } else { account.take(now, amount) };
    taken.is_ok()
}

/// Number of slots in the headroom, rounded to the nearest integer. With rounding up, a host that
/// has a single slot could not use it.
pub(crate) fn headroom_slots(slots: u64, percent: f64) -> u64 {
    (percent / 100.0 * slots as f64).round() as u64
}

/// Slot of a concurrency budget, which is released when it is dropped.
pub(crate) struct Slot {
    tokens: Tokens,
    budget: Budget,
}

impl Drop for Slot {
    fn drop(&mut self) {
        (self.tokens.release)(&self.budget, 1);
    }
}
