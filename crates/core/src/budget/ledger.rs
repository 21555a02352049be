//! Ledger: all accounts of one host.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use super::{
    Account, Budget, Limit, Policy, borrowing::Borrowing, drift::with_drift, limit::Share,
    version::Versions,
};
use crate::{
    constants::{LOAN_TERM, SLOT_LOAN_TERM},
    message::Message,
};

/// How long old members are remembered for the shares of new accounts. Longer than any version
/// takes to settle: loan term and the longest deadline of a document, which is 10 minutes.
const MEMBERS_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Bits of a request number that count the requests of one incarnation.
const REQUEST_NUMBER_BITS: u32 = 32;

/// A message to another host.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Name of the receiver.
    pub host: Arc<str>,
    /// The message.
    pub message: Message,
}

/// All accounts of one host, shared by its threads.
///
/// Request threads keep the [`Account`]s that they use and share no lock with each other besides
/// the account's own. All other calls come from the control thread.
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
    members: Vec<Members>,
    /// Largest revision known to be in force.
    in_force: u64,
    pub(super) borrowings: HashMap<Budget, Borrowing>,
    /// Recent longest time from a request for a loan to its answer, for each peer.
    pub(super) round_trips: HashMap<Arc<str>, Duration>,
    /// Number of the next request for a loan.
    pub(super) next_id: u64,
}

/// One version of the members.
#[derive(Clone, Debug)]
struct Members {
    revision: u64,
    hosts: Arc<[Arc<str>]>,
    in_force: Option<Duration>,
}

impl Ledger {
    /// Ledger of a starting host, without accounts and without a share.
    ///
    /// `incarnation` makes the numbers of loans differ from those of earlier starts of the host.
    pub fn new(host: Arc<str>, incarnation: u64, policy: Policy) -> Self {
        let control = Control { next_id: incarnation << REQUEST_NUMBER_BITS, ..Control::default() };
        Self { host, policy, accounts: RwLock::default(), control: Mutex::new(control) }
    }

    /// Replaces the limits by those of `revision`.
    ///
    /// A smaller share takes effect at once, a larger one when `revision` is in force and settled.
    /// A new account starts without tokens. The account of a limit that is gone stays, empty, until
    /// the change has settled, so that its loans are not forgotten if the limit comes back.
    pub fn configure(&self, now: Duration, limits: &[(Budget, Limit)], revision: u64) {
        let before = self.control().limits.clone();
        let before: Vec<(Budget, Limit)> = before.into_iter().collect();
        self.reconfigure(now, &before, limits, revision);
    }

