//! State machine of an entry host: catalog, members, budgets, claims and weights.
//!
//! The control thread of an entry host and the scenario runner both drive [`Host`]: they pass
//! events in and carry out the actions that it returns. See docs/design.md §4 and §5.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    budget::{self, Ledger},
    catalog::{Catalog, Record, Update},
    claim::Participant,
    constants::{HEAD_READ_INTERVAL, HEARTBEAT_INTERVAL},
    document::Document,
    member::{
        Member,
        currency::Currency,
        peers::Peers,
        revisions::Revisions,
        roster::{self, Roster},
    },
    message::{Message, Sender, ServiceWeights},
};

mod budgets;
pub mod edit;
pub mod event;

mod claims;
mod gossip;
mod membership;
mod store;

use budgets::Budgets;
use edit::Edits;
use event::{Action, Event};

/// Identity of a host and the source of its currency; fixed while the process runs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host's own entry for the members table, with the incarnation of this process.
    pub member: Member,
    /// Which confirmations keep the host current.
    pub currency_source: CurrencySource,
}

/// Source of the confirmations that a host's configuration is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CurrencySource {
    /// The store, or more than half of the members.
    #[default]
    StoreOrMembers,
    /// Only the store. A store outage longer than the currency term makes every host not current.
    Store,
}

/// A parsed document with the revision of its record.
#[derive(Clone, Debug)]
pub struct VersionedDocument {
    /// Revision of the document's record.
    pub revision: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// State of one entry host.
///
/// Times are durations since the start of the process, on the host's own monotonic clock.
pub struct Host {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    random: Box<dyn FnMut() -> u64 + Send>,
    catalog: Catalog,
    documents: BTreeMap<Arc<str>, VersionedDocument>,
    roster: Roster,
    roster_revision: u64,
    roster_learned_at: Duration,
    peers: Peers,
    currency: Currency,
    revisions: Revisions,
    edits: Edits,
    membership: membership::State,
    budgets: Budgets,
    claims: Participant,
    weights: Vec<ServiceWeights>,
    next_head_read: Duration,
    next_heartbeat: Duration,
    heartbeat_sequence: u64,
    next_ticket: u64,
    actions: Vec<Action>,
}

impl Host {
    /// Creates a host with an empty catalog. `seeds` are addresses of peer listeners to contact
    /// even while no members are known; `random` returns a new random number at each call.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        mut random: impl FnMut() -> u64 + Send + 'static,
    ) -> Self {
        // A restarted process at the same address must not match late replies to the heartbeats of
        // its predecessor to its own, so sequence numbers start at a random value.
        let heartbeat_sequence = random() >> 1;
        let budgets = Budgets::new(&identity.member, budget::Policy::default());
        let claims = Participant::new(identity.member.sender());
        Self {
            budgets,
            claims,
            identity,
            seeds,
            random: Box::new(random),
            catalog: Catalog::default(),
            documents: BTreeMap::new(),
            roster: Roster::default(),
            roster_revision: 0,
            roster_learned_at: Duration::ZERO,
            peers: Peers::default(),
            currency: Currency::default(),
            revisions: Revisions::default(),
            edits: Edits::default(),
            membership: membership::State::default(),
            weights: Vec::new(),
            next_head_read: Duration::ZERO,
            next_heartbeat: Duration::ZERO,
            heartbeat_sequence,
            next_ticket: 0,
            actions: Vec::new(),
        }
    }

