//! Account of one host for one budget.

use std::{
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    Budget,
    bucket::Bucket,
    demand::Demand,
    limit::{Limit, MILLI},
    slots::Slots,
    version::Versions,
};

/// An account does not hold enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Whole tokens or slots that are missing.
    pub missing: u64,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the account lacks {} tokens or slots", self.missing)
    }
}

impl std::error::Error for Shortfall {}

/// What this host may spend of one budget; shared by all threads, with a lock of its own.
#[derive(Debug)]
pub struct Account {
    budget: Budget,
    state: Mutex<State>,
}

/// What the lock of an account protects.
#[derive(Debug)]
pub(super) struct State {
    pub(super) holding: Holding,
    /// End of the lease under which the account may be spent; without one it always may.
    pub(super) lease_until: Option<Duration>,
    pub(super) demand: Demand,
}

/// Tokens or slots.
#[derive(Debug)]
pub(super) enum Holding {
    /// Tokens of a rate budget.
    Rate(Bucket),
    /// Slots of a concurrency budget.
    Slots(Slots),
}

impl Account {
    pub(super) fn new(now: Duration, budget: Budget, limit: Limit, versions: Versions) -> Self {
        let holding = match limit {
            Limit::Rate { .. } => Holding::Rate(Bucket::new(now, versions)),
            Limit::Concurrency { .. } => Holding::Slots(Slots::new(versions)),
        };
        let state = State { holding, lease_until: None, demand: Demand::default() };
        let account = Self { budget, state: Mutex::new(state) };
        account.change(now, |_| ());
        account
    }

    /// Budget of the account.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Takes whole tokens or occupies slots.
    ///
    /// The caller must be current at `now` (docs/design.md §5). Slots go back with
    /// [`Self::release`]; tokens are spent.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] when the account does not hold `amount`; nothing is taken then.
    pub fn take(&self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        let mut state = self.lock();
        state.demand.ask(amount);
        state.take(now, amount)
    }

    /// Like [`Self::take`] for a request that was short before, so that it does not count as demand
    /// twice.
    ///
    /// # Errors
    ///
    /// As [`Self::take`].
    pub fn retry_take(&self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        self.lock().take(now, amount)
    }

    /// Frees slots; does nothing for tokens.
    pub fn release(&self, _now: Duration, amount: u64) {
        if let Holding::Slots(slots) = &mut self.lock().holding {
            slots.release(amount);
        }
    }

    /// Whole tokens or free slots that can be taken at `now`.
    pub fn available(&self, now: Duration) -> u64 {
        let mut state = self.lock();
        match &mut state.holding {
            Holding::Rate(bucket) => {
                bucket.advance(now);
                bucket.tokens() / MILLI
            }
            Holding::Slots(slots) => {
                slots.advance(now);
                slots.capacity(now).saturating_sub(slots.used())
            }
        }
    }

    /// Slots in use; 0 for tokens.
    pub fn used(&self) -> u64 {
        match &self.lock().holding {
            Holding::Rate(_) => 0,
            Holding::Slots(slots) => slots.used(),
        }
    }

    /// Locks the state. A panic in another thread leaves no half-made change behind, so that a
    /// poisoned lock is usable.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the versions of the share.
    pub(super) fn change(&self, now: Duration, change: impl FnOnce(&mut Versions)) {
        match &mut self.lock().holding {
            Holding::Rate(bucket) => bucket.change(now, change),
            Holding::Slots(slots) => slots.change(now, change),
        }
    }
}

impl State {
    fn take(&mut self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        if self.lease_until.is_some_and(|until| until <= now) {
            return Err(Shortfall { missing: amount });
        }
        let taken = match &mut self.holding {
            Holding::Rate(bucket) => bucket.take(now, amount),
            Holding::Slots(slots) => slots.take(now, amount),
        };
        taken.map_err(|missing| Shortfall { missing })
    }
}
