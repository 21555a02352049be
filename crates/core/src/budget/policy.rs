//! Policies for spending a limit from many hosts: lending, and baselines to compare it with.

use std::time::Duration;

/// How a [`super::Ledger`] spends its shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Shares with loans between hosts.
    #[default]
    Lending,
    /// Baseline: equal shares without loans.
    Fixed,
    /// Baseline: equal shares without loans, spent only while the host's lease in the store is
    /// valid.
    Leased {
        /// Term of the lease, counted from its last renewal.
        lease: Duration,
    },
    /// Upper bound for comparison: a single ledger for all hosts, which holds the entire limit.
    Omniscient,
}

impl Policy {
    /// Whether hosts lend to each other.
    pub(super) fn lends(self) -> bool {
        matches!(self, Self::Lending)
    }
}
