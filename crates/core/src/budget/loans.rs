//! The ledger's loans: asking, granting, receiving and giving back.

use std::{sync::Arc, time::Duration};

use super::{
    Account, Budget, Ledger, Loan, LoanRequest, LoanReturn, Outgoing, Spare,
    account::{Holding, State},
    bucket::{Bucket, Moved},
    drift::with_drift,
    limit::{MILLI, Share},
    slots::{Borrowed, Lent, Slots},
};
use crate::{constants::SLOT_LOAN_TERM, message::Message};

/// Longest term of a loan of tokens. Covers a round trip to the farthest region; until the term ends
/// the lender cannot refill what it lent.
const TOKEN_LOAN_TERM: Duration = Duration::from_millis(300);

/// Part of the term of a loan of tokens that does not depend on the round trip.
const TERM_MARGIN: Duration = Duration::from_millis(20);

/// Time for which a loan covers the lacking rate ahead of demand.
const AHEAD: Duration = Duration::from_millis(500);

/// Demand may exceed the rate by this part before anything is borrowed ahead, in percent.
const TOLERANCE_PERCENT: u64 = 10;

impl Ledger {
    /// What this host could lend, for its heartbeats. Leaves out the budgets of which its whole share
    /// is unused.
    pub fn spare(&self, now: Duration) -> Vec<Spare> {
        if !self.policy.lends() {
            return Vec::new();
        }
        let accounts = self.accounts();
        let partly_used = accounts.iter().filter_map(|(budget, account)| {
            let amount = account.lock().partial_spare(now)?;
            let budget = budget.clone();
            Some(Spare { budget, amount })
        });
        partly_used.collect()
    }

    /// Notes what a peer's heartbeat says that it could lend; the whole share of the budgets that
    /// the heartbeat does not name.
    pub fn record_spare(&self, now: Duration, host: &Arc<str>, spare: &[Spare]) {
        let mut control = self.control();
        for (budget, borrowing) in &mut control.borrowings {
            let named = spare.iter().find(|spare| spare.budget == *budget);
            let amount = named.map(|spare| reported(budget, spare.amount));
            borrowing.note(now, host, amount, 0);
        }
    }

    /// Notes the round trip of a heartbeat. A host that only lends learns none from its own requests.
    pub fn record_round_trip(&self, host: &Arc<str>, round_trip: Duration) {
        self.control().record_round_trip(host, round_trip);
    }

