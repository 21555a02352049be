//! Changes of the members: joining, leaving and removing.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    Host,
    event::{Action, ListedHost, ListedState, Ticket, Write},
};
use crate::{
    catalog::Record,
    constants::{HEARTBEAT_INTERVAL, IN_FORCE_BOUND, MEMBERS_JITTER},
    member::{
        Member,
        roster::{self, Roster},
    },
};

/// How far a host is with its own changes of the members.
#[derive(Debug, Default)]
pub(super) struct State {
    write: Option<Pending>,
    /// When the change that is due now may be written.
    due: Option<Duration>,
    /// Whether the table has ever held this process.
    was_member: bool,
    draining: bool,
    leave_since: Option<Duration>,
    out_since: Option<Duration>,
    stopped: bool,
}

#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    write: Write,
    sent: Duration,
}

impl State {
    pub(super) fn is_leaving(&self) -> bool {
        self.draining
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Ends the write with this ticket, which took effect.
    pub(super) fn take_write(&mut self, ticket: Ticket) -> Option<Write> {
        let pending = self.write.take_if(|pending| pending.ticket == ticket)?;
        Some(pending.write)
    }
}

impl Host {
    /// The process was asked to stop; peers learn it at once.
    pub(super) fn drain(&mut self, now: Duration) {
        self.membership.draining = true;
        self.send_heartbeats(now);
    }

    /// Every request has ended.
    pub(super) fn leave(&mut self, now: Duration) {
        self.membership.draining = true;
        self.membership.leave_since.get_or_insert(now);
    }

    /// The platform's list of hosts was read.
    pub(super) fn listed(&mut self, now: Duration, listed: &[ListedHost]) {
        let gone = |host: &&ListedHost| host.service.is_none() && host.state == ListedState::Gone;
        let names: BTreeSet<Arc<str>> =
            listed.iter().filter(gone).map(|h| h.name.clone()).collect();
        self.peers.set_gone(names);
        self.count_backends(now, listed);
    }

    /// Takes over a new members record.
    pub(super) fn take_roster(&mut self, now: Duration, record: &Record) {
        // Only a host of another version writes what this one cannot read; the known table stays.
        let Ok(roster) = Roster::parse(&record.value) else {
            return;
        };
        for member in roster.members.iter().chain(roster.previous()) {
            self.peers.expect(now, member);
        }
        let own = &self.identity.member;
        let entry = roster.member(&own.host);
        let replaced = entry.is_some_and(|entry| entry.incarnation != own.incarnation);
        self.membership.was_member |= roster.mentions(&own.host, own.incarnation);
        self.membership.due = None;
        self.budget_members(now, self.roster_revision, &roster, record.revision);
        self.claim_members(now, &roster, record.revision);
        self.roster = roster;
        self.roster_revision = record.revision;
        self.roster_learned = now;
        if replaced && self.membership.was_member {
            self.stop();
        }
    }

    /// A refused or unanswered change is worked out anew once the chain is known.
    pub(super) fn members_refused(&mut self, now: Duration, ticket: Ticket) {
        if self.membership.take_write(ticket).is_some() {
            self.membership.due = Some(now + HEARTBEAT_INTERVAL / 2 + self.jitter(MEMBERS_JITTER));
        }
    }

    /// Proposes the change of the members that is due, if any.
    pub(super) fn drive_membership(&mut self, now: Duration) {
        if self.membership.stopped || self.has_left(now) {
            return;
        }
        let expired = |pending: &mut Pending| now >= pending.sent + IN_FORCE_BOUND;
        self.membership.write.take_if(expired);
        if self.membership.write.is_some() || !self.may_propose(now) {
            return;
        }
        let Some(roster) = self.due_change(now) else {
            self.membership.due = None;
            return;
        };
        let jitter = self.jitter(MEMBERS_JITTER);
        if now >= *self.membership.due.get_or_insert(now + jitter) {
            self.membership.due = None;
            self.propose(now, &roster);
        }
    }

    /// A change of members follows the one before only when that one is held. Otherwise, hosts that
    /// know neither could confirm each other.
    fn may_propose(&self, now: Duration) -> bool {
        self.is_current(now) && self.held.revision() >= self.roster_revision
    }

    fn due_change(&self, now: Duration) -> Option<Roster> {
        let age = now.saturating_sub(self.roster_learned);
        let (own, revision) = (&self.identity.member, self.roster_revision);
        if self.membership.leave_since.is_some() {
            let listed = (!self.is_out()).then_some(&own.host)?;
            return Some(self.roster.without(std::slice::from_ref(listed), revision, age));
        }
        if !self.is_member() && !self.membership.draining {
            return Some(self.roster.with(own, revision, age));
        }
        let lost = self.lost(now);
        (!lost.is_empty()).then(|| self.roster.without(&lost, revision, age))
    }

    /// Names of the members from which more than half of the members hear nothing, or which the
    /// platform reports as gone.
    fn lost(&self, now: Duration) -> Vec<Arc<str>> {
        let own = &self.identity.member;
        let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for member in &self.roster.members {
            let itself = member.host == own.host && member.incarnation == own.incarnation;
            let suspects = if itself {
                self.silent_members(now).collect()
            } else {
                self.peers.suspects(now, member)
            };
            for suspect in suspects {
                *counts.entry(suspect).or_default() += 1;
            }
        }
        let half = self.roster.members.len() / 2;
        let is_lost = |member: &&Member| {
            let suspected = counts.get(&member.host).is_some_and(|count| *count > half);
            member.host != own.host && (suspected || self.peers.is_listed_gone(now, member))
        };
        let lost = self.roster.members.iter().filter(is_lost);
        lost.map(|member| member.host.clone()).collect()
    }

    fn propose(&mut self, now: Duration, roster: &Roster) {
        let Ok(value) = roster.to_text() else {
            return;
        };
        let write = Write {
            expected_head: self.catalog.revision(),
            key: Arc::from(roster::KEY),
            value,
            id: (self.random)(),
        };
        let ticket = self.write(write.clone());
        let sent = now;
        self.membership.write = Some(Pending { ticket, write, sent });
    }

    /// Ends a graceful leave: when the change is held and claims are handed over, at the earliest after
    /// one heartbeat interval, or after a bounded time, for instance while the store is away. The other
    /// hosts then remove the member, and a claim's other holder still has it.
    fn has_left(&mut self, now: Duration) -> bool {
        let Some(since) = self.membership.leave_since else {
            return false;
        };
        let held = self.held.revision() >= self.roster_revision;
        if self.is_out() && self.membership.write.is_none() && held {
            self.membership.out_since.get_or_insert(now);
        }
        let out_since = self.membership.out_since;
        let settled = out_since.is_some_and(|out| now >= out + HEARTBEAT_INTERVAL)
            && self.claims.has_handed_over();
        let overdue = now >= since + 2 * IN_FORCE_BOUND;
        if settled || overdue {
            self.stop();
        }
        settled || overdue
    }

    /// Whether the table needs no change for this host to leave. The last member stays in the table:
    /// nobody could say whether an empty table is held.
    fn is_out(&self) -> bool {
        !self.is_member() || self.roster.members.len() == 1
    }

    fn stop(&mut self) {
        self.membership.stopped = true;
        self.currency.end();
        self.actions.push(Action::Stop);
    }
}
