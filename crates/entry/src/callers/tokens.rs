//! Taking and returning tokens of the fleet-wide budgets. See docs/design.md §7.

use std::{sync::Arc, time::Duration};

use marjorampick_core::budget::{Account, Budget, Ledger};

use crate::shared::Shared;

/// How an amount is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TakeOptions {
    /// Whether the request was short before, so that it doesn't count as demand twice.
    pub is_retry: bool,
    /// Part of the slots that must stay free, in percent.
    pub headroom_percent: f64,
}

impl TakeOptions {
    /// Takes from the whole amount; `again` if the request was short before.
    pub fn with_headroom(is_retry: bool) -> Self {
        Self { is_retry, headroom_percent: 0.0 }
    }
}

/// Takes an amount of a budget if the host has it.
pub type Take = dyn Fn(&Budget, u64, TakeOptions) -> bool + Send + Sync;

/// Returns an amount of a concurrency budget.
pub type Release = dyn Fn(&Budget, u64) + Send + Sync;

/// Whole tokens or free slots that the host has of a budget.
pub type Available = dyn Fn(&Budget) -> u64 + Send + Sync;

/// How the request path spends budgets; closures, so that tests can run out of tokens at will.
#[derive(Clone)]
pub struct Tokens {
    /// Takes an amount of a budget if the host has it.
    pub take: Arc<Take>,
    /// Returns an amount of a concurrency budget.
    pub release: Arc<Release>,
    /// Whole tokens or free slots that the host has of a budget.
    pub available: Arc<Available>,
}

impl Tokens {
    /// Budgets without limits.
    pub fn unlimited() -> Self {
        Self {
            take: Arc::new(|_, _, _| true),
            release: Arc::new(|_, _| ()),
            available: Arc::new(|_| u64::MAX),
        }
    }

    /// The accounts of a ledger; a budget without an account has nothing.
    pub fn from_ledger(ledger: Arc<Ledger>, shared: Arc<Shared>) -> Self {
        Self::with_clock(ledger, move || shared.now())
    }

    /// The accounts of a ledger with a clock of the caller's choice.
    pub fn with_clock(
        ledger: Arc<Ledger>,
        now: impl Fn() -> Duration + Clone + Send + Sync + 'static,
    ) -> Self {
        let (taken, taken_at) = (ledger.clone(), now.clone());
        let (released, released_at) = (ledger.clone(), now.clone());
        let take = move |budget: &Budget, amount: u64, taking: TakeOptions| {
            let account = taken.account(budget);
            account.is_some_and(|account| take_from(&account, taken_at(), amount, taking))
        };
        let release = move |budget: &Budget, amount: u64| {
            if let Some(account) = released.account(budget) {
                account.release(released_at(), amount);
            }
        };
        let available = move |budget: &Budget| {
            let account = ledger.account(budget);
            account.map_or(0, |account| account.available(now()))
        };
        Self { take: Arc::new(take), release: Arc::new(release), available: Arc::new(available) }
    }

    /// Takes one slot, returned when the result is dropped.
    pub(crate) fn take_slot(&self, budget: Budget, taking: TakeOptions) -> Option<Slot> {
        (self.take)(&budget, 1, taking).then(|| Slot { tokens: self.clone(), budget })
    }
}

fn take_from(account: &Account, now: Duration, amount: u64, taking: TakeOptions) -> bool {
    if taking.headroom_percent > 0.0 {
        let free = account.available(now);
        let spared = headroom_slots(free + account.used(), taking.headroom_percent);
        // Two threads may both pass this check for the last slot that is not spared.
        if free < spared + amount {
            return false;
        }
    }
    let taken =
        if taking.is_retry { account.retry_take(now, amount) } else { account.take(now, amount) };
    taken.is_ok()
}

/// Number of slots that stay free, rounded to the nearest, so that a share of one slot can be used.
pub(crate) fn headroom_slots(slots: u64, percent: f64) -> u64 {
    (percent / 100.0 * slots as f64).round() as u64
}

/// Slot of a concurrency budget.
pub(crate) struct Slot {
    tokens: Tokens,
    budget: Budget,
}

impl Drop for Slot {
    fn drop(&mut self) {
        (self.tokens.release)(&self.budget, 1);
    }
}
