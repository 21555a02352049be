//! What a host knows about the peers that could lend it something, for one budget.

use std::{sync::Arc, time::Duration};

use super::limit::Share;
use crate::constants::{BORROW_WAIT, HEARTBEAT_INTERVAL, LOAN_TERM};

/// A peer that was not heard from for this long is not asked.
const SILENT_AFTER: Duration = HEARTBEAT_INTERVAL.saturating_mul(3);

/// Growth of an estimate is at least this fraction of the peer's rate.
const SLOWEST_GROWTH: u64 = 16;

/// Rate of a share, in thousandths of a token per second, up to which a peer is asked on the chance.
const SLOW_RATE: u64 = 16_000;

/// A peer that probably has this many times what requests wait for is asked before fuller ones, whose
/// few tokens may be gone.
const CERTAINTY: u64 = 3;

/// Time from an answer until the peer is asked on the chance.
const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Loans that one host asks for and the peers that it may ask, for one budget.
#[derive(Debug, Default)]
pub(super) struct Borrowing {
    lenders: Vec<Lender>,
    pending: Vec<Pending>,
    /// Amount that requests of this host wait for. Every answer wakes them all, and those that are
    /// still short count again.
    waiting: u64,
}

/// A peer with an estimate of what it can lend. Amounts are thousandths of a token, or slots.
#[derive(Clone, Debug)]
struct Lender {
    host: Arc<str>,
    share: Share,
    estimate: u64,
    estimated: Duration,
    /// Rate at which the estimate grows; lower than the share's rate while the peer spends itself.
    growth: u64,
    heard: Option<Duration>,
}

/// A request for a loan without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) lender: Arc<str>,
    pub(super) sent: Duration,
    /// Amount that the loan will probably have.
    expected: u64,
}

impl Borrowing {
    /// Replaces the peers and their shares; what is known of a peer that stays is kept.
    pub(super) fn set_lenders(&mut self, lenders: impl Iterator<Item = (Arc<str>, Share)>) {
        let mut known = std::mem::take(&mut self.lenders);
        let entry = |(host, share): (Arc<str>, Share)| {
            let index = known.iter().position(|lender| lender.host == host);
            let mut lender =
                index.map_or_else(|| Lender::new(host.clone()), |index| known.swap_remove(index));
            lender.share = share;
            lender.growth = share.rate;
            lender
        };
        self.lenders = lenders.map(entry).collect();
    }

    /// Notes that `host` can lend `amount` after it granted `granted`; `None` stands for its whole
    /// share.
    pub(super) fn note(&mut self, now: Duration, host: &str, amount: Option<u64>, granted: u64) {
        let found = self.lenders.iter_mut().find(|lender| lender.host.as_ref() == host);
        if let Some(lender) = found {
            lender.note(now, amount, granted);
        }
    }

    /// Counts `amount` as waited for. Answers how much no pending loan covers.
    pub(super) fn wait(&mut self, now: Duration, amount: u64) -> u64 {
        self.waiting = self.waiting.saturating_add(amount);
        self.waiting.saturating_sub(self.expected(now))
    }

    /// Undoes [`Self::wait`] for a request that is refused at once.
    pub(super) fn refuse(&mut self, amount: u64) {
        self.waiting = self.waiting.saturating_sub(amount);
    }

    /// Amount that the pending loans will probably have.
    pub(super) fn expected(&self, now: Duration) -> u64 {
        let awaited = self.pending.iter().filter(|pending| pending.is_awaited(now));
        awaited.map(|pending| pending.expected).sum()
    }

