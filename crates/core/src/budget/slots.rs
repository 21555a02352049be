//! Slot counter of one host for a concurrency budget.

use std::{sync::Arc, time::Duration};

use super::version::Versions;

/// Slots that left with a loan.
#[derive(Clone, Debug)]
pub(super) struct Lent {
    pub(super) borrower: Arc<str>,
    pub(super) id: u64,
    pub(super) slots: u64,
    /// Slots of the loan that came back so far.
    pub(super) returned: u64,
    /// When the last request on these slots has ended, even if no return arrives.
    pub(super) until: Duration,
}

/// Slots that came with a loan.
#[derive(Clone, Debug)]
pub(super) struct Borrowed {
    pub(super) lender: Arc<str>,
    pub(super) id: u64,
    /// Slots that were not given back yet.
    pub(super) slots: u64,
    /// Slots of the loan that were given back so far.
    pub(super) returned: u64,
    /// Until when a request may start on these slots.
    pub(super) until: Duration,
}

/// Slots that this host may occupy, and how many it does.
#[derive(Debug)]
pub(super) struct Slots {
    versions: Versions,
    used: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
}

impl Slots {
    /// A counter without a share.
    pub(super) fn new(versions: Versions) -> Self {
        Self { versions, used: 0, lent: Vec::new(), borrowed: Vec::new() }
    }

    /// Changes the versions of the share; a smaller share takes effect at once.
    pub(super) fn change(&mut self, now: Duration, change: impl FnOnce(&mut Versions)) {
        change(&mut self.versions);
        self.advance(now);
    }

    /// Settles the share and forgets lent slots that cannot be in use any more.
    pub(super) fn advance(&mut self, now: Duration) {
        self.versions.settle(now);
        self.lent.retain(|loan| loan.until > now);
    }

    /// Occupies slots, or answers how many are missing.
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
        let started = self.borrowed.iter().filter(|loan| loan.until > now);
        self.own() + started.map(|loan| loan.slots).sum::<u64>()
    }

    /// Free slots of the own share; borrowed slots are not lent on.
    pub(super) fn lendable(&self) -> u64 {
        self.own().saturating_sub(self.used)
    }

    /// Whether the whole share could be lent.
    pub(super) fn is_unused(&self) -> bool {
        self.lendable() >= self.versions.newest().capacity
    }

    /// Time until slots that are lent now cannot be in use any more.
    pub(super) fn settling_time(&self) -> Duration {
        self.versions.delay()
    }

    /// Deducts a loan, which must be lendable.
    pub(super) fn lend(&mut self, loan: Lent) {
        self.lent.push(loan);
    }

    /// Adds a loan.
    pub(super) fn borrow(&mut self, loan: Borrowed) {
        self.borrowed.push(loan);
    }

    /// Slots of the loan `id` to `borrower`, if it was granted before and has not ended.
    pub(super) fn granted(&self, borrower: &str, id: u64) -> Option<u64> {
        let same = |loan: &&Lent| loan.borrower.as_ref() == borrower && loan.id == id;
        self.lent.iter().find(same).map(|loan| loan.slots)
    }

    /// Takes back slots of a loan. As `slots` counts from the grant, a duplicated or late return
    /// takes nothing back twice.
    pub(super) fn returned(&mut self, borrower: &str, id: u64, slots: u64) {
        let same = |loan: &&mut Lent| loan.borrower.as_ref() == borrower && loan.id == id;
        if let Some(loan) = self.lent.iter_mut().find(same) {
            loan.returned = loan.returned.max(slots).min(loan.slots);
        }
    }

    /// Gives back borrowed slots that no running request needs, except `keep` of them on loans that
    /// still run, and answers the loans with what was returned of each.
    pub(super) fn give_back(&mut self, now: Duration, keep: u64) -> Vec<Borrowed> {
        let mut free = self.free_borrowed();
        let mut keep = keep;
        let mut changed = Vec::new();
        for loan in &mut self.borrowed {
            let kept = if loan.until > now { keep.min(loan.slots) } else { 0 };
            keep -= kept;
            let given = (loan.slots - kept).min(free);
            free -= given;
            loan.slots -= given;
            loan.returned += given;
            if given > 0 {
                changed.push(loan.clone());
            }
        }
        self.borrowed.retain(|loan| loan.slots > 0);
        changed
    }

    /// Borrowed slots that no running request needs.
    fn free_borrowed(&self) -> u64 {
        let held: u64 = self.borrowed.iter().map(|loan| loan.slots).sum();
        held.saturating_sub(self.used.saturating_sub(self.own()))
    }

    /// Own share less what is lent.
    fn own(&self) -> u64 {
        let lent: u64 = self.lent.iter().map(|loan| loan.slots - loan.returned).sum();
        self.versions.share().capacity.saturating_sub(lent)
    }
}
