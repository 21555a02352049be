//! Budgets of a host: limits from documents and the list of backend servers, and loan messages.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    Host, VersionedDocument,
    event::{Action, ListedHost, ListedState},
};
use crate::{
    budget::{self, Budget, Ledger, Limit, Loan, LoanRequest, Outgoing, Spare},
    constants::LEDGER_TICK_INTERVAL,
    document::{Document, Region},
    member::{Heartbeat, Member, roster::Roster},
    message::{Message, Sender},
};

/// Number of live backend servers by service and region.
type LiveBackends = BTreeMap<(Arc<str>, Arc<str>), u64>;

/// The ledger and the inputs of its limits.
pub(super) struct Budgets {
    ledger: Arc<Ledger>,
    /// Limits by service.
    limits: BTreeMap<Arc<str>, Vec<(Budget, Limit)>>,
    /// `None` until the platform's list of hosts was read for the first time.
    live_backends: Option<LiveBackends>,
    next_tick: Duration,
}

impl Budgets {
    pub(super) fn new(own: &Member, policy: budget::Policy) -> Self {
        let ledger = Ledger::new(own.host.clone(), own.incarnation, policy);
        Self {
            ledger: Arc::new(ledger),
            limits: BTreeMap::new(),
            live_backends: None,
            next_tick: Duration::ZERO,
        }
    }

    pub(super) fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }
}

impl Host {
    /// Passes every member table after the one of `known_revision` on to the ledger, in order.
    /// `revision` is the revision of `roster`. If `roster` does not list the table of
    /// `known_revision`, this host may have missed a table that does not name it, so the ledger
    /// gives up its shares.
    pub(super) fn set_budget_members(
        &self,
        now: Duration,
        known_revision: u64,
        roster: &Roster,
        revision: u64,
    ) {
        let ledger = &self.budgets.ledger;
        let missed = roster.earlier.iter().take_while(|earlier| earlier.revision > known_revision);
        let missed: Vec<_> = missed.filter(|_| known_revision > 0).collect();
        let next = roster.earlier.get(missed.len());
        if known_revision > 0 && next.is_none_or(|earlier| earlier.revision != known_revision) {
            ledger.reset(now, revision);
        } else {
            for earlier in missed.iter().rev() {
                ledger.set_members(now, &self.share_holders(&earlier.members), earlier.revision);
            }
        }
        ledger.set_members(now, &self.share_holders(&roster.members), revision);
    }

    /// Opens the accounts of those limits of the newest document that earlier ones did not have.
    pub(super) fn open_budget_accounts(&self, now: Duration, service: &str) {
        let limits = self.limits_of(service);
        self.budgets.ledger.open_accounts(now, &limits);
    }

    /// Recomputes the limits of a service after the change with this revision.
    pub(super) fn configure_budgets(&mut self, now: Duration, service: &Arc<str>, revision: u64) {
        let limits = self.limits_of(service);
        let before = self.budgets.limits.remove(service).unwrap_or_default();
        let ledger = &self.budgets.ledger;
        ledger.reconfigure(now, &before, &limits, revision);
        if !limits.is_empty() {
            self.budgets.limits.insert(service.clone(), limits);
        }
    }

    /// Returns the limits of a service; none if its document was removed.
    fn limits_of(&self, service: &str) -> Vec<(Budget, Limit)> {
        let known = self.documents.get(service);
        known.map_or_else(Vec::new, |known| {
            document_limits(known, self.budgets.live_backends.as_ref())
        })
    }

    /// Counts the live backend servers and recomputes all limits if the counts changed.
    pub(super) fn update_backend_counts(&mut self, now: Duration, listed: &[ListedHost]) {
        let mut live = LiveBackends::new();
        for backend in listed.iter().filter(|one| one.state == ListedState::Live) {
            if let Some(service) = &backend.service {
                let key = (service.clone(), backend.region.clone());
                *live.entry(key).or_default() += 1;
            }
        }
        if self.budgets.live_backends.as_ref() != Some(&live) {
            self.budgets.live_backends = Some(live);
            let services: Vec<Arc<str>> = self.documents.keys().cloned().collect();
            for service in services {
                self.configure_budgets(now, &service, self.catalog.revision());
            }
        }
    }

    /// Returns unused slots and borrows ahead of demand at every tick of the ledger.
    pub(super) fn tick_budgets(&mut self, now: Duration) {
        if now >= self.budgets.next_tick {
            self.budgets.next_tick = now + LEDGER_TICK_INTERVAL;
            let messages = self.budgets.ledger.tick(now);
            self.send_all(messages);
        }
    }

    /// Requests a loan from a peer for the request path. If there is no peer to ask and no loan
    /// under way, the waiting requests are woken at once.
    pub(super) fn borrow_tokens(&mut self, now: Duration, budget: Budget, wanted: u64) {
        let ledger = &self.budgets.ledger;
        match ledger.request_loan(now, &budget, wanted) {
            Some((host, request)) => self.send_to(&host, Message::LoanRequest(request)),
            None if ledger.is_borrowing(now, &budget) => {}
            None => self.actions.push(Action::WakeBorrowers(budget)),
        }
    }