    /// The peer to ask, which can probably lend at least `least`, and how much: the fullest one of
    /// those that have several times what requests wait for, `wanted`.
    pub(super) fn best(&self, now: Duration, least: u64, wanted: u64) -> Option<(Arc<str>, u64)> {
        let heard = |lender: &&Lender| lender.heard.is_some_and(|at| at + SILENT_AFTER > now);
        self.lenders
            .iter()
            .filter(heard)
            .map(|lender| (lender, self.estimate(now, lender)))
            .filter(|(lender, estimate)| *estimate >= least || self.is_worth_a_try(now, lender))
            .max_by_key(|(lender, estimate)| {
                let certain = *estimate >= wanted * CERTAINTY;
                (certain, lender.fullness(*estimate), *estimate)
            })
            .map(|(lender, estimate)| (lender.host.clone(), estimate.max(least)))
    }

    /// Notes a request that is about to be sent.
    pub(super) fn ask(&mut self, now: Duration, id: u64, lender: &Arc<str>, expected: u64) {
        self.pending.push(Pending { id, lender: lender.clone(), sent: now, expected });
    }

    /// Takes out the pending request `id` to `lender`; a second answer finds nothing.
    pub(super) fn answered(&mut self, id: u64, lender: &str) -> Option<Pending> {
        let same = |pending: &Pending| pending.id == id && pending.lender.as_ref() == lender;
        let index = self.pending.iter().position(same)?;
        self.waiting = 0;
        Some(self.pending.swap_remove(index))
    }

    /// Takes out the requests whose loans could no longer be used.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Pending> {
        if !self.is_awaited(now) {
            self.waiting = 0;
        }
        let expired = |pending: &mut Pending| pending.sent + LOAN_TERM <= now;
        self.pending.extract_if(.., expired).collect()
    }

    /// Whether an answer may still arrive in time for a waiting request.
    pub(super) fn is_awaited(&self, now: Duration) -> bool {
        self.pending.iter().any(|pending| pending.is_awaited(now))
    }

    /// Whether to ask the peer although it probably has nothing. Where tokens come slowly, other
    /// hosts' loans make estimates wrong, and few questions are enough.
    fn is_worth_a_try(&self, now: Duration, lender: &Lender) -> bool {
        let slow = lender.share.capacity > 0 && lender.share.rate <= SLOW_RATE;
        let asked = |pending: &Pending| pending.lender == lender.host && pending.is_awaited(now);
        slow && lender.estimated + TRY_INTERVAL <= now && !self.pending.iter().any(asked)
    }

    /// Estimate of what `lender` can lend, less what was asked of it already.
    fn estimate(&self, now: Duration, lender: &Lender) -> u64 {
        let asked = self
            .pending
            .iter()
            .filter(|pending| pending.lender == lender.host && pending.is_awaited(now));
        let asked: u64 = asked.map(|pending| pending.expected).sum();
        lender.estimate(now).saturating_sub(asked)
    }
}

impl Pending {
    fn is_awaited(&self, now: Duration) -> bool {
        self.sent + BORROW_WAIT > now
    }
}

impl Lender {
    fn new(host: Arc<str>) -> Self {
        Self {
            host,
            share: Share::default(),
            estimate: 0,
            estimated: Duration::ZERO,
            growth: 0,
            heard: None,
        }
    }

    /// Thousandths of the peer's capacity that `amount` fills. A full peer loses its rate.
    fn fullness(&self, amount: u64) -> u64 {
        amount.saturating_mul(1_000) / self.share.capacity.max(1)
    }

    fn estimate(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.estimated).as_millis() as u64;
        let grown = self.growth.saturating_mul(age) / 1_000;
        self.estimate.saturating_add(grown).min(self.share.capacity)
    }

    /// Takes over a reported amount. A peer that has less than estimated spends its rate itself, so
    /// that its estimate grows more slowly from then on.
    fn note(&mut self, now: Duration, amount: Option<u64>, granted: u64) {
        let amount = amount.unwrap_or(self.share.capacity);
        if amount.saturating_add(granted) < self.estimate(now) / 2 {
            self.growth = (self.growth / 2).max(self.share.rate / SLOWEST_GROWTH);
        } else {
            self.growth = (self.growth * 2).min(self.share.rate);
        }
        self.estimate = amount;
        self.estimated = now;
        self.heard = Some(now);
    }
}
