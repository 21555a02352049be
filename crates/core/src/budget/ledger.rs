//! The accounts of one host and the versions of limits and members that they follow.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use super::{
    Account, Budget, Limit, Policy, borrowing::Borrowing, drift::with_drift_margin, limit::Share,
    version::Versions,
};
use crate::{
    constants::{LOAN_TERM, SLOT_LOAN_TERM},
    message::Message,
};

/// How long a superseded member table still bounds the shares of new accounts. It exceeds the
/// longest settling time: the loan term plus the longest deadline of a document, 10 minutes.
const MEMBER_TABLE_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Low bits of a loan request's number, which count the requests of one incarnation.
const REQUEST_SEQUENCE_BITS: u32 = 32;

/// A message for another host, to be sent by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Name of the receiving host.
    pub host: Arc<str>,
    /// Message to send.
    pub message: Message,
}

/// All accounts of one host, shared by its threads.
///
/// Request threads only look up an [`Account`], under a read lock, and then contend for the lock of
/// that account. All other calls come from the control thread.
#[derive(Debug)]
pub struct Ledger {
    host: Arc<str>,
    pub(super) policy: Policy,
    accounts: RwLock<HashMap<Budget, Arc<Account>>>,
    control: Mutex<Control>,
}

/// State of the control thread.
#[derive(Debug, Default)]
pub(super) struct Control {
    limits: HashMap<Budget, Limit>,
    /// Member tables that some host may still use, oldest first.
    members: Vec<Members>,
    /// Largest revision known to be in force.
    revision_in_force: u64,
    pub(super) borrowings: HashMap<Budget, Borrowing>,
    /// Recent maximum of the round trip time to each peer.
    pub(super) round_trips: HashMap<Arc<str>, Duration>,
    /// Number of the next loan request.
    pub(super) next_request_id: u64,
}

/// One version of the member table.
#[derive(Clone, Debug)]
struct Members {
    revision: u64,
    hosts: Arc<[Arc<str>]>,
    /// When this host learned that the version is in force; `None` if it has not.
    in_force_at: Option<Duration>,
}

impl Ledger {
    /// Ledger of a starting host, without accounts and members.
    ///
    /// `incarnation` keeps the numbers of loan requests distinct from those of earlier starts.
    pub fn new(host: Arc<str>, incarnation: u64, policy: Policy) -> Self {
        let control =
            Control { next_request_id: incarnation << REQUEST_SEQUENCE_BITS, ..Control::default() };
        Self { host, policy, accounts: RwLock::default(), control: Mutex::new(control) }
    }

    /// Replaces all limits by `limits`, those of `revision`.
    ///
    /// A smaller share takes effect at once, a larger one when `revision` is in force and settled.
    /// A new account starts without tokens. The account of a removed limit stays with a limit of
    /// zero, so that its loans are still deducted if the limit is added again.
    pub fn configure(&self, now: Duration, limits: &[(Budget, Limit)], revision: u64) {
        let before = self.control().limits.clone();
        let before: Vec<(Budget, Limit)> = before.into_iter().collect();
        self.reconfigure(now, &before, limits, revision);
    }

    /// Replaces the limits in `before` by `limits`, those of `revision`; [`Self::configure`] does
    /// so for all limits. The cost depends on the limits passed, not on the number of all limits.
    pub fn reconfigure(
        &self,
        now: Duration,
        before: &[(Budget, Limit)],
        limits: &[(Budget, Limit)],
        revision: u64,
    ) {
        let mut control = self.control();
        for (budget, limit) in limits {
            if control.limits.get(budget) == Some(limit) {
                continue;
            }
            self.set_limit(now, &control, budget, *limit, revision);
            control.limits.insert(budget.clone(), *limit);
            self.set_lenders(&mut control, budget, *limit);
        }
        let kept: HashSet<&Budget> = limits.iter().map(|(budget, _)| budget).collect();
        for (budget, limit) in before.iter().filter(|(budget, _)| !kept.contains(budget)) {
            self.set_limit(now, &control, budget, limit.zeroed(), revision);
            control.limits.remove(budget);
            control.borrowings.remove(budget);
        }
    }