    /// Asks a peer for a loan of `wanted` tokens or slots; `None` when no peer can be asked, or when
    /// the loans asked for already cover it (see [`Self::is_borrowing`]).
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
        let ahead = account.lock().usable_ahead(now);
        self.ask(now, budget, wanted, ahead)
    }

    /// Whether an answer to a request for a loan is still expected.
    pub fn is_borrowing(&self, now: Duration, budget: &Budget) -> bool {
        let control = self.control();
        let borrowing = control.borrowings.get(budget);
        borrowing.is_some_and(|borrowing| borrowing.is_awaited(now))
    }

    /// Answers a request for a loan and deducts what it grants. The caller must be current.
    pub fn lend(&self, now: Duration, borrower: &Arc<str>, request: &LoanRequest) -> Loan {
        let empty = Loan::denied(request);
        if !self.policy.lends() {
            return empty;
        }
        let Some(account) = self.account(&request.budget) else {
            return empty;
        };
        let term = self.token_term(borrower);
        let mut state = account.lock();
        match &mut state.holding {
            Holding::Rate(bucket) => lend_tokens(bucket, now, term, borrower, request),
            Holding::Slots(slots) => lend_slots(slots, now, borrower, request),
        }
    }

    /// Adds a loan that this host asked for. Duplicated and late loans add nothing.
    pub fn receive_loan(&self, now: Duration, lender: &Arc<str>, loan: &Loan) {
        let mut control = self.control();
        let Some(borrowing) = control.borrowings.get_mut(&loan.budget) else {
            return;
        };
        let Some(pending) = borrowing.answered(loan.id, lender) else {
            return;
        };
        let granted = unit(&loan.budget).saturating_mul(loan.tokens);
        let left = reported(&loan.budget, loan.spare);
        borrowing.note(now, lender, Some(left), granted);
        control.record_round_trip(lender, now.saturating_sub(pending.sent));
        drop(control);
        // Counted from sending the request, so that the loan ends here before it ends at the lender.
        let until = pending.sent + loan.term;
        if let Some(account) = self.account(&loan.budget) {
            account.lock().add(now, lender, loan, until);
        }
    }

    /// Term of a loan of tokens to `borrower`: twice the round trip that was measured to it, so that
    /// the loan arrives in time, but the capacity comes back soon.
    fn token_term(&self, borrower: &str) -> Duration {
        let control = self.control();
        let round_trip = control.round_trips.get(borrower);
        let term = round_trip.map(|round_trip| *round_trip * 2 + TERM_MARGIN);
        term.unwrap_or(TOKEN_LOAN_TERM).min(TOKEN_LOAN_TERM)
    }

    /// Takes back the slots of a loan.
    pub fn receive_return(&self, now: Duration, borrower: &Arc<str>, loan: &LoanReturn) {
        let Some(account) = self.account(&loan.budget) else {
            return;
        };
        if let Holding::Slots(slots) = &mut account.lock().holding {
            slots.advance(now);
            slots.returned(borrower, loan.id, loan.slots);
        }
    }

    /// Work that is due every 100 ms or so: borrows ahead of demand and gives back unused slots.
    pub fn tick(&self, now: Duration) -> Vec<Outgoing> {
        if !self.policy.lends() {
            return Vec::new();
        }
        let accounts: Vec<Arc<Account>> = self.accounts().values().cloned().collect();
        let mut messages = Vec::new();
        for account in accounts {
            messages.extend(self.expire(now, account.budget()));
            messages.extend(give_back(now, &account));
            messages.extend(self.borrow_ahead(now, &account));
        }
        messages
    }

    /// Gives up requests that were not answered. Slots that such a loan may have moved go back.
    fn expire(&self, now: Duration, budget: &Budget) -> Vec<Outgoing> {
        let mut control = self.control();
        let borrowing = control.borrowings.get_mut(budget);
        let expired = borrowing.map(|borrowing| borrowing.expire(now));
        let slots = matches!(budget, Budget::Region { .. });
        let unanswered = expired.into_iter().flatten().filter(|_| slots);
        unanswered
            .map(|pending| return_slots(&pending.lender, budget, pending.id, u64::MAX))
            .collect()
    }

    /// Borrows ahead when the demand exceeds the rate and little is left.
    fn borrow_ahead(&self, now: Duration, account: &Account) -> Option<Outgoing> {
        let lacking = account.lock().due_ahead(now)?;
        let (host, request) = self.ask(now, account.budget(), 0, lacking)?;
        let message = Message::LoanRequest(request);
        Some(Outgoing { host, message })
    }

    /// Asks the peer that can probably lend most.
    fn ask(
        &self,
        now: Duration,
        budget: &Budget,
        wanted: u64,
        rate_wanted: u64,
    ) -> Option<(Arc<str>, LoanRequest)> {
        let mut control = self.control();
        let id = control.next_id;
        let borrowing = control.borrowings.get_mut(budget)?;
        let unit = unit(budget);
        let amount = wanted.saturating_mul(unit);
        let uncovered = borrowing.wait(now, amount);
        if uncovered == 0 && (amount > 0 || borrowing.expected(now) > 0) {
            return None;
        }
        let Some((lender, estimate)) = borrowing.best(now, unit, uncovered) else {
            borrowing.refuse(amount);
            return None;
        };
        let ahead = over(rate_wanted, AHEAD).min(estimate.saturating_sub(uncovered) / 2);
        borrowing.ask(now, id, &lender, estimate.min(uncovered + ahead));
        control.next_id = id.wrapping_add(1);
        let request = LoanRequest {
            id,
            budget: budget.clone(),
            wanted: uncovered.div_ceil(unit),
            rate_wanted,
        };
        Some((lender, request))
    }
}

impl Loan {
    /// Answer that grants nothing.
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
    /// What this host could lend, unless that is its whole share.
    fn partial_spare(&mut self, now: Duration) -> Option<u64> {
        match &mut self.holding {
            Holding::Rate(bucket) => {
                bucket.advance(now);
                (!bucket.is_full()).then(|| bucket.lendable() / MILLI)
            }
            Holding::Slots(slots) => {
                slots.advance(now);
                (!slots.is_unused()).then(|| slots.lendable())
            }
        }
    }

    /// Rate by which the demand exceeds what the account gains.
    fn lacking(&mut self, now: Duration) -> u64 {
        match &mut self.holding {
            Holding::Rate(bucket) => {
                bucket.advance(now);
                self.demand.rate().saturating_sub(bucket.rate())
            }
            Holding::Slots(_) => 0,
        }
    }

    /// The lacking rate, unless what it yields in [`AHEAD`] would be lost: after the term of a loan the
    /// account keeps only what its own share has room for.
    fn usable_ahead(&mut self, now: Duration) -> u64 {
        let lacking = self.lacking(now);
        let Holding::Rate(bucket) = &self.holding else {
            return 0;
        };
        let usable = over(lacking, AHEAD).min(bucket.own_room());
        // The lender grants what the answer yields in AHEAD.
        if usable < MILLI { 0 } else { usable * 1_000 / AHEAD.as_millis() as u64 }
    }

