//! One host's account of a budget.

use std::{
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    Budget,
    bucket::Bucket,
    demand::Demand,
    limit::{Limit, MILLITOKENS_PER_TOKEN},
    slots::Slots,
    version::Versions,
};

/// Error: an account does not hold the requested amount.
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

/// What this host may spend of one budget. Shared by all threads; each account has its own lock.
#[derive(Debug)]
pub struct Account {
    budget: Budget,
    state: Mutex<State>,
}

/// State behind the lock of an account.
#[derive(Debug)]
pub(super) struct State {
    pub(super) balance: Balance,
    /// End of the lease under which the account may be spent; `None` if no lease is needed.
    pub(super) lease_ends_at: Option<Duration>,
    pub(super) demand: Demand,
}

/// What the account holds, by the kind of its limit.
#[derive(Debug)]
pub(super) enum Balance {
    /// Tokens of a rate budget.
    Tokens(Bucket),
    /// Slots of a concurrency budget.
    Slots(Slots),
}

impl Account {
    pub(super) fn new(now: Duration, budget: Budget, limit: Limit, versions: Versions) -> Self {
        let balance = match limit {
            Limit::Rate { .. } => Balance::Tokens(Bucket::new(now, versions)),
            Limit::Concurrency { .. } => Balance::Slots(Slots::new(versions)),
        };
        let state = State { balance, lease_ends_at: None, demand: Demand::default() };
        let account = Self { budget, state: Mutex::new(state) };
        account.change(now, |_| ());
        account
    }

    /// Budget of the account.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Spends `amount` whole tokens or occupies `amount` slots.
    ///
    /// The caller must be current at `now` (docs/design.md §5). Slots stay occupied until
    /// [`Self::release`].
    ///
    /// # Errors
    ///
    /// [`Shortfall`] when the account does not hold `amount`; nothing is taken then.
    pub fn take(&self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        let mut state = self.lock();
        state.demand.record(amount);
        state.take(now, amount)
    }

    /// Like [`Self::take`], for a request whose earlier attempt failed: it is not counted as demand
    /// a second time.
    ///
    /// # Errors
    ///
    /// As [`Self::take`].
    pub fn retry_take(&self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        self.lock().take(now, amount)
    }

    /// Frees slots; does nothing for tokens.
    pub fn release(&self, _now: Duration, amount: u64) {
        if let Balance::Slots(slots) = &mut self.lock().balance {
            slots.release(amount);
        }
    }

    /// Whole tokens or free slots that can be taken at `now`.
    pub fn available(&self, now: Duration) -> u64 {
        let mut state = self.lock();
        match &mut state.balance {
            Balance::Tokens(bucket) => {
                bucket.advance(now);
                bucket.millitokens() / MILLITOKENS_PER_TOKEN
            }
            Balance::Slots(slots) => {
                slots.advance(now);
                slots.capacity(now).saturating_sub(slots.used())
            }
        }
    }

    /// Slots in use; 0 for tokens.
    pub fn used(&self) -> u64 {
        match &self.lock().balance {
            Balance::Tokens(_) => 0,
            Balance::Slots(slots) => slots.used(),
        }
    }

    /// Locks the state. A poisoned lock is usable, as a panic cannot leave a partial change behind.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the versions of the share; a smaller share takes effect at once.
    pub(super) fn change(&self, now: Duration, change: impl FnOnce(&mut Versions)) {
        match &mut self.lock().balance {
            Balance::Tokens(bucket) => bucket.change(now, change),
            Balance::Slots(slots) => slots.change(now, change),
        }
    }
}

impl State {
    fn take(&mut self, now: Duration, amount: u64) -> Result<(), Shortfall> {
        if self.lease_ends_at.is_some_and(|until| until <= now) {
            return Err(Shortfall { missing: amount });
        }
        let taken = match &mut self.balance {
            Balance::Tokens(bucket) => bucket.take(now, amount),
            Balance::Slots(slots) => slots.take(now, amount),
        };
        taken.map_err(|missing| Shortfall { missing })
    }
}