    /// Opens the accounts of those `limits` that have none, with the whole share at once.
    ///
    /// Safe only for limits that were written after the newest member table and that did not exist
    /// before: every host that knows them knows that table, so that nothing was granted under an
    /// older one. Without this, a new service would wait until the last change of members has
    /// settled.
    pub fn open_accounts(&self, now: Duration, limits: &[(Budget, Limit)]) {
        let control = self.control();
        let Some(members) = control.members.last() else {
            return;
        };
        for (budget, limit) in limits {
            if self.account(budget).is_some() {
                continue;
            }
            let share = self.share(budget, *limit, &members.hosts);
            let versions = Versions::from_settled(settling_time(*limit), members.revision, share);
            self.insert_account(now, budget, *limit, versions);
        }
    }

    /// Replaces the members by those of `revision`.
    ///
    /// Every version of the members must be passed, and calls of this method and of
    /// [`Self::configure`] must follow the order of revisions. If a version may have been missed,
    /// [`Self::reset`] must be called first.
    ///
    /// `hosts` names this host only if the member table lists its current incarnation.
    pub fn set_members(&self, now: Duration, hosts: &[Arc<str>], revision: u64) {
        let mut control = self.control();
        let in_force_at = control.in_force_since(now, revision);
        control.members.push(Members { revision, hosts: hosts.into(), in_force_at });
        control.drop_old_members(now);
        self.update_all_lenders(&mut control);
        for (budget, account) in self.accounts().iter() {
            let Some(limit) = control.limits.get(budget) else {
                continue;
            };
            let share = self.share(budget, *limit, hosts);
            account.change(now, |versions| versions.push(revision, share, in_force_at));
        }
    }

    /// Records that every change up to `revision` is in force: each host knows it or is not
    /// current.
    pub fn mark_in_force(&self, now: Duration, revision: u64) {
        let mut control = self.control();
        control.revision_in_force = control.revision_in_force.max(revision);
        for members in &mut control.members {
            if members.revision <= revision {
                members.in_force_at.get_or_insert(now);
            }
        }
        for account in self.accounts().values() {
            account.change(now, |versions| versions.mark_in_force(now, revision));
        }
    }

    /// Sets the shares to zero until `revision` is in force and settled.
    ///
    /// A host that may have missed a version of the members before `revision` must call this before
    /// [`Self::set_members`]: other hosts may have spent its share in between.
    pub fn reset(&self, now: Duration, revision: u64) {
        let mut control = self.control();
        let hosts = control.hosts();
        let in_force_at = control.in_force_since(now, revision);
        control.members = vec![Members { revision, hosts: hosts.clone(), in_force_at }];
        for (budget, account) in self.accounts().iter() {
            let limit = control.limits.get(budget);
            let share = limit.map(|limit| self.share(budget, *limit, &hosts));
            account.change(now, |versions| {
                versions.clear();
                versions.push(revision, share.unwrap_or_default(), in_force_at);
            });
        }
    }

    /// Account of a budget, if the budget has one. A caller may keep it and look it up only once.
    pub fn account(&self, budget: &Budget) -> Option<Arc<Account>> {
        self.accounts().get(budget).cloned()
    }

    /// Records that the lease in the store was renewed; has an effect only under
    /// [`Policy::Leased`].
    pub fn renew_lease(&self, now: Duration) {
        let Policy::Leased { lease } = self.policy else {
            return;
        };
        for account in self.accounts().values() {
            account.lock().lease_ends_at = Some(now + lease);
        }
    }

    /// Recomputes the possible lenders of every budget from the limits and members.
    fn update_all_lenders(&self, control: &mut Control) {
        let limits: Vec<(Budget, Limit)> = control.limits.clone().into_iter().collect();
        for (budget, limit) in limits {
            self.set_lenders(control, &budget, limit);
        }
    }

