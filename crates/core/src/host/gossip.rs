//! Messages between hosts that carry revisions: heartbeats, their replies and updates.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use super::{CurrencySource, Host, event::Action};
use crate::{
    catalog::Update,
    constants::SUSPICION_TIMEOUT,
    member::{Heartbeat, HeartbeatReply, Member, currency::majority_value, revisions},
    message::{Message, Sender},
};

impl Host {
    pub(super) fn handle_message(&mut self, now: Duration, from: &Sender, message: Message) {
        if *from == self.sender() {
            return;
        }
        self.peers.record_message(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat),
            Message::HeartbeatReply(reply) => self.handle_heartbeat_reply(now, from, &reply),
            Message::UpdateRequest { since } => {
                let update = self.catalog.update_since(since);
                self.send(from.peer, Message::Update(update));
            }
            Message::Update(update) => self.handle_update(now, from, &update),
            Message::WeightsRequest if !self.weights.is_empty() => {
                let weights = self.weights.clone();
                self.send(from.peer, Message::Weights(weights));
            }
            Message::Weights(weights) if self.weights.is_empty() => {
                self.actions.push(Action::AdoptWeights(weights));
            }
            Message::LoanRequest(request) => self.handle_loan_request(now, from, &request),
            Message::Loan(loan) => self.handle_loan(now, from, &loan),
            Message::LoanReturn(returned) => {
                self.budgets.ledger().receive_return(now, &from.host, &returned);
            }
            claims => self.handle_claim_message(now, from, claims),
        }
    }

    /// Sends a heartbeat to all contact addresses. A starting host, which has no weights yet, also
    /// requests theirs.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        self.heartbeat_sequence += 1;
        self.currency.record_round(now, self.heartbeat_sequence);
        let heartbeat = self.build_heartbeat(now);
        for address in self.contact_addresses() {
            self.send(address, Message::Heartbeat(heartbeat.clone()));
            if self.weights.is_empty() {
                self.send(address, Message::WeightsRequest);
            }
        }
    }

    /// Sends an update to all contact addresses.
    pub(super) fn broadcast_update(&mut self, update: &Update) {
        for address in self.contact_addresses() {
            self.send(address, Message::Update(update.clone()));
        }
    }

    /// Recomputes which revision is held by more than half of the members and which is in force.
    pub(super) fn update_held(&mut self, now: Duration) {
        let before = self.revisions.held();
        if before < self.catalog.revision() {
            let current = self.member_revisions(now, &self.roster.members);
            let previous = self.member_revisions(now, self.roster.previous_members());
            let held = revisions::held_revision(current, previous, self.roster_revision, before);
            self.revisions.record_held(now, held.min(self.catalog.revision()));
        }
        if let Some(revision) = self.revisions.advance_in_force(now) {
            self.budgets.ledger().mark_in_force(now, revision);
            self.set_claims_in_force(now, revision);
        }
    }

    fn handle_heartbeat(&mut self, now: Duration, from: &Sender, heartbeat: &Heartbeat) {
        let table = self.roster_revision;
        if self.peers.record_heartbeat(now, from, heartbeat, table) {
            self.actions.push(Action::PublishSnapshot);
        }
        self.record_spare(now, from, heartbeat);
        let reply =
            HeartbeatReply { sequence: heartbeat.sequence, revision: self.catalog.revision() };
        self.send(from.peer, Message::HeartbeatReply(reply));
        self.request_update(from, heartbeat.revision);
    }

    fn handle_heartbeat_reply(&mut self, now: Duration, from: &Sender, reply: &HeartbeatReply) {
        let Some(sent) = self.currency.round_sent_at(reply.sequence) else {
            return;
        };
        let round_trip = now.saturating_sub(sent);
        let ledger = self.budgets.ledger();
        ledger.record_round_trip(&from.host, round_trip);
        let own = self.catalog.revision();
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(reply.revision);
            if reply.revision <= own {
                peer.confirmed_at = peer.confirmed_at.max(Some(sent));
            }
        }
        self.request_update(from, reply.revision);
        self.confirm_by_members();
    }

    /// Applies an update from a peer. The host then sends a heartbeat with its revision at once, as
    /// the writer waits until more than half of the members have the change.
    fn handle_update(&mut self, now: Duration, from: &Sender, update: &Update) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(update.through);
        }
        if update.since > self.catalog.revision() {
            return self.request_update(from, update.through);
        }
        self.apply_update(now, update);
        let heartbeat = self.build_heartbeat(now);
        self.send(from.peer, Message::Heartbeat(heartbeat));
    }

    /// Requests the missing records from a peer that has a larger revision.
    fn request_update(&mut self, from: &Sender, revision: u64) {
        let since = self.catalog.revision();
        if revision > since {
            self.send(from.peer, Message::UpdateRequest { since });
        }
    }

    /// Extends currency by the newest time since which more than half of the members have confirmed
    /// it, unless only the store may confirm or this host has stopped.
    fn confirm_by_members(&mut self) {
        if self.identity.currency_source == CurrencySource::Store || self.membership.is_stopped() {
            return;
        }
        let members = self.roster.members.iter();
        let confirmed =
            members.map(|member| self.peers.get(member).and_then(|peer| peer.confirmed_at));
        if let Some(Some(sent)) = majority_value(confirmed.collect()) {
            self.currency.confirm(sent);
        }
    }

    /// Names of the members from which this host has received nothing for a while.
    pub(super) fn silent_members(&self, now: Duration) -> impl Iterator<Item = &Arc<str>> {
        let silent = move |member: &&Member| self.peers.is_silent(now, member);
        let members = self.roster.members.iter().filter(silent);
        members.map(|member| &member.host)
    }

    fn build_heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            sequence: self.heartbeat_sequence,
            revision: self.catalog.revision(),
            suspected: self.silent_members(now).cloned().collect(),
            spare: self.spare(now),
            leaving: self.membership.is_draining(),
        }
    }

    /// Returns the addresses of the members and the seeds, and of the previous members until the
    /// current member table is held.
    fn contact_addresses(&self) -> BTreeSet<SocketAddr> {
        let held = self.revisions.held() >= self.roster_revision;
        let previous = if held { &[] } else { self.roster.previous_members() };
        let members = self.roster.members.iter().chain(previous);
        let seeds = self.seeds.iter().copied();
        members.map(|member| member.peer).chain(seeds).collect()
    }

    /// Returns the known revision of each member. A member that is gone counts as having every
    /// revision, as it no longer exchanges messages.
    fn member_revisions(&self, now: Duration, members: &[Member]) -> Vec<u64> {
        let revision = |member: &Member| {
            if self.peers.is_gone(now, member, &self.roster) {
                return u64::MAX;
            }
            self.peers.get(member).map_or(0, |peer| peer.revision)
        };
        members.iter().map(revision).collect()
    }
}

/// A member must have missed several heartbeats before it is suspected.
const _: () =
    assert!(SUSPICION_TIMEOUT.as_millis() > 3 * crate::constants::HEARTBEAT_INTERVAL.as_millis());