    pub(super) fn handle_loan_request(
        &mut self,
        now: Duration,
        from: &Sender,
        request: &LoanRequest,
    ) {
        let loan = if self.is_current(now) && !self.membership.is_draining() {
            self.budgets.ledger.lend(now, &from.host, request)
        } else {
            Loan::denied(request)
        };
        self.send(from.peer, Message::Loan(loan));
    }

    pub(super) fn handle_loan(&mut self, now: Duration, from: &Sender, loan: &Loan) {
        self.budgets.ledger.receive_loan(now, &from.host, loan);
        self.actions.push(Action::WakeBorrowers(loan.budget.clone()));
    }

    /// Returns what this host can lend, for its heartbeats.
    pub(super) fn spare(&self, now: Duration) -> Vec<Spare> {
        if self.membership.is_draining() {
            return Vec::new();
        }
        self.budgets.ledger.spare(now)
    }

    /// Records what a member can lend. The ledger takes a budget that is not listed as entirely
    /// spare, so for a draining member, which lends nothing, every budget is listed with amount 0.
    pub(super) fn record_spare(&self, now: Duration, from: &Sender, heartbeat: &Heartbeat) {
        if !self.roster.is_member(&from.host, from.incarnation) {
            return;
        }
        let zero = |(budget, _): &(Budget, Limit)| Spare { budget: budget.clone(), amount: 0 };
        let ledger = &self.budgets.ledger;
        if heartbeat.leaving {
            let none: Vec<Spare> = self.budgets.limits.values().flatten().map(zero).collect();
            ledger.record_spare(now, &from.host, &none);
        } else {
            ledger.record_spare(now, &from.host, &heartbeat.spare);
        }
    }

    pub(super) fn send_all(&mut self, messages: Vec<Outgoing>) {
        for Outgoing { host, message } in messages {
            self.send_to(&host, message);
        }
    }

    fn send_to(&mut self, host: &str, message: Message) {
        if let Some(to) = self.roster.member(host).map(|member| member.peer) {
            self.send(to, message);
        }
    }

    /// Returns the names of the members, without an earlier or later incarnation of this host.
    fn share_holders(&self, members: &[Member]) -> Vec<Arc<str>> {
        let own = &self.identity.member;
        let holds = |m: &&Member| m.host != own.host || m.incarnation == own.incarnation;
        members.iter().filter(holds).map(|m| m.host.clone()).collect()
    }
}

/// Returns the limits of a document. Region limits are included once the list of backend servers is
/// known.
fn document_limits(known: &VersionedDocument, live: Option<&LiveBackends>) -> Vec<(Budget, Limit)> {
    let document = &known.document;
    let service = &document.service;
    let crossing = &document.cross_region;
    let crossing = Limit::rate(crossing.bytes_per_second as f64, crossing.burst_bytes);
    let mut limits = vec![(Budget::CrossRegion { service: service.clone() }, crossing)];
    for workspace in &document.workspaces {
        let budget =
            Budget::Workspace { service: service.clone(), workspace: workspace.name.clone() };
        let limit = Limit::rate(workspace.rate_per_second, workspace.burst);
        limits.push((budget, limit));
    }
    let regions = live.into_iter().flat_map(|live| region_limits(document, live));
    limits.extend(regions);
    limits
}

/// Returns a concurrency limit for each region: the slots of its live backend servers less the
/// headroom. While a region in use has no live backend server, the others use their headroom, too.
fn region_limits(document: &Document, live: &LiveBackends) -> Vec<(Budget, Limit)> {
    let count = |region: &Region| {
        let key = (document.service.clone(), region.name.clone());
        live.get(&key).copied().unwrap_or(0)
    };
    let is_used = |region: &&Region| !region.drain && region.weight > 0.0;
    let is_region_down = document.regions.iter().filter(is_used).any(|region| count(region) == 0);
    let headroom = if is_region_down { 0.0 } else { document.headroom_percent };
    let longest = document.routes.iter().map(|route| route.deadline).max();
    let limit = |region: &Region| Limit::Concurrency {
        slots: usable_slots(count(region) * region.slots_per_backend, headroom),
        max_duration: longest.unwrap_or_default(),
    };
    let budget = |region: &Region| Budget::Region {
        service: document.service.clone(),
        region: region.name.clone(),
    };
    let regions = document.regions.iter();
    regions.map(|region| (budget(region), limit(region))).collect()
}

/// Returns the slots less the headroom, but at least one if there are any slots.
fn usable_slots(slots: u64, headroom_percent: f64) -> u64 {
    let usable = (slots as f64 * (100.0 - headroom_percent) / 100.0) as u64;
    usable.max(slots.min(1))
}
