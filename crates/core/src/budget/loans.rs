//! Loans of a [`Ledger`]: requesting, granting, receiving and returning them.

use std::{sync::Arc, time::Duration};

use super::{
    Account, Budget, Ledger, Loan, LoanRequest, LoanReturn, Outgoing, Spare,
    account::{Balance, State},
    bucket::{Bucket, Transfer},
    drift::with_drift_margin,
    limit::{MILLITOKENS_PER_TOKEN, Share},
    slots::{Borrowed, Lent, Slots},
};
use crate::{constants::SLOT_LOAN_TERM, message::Message};

/// Longest term of a loan of tokens. It covers a round trip to the farthest region. It is short, as
/// the lender's bucket cannot refill the lent capacity before the term ends.
const MAX_TOKEN_LOAN_TERM: Duration = Duration::from_millis(300);

/// Added to twice the round trip time for the term of a loan of tokens.
const LOAN_TERM_MARGIN: Duration = Duration::from_millis(20);

/// Time for which a loan ahead of demand covers the demand that exceeds the host's rate.
const BORROW_AHEAD_TIME: Duration = Duration::from_millis(500);

/// Demand may exceed the host's rate by this many percent before tokens are borrowed ahead of
/// demand.
const EXCESS_DEMAND_TOLERANCE_PERCENT: u64 = 10;

impl Ledger {
    /// What this host could lend, for its heartbeats. A budget whose whole share is unused is left
    /// out; [`Self::record_spare`] assumes the whole share for it.
    pub fn spare(&self, now: Duration) -> Vec<Spare> {
        if !self.policy.lends() {
            return Vec::new();
        }
        let accounts = self.accounts();
        let partly_used = accounts.iter().filter_map(|(budget, account)| {
            let amount = account.lock().spare_if_partial(now)?;
            let budget = budget.clone();
            Some(Spare { budget, amount })
        });
        partly_used.collect()
    }

    /// Records what a peer could lend according to its heartbeat. A budget that the heartbeat does
    /// not name counts with the peer's whole share.
    pub fn record_spare(&self, now: Duration, host: &Arc<str>, spare: &[Spare]) {
        let mut control = self.control();
        for (budget, borrowing) in &mut control.borrowings {
            let named = spare.iter().find(|spare| spare.budget == *budget);
            let amount = named.map(|spare| estimate_from_report(budget, spare.amount));
            borrowing.record_lendable(now, host, amount, 0);
        }
    }

    /// Records the round trip time of a heartbeat. A host that only lends sends no loan requests
    /// from which it could measure round trips.
    pub fn record_round_trip(&self, host: &Arc<str>, round_trip: Duration) {
        self.control().record_round_trip(host, round_trip);
    }

    /// Prepares a request for a loan of `wanted` tokens or slots, and names the peer to send it to.
    ///
    /// Returns `None` if no peer can be asked, or if pending loans already cover the amount, which
    /// [`Self::is_borrowing`] tells apart.
    pub fn request_loan(
        &self,
        now: Duration,
        budget: &Budget,
        wanted: u64,
    ) -> Option<(Arc<str>, LoanRequest)> {
        if !self.policy.lends() {
            return None;
        }
        let account = self.account(budget)?;
        let ahead = account.lock().usable_excess(now);
        self.prepare_request(now, budget, wanted, ahead)
    }

    /// Whether an answer to a loan request may still arrive in time for a waiting request.
    pub fn is_borrowing(&self, now: Duration, budget: &Budget) -> bool {
        let control = self.control();
        let borrowing = control.borrowings.get(budget);
        borrowing.is_some_and(|borrowing| borrowing.is_awaited(now))
    }

    /// Answers a loan request and deducts what it grants. The caller must be current at `now`
    /// (docs/design.md §5).
    pub fn lend(&self, now: Duration, borrower: &Arc<str>, request: &LoanRequest) -> Loan {
        let denied = Loan::denied(request);
        if !self.policy.lends() {
            return denied;
        }
        let Some(account) = self.account(&request.budget) else {
            return denied;
        };
        let term = self.token_loan_term(borrower);
        let mut state = account.lock();
        match &mut state.balance {
            Balance::Tokens(bucket) => lend_tokens(bucket, now, term, borrower, request),
            Balance::Slots(slots) => lend_slots(slots, now, borrower, request),
        }
    }