    /// Replaces the budget policy. Call this before the first event.
    pub fn with_budget_policy(mut self, policy: budget::Policy) -> Self {
        self.budgets = Budgets::new(&self.identity.member, policy);
        self
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.record_self(now);
        match event {
            Event::MessageReceived(envelope) => {
                self.handle_message(now, &envelope.from, envelope.message);
            }
            Event::HeadRead { sent, revision } => self.handle_head_read(sent, revision),
            Event::RecordsUpdated(update) => self.apply_update(now, &update),
            Event::WriteEnded { ticket, outcome } => {
                self.handle_write_outcome(now, ticket, outcome);
            }
            Event::HostsListed(listed) => self.handle_listed_hosts(now, &listed),
            Event::Edit { ticket, edit } => self.queue_edit(now, ticket, edit),
            Event::TokensNeeded { budget, wanted } => self.borrow_tokens(now, budget, wanted),
            Event::Claim { ticket, name, fingerprint } => {
                self.request_claim(now, ticket, name, fingerprint);
            }
            Event::RequestCompleted(completion) => self.complete_claim(now, completion),
            Event::Drain => self.start_draining(now),
            Event::Leave => self.start_leaving(now),
            Event::OwnWeights(weights) => self.weights = weights,
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Runs the periodic work that is due and returns the actions to carry out. Call this about
    /// every 50 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.record_self(now);
        if now >= self.next_head_read {
            self.next_head_read = next_due(self.next_head_read, now, HEAD_READ_INTERVAL);
            self.actions.push(Action::ReadHead);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = next_due(self.next_heartbeat, now, HEARTBEAT_INTERVAL);
            self.send_heartbeats(now);
        }
        self.advance(now);
        self.advance_membership(now);
        self.tick_budgets(now);
        self.tick_claims(now);
        std::mem::take(&mut self.actions)
    }

    /// Time until which the host is current (exclusive).
    pub fn current_until(&self, _now: Duration) -> Duration {
        self.currency.until()
    }

    /// Whether the host is current, so that it may honour keys, spend shares, own claims and accept
    /// edits.
    pub fn is_current(&self, now: Duration) -> bool {
        now < self.currency.until()
    }

    /// The records known to the host.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The accounts of all budgets. Request threads share them.
    pub fn ledger(&self) -> &Arc<Ledger> {
        self.budgets.ledger()
    }

    /// The documents known to the host, by service.
    pub fn documents(&self) -> &BTreeMap<Arc<str>, VersionedDocument> {
        &self.documents
    }

    /// The hosts that have shares.
    pub fn members(&self) -> &[Member] {
        &self.roster.members
    }

    /// The members that have not announced that they are draining, for lookup answers.
    pub fn serving_members(&self) -> impl Iterator<Item = &Member> {
        let leaving = |member: &&Member| self.peers.get(member).is_some_and(|peer| peer.leaving);
        self.roster.members.iter().filter(move |m| !leaving(m))
    }

    /// Whether this process is a member. A host that is current without being a member is called a
    /// guest: it has no shares and spends loans only.
    pub fn is_member(&self) -> bool {
        let own = &self.identity.member;
        self.roster.is_member(&own.host, own.incarnation)
    }

    /// Largest revision known to be in force: every host has it or is not current.
    pub fn in_force_revision(&self) -> u64 {
        self.revisions.in_force()
    }

    /// Largest revision known to be held by more than half of the members.
    pub fn held_revision(&self) -> u64 {
        self.revisions.held()
    }

    /// Sender of this host's messages.
    pub fn sender(&self) -> Sender {
        self.identity.member.sender()
    }

    /// Runs after every event and tick, as either may change which revisions are held or in force
    /// and allow an edit to proceed.
    fn advance(&mut self, now: Duration) {
        self.update_held(now);
        self.advance_edits(now);
    }

    /// Records this host as its own peer, so that majorities of the members include it.
    fn record_self(&mut self, now: Duration) {
        let sender = self.sender();
        let revision = self.catalog.revision();
        let peer = self.peers.record_message(now, &sender);
        peer.revision = revision;
        peer.confirmed_at = Some(now);
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to != self.identity.member.peer {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn next_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Returns a random duration below `limit`.
    fn random_below(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX).max(1);
        Duration::from_micros((self.random)() % micros)
    }

    /// Applies an update to the catalog and adopts the changed records. An update that leaves a gap
    /// makes the host read all records instead.
    fn apply_update(&mut self, now: Duration, update: &Update) {
        let before = self.catalog.revision();
        let Some(changed) = self.catalog.apply(update) else {
            self.actions.push(Action::ReadRecords);
            return;
        };
        // Members first, as the shares of new limits depend on the newest members.
        let members = changed.iter().find(|one| one.key.as_ref() == roster::KEY);
        if let Some(record) = members {
            self.adopt_roster(now, record);
        }
        // A catalog is complete up to its revision, so any host that knows a limit written after
        // the member table knows that table, too.
        let after_members = members.is_none() && self.is_member();
        self.adopt_documents(now, &changed, after_members);
        self.record_self(now);
        if !changed.is_empty() {
            self.actions.push(Action::PublishSnapshot);
        }
        if self.catalog.revision() > before && !self.is_current(now) {
            self.actions.push(Action::ReadHead);
        }
    }

    /// Adopts changed documents and their limits. `after_members` is whether they were written
    /// after the newest member table, which this host already knew; budgets that are new then open
    /// at once.
    fn adopt_documents(&mut self, now: Duration, changed: &[Record], after_members: bool) {
        let documents = changed.iter().filter_map(|record| {
            let service = record.key.strip_prefix(edit::DOCUMENT_KEY_PREFIX)?;
            Some((Arc::from(service), record))
        });
        let documents: Vec<(Arc<str>, &Record)> = documents.collect();
        let newest = documents.iter().map(|(_, record)| record.revision).max();
        for (service, record) in &documents {
            self.adopt_document(service, record);
        }
        let Some(revision) = newest else {
            return;
        };
        for (service, _) in &documents {
            if after_members {
                self.open_budget_accounts(now, service);
            }
            self.configure_budgets(now, service, revision);
        }
    }

    /// Adopts one document. Writers validate documents, so a document that does not parse was
    /// written by a host of another version; the known one then stays.
    fn adopt_document(&mut self, service: &str, record: &Record) {
        if record.value.is_empty() {
            self.documents.remove(service);
        } else if let Ok(document) = Document::parse(&record.value) {
            let versioned =
                VersionedDocument { revision: record.revision, document: Arc::new(document) };
            self.documents.insert(Arc::from(service), versioned);
        }
    }
}

/// Returns the next time of a periodic action that was due at `due`, skipping missed times.
fn next_due(due: Duration, now: Duration, interval: Duration) -> Duration {
    let next = due + interval;
    if next > now { next } else { now + interval }
}
