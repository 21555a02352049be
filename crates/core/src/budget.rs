//! Budgets: fleet-wide limits that many hosts spend at once.
//!
//! [`Ledger`] holds one [`Account`] for each budget. Hosts spend their shares of a limit and lend
//! each other what they do not need. See docs/design.md §7.

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
        /// Workspace that pays for the rate.
        workspace: Arc<str>,
    },
    /// Bytes of a service that cross regions.
    CrossRegion {
        /// Service that owns the document.
        service: Arc<str>,
    },
    /// Requests of a service that run in a region at the same time.
    Region {
        /// Service that owns the document.
        service: Arc<str>,
        /// Region of the backend servers.
        region: Arc<str>,
    },
}

/// Amount that a host could lend at the time of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spare {
    /// Budget of the amount.
    pub budget: Budget,
    /// Whole tokens or slots.
    pub amount: u64,
}

/// Request for a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of the request, unique for the borrower's incarnation.
    pub id: u64,
    /// Budget to borrow from.
    pub budget: Budget,
    /// Whole tokens or slots that the borrower can use at once.
    pub wanted: u64,
    /// Rate that the borrower lacks, in thousandths of a token per second.
    pub rate_wanted: u64,
}

/// Capacity that moves from a lender to a borrower. The lender has already deducted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Number of the request that is answered.
    pub id: u64,
    /// Budget of the loan.
    pub budget: Budget,
    /// Whole tokens (rate budgets) or slots (concurrency budgets) that move.
    pub tokens: u64,
    /// Burst capacity that moves for the term, in whole tokens; at least `tokens`.
    pub burst: u64,
    /// Rate that moves for the term, in thousandths of a token per second.
    pub rate: u64,
    /// Term of a rate loan; the borrower counts it from sending its request.
    pub term: Duration,
    /// What the lender could still lend afterwards.
    pub spare: u64,
}

/// Return of borrowed slots of a concurrency budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// Number of the loan.
    pub id: u64,
    /// Budget of the loan.
    pub budget: Budget,
    /// Slots of the loan that went back to the lender so far, counted from the grant, so that a
    /// duplicated return gives nothing back twice.
    pub slots: u64,
}
