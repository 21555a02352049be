//! The host: puts catalog, members, budgets, claims and weights together.
//!
//! The control thread of an entry host and the scenario runner both drive this type: events go in,
//! actions come out. See docs/design.md §4 and §5.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    budget::{self, Ledger},
    catalog::{Catalog, Record, Update},
    claim::Book,
    constants::{HEAD_READ_INTERVAL, HEARTBEAT_INTERVAL},
    document::Document,
    member::{
        Member,
        currency::Currency,
        held::Held,
        peers::Peers,
        roster::{self, Roster},
    },
    message::{Message, Sender, ServiceWeights},
};

mod budgets;
pub mod edit;
pub mod event;

mod chain;
mod claims;
mod gossip;
mod membership;

use budgets::Budgets;
use edit::Edits;
use event::{Action, Event};

/// Who a host is and how it decides; does not change while the process runs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host's own entry for the members table, with the incarnation of this process.
    pub member: Member,
    /// What keeps the host current.
    pub currency_source: CurrencySource,
}

/// What may confirm that a host is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CurrencySource {
    /// The store, or more than half of the members.
    #[default]
    StoreOrMembers,
    /// Only the store. Every outage of the store longer than the currency term stops the fleet.
    Store,
}

/// A document that the host knows, parsed.
#[derive(Clone, Debug)]
pub struct VersionedDocument {
    /// Revision of the record.
    pub revision: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// The decisions of one entry host.
pub struct Host {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    random: Box<dyn FnMut() -> u64 + Send>,
    catalog: Catalog,
    documents: BTreeMap<Arc<str>, VersionedDocument>,
    roster: Roster,
    roster_revision: u64,
    roster_learned: Duration,
    peers: Peers,
    currency: Currency,
    held: Held,
    edits: Edits,
    membership: membership::State,
    budgets: Budgets,
    claims: Book,
    weights: Vec<ServiceWeights>,
    next_head_read: Duration,
    next_heartbeat: Duration,
    sequence: u64,
    next_ticket: u64,
    actions: Vec<Action>,
}

impl Host {
    /// A host that knows nothing yet. `seeds` are addresses of peer listeners that are asked while no
    /// members are known; `random` answers a new random number at each call.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        mut random: impl FnMut() -> u64 + Send + 'static,
    ) -> Self {
        // A process that restarts at the same address must not take answers to its predecessor's
        // heartbeats for answers to its own, so that the numbers start at random.
        let sequence = random() >> 1;
        let budgets = Budgets::new(&identity.member, budget::Policy::default());
        let claims = Book::new(identity.member.sender());
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
            roster_learned: Duration::ZERO,
            peers: Peers::default(),
            currency: Currency::default(),
            held: Held::default(),
            edits: Edits::default(),
            membership: membership::State::default(),
            weights: Vec::new(),
            next_head_read: Duration::ZERO,
            next_heartbeat: Duration::ZERO,
            sequence,
            next_ticket: 0,
            actions: Vec::new(),
        }
    }

    /// The same host with another way to spend budgets; to be called before the first event.
    pub fn with_budgets(mut self, settings: budget::Policy) -> Self {
        self.budgets = Budgets::new(&self.identity.member, settings);
        self
    }

    /// Takes in what happened and answers what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.note_self(now);
        match event {
            Event::MessageReceived(envelope) => self.receive(now, &envelope.from, envelope.message),
            Event::HeadRead { sent, revision } => self.head_read(sent, revision),
            Event::RecordsUpdated(update) => self.update(now, &update),
            Event::WriteEnded { ticket, outcome } => self.written(now, ticket, outcome),
            Event::HostsListed(listed) => self.listed(now, &listed),
            Event::Edit { ticket, edit } => self.edit(now, ticket, edit),
            Event::TokensNeeded { budget, wanted } => self.short(now, budget, wanted),
            Event::Claim { ticket, name, fingerprint } => {
                self.claim(now, ticket, name, fingerprint);
            }
            Event::RequestCompleted(completion) => self.completed(now, completion),
            Event::Drain => self.drain(now),
            Event::Leave => self.leave(now),
            Event::OwnWeights(weights) => self.weights = weights,
        }
        self.settle(now);
        std::mem::take(&mut self.actions)
    }

    /// Does what is due. To be called about every 50 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.note_self(now);
        if now >= self.next_head_read {
            self.next_head_read = following(self.next_head_read, now, HEAD_READ_INTERVAL);
            self.actions.push(Action::ReadHead);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = following(self.next_heartbeat, now, HEARTBEAT_INTERVAL);
            self.send_heartbeats(now);
        }
        self.settle(now);
        self.drive_membership(now);
        self.tick_budgets(now);
        self.tick_claims(now);
        std::mem::take(&mut self.actions)
    }

    /// Moment until which the host is current; it is not current once that has passed.
    pub fn current_until(&self, _now: Duration) -> Duration {
        self.currency.until()
    }

    /// Whether the host may honour keys, spend shares, own claims and accept edits.
    pub fn is_current(&self, now: Duration) -> bool {
        now < self.currency.until()
    }

    /// The records known to the host.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The accounts of all budgets, which request threads share.
    pub fn ledger(&self) -> &Arc<Ledger> {
        self.budgets.ledger()
    }

    /// The documents known to the host, by service.
    pub fn documents(&self) -> &BTreeMap<Arc<str>, VersionedDocument> {
        &self.documents
    }

    /// The hosts that hold shares.
    pub fn members(&self) -> &[Member] {
        &self.roster.members
    }

    /// The members that have not said that they are draining, for look-up answers.
    pub fn serving_members(&self) -> impl Iterator<Item = &Member> {
        let leaving = |member: &&Member| self.peers.get(member).is_some_and(|peer| peer.leaving);
        self.roster.members.iter().filter(move |m| !leaving(m))
    }

    /// Whether this process is a member; a current host that is not is a guest.
    pub fn is_member(&self) -> bool {
        let own = &self.identity.member;
        self.roster.has(&own.host, own.incarnation)
    }

    /// Largest revision that is known to be in force.
    pub fn in_force_revision(&self) -> u64 {
        self.held.in_force()
    }

    /// Largest revision that is known to be held by more than half of the members.
    pub fn held_revision(&self) -> u64 {
        self.held.revision()
    }

    /// The host as the sender of messages.
    pub fn sender(&self) -> Sender {
        self.identity.member.sender()
    }

    /// What follows from any input: revisions may be held or in force, edits may go on.
    fn settle(&mut self, now: Duration) {
        self.observe_held(now);
        self.drive_edits(now);
    }

    /// The host counts as its own peer where members are counted.
    fn note_self(&mut self, now: Duration) {
        let sender = self.sender();
        let revision = self.catalog.revision();
        let peer = self.peers.heard(now, &sender);
        peer.revision = revision;
        peer.confirmed = Some(now);
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to != self.identity.member.peer {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Random duration below `limit`.
    fn jitter(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX).max(1);
        Duration::from_micros((self.random)() % micros)
    }

    /// Applies an update and takes over the records that changed.
    fn update(&mut self, now: Duration, update: &Update) {
        let before = self.catalog.revision();
        let Some(changed) = self.catalog.apply(update) else {
            self.actions.push(Action::ReadRecords);
            return;
        };
        // The shares of new limits are those of the newest members.
        let members = changed.iter().find(|one| one.key.as_ref() == roster::KEY);
        if let Some(record) = members {
            self.take_roster(now, record);
        }
        // Whoever knows a limit that follows this table in the chain knows the table as well.
        let after_members = members.is_none() && self.is_member();
        self.take_documents(now, &changed, after_members);
        self.note_self(now);
        if !changed.is_empty() {
            self.actions.push(Action::PublishSnapshot);
        }
        if self.catalog.revision() > before && !self.is_current(now) {
            self.actions.push(Action::ReadHead);
        }
    }

    /// `after_members` tells that the changes follow the newest member table, which was known before.
    fn take_documents(&mut self, now: Duration, changed: &[Record], after_members: bool) {
        let documents = changed.iter().filter_map(|record| {
            let service = record.key.strip_prefix(edit::DOCUMENT_KEY_PREFIX)?;
            Some((Arc::from(service), record))
        });
        let documents: Vec<(Arc<str>, &Record)> = documents.collect();
        let newest = documents.iter().map(|(_, record)| record.revision).max();
        for (service, record) in &documents {
            self.take_document(service, record);
        }
        let Some(revision) = newest else {
            return;
        };
        for (service, _) in &documents {
            if after_members {
                self.introduce_budgets(now, service);
            }
            self.configure_budgets(now, service, revision);
        }
    }

    /// The writer has checked the document; one that this version cannot read leaves the known one in
    /// place.
    fn take_document(&mut self, service: &str, record: &Record) {
        if record.value.is_empty() {
            self.documents.remove(service);
        } else if let Ok(document) = Document::parse(&record.value) {
            let known =
                VersionedDocument { revision: record.revision, document: Arc::new(document) };
            self.documents.insert(Arc::from(service), known);
        }
    }
}

/// The next time of a periodic action that was due at `due`; times that were missed are left out.
fn following(due: Duration, now: Duration, interval: Duration) -> Duration {
    let next = due + interval;
    if next > now { next } else { now + interval }
}
