//! Budgets of a host: limits from documents and the list of backend servers, and messages of loans.

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

/// Live backend servers by service and region.
type Live = BTreeMap<(Arc<str>, Arc<str>), u64>;

/// The ledger and what its limits are made of.
pub(super) struct Budgets {
    ledger: Arc<Ledger>,
    /// Limits by service.
    limits: BTreeMap<Arc<str>, Vec<(Budget, Limit)>>,
    /// `None` before the list was read for the first time.
    live: Option<Live>,
    next_tick: Duration,
}

impl Budgets {
    pub(super) fn new(own: &Member, policy: budget::Policy) -> Self {
        let ledger = Ledger::new(own.host.clone(), own.incarnation, policy);
        Self {
            ledger: Arc::new(ledger),
            limits: BTreeMap::new(),
            live: None,
            next_tick: Duration::ZERO,
        }
    }

    pub(super) fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }
}

impl Host {
    /// Passes the tables that follow `known` on to the ledger, `revision` being the one of `roster`.
    pub(super) fn budget_members(&self, now: Duration, known: u64, roster: &Roster, revision: u64) {
        let ledger = &self.budgets.ledger;
        let missed = roster.earlier.iter().take_while(|earlier| earlier.revision > known);
        let missed: Vec<_> = missed.filter(|_| known > 0).collect();
        let next = roster.earlier.get(missed.len());
        if known > 0 && next.is_none_or(|earlier| earlier.revision != known) {
            ledger.reset(now, revision);
        } else {
            for earlier in missed.iter().rev() {
                ledger.set_members(now, &self.holders(&earlier.members), earlier.revision);
            }
        }
        ledger.set_members(now, &self.holders(&roster.members), revision);
    }

    /// Opens the accounts of limits that no document of the service before the newest one had.
    pub(super) fn introduce_budgets(&self, now: Duration, service: &str) {
        let limits = self.limits_of(service);
        self.budgets.ledger.open_accounts(now, &limits);
    }

    /// Works the limits of a service out anew; `revision` is that of the change they follow from.
    pub(super) fn configure_budgets(&mut self, now: Duration, service: &Arc<str>, revision: u64) {
        let limits = self.limits_of(service);
        let before = self.budgets.limits.remove(service).unwrap_or_default();
        let ledger = &self.budgets.ledger;
        ledger.reconfigure(now, &before, &limits, revision);
        if !limits.is_empty() {
            self.budgets.limits.insert(service.clone(), limits);
        }
    }

    /// Limits of a service; none when its document was removed.
    fn limits_of(&self, service: &str) -> Vec<(Budget, Limit)> {
        let known = self.documents.get(service);
        known.map_or_else(Vec::new, |known| limits(known, self.budgets.live.as_ref()))
    }

    /// Counts the live backend servers.
    pub(super) fn count_backends(&mut self, now: Duration, listed: &[ListedHost]) {
        let mut live = Live::new();
        for backend in listed.iter().filter(|one| one.state == ListedState::Live) {
            if let Some(service) = &backend.service {
                let key = (service.clone(), backend.region.clone());
                *live.entry(key).or_default() += 1;
            }
        }
        if self.budgets.live.as_ref() != Some(&live) {
            self.budgets.live = Some(live);
            let services: Vec<Arc<str>> = self.documents.keys().cloned().collect();
            for service in services {
                self.configure_budgets(now, &service, self.catalog.revision());
            }
        }
    }

    /// Gives back and borrows ahead.
    pub(super) fn tick_budgets(&mut self, now: Duration) {
        if now >= self.budgets.next_tick {
            self.budgets.next_tick = now + LEDGER_TICK_INTERVAL;
            let messages = self.budgets.ledger.tick(now);
            self.send_all(messages);
        }
    }

    /// The request path lacks tokens: a peer is asked, or the request path learns that none can be.
    pub(super) fn short(&mut self, now: Duration, budget: Budget, wanted: u64) {
        let ledger = &self.budgets.ledger;
        match ledger.request_loan(now, &budget, wanted) {
            Some((host, request)) => self.send_to(&host, Message::LoanRequest(request)),
            None if ledger.is_borrowing(now, &budget) => {}
            None => self.actions.push(Action::WakeBorrowers(budget)),
        }
    }

    pub(super) fn loan_request(&mut self, now: Duration, from: &Sender, request: &LoanRequest) {
        let loan = if self.is_current(now) && !self.membership.is_leaving() {
            self.budgets.ledger.lend(now, &from.host, request)
        } else {
            Loan::denied(request)
        };
        self.send(from.peer, Message::Loan(loan));
    }

    pub(super) fn loan(&mut self, now: Duration, from: &Sender, loan: &Loan) {
        self.budgets.ledger.receive_loan(now, &from.host, loan);
        self.actions.push(Action::WakeBorrowers(loan.budget.clone()));
    }

    /// What this host could lend, for its heartbeats.
    pub(super) fn spare(&self, now: Duration) -> Vec<Spare> {
        if self.membership.is_leaving() {
            return Vec::new();
        }
        self.budgets.ledger.spare(now)
    }

    /// Takes over what a member could lend. A budget that a heartbeat does not name is wholly spare,
    /// so that a host which lends nothing is noted with nothing for each budget.
    pub(super) fn note_spare(&self, now: Duration, from: &Sender, heartbeat: &Heartbeat) {
        if !self.roster.has(&from.host, from.incarnation) {
            return;
        }
        let nothing = |(budget, _): &(Budget, Limit)| Spare { budget: budget.clone(), amount: 0 };
        let ledger = &self.budgets.ledger;
        if heartbeat.leaving {
            let none: Vec<Spare> = self.budgets.limits.values().flatten().map(nothing).collect();
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

    /// Names of the members; the own name only for the own incarnation.
    fn holders(&self, members: &[Member]) -> Vec<Arc<str>> {
        let own = &self.identity.member;
        let holds = |m: &&Member| m.host != own.host || m.incarnation == own.incarnation;
        members.iter().filter(holds).map(|m| m.host.clone()).collect()
    }
}

/// Limits of one document. Region budgets appear when the list of backend servers is known.
fn limits(known: &VersionedDocument, live: Option<&Live>) -> Vec<(Budget, Limit)> {
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

fn region_limits(document: &Document, live: &Live) -> Vec<(Budget, Limit)> {
    let count = |region: &Region| {
        let key = (document.service.clone(), region.name.clone());
        live.get(&key).copied().unwrap_or(0)
    };
    let used = |region: &&Region| !region.drain && region.weight > 0.0;
    let lost = document.regions.iter().filter(used).any(|region| count(region) == 0);
    let headroom = if lost { 0.0 } else { document.headroom_percent };
    let longest = document.routes.iter().map(|route| route.deadline).max();
    let limit = |region: &Region| Limit::Concurrency {
        slots: usable(count(region) * region.slots_per_backend, headroom),
        max_duration: longest.unwrap_or_default(),
    };
    let budget = |region: &Region| Budget::Region {
        service: document.service.clone(),
        region: region.name.clone(),
    };
    let regions = document.regions.iter();
    regions.map(|region| (budget(region), limit(region))).collect()
}

/// Slots less the headroom; a region with a live backend server keeps at least one.
fn usable(slots: u64, headroom_percent: f64) -> u64 {
    let kept = (slots as f64 * (100.0 - headroom_percent) / 100.0) as u64;
    kept.max(slots.min(1))
}