    /// Replaces the limits in `before` by `limits`, those of `revision`, as [`Self::configure`] does
    /// for all. Costs as much as these limits, however many others there are.
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
            self.set_limit(now, &control, budget, limit.emptied(), revision);
            control.limits.remove(budget);
            control.borrowings.remove(budget);
        }
    }

    /// Opens the accounts of those `limits` that have none, with the whole share at once.
    ///
    /// To be called only for limits that were written after the newest members and that no host had
    /// before: whoever spends them knows the newest members, so that nothing was granted under older
    /// ones. Without this, a new service would wait until the last change of members has settled.
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
            let versions = Versions::settled(settling_time(*limit), members.revision, share);
            self.insert(now, budget, *limit, versions);
        }
    }

    /// Replaces the members by those of `revision`.
    ///
    /// To be called for every version of the members, in their order, and in the order of revisions
    /// with [`Self::configure`]. After a version was missed, see [`Self::reset`].
    ///
    /// `hosts` names this host only if its own incarnation is listed.
    pub fn set_members(&self, now: Duration, hosts: &[Arc<str>], revision: u64) {
        let mut control = self.control();
        let in_force = control.since(now, revision);
        control.members.push(Members { revision, hosts: hosts.into(), in_force });
        control.forget_members(now);
        self.update_lenders(&mut control);
        for (budget, account) in self.accounts().iter() {
            let Some(limit) = control.limits.get(budget) else {
                continue;
            };
            let share = self.share(budget, *limit, hosts);
            account.change(now, |versions| versions.push(revision, share, in_force));
        }
    }

    /// Notes that every change up to `revision` is in force: every host knows it or is not current.
    pub fn mark_in_force(&self, now: Duration, revision: u64) {
        let mut control = self.control();
        control.in_force = control.in_force.max(revision);
        for members in &mut control.members {
            if members.revision <= revision {
                members.in_force.get_or_insert(now);
            }
        }
        for account in self.accounts().values() {
            account.change(now, |versions| versions.mark_in_force(now, revision));
        }
    }

    /// Gives up the shares until `revision` is in force and settled.
    ///
    /// To be called before [`Self::set_members`] with `revision` by a host that may have missed a
    /// version of the members before it: other hosts may have spent this host's share in between.
    pub fn reset(&self, now: Duration, revision: u64) {
        let mut control = self.control();
        let hosts = control.hosts();
        let in_force = control.since(now, revision);
        control.members = vec![Members { revision, hosts: hosts.clone(), in_force }];
        for (budget, account) in self.accounts().iter() {
            let limit = control.limits.get(budget);
            let share = limit.map(|limit| self.share(budget, *limit, &hosts));
            account.change(now, |versions| {
                versions.clear();
                versions.push(revision, share.unwrap_or_default(), in_force);
            });
        }
    }

    /// Account of a budget. Request threads keep it.
    pub fn account(&self, budget: &Budget) -> Option<Arc<Account>> {
        self.accounts().get(budget).cloned()
    }

    /// Notes that the lease in the store was renewed; only [`Policy::Leased`] needs it.
    pub fn renew_lease(&self, now: Duration) {
        let Policy::Leased { lease } = self.policy else {
            return;
        };
        for account in self.accounts().values() {
            account.lock().lease_until = Some(now + lease);
        }
    }

    /// Brings the lists of peers that can lend up to date with limits and members.
    fn update_lenders(&self, control: &mut Control) {
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
            return limit.whole();
        }
        let own = hosts.iter().position(|host| *host == self.host);
        let share = own.map(|own| limit.shares(budget, hosts, self.policy.lends())[own]);
        share.unwrap_or_default()
    }

    /// Adds a version of the limit to the account of `budget`, which is opened if need be.
    fn set_limit(
        &self,
        now: Duration,
        control: &Control,
        budget: &Budget,
        limit: Limit,
        revision: u64,
    ) {
        let known = self.account(budget);
        let account = known.unwrap_or_else(|| self.open(now, control, budget, limit));
        let share = self.share(budget, limit, &control.hosts());
        let in_force = control.since(now, revision);
        account.change(now, |versions| {
            versions.extend_delay(settling_time(limit));
            versions.push(revision, share, in_force);
        });
    }

    /// Opens an account. Its share is the smallest under all members that some host may still use.
    fn open(
        &self,
        now: Duration,
        control: &Control,
        budget: &Budget,
        limit: Limit,
    ) -> Arc<Account> {
        let mut versions = Versions::new(settling_time(limit));
        for members in &control.members {
            let share = self.share(budget, limit, &members.hosts);
            versions.push(members.revision, share, members.in_force);
        }
        self.insert(now, budget, limit, versions)
    }

    fn insert(
        &self,
        now: Duration,
        budget: &Budget,
        limit: Limit,
        versions: Versions,
    ) -> Arc<Account> {
        let account = Arc::new(Account::new(now, budget.clone(), limit, versions));
        if let Policy::Leased { lease } = self.policy {
            account.lock().lease_until = Some(now + lease);
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
    /// The newest members.
    fn hosts(&self) -> Arc<[Arc<str>]> {
        let newest = self.members.last();
        newest.map_or_else(|| Arc::from([]), |members| members.hosts.clone())
    }

    /// Notes how long a peer took to answer; a longest time is forgotten slowly.
    pub(super) fn record_round_trip(&mut self, peer: &Arc<str>, latest: Duration) {
        let known = self.round_trips.entry(peer.clone()).or_default();
        *known = latest.max(*known * 9 / 10);
    }

    /// Since when a change of `revision` that is applied now is in force, if it is.
    fn since(&self, now: Duration, revision: u64) -> Option<Duration> {
        (revision <= self.in_force).then_some(now)
    }

    fn forget_members(&mut self, now: Duration) {
        let old = |members: &Members| {
            let settled = members.in_force.map(|at| at + MEMBERS_RETENTION);
            settled.is_some_and(|at| at <= now)
        };
        if let Some(newest) = self.members.iter().rposition(old) {
            self.members.drain(..newest);
        }
    }
}

/// Time from a change being in force until everything granted before it has ended.
fn settling_time(limit: Limit) -> Duration {
    match limit {
        Limit::Rate { .. } => with_drift(LOAN_TERM),
        Limit::Concurrency { max_duration, .. } => with_drift(SLOT_LOAN_TERM + max_duration),
    }
}
