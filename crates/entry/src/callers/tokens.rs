//! Taking and returning tokens of the fleet-wide budgets.

use std::sync::Arc;

use marjorampick_core::budget::Budget;

/// Takes an amount of a budget if the host has it.
pub type Take = dyn Fn(&Budget, u64) -> bool + Send + Sync;

/// Returns an amount of a concurrency budget.
pub type Release = dyn Fn(&Budget, u64) + Send + Sync;

/// How the request path spends budgets; closures, so that tests can run out of tokens at will.
#[derive(Clone)]
pub struct Tokens {
    /// Takes an amount if the host has it.
    pub take: Arc<Take>,
    /// Returns slots of a concurrency budget.
    pub release: Arc<Release>,
}

impl Tokens {
    /// Budgets without limits.
    pub fn unlimited() -> Self {
        Self {
            take: Arc::new(|_, _| true),
            release: Arc::new(|_, _| ()),
        }
    }

    /// Takes one slot, returned when the result is dropped.
    pub(crate) fn slot(&self, budget: Budget) -> Option<Slot> {
        (self.take)(&budget, 1).then(|| Slot {
            tokens: self.clone(),
            budget,
        })
    }
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
