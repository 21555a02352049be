//! Estimates of what each peer can lend, and the pending loan requests, for one budget of a host.

use std::{sync::Arc, time::Duration};

use super::limit::Share;
use crate::constants::{BORROW_TIMEOUT, HEARTBEAT_INTERVAL, LOAN_TERM};

/// A peer whose last report is older than this is not asked for a loan.
const LENDER_SILENCE_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(3);

/// The estimate of a peer grows at no less than the peer's rate divided by this.
const MIN_GROWTH_DIVISOR: u64 = 16;

/// Largest rate of a peer's share at which the peer is asked although its estimate is too low.
const PROBED_RATE_LIMIT_MILLITOKENS_PER_SECOND: u64 = 16_000;

/// A peer whose estimate is at least this many times the wanted amount is preferred to peers with a
/// fuller bucket but fewer tokens, which may be spent before the request arrives.
const AMPLE_ESTIMATE_FACTOR: u64 = 3;

/// Time after a peer's last report before it is asked although its estimate is too low.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Possible lenders and pending loan requests of one host for one budget.
#[derive(Debug, Default)]
pub(super) struct Borrowing {
    lenders: Vec<Lender>,
    pending: Vec<Pending>,
    /// Amount that requests of this host wait for. Every answer wakes all of them and resets this;
    /// requests that still lack tokens are counted again.
    waiting: u64,
}

/// A peer with an estimate of what it can lend. Amounts are in thousandths of a token, or in slots.
#[derive(Clone, Debug)]
struct Lender {
    host: Arc<str>,
    share: Share,
    /// Amount that the peer could lend at `estimated_at`.
    estimate: u64,
    estimated_at: Duration,
    /// Growth of the estimate per second. Lower than the share's rate while the peer spends tokens
    /// itself.
    growth: u64,
    /// When the peer last reported what it can lend.
    reported_at: Option<Duration>,
}

/// A loan request that was sent and not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) lender: Arc<str>,
    pub(super) sent_at: Duration,
    /// Estimated amount of the loan.
    expected: u64,
}

impl Borrowing {
    /// Replaces the peers and their shares. The estimate of a peer that stays is kept.
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

    /// Records that `host` can lend `amount` after it granted `granted`. An `amount` of `None`
    /// stands for its whole share.
    pub(super) fn record_lendable(
        &mut self,
        now: Duration,
        host: &str,
        amount: Option<u64>,
        granted: u64,
    ) {
        let found = self.lenders.iter_mut().find(|lender| lender.host.as_ref() == host);
        if let Some(lender) = found {
            lender.record_lendable(now, amount, granted);
        }
    }

    /// Adds `amount` to the amount waited for. Returns the part that pending loans do not cover.
    pub(super) fn add_waiting(&mut self, now: Duration, amount: u64) -> u64 {
        self.waiting = self.waiting.saturating_add(amount);
        self.waiting.saturating_sub(self.expected_amount(now))
    }

    /// Reverts [`Self::add_waiting`] for a request that no peer can be asked for.
    pub(super) fn remove_waiting(&mut self, amount: u64) {
        self.waiting = self.waiting.saturating_sub(amount);
    }

    /// Estimated amount of the pending loans that can still arrive in time.
    pub(super) fn expected_amount(&self, now: Duration) -> u64 {
        let awaited = self.pending.iter().filter(|pending| pending.is_awaited(now));
        awaited.map(|pending| pending.expected).sum()
    }

    /// The peer to ask for a loan, and the estimate of what it can lend, at least `minimum`.
    ///
    /// Prefers peers that have several times `wanted`, the amount that requests wait for, and among
    /// these the one with the fullest bucket.
    pub(super) fn choose_lender(
        &self,
        now: Duration,
        minimum: u64,
        wanted: u64,
    ) -> Option<(Arc<str>, u64)> {
        let reported_recently = |lender: &&Lender| {
            lender.reported_at.is_some_and(|at| at + LENDER_SILENCE_TIMEOUT > now)
        };
        self.lenders
            .iter()
            .filter(reported_recently)
            .map(|lender| (lender, self.unclaimed_estimate(now, lender)))
            .filter(|(lender, estimate)| *estimate >= minimum || self.should_probe(now, lender))
            .max_by_key(|(lender, estimate)| {
                let is_ample = *estimate >= wanted * AMPLE_ESTIMATE_FACTOR;
                (is_ample, lender.fullness(*estimate), *estimate)
            })
            .map(|(lender, estimate)| (lender.host.clone(), estimate.max(minimum)))
    }

