//! How shares are spent: the chosen way and the baselines that it is compared with.

use std::time::Duration;

/// How a [`super::Ledger`] spends its shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Shares with loans between hosts.
    #[default]
    Lending,
    /// Baseline: equal shares without loans.
    Fixed,
    /// Baseline: equal shares without loans that may be spent only under a lease in the store.
    Leased {
        /// Term of the lease, counted from its last renewal.
        lease: Duration,
    },
    /// For comparison only: one ledger for all hosts, which has the whole limit.
    Omniscient,
}

impl Policy {
    /// Whether hosts lend to each other.
    pub(super) fn lends(self) -> bool {
        matches!(self, Self::Lending)
    }
}