    /// Adds a loan that this host requested. A duplicated or late loan adds nothing.
    pub fn receive_loan(&self, now: Duration, lender: &Arc<str>, loan: &Loan) {
        let mut control = self.control();
        let Some(borrowing) = control.borrowings.get_mut(&loan.budget) else {
            return;
        };
        let Some(pending) = borrowing.take_pending(loan.id, lender) else {
            return;
        };
        let granted = units_per_whole(&loan.budget).saturating_mul(loan.tokens);
        let lendable = estimate_from_report(&loan.budget, loan.spare);
        borrowing.record_lendable(now, lender, Some(lendable), granted);
        control.record_round_trip(lender, now.saturating_sub(pending.sent_at));
        drop(control);
        // Counted from sending the request: the loan ends here before it ends at the lender.
        let ends_at = pending.sent_at + loan.term;
        if let Some(account) = self.account(&loan.budget) {
            account.lock().add_loan(now, lender, loan, ends_at);
        }
    }

    /// Term of a loan of tokens to `borrower`: twice the measured round trip time plus a margin, so
    /// that the borrower can use the loan and the lent capacity is available again soon.
    fn token_loan_term(&self, borrower: &str) -> Duration {
        let control = self.control();
        let round_trip = control.round_trips.get(borrower);
        let term = round_trip.map(|round_trip| *round_trip * 2 + LOAN_TERM_MARGIN);
        term.unwrap_or(MAX_TOKEN_LOAN_TERM).min(MAX_TOKEN_LOAN_TERM)
    }

    /// Takes back slots that a borrower returned.
    pub fn receive_return(&self, now: Duration, borrower: &Arc<str>, loan: &LoanReturn) {
        let Some(account) = self.account(&loan.budget) else {
            return;
        };
        if let Balance::Slots(slots) = &mut account.lock().balance {
            slots.advance(now);
            slots.take_back(borrower, loan.id, loan.slots);
        }
    }

    /// Periodic work: expires loan requests, returns unused borrowed slots and borrows ahead of
    /// demand.
    ///
    /// To be called about every 100 ms.
    pub fn tick(&self, now: Duration) -> Vec<Outgoing> {
        if !self.policy.lends() {
            return Vec::new();
        }
        let accounts: Vec<Arc<Account>> = self.accounts().values().cloned().collect();
        let mut messages = Vec::new();
        for account in accounts {
            messages.extend(self.expire(now, account.budget()));
            messages.extend(return_unused_slots(now, &account));
            messages.extend(self.borrow_ahead(now, &account));
        }
        messages
    }

    /// Drops unanswered loan requests. As a lost answer may have granted slots, all slots of such a
    /// request are returned to the lender.
    fn expire(&self, now: Duration, budget: &Budget) -> Vec<Outgoing> {
        let mut control = self.control();
        let borrowing = control.borrowings.get_mut(budget);
        let expired = borrowing.map(|borrowing| borrowing.expire(now));
        let lends_slots = matches!(budget, Budget::Region { .. });
        let unanswered = expired.into_iter().flatten().filter(|_| lends_slots);
        unanswered
            .map(|pending| slot_return(&pending.lender, budget, pending.id, u64::MAX))
            .collect()
    }

    /// Requests a loan ahead of demand when the demand exceeds the rate and few tokens are left.
    fn borrow_ahead(&self, now: Duration, account: &Account) -> Option<Outgoing> {
        let excess = account.lock().excess_to_borrow(now)?;
        let (host, request) = self.prepare_request(now, account.budget(), 0, excess)?;
        let message = Message::LoanRequest(request);
        Some(Outgoing { host, message })
    }