    /// Like [`Self::usable_ahead`], if it is time to borrow ahead.
    fn due_ahead(&mut self, now: Duration) -> Option<u64> {
        self.demand.update(now);
        let lacking = self.usable_ahead(now);
        let Holding::Rate(bucket) = &self.holding else {
            return None;
        };
        let tolerated = bucket.rate() / 100 * TOLERANCE_PERCENT;
        let low = bucket.tokens() < over(lacking, AHEAD) / 2;
        (lacking > tolerated && low).then_some(lacking)
    }

    /// Adds a loan that ends at `until` on this host's clock.
    fn add(&mut self, now: Duration, lender: &Arc<str>, loan: &Loan, until: Duration) {
        match &mut self.holding {
            Holding::Rate(bucket) if until > now => {
                let share = Share { capacity: loan.burst.saturating_mul(MILLI), rate: loan.rate };
                let tokens = loan.tokens.min(loan.burst).saturating_mul(MILLI);
                bucket.advance(now);
                bucket.borrow(tokens, Moved::new(share, until, lender.clone(), loan.id));
            }
            Holding::Rate(_) => (),
            Holding::Slots(slots) if loan.tokens > 0 => slots.borrow(Borrowed {
                lender: lender.clone(),
                id: loan.id,
                slots: loan.tokens,
                returned: 0,
                until,
            }),
            Holding::Slots(_) => (),
        }
    }
}

/// Lends what is wanted, and ahead of demand at most half of the rest.
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
    if let Some(granted) = bucket.granted(borrower, request.id) {
        loan.tokens = granted.capacity / MILLI;
    } else {
        let lendable = bucket.lendable() / MILLI;
        let wanted = request.wanted.min(lendable);
        let ahead = over(request.rate_wanted, AHEAD) / MILLI;
        loan.tokens = wanted + ahead.min((lendable - wanted) / 2);
        let until = now + with_drift(loan.term);
        let share = Share { capacity: loan.tokens * MILLI, rate: 0 };
        let moved = Moved::new(share, until, borrower.clone(), request.id);
        if loan.tokens > 0 {
            bucket.lend(share.capacity, moved);
        }
    }
    loan.burst = loan.tokens;
    loan.spare = bucket.lendable() / MILLI;
    loan
}

fn lend_slots(
    slots: &mut Slots,
    now: Duration,
    borrower: &Arc<str>,
    request: &LoanRequest,
) -> Loan {
    slots.advance(now);
    let mut loan = Loan::denied(request);
    loan.term = SLOT_LOAN_TERM;
    if let Some(granted) = slots.granted(borrower, request.id) {
        loan.tokens = granted;
    } else {
        loan.tokens = request.wanted.min(slots.lendable());
        let granted = Lent {
            borrower: borrower.clone(),
            id: request.id,
            slots: loan.tokens,
            returned: 0,
            until: now + slots.settling_time(),
        };
        if granted.slots > 0 {
            slots.lend(granted);
        }
    }
    loan.burst = loan.tokens;
    loan.spare = slots.lendable();
    loan
}

/// Gives back the borrowed slots that are free.
fn give_back(now: Duration, account: &Account) -> Vec<Outgoing> {
    let mut state = account.lock();
    let Holding::Slots(slots) = &mut state.holding else {
        return Vec::new();
    };
    slots.advance(now);
    let given = slots.give_back(now, 0);
    given
        .iter()
        .map(|loan| return_slots(&loan.lender, account.budget(), loan.id, loan.returned))
        .collect()
}

fn return_slots(lender: &Arc<str>, budget: &Budget, id: u64, slots: u64) -> Outgoing {
    let budget = budget.clone();
    Outgoing {
        host: lender.clone(),
        message: Message::LoanReturn(LoanReturn { id, budget, slots }),
    }
}

/// Amount that one whole token or slot counts in an account of `budget`.
fn unit(budget: &Budget) -> u64 {
    match budget {
        Budget::Workspace { .. } | Budget::CrossRegion { .. } => MILLI,
        Budget::Region { .. } => 1,
    }
}

/// What a peer probably has when it reports `amount`: reports are rounded down, on average by half.
fn reported(budget: &Budget, amount: u64) -> u64 {
    let unit = unit(budget);
    amount.saturating_mul(unit).saturating_add(unit / 2)
}

/// Thousandths of a token that `rate` yields in `time`.
fn over(rate: u64, time: Duration) -> u64 {
    rate.saturating_mul(time.as_millis() as u64) / 1_000
}
