//! Converts budgets and the messages about loans.

use std::time::Duration;

use marjorampick_core::budget;

use super::{Fault, milliseconds};
use crate::generated::peer;

pub(super) fn budget_to_wire(budget: &budget::Budget) -> peer::Budget {
    use budget::Budget;
    use peer::budget::{Name, Region, Workspace};
    let name = match budget {
        Budget::Workspace { service, workspace } => Name::Workspace(Workspace {
            service: service.to_string(),
            workspace: workspace.to_string(),
        }),
        Budget::CrossRegion { service } => Name::CrossRegion(service.to_string()),
        Budget::Region { service, region } => {
            Name::Region(Region { service: service.to_string(), region: region.to_string() })
        }
    };
    peer::Budget { name: Some(name) }
}

pub(super) fn budget_from_wire(budget: Option<peer::Budget>) -> Result<budget::Budget, Fault> {
    use peer::budget::Name;
    let name = budget.and_then(|budget| budget.name);
    Ok(match name.ok_or(Fault::Missing("budget"))? {
        Name::Workspace(name) => budget::Budget::Workspace {
            service: name.service.into(),
            workspace: name.workspace.into(),
        },
        Name::CrossRegion(service) => budget::Budget::CrossRegion { service: service.into() },
        Name::Region(name) => {
            budget::Budget::Region { service: name.service.into(), region: name.region.into() }
        }
    })
}

pub(super) fn spare_to_wire(spare: &budget::Spare) -> peer::Spare {
    peer::Spare { budget: Some(budget_to_wire(&spare.budget)), amount: spare.amount }
}

pub(super) fn spare_from_wire(spare: peer::Spare) -> Result<budget::Spare, Fault> {
    Ok(budget::Spare { budget: budget_from_wire(spare.budget)?, amount: spare.amount })
}

pub(super) fn request_to_wire(request: &budget::LoanRequest) -> peer::LoanRequest {
    peer::LoanRequest {
        id: request.id,
        budget: Some(budget_to_wire(&request.budget)),
        wanted: request.wanted,
        rate_wanted: request.rate_wanted,
    }
}

pub(super) fn request_from_wire(request: peer::LoanRequest) -> Result<budget::LoanRequest, Fault> {
    Ok(budget::LoanRequest {
        id: request.id,
        budget: budget_from_wire(request.budget)?,
        wanted: request.wanted,
        rate_wanted: request.rate_wanted,
    })
}

pub(super) fn loan_to_wire(loan: &budget::Loan) -> peer::Loan {
    peer::Loan {
        id: loan.id,
        budget: Some(budget_to_wire(&loan.budget)),
        tokens: loan.tokens,
        burst: loan.burst,
        rate: loan.rate,
        term_ms: milliseconds(loan.term),
        spare: loan.spare,
    }
}

pub(super) fn loan_from_wire(loan: peer::Loan) -> Result<budget::Loan, Fault> {
    Ok(budget::Loan {
        id: loan.id,
        budget: budget_from_wire(loan.budget)?,
        tokens: loan.tokens,
        burst: loan.burst,
        rate: loan.rate,
        term: Duration::from_millis(loan.term_ms),
        spare: loan.spare,
    })
}

pub(super) fn return_to_wire(loan_return: &budget::LoanReturn) -> peer::LoanReturn {
    peer::LoanReturn {
        id: loan_return.id,
        budget: Some(budget_to_wire(&loan_return.budget)),
        slots: loan_return.slots,
    }
}

pub(super) fn return_from_wire(loan_return: peer::LoanReturn) -> Result<budget::LoanReturn, Fault> {
    Ok(budget::LoanReturn {
        id: loan_return.id,
        budget: budget_from_wire(loan_return.budget)?,
        slots: loan_return.slots,
    })
}
