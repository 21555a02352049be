//! Slot counter of one host for a concurrency budget.

use std::{sync::Arc, time::Duration};

use super::version::Versions;

/// Slots that this host lent to a peer.
#[derive(Clone, Debug)]
pub(super) struct Lent {
    pub(super) borrower: Arc<str>,
    /// Number of the loan request.
    pub(super) id: u64,
    /// Slots of the loan, including those that were returned.
    pub(super) slots: u64,
    /// Slots of the loan that were returned so far.
    pub(super) returned: u64,
    /// When all requests on these slots have ended, even if no return arrives.
    pub(super) ends_at: Duration,
}

/// Slots that this host borrowed from a peer.
#[derive(Clone, Debug)]
pub(super) struct Borrowed {
    pub(super) lender: Arc<str>,
    /// Number of the loan request.
    pub(super) id: u64,
    /// Slots of the loan that this host still holds.
    pub(super) slots: u64,
    /// Slots of the loan that were returned so far.
    pub(super) returned: u64,
    /// End of the time in which a request may start on these slots.
    pub(super) ends_at: Duration,
}

/// Slots that this host may occupy, and slots in use.
#[derive(Debug)]
pub(super) struct Slots {
    versions: Versions,
    used: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
}

impl Slots {
    /// A counter with the share of `versions` and no slot in use.
    pub(super) fn new(versions: Versions) -> Self {
        Self { versions, used: 0, lent: Vec::new(), borrowed: Vec::new() }
    }

    /// Changes the versions of the share; a smaller share takes effect at once.
    pub(super) fn change(&mut self, now: Duration, change: impl FnOnce(&mut Versions)) {
        change(&mut self.versions);
        self.advance(now);
    }

    /// Settles the share and drops loans whose slots cannot be in use by the borrower any more.
    pub(super) fn advance(&mut self, now: Duration) {
        self.versions.settle(now);
        self.lent.retain(|loan| loan.ends_at > now);
    }

    /// Occupies `amount` slots. The error is the number of slots that are missing.
    pub(super) fn take(&mut self, now: Duration, amount: u64) -> Result<(), u64> {
        self.advance(now);
        let wanted = self.used.saturating_add(amount);
        let missing = wanted.saturating_sub(self.capacity(now));
        if missing > 0 {
            return Err(missing);
        }
        self.used = wanted;
        Ok(())
    }

    /// Frees slots.
    pub(super) fn release(&mut self, amount: u64) {
        self.used = self.used.saturating_sub(amount);
    }

    /// Slots in use.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Slots that this host may occupy now.
    pub(super) fn capacity(&self, now: Duration) -> u64 {
        let usable = self.borrowed.iter().filter(|loan| loan.ends_at > now);
        self.retained_share() + usable.map(|loan| loan.slots).sum::<u64>()
    }

    /// Slots that can be lent: the free ones of the own share. Borrowed slots are not lent on.
    pub(super) fn lendable(&self) -> u64 {
        self.retained_share().saturating_sub(self.used)
    }

    /// Whether the whole newest share could be lent.
    pub(super) fn is_unused(&self) -> bool {
        self.lendable() >= self.versions.newest().capacity
    }

    /// Time after which slots that are lent now cannot be in use by the borrower any more.
    pub(super) fn settling_time(&self) -> Duration {
        self.versions.settling_time()
    }

    /// Deducts a granted loan, whose slots must be lendable.
    pub(super) fn deduct_loan(&mut self, loan: Lent) {
        self.lent.push(loan);
    }

    /// Adds a received loan.
    pub(super) fn add_loan(&mut self, loan: Borrowed) {
        self.borrowed.push(loan);
    }

    /// Slots granted to `borrower` for its request `id`, if that loan has not ended.
    pub(super) fn find_grant(&self, borrower: &str, id: u64) -> Option<u64> {
        let same = |loan: &&Lent| loan.borrower.as_ref() == borrower && loan.id == id;
        self.lent.iter().find(same).map(|loan| loan.slots)
    }

    /// Takes back slots that a borrower returned. `slots` is the sum since the grant, so that a
    /// duplicated or late message takes nothing back twice.
    pub(super) fn take_back(&mut self, borrower: &str, id: u64, slots: u64) {
        let same = |loan: &&mut Lent| loan.borrower.as_ref() == borrower && loan.id == id;
        if let Some(loan) = self.lent.iter_mut().find(same) {
            loan.returned = loan.returned.max(slots).min(loan.slots);
        }
    }

    /// Releases borrowed slots that no running request needs, except `keep` slots of loans that
    /// have not ended. Returns the loans that changed, with what was returned of each so far.
    pub(super) fn release_borrowed(&mut self, now: Duration, keep: u64) -> Vec<Borrowed> {
        let mut free = self.free_borrowed();
        let mut keep = keep;
        let mut changed = Vec::new();
        for loan in &mut self.borrowed {
            let kept = if loan.ends_at > now { keep.min(loan.slots) } else { 0 };
            keep -= kept;
            let released = (loan.slots - kept).min(free);
            free -= released;
            loan.slots -= released;
            loan.returned += released;
            if released > 0 {
                changed.push(loan.clone());
            }
        }
        self.borrowed.retain(|loan| loan.slots > 0);
        changed
    }

    /// Borrowed slots that no running request needs.
    fn free_borrowed(&self) -> u64 {
        let borrowed: u64 = self.borrowed.iter().map(|loan| loan.slots).sum();
        borrowed.saturating_sub(self.used.saturating_sub(self.retained_share()))
    }

    /// The own share less the lent slots that were not returned.
    fn retained_share(&self) -> u64 {
        let lent: u64 = self.lent.iter().map(|loan| loan.slots - loan.returned).sum();
        self.versions.effective_share().capacity.saturating_sub(lent)
    }
}
