//! Budgets: limits on the whole fleet, which many hosts spend from at the same time.
//!
//! Each host has a [`Ledger`] with one [`Account`] for each budget. A host spends its share of the
//! limit and lends what it does not need to other hosts. See docs/design.md §7.

use std::{sync::Arc, time::Duration};

mod account;
mod borrowing;
mod bucket;
mod demand;
mod drift;
pub mod fair;
mod ledger;
mod limit;
mod loans;
mod policy;
mod slots;
mod version;

pub use account::{Account, Shortfall};
pub use ledger::{Ledger, Outgoing};
pub use limit::Limit;
pub use policy::Policy;

#[cfg(test)]
mod tests;

/// Name of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Budget {
    /// Requests of a workspace to a service.
    Workspace {
        /// Service that owns the document.
        service: Arc<str>,
        /// Workspace that the requests are counted for.
        workspace: Arc<str>,
    },
    /// Bytes of a service's traffic that cross regions.
    CrossRegion {
        /// Service that owns the document.
        service: Arc<str>,
    },
    /// Requests to a service that run in a region at the same time.
    Region {
        /// Service that owns the document.
        service: Arc<str>,
        /// Region of the backend servers.
        region: Arc<str>,
    },
}

/// Amount of a budget that a host could lend when it sent a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spare {
    /// Budget that the amount belongs to.
    pub budget: Budget,
    /// Whole tokens (rate budgets) or slots (concurrency budgets).
    pub amount: u64,
}

/// Request for a loan of a budget, sent to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of the request, unique among all requests of the borrower's incarnation.
    pub id: u64,
    /// Budget to borrow from.
    pub budget: Budget,
    /// Whole tokens or slots that the borrower needs now.
    pub wanted: u64,
    /// Rate by which the borrower's demand exceeds its rate, in thousandths of a token per second;
    /// 0 for slots. The lender may lend tokens ahead of demand for it.
    pub rate_wanted: u64,
}

/// Answer to a [`LoanRequest`]: capacity that the lender has deducted and the borrower may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Number of the loan request.
    pub id: u64,
    /// Budget of the loan.
    pub budget: Budget,
    /// Whole tokens (rate budgets) or slots (concurrency budgets) that move.
    pub tokens: u64,
    /// Burst that moves for the term, in whole tokens; at least `tokens`.
    pub burst: u64,
    /// Rate that moves for the term, in thousandths of a token per second.
    pub rate: u64,
    /// Term of the loan, which the borrower counts from sending its request. On borrowed slots,
    /// requests may start within the term.
    pub term: Duration,
    /// Whole tokens or slots that the lender could still lend afterwards.
    pub spare: u64,
}

/// Returns borrowed slots of a concurrency budget to the lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// Number of the loan request.
    pub id: u64,
    /// Budget of the loan.
    pub budget: Budget,
    /// Slots of the loan that were returned since the grant, in total, so that a duplicated message
    /// returns nothing twice.
    pub slots: u64,
}