    /// Chooses the lender and records the request as pending. `rate_wanted` is in thousandths of a
    /// token per second.
    fn prepare_request(
        &self,
        now: Duration,
        budget: &Budget,
        wanted: u64,
        rate_wanted: u64,
    ) -> Option<(Arc<str>, LoanRequest)> {
        let mut control = self.control();
        let id = control.next_request_id;
        let borrowing = control.borrowings.get_mut(budget)?;
        let units = units_per_whole(budget);
        let amount = wanted.saturating_mul(units);
        let uncovered = borrowing.add_waiting(now, amount);
        if uncovered == 0 && (amount > 0 || borrowing.expected_amount(now) > 0) {
            return None;
        }
        let Some((lender, estimate)) = borrowing.choose_lender(now, units, uncovered) else {
            borrowing.remove_waiting(amount);
            return None;
        };
        let ahead = millitokens_in(rate_wanted, BORROW_AHEAD_TIME)
            .min(estimate.saturating_sub(uncovered) / 2);
        borrowing.add_pending(now, id, &lender, estimate.min(uncovered + ahead));
        control.next_request_id = id.wrapping_add(1);
        let request = LoanRequest {
            id,
            budget: budget.clone(),
            wanted: uncovered.div_ceil(units),
            rate_wanted,
        };
        Some((lender, request))
    }
}

impl Loan {
    /// Answer to `request` that grants nothing.
    pub fn denied(request: &LoanRequest) -> Self {
        Self {
            id: request.id,
            budget: request.budget.clone(),
            tokens: 0,
            burst: 0,
            rate: 0,
            term: Duration::ZERO,
            spare: 0,
        }
    }
}

impl State {
    /// Whole tokens or slots that this host could lend; `None` if that is its whole share.
    fn spare_if_partial(&mut self, now: Duration) -> Option<u64> {
        match &mut self.balance {
            Balance::Tokens(bucket) => {
                bucket.advance(now);
                (!bucket.is_full()).then(|| bucket.lendable() / MILLITOKENS_PER_TOKEN)
            }
            Balance::Slots(slots) => {
                slots.advance(now);
                (!slots.is_unused()).then(|| slots.lendable())
            }
        }
    }

    /// Rate by which the demand exceeds the account's rate, in thousandths of a token per second.
    fn excess_demand(&mut self, now: Duration) -> u64 {
        match &mut self.balance {
            Balance::Tokens(bucket) => {
                bucket.advance(now);
                self.demand.rate().saturating_sub(bucket.rate())
            }
            Balance::Slots(_) => 0,
        }
    }

    /// The excess demand, reduced to what the account could keep of a loan for
    /// [`BORROW_AHEAD_TIME`]: after the term of a loan, only tokens within the own share remain.
    fn usable_excess(&mut self, now: Duration) -> u64 {
        let excess = self.excess_demand(now);
        let Balance::Tokens(bucket) = &self.balance else {
            return 0;
        };
        let usable = millitokens_in(excess, BORROW_AHEAD_TIME).min(bucket.own_headroom());
        // A rate, as the lender grants what the requested rate yields in BORROW_AHEAD_TIME.
        if usable < MILLITOKENS_PER_TOKEN {
            0
        } else {
            usable * 1_000 / BORROW_AHEAD_TIME.as_millis() as u64
        }
    }

    /// Rate to borrow ahead of demand now; `None` if demand is within the tolerance or enough
    /// tokens are left.
    fn excess_to_borrow(&mut self, now: Duration) -> Option<u64> {
        self.demand.update(now);
        let excess = self.usable_excess(now);
        let Balance::Tokens(bucket) = &self.balance else {
            return None;
        };
        let tolerated = bucket.rate() / 100 * EXCESS_DEMAND_TOLERANCE_PERCENT;
        let low = bucket.millitokens() < millitokens_in(excess, BORROW_AHEAD_TIME) / 2;
        (excess > tolerated && low).then_some(excess)
    }

    /// Adds a received loan that ends at `ends_at` on this host's clock.
    fn add_loan(&mut self, now: Duration, lender: &Arc<str>, loan: &Loan, ends_at: Duration) {
        match &mut self.balance {
            Balance::Tokens(bucket) if ends_at > now => {
                let share = Share {
                    capacity: loan.burst.saturating_mul(MILLITOKENS_PER_TOKEN),
                    rate: loan.rate,
                };
                let millitokens = loan.tokens.min(loan.burst).saturating_mul(MILLITOKENS_PER_TOKEN);
                bucket.advance(now);
                bucket
                    .add_loan(millitokens, Transfer::new(share, ends_at, lender.clone(), loan.id));
            }
            Balance::Tokens(_) => (),
            Balance::Slots(slots) if loan.tokens > 0 => slots.add_loan(Borrowed {
                lender: lender.clone(),
                id: loan.id,
                slots: loan.tokens,
                returned: 0,
                ends_at,
            }),
            Balance::Slots(_) => (),
        }
    }
}