    fn set_lenders(&self, control: &mut Control, budget: &Budget, limit: Limit) {
        let hosts = control.hosts();
        let shares = limit.shares(budget, &hosts, self.policy.lends());
        let peers = hosts.iter().cloned().zip(shares);
        let others = peers.filter(|(host, _)| *host != self.host);
        let borrowing = control.borrowings.entry(budget.clone()).or_default();
        borrowing.set_lenders(others);
    }

    fn share(&self, budget: &Budget, limit: Limit, hosts: &[Arc<str>]) -> Share {
        if self.policy == Policy::Omniscient {
            return limit.full_share();
        }
        let own = hosts.iter().position(|host| *host == self.host);
        let share = own.map(|own| limit.shares(budget, hosts, self.policy.lends())[own]);
        share.unwrap_or_default()
    }

    /// Adds a version of the limit to the account of `budget`, which is opened if there is none.
    fn set_limit(
        &self,
        now: Duration,
        control: &Control,
        budget: &Budget,
        limit: Limit,
        revision: u64,
    ) {
        let known = self.account(budget);
        let account = known.unwrap_or_else(|| self.open_account(now, control, budget, limit));
        let share = self.share(budget, limit, &control.hosts());
        let in_force_at = control.in_force_since(now, revision);
        account.change(now, |versions| {
            versions.extend_settling_time(settling_time(limit));
            versions.push(revision, share, in_force_at);
        });
    }

    /// Opens an account. Its share is the smallest under any member table that a host may still
    /// use.
    fn open_account(
        &self,
        now: Duration,
        control: &Control,
        budget: &Budget,
        limit: Limit,
    ) -> Arc<Account> {
        let mut versions = Versions::new(settling_time(limit));
        for members in &control.members {
            let share = self.share(budget, limit, &members.hosts);
            versions.push(members.revision, share, members.in_force_at);
        }
        self.insert_account(now, budget, limit, versions)
    }

    fn insert_account(
        &self,
        now: Duration,
        budget: &Budget,
        limit: Limit,
        versions: Versions,
    ) -> Arc<Account> {
        let account = Arc::new(Account::new(now, budget.clone(), limit, versions));
        if let Policy::Leased { lease } = self.policy {
            account.lock().lease_ends_at = Some(now + lease);
        }
        let mut accounts = self.accounts.write().unwrap_or_else(PoisonError::into_inner);
        accounts.insert(budget.clone(), account.clone());
        account
    }

    pub(super) fn accounts(&self) -> std::sync::RwLockReadGuard<'_, HashMap<Budget, Arc<Account>>> {
        self.accounts.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Control {
    /// Hosts of the newest member table; none before the first one.
    fn hosts(&self) -> Arc<[Arc<str>]> {
        let newest = self.members.last();
        newest.map_or_else(|| Arc::from([]), |members| members.hosts.clone())
    }

    /// Updates the recent maximum of a peer's round trip time, which decays by a tenth per sample.
    pub(super) fn record_round_trip(&mut self, peer: &Arc<str>, latest: Duration) {
        let known = self.round_trips.entry(peer.clone()).or_default();
        *known = latest.max(*known * 9 / 10);
    }

    /// `now` if a change of `revision` that is applied now is already in force.
    fn in_force_since(&self, now: Duration, revision: u64) -> Option<Duration> {
        (revision <= self.revision_in_force).then_some(now)
    }

    /// Drops the member tables before the newest one that every host must use.
    fn drop_old_members(&mut self, now: Duration) {
        let settled = |members: &Members| {
            let settled_at = members.in_force_at.map(|at| at + MEMBER_TABLE_RETENTION);
            settled_at.is_some_and(|at| at <= now)
        };
        if let Some(newest) = self.members.iter().rposition(settled) {
            self.members.drain(..newest);
        }
    }
}

/// Time after a change is in force until all loans and requests admitted before it have ended.
fn settling_time(limit: Limit) -> Duration {
    match limit {
        Limit::Rate { .. } => with_drift_margin(LOAN_TERM),
        Limit::Concurrency { max_duration, .. } => with_drift_margin(SLOT_LOAN_TERM + max_duration),
    }
}