    /// Adds a loan request that is about to be sent.
    pub(super) fn add_pending(&mut self, now: Duration, id: u64, lender: &Arc<str>, expected: u64) {
        self.pending.push(Pending { id, lender: lender.clone(), sent_at: now, expected });
    }

    /// Removes and returns the pending request `id` to `lender`; `None` for a duplicated answer.
    pub(super) fn take_pending(&mut self, id: u64, lender: &str) -> Option<Pending> {
        let same = |pending: &Pending| pending.id == id && pending.lender.as_ref() == lender;
        let index = self.pending.iter().position(same)?;
        self.waiting = 0;
        Some(self.pending.swap_remove(index))
    }

    /// Removes and returns the requests that are so old that their loans would have ended.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Pending> {
        if !self.is_awaited(now) {
            self.waiting = 0;
        }
        let expired = |pending: &mut Pending| pending.sent_at + LOAN_TERM <= now;
        self.pending.extract_if(.., expired).collect()
    }

    /// Whether an answer to a loan request may still arrive in time for a waiting request.
    pub(super) fn is_awaited(&self, now: Duration) -> bool {
        self.pending.iter().any(|pending| pending.is_awaited(now))
    }

    /// Whether to ask the peer although its estimate is too low. At low rates, loans to other hosts
    /// make the estimates unreliable, and a few extra requests are cheap.
    fn should_probe(&self, now: Duration, lender: &Lender) -> bool {
        let slow = lender.share.capacity > 0
            && lender.share.rate <= PROBED_RATE_LIMIT_MILLITOKENS_PER_SECOND;
        let asked = |pending: &Pending| pending.lender == lender.host && pending.is_awaited(now);
        slow && lender.estimated_at + PROBE_INTERVAL <= now && !self.pending.iter().any(asked)
    }

    /// Estimate of what `lender` can lend, less what pending requests to it will take.
    fn unclaimed_estimate(&self, now: Duration, lender: &Lender) -> u64 {
        let requested = self
            .pending
            .iter()
            .filter(|pending| pending.lender == lender.host && pending.is_awaited(now));
        let requested: u64 = requested.map(|pending| pending.expected).sum();
        lender.estimate(now).saturating_sub(requested)
    }
}

impl Pending {
    fn is_awaited(&self, now: Duration) -> bool {
        self.sent_at + BORROW_TIMEOUT > now
    }
}

impl Lender {
    fn new(host: Arc<str>) -> Self {
        Self {
            host,
            share: Share::default(),
            estimate: 0,
            estimated_at: Duration::ZERO,
            growth: 0,
            reported_at: None,
        }
    }

    /// Thousandths of the peer's capacity that `amount` fills. A full bucket discards what it
    /// accrues, so that borrowing from the fullest peer wastes least.
    fn fullness(&self, amount: u64) -> u64 {
        amount.saturating_mul(1_000) / self.share.capacity.max(1)
    }

    fn estimate(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.estimated_at).as_millis() as u64;
        let grown = self.growth.saturating_mul(age) / 1_000;
        self.estimate.saturating_add(grown).min(self.share.capacity)
    }

    /// Replaces the estimate by a reported amount. If the peer has far less than estimated, it
    /// spends its rate itself, and its estimate grows more slowly from then on.
    fn record_lendable(&mut self, now: Duration, amount: Option<u64>, granted: u64) {
        let amount = amount.unwrap_or(self.share.capacity);
        if amount.saturating_add(granted) < self.estimate(now) / 2 {
            self.growth = (self.growth / 2).max(self.share.rate / MIN_GROWTH_DIVISOR);
        } else {
            self.growth = (self.growth * 2).min(self.share.rate);
        }
        self.estimate = amount;
        self.estimated_at = now;
        self.reported_at = Some(now);
    }
}
