//! Messages between hosts that carry revisions: heartbeats, their replies and updates.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use super::{CurrencySource, Host, event::Action};
use crate::{
    catalog::Update,
    constants::SUSPICION_AFTER,
    member::{Heartbeat, HeartbeatReply, Member, currency::majority, held},
    message::{Message, Sender},
};

impl Host {
    pub(super) fn receive(&mut self, now: Duration, from: &Sender, message: Message) {
        if *from == self.sender() {
            return;
        }
        self.peers.heard(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat),
            Message::HeartbeatReply(reply) => self.heartbeat_reply(now, from, &reply),
            Message::UpdateRequest { since } => {
                let update = self.catalog.update_since(since);
                self.send(from.peer, Message::Update(update));
            }
            Message::Update(update) => self.update_from(now, from, &update),
            Message::WeightsRequest if !self.weights.is_empty() => {
                let weights = self.weights.clone();
                self.send(from.peer, Message::Weights(weights));
            }
            Message::Weights(weights) if self.weights.is_empty() => {
                self.actions.push(Action::AdoptWeights(weights));
            }
            Message::LoanRequest(request) => self.loan_request(now, from, &request),
            Message::Loan(loan) => self.loan(now, from, &loan),
            Message::LoanReturn(back) => {
                self.budgets.ledger().receive_return(now, &from.host, &back);
            }
            claims => self.claim_message(now, from, claims),
        }
    }

    /// Sends a heartbeat to every host that may matter. A starting host, which has no weights yet,
    /// asks for theirs, too.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        self.sequence += 1;
        self.currency.sent(now, self.sequence);
        let heartbeat = self.own_heartbeat(now);
        for address in self.contacts() {
            self.send(address, Message::Heartbeat(heartbeat.clone()));
            if self.weights.is_empty() {
                self.send(address, Message::WeightsRequest);
            }
        }
    }

    /// Tells the hosts that may matter about a change.
    pub(super) fn spread(&mut self, update: &Update) {
        for address in self.contacts() {
            self.send(address, Message::Update(update.clone()));
        }
    }

    /// Notes which revision is held now.
    pub(super) fn observe_held(&mut self, now: Duration) {
        let before = self.held.revision();
        if before < self.catalog.revision() {
            let current = self.revisions(now, &self.roster.members);
            let previous = self.revisions(now, self.roster.previous());
            let held = held::held(current, previous, self.roster_revision, before);
            self.held.observe(now, held.min(self.catalog.revision()));
        }
        if let Some(revision) = self.held.advance(now) {
            self.budgets.ledger().mark_in_force(now, revision);
            self.claims_in_force(now, revision);
        }
    }

    fn heartbeat(&mut self, now: Duration, from: &Sender, heartbeat: &Heartbeat) {
        let table = self.roster_revision;
        if self.peers.heartbeat(now, from, heartbeat, table) {
            self.actions.push(Action::PublishSnapshot);
        }
        self.note_spare(now, from, heartbeat);
        let reply =
            HeartbeatReply { sequence: heartbeat.sequence, revision: self.catalog.revision() };
        self.send(from.peer, Message::HeartbeatReply(reply));
        self.catch_up(from, heartbeat.revision);
    }

    fn heartbeat_reply(&mut self, now: Duration, from: &Sender, reply: &HeartbeatReply) {
        let Some(sent) = self.currency.sent_at(reply.sequence) else {
            return;
        };
        let round_trip = now.saturating_sub(sent);
        let ledger = self.budgets.ledger();
        ledger.record_round_trip(&from.host, round_trip);
        let own = self.catalog.revision();
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(reply.revision);
            if reply.revision <= own {
                peer.confirmed = peer.confirmed.max(Some(sent));
            }
        }
        self.catch_up(from, reply.revision);
        self.confirm_by_members();
    }

    /// An update from a peer shows the peer's revision. A host that has it says so at once, as the
    /// writer waits for more than half of the members.
    fn update_from(&mut self, now: Duration, from: &Sender, update: &Update) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(update.through);
        }
        if update.since > self.catalog.revision() {
            return self.catch_up(from, update.through);
        }
        self.update(now, update);
        let heartbeat = self.own_heartbeat(now);
        self.send(from.peer, Message::Heartbeat(heartbeat));
    }

    fn catch_up(&mut self, from: &Sender, revision: u64) {
        let since = self.catalog.revision();
        if revision > since {
            self.send(from.peer, Message::UpdateRequest { since });
        }
    }

    /// Counts the members' newest confirmations, if members may confirm at all.
    fn confirm_by_members(&mut self) {
        if self.identity.currency_source == CurrencySource::Store || self.membership.is_stopped() {
            return;
        }
        let members = self.roster.members.iter();
        let confirmed =
            members.map(|member| self.peers.get(member).and_then(|peer| peer.confirmed));
        if let Some(Some(sent)) = majority(confirmed.collect()) {
            self.currency.confirm(sent);
        }
    }

    /// Names of the members from which this host hears nothing.
    pub(super) fn silent_members(&self, now: Duration) -> impl Iterator<Item = &Arc<str>> {
        let silent = move |member: &&Member| self.peers.is_silent(now, member);
        let members = self.roster.members.iter().filter(silent);
        members.map(|member| &member.host)
    }

    fn own_heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            sequence: self.sequence,
            revision: self.catalog.revision(),
            suspected: self.silent_members(now).cloned().collect(),
            spare: self.spare(now),
            leaving: self.membership.is_leaving(),
        }
    }

    /// Addresses of the members, of those in the table before while that one still counts, and of the
    /// seeds.
    fn contacts(&self) -> BTreeSet<SocketAddr> {
        let held = self.held.revision() >= self.roster_revision;
        let previous = if held { &[] } else { self.roster.previous() };
        let members = self.roster.members.iter().chain(previous);
        let seeds = self.seeds.iter().copied();
        members.map(|member| member.peer).chain(seeds).collect()
    }

    fn revisions(&self, now: Duration, members: &[Member]) -> Vec<u64> {
        let revision = |member: &Member| {
            if self.peers.is_gone(now, member, &self.roster) {
                return u64::MAX;
            }
            self.peers.get(member).map_or(0, |peer| peer.revision)
        };
        members.iter().map(revision).collect()
    }
}

/// Silence is reported only after a host had the time to hear from everybody.
const _: () =
    assert!(SUSPICION_AFTER.as_millis() > 3 * crate::constants::HEARTBEAT_INTERVAL.as_millis());