/// Lends the wanted tokens, and ahead of the borrower's demand at most half of the remainder. For a
/// duplicate of a granted request, repeats the grant without deducting it again.
fn lend_tokens(
    bucket: &mut Bucket,
    now: Duration,
    term: Duration,
    borrower: &Arc<str>,
    request: &LoanRequest,
) -> Loan {
    bucket.advance(now);
    let mut loan = Loan::denied(request);
    loan.term = term;
    if let Some(granted) = bucket.find_grant(borrower, request.id) {
        loan.tokens = granted.capacity / MILLITOKENS_PER_TOKEN;
    } else {
        let lendable = bucket.lendable() / MILLITOKENS_PER_TOKEN;
        let wanted = request.wanted.min(lendable);
        let ahead = millitokens_in(request.rate_wanted, BORROW_AHEAD_TIME) / MILLITOKENS_PER_TOKEN;
        loan.tokens = wanted + ahead.min((lendable - wanted) / 2);
        let ends_at = now + with_drift_margin(loan.term);
        let share = Share { capacity: loan.tokens * MILLITOKENS_PER_TOKEN, rate: 0 };
        let transfer = Transfer::new(share, ends_at, borrower.clone(), request.id);
        if loan.tokens > 0 {
            bucket.deduct_loan(share.capacity, transfer);
        }
    }
    loan.burst = loan.tokens;
    loan.spare = bucket.lendable() / MILLITOKENS_PER_TOKEN;
    loan
}

/// Lends the wanted slots, as far as they are free. For a duplicate of a granted request, repeats
/// the grant without deducting it again.
fn lend_slots(
    slots: &mut Slots,
    now: Duration,
    borrower: &Arc<str>,
    request: &LoanRequest,
) -> Loan {
    slots.advance(now);
    let mut loan = Loan::denied(request);
    loan.term = SLOT_LOAN_TERM;
    if let Some(granted) = slots.find_grant(borrower, request.id) {
        loan.tokens = granted;
    } else {
        loan.tokens = request.wanted.min(slots.lendable());
        let granted = Lent {
            borrower: borrower.clone(),
            id: request.id,
            slots: loan.tokens,
            returned: 0,
            ends_at: now + slots.settling_time(),
        };
        if granted.slots > 0 {
            slots.deduct_loan(granted);
        }
    }
    loan.burst = loan.tokens;
    loan.spare = slots.lendable();
    loan
}

/// Returns borrowed slots that no running request needs to their lenders.
fn return_unused_slots(now: Duration, account: &Account) -> Vec<Outgoing> {
    let mut state = account.lock();
    let Balance::Slots(slots) = &mut state.balance else {
        return Vec::new();
    };
    slots.advance(now);
    let released = slots.release_borrowed(now, 0);
    released
        .iter()
        .map(|loan| slot_return(&loan.lender, account.budget(), loan.id, loan.returned))
        .collect()
}

/// Message that returns slots of the loan `id`; `slots` is the sum since the grant.
fn slot_return(lender: &Arc<str>, budget: &Budget, id: u64, slots: u64) -> Outgoing {
    let budget = budget.clone();
    Outgoing {
        host: lender.clone(),
        message: Message::LoanReturn(LoanReturn { id, budget, slots }),
    }
}

/// Internal units per whole token or slot of `budget`: thousandths of a token, or slots.
fn units_per_whole(budget: &Budget) -> u64 {
    match budget {
        Budget::Workspace { .. } | Budget::CrossRegion { .. } => MILLITOKENS_PER_TOKEN,
        Budget::Region { .. } => 1,
    }
}

/// Estimate, in internal units, of what a peer has when it reports `amount` whole tokens or slots.
/// Adds half a token, as reports of tokens are rounded down.
fn estimate_from_report(budget: &Budget, amount: u64) -> u64 {
    let units = units_per_whole(budget);
    amount.saturating_mul(units).saturating_add(units / 2)
}

/// Thousandths of a token that `rate`, in thousandths per second, yields in `time`.
fn millitokens_in(rate: u64, time: Duration) -> u64 {
    rate.saturating_mul(time.as_millis() as u64) / 1_000
}
