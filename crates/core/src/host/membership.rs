//! Changes of the members: joining, leaving and removing lost members.

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
    constants::{HEARTBEAT_INTERVAL, IN_FORCE_BOUND, MEMBERS_WRITE_JITTER},
    member::{
        Member,
        roster::{self, Roster},
    },
};

/// Progress of the changes of the members that this host writes.
#[derive(Debug, Default)]
pub(super) struct State {
    pending_write: Option<PendingWrite>,
    /// When the change that is needed now may be written.
    write_due: Option<Duration>,
    /// Whether this process has ever been in the member table.
    was_member: bool,
    /// Whether the process was asked to stop.
    draining: bool,
    /// When the host started to leave, after its last request.
    leave_since: Option<Duration>,
    /// Since when this host's removal from the table is known to be held.
    removal_held_since: Option<Duration>,
    /// Whether the host has left or was replaced, and takes no part any more.
    stopped: bool,
}

/// A write of the `members` record that has not ended.
#[derive(Debug)]
struct PendingWrite {
    ticket: Ticket,
    write: Write,
    sent: Duration,
}

impl State {
    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Removes and returns the pending write if it has this ticket.
    pub(super) fn take_pending_write(&mut self, ticket: Ticket) -> Option<Write> {
        let pending = self.pending_write.take_if(|pending| pending.ticket == ticket)?;
        Some(pending.write)
    }
}

impl Host {
    /// Starts draining after the process was asked to stop, and tells the peers at once.
    pub(super) fn start_draining(&mut self, now: Duration) {
        self.membership.draining = true;
        self.send_heartbeats(now);
    }

    /// Starts leaving the members, once every open request has ended.
    pub(super) fn start_leaving(&mut self, now: Duration) {
        self.membership.draining = true;
        self.membership.leave_since.get_or_insert(now);
    }

    /// Takes the hosts that are gone and the live backend servers from the platform's list of
    /// hosts.
    pub(super) fn handle_listed_hosts(&mut self, now: Duration, listed: &[ListedHost]) {
        let gone = |host: &&ListedHost| host.service.is_none() && host.state == ListedState::Gone;
        let names: BTreeSet<Arc<str>> =
            listed.iter().filter(gone).map(|h| h.name.clone()).collect();
        self.peers.set_listed_gone(names);
        self.update_backend_counts(now, listed);
    }

    /// Adopts a new `members` record.
    pub(super) fn adopt_roster(&mut self, now: Duration, record: &Record) {
        // A record that does not parse was written by a host of another version; the known table
        // stays.
        let Ok(roster) = Roster::parse(&record.value) else {
            return;
        };
        for member in roster.members.iter().chain(roster.previous_members()) {
            self.peers.track(now, member);
        }
        let own = &self.identity.member;
        let entry = roster.member(&own.host);
        let replaced = entry.is_some_and(|entry| entry.incarnation != own.incarnation);
        self.membership.was_member |= roster.is_or_was_member(&own.host, own.incarnation);
        self.membership.write_due = None;
        self.set_budget_members(now, self.roster_revision, &roster, record.revision);
        self.set_claim_members(now, &roster, record.revision);
        self.roster = roster;
        self.roster_revision = record.revision;
        self.roster_learned_at = now;
        if replaced && self.membership.was_member {
            self.stop();
        }
    }

    /// Drops a change that was refused or not answered, and schedules a new one after a delay in
    /// which the newest records are read.
    pub(super) fn reschedule_change(&mut self, now: Duration, ticket: Ticket) {
        if self.membership.take_pending_write(ticket).is_some() {
            self.membership.write_due =
                Some(now + HEARTBEAT_INTERVAL / 2 + self.random_below(MEMBERS_WRITE_JITTER));
        }
    }

    /// Writes the change of the members that is needed now, if any, after a random delay.
    pub(super) fn advance_membership(&mut self, now: Duration) {
        if self.membership.stopped || self.finish_leaving(now) {
            return;
        }
        let expired = |pending: &mut PendingWrite| now >= pending.sent + IN_FORCE_BOUND;
        self.membership.pending_write.take_if(expired);
        if self.membership.pending_write.is_some() || !self.can_propose(now) {
            return;
        }
        let Some(roster) = self.needed_change(now) else {
            self.membership.write_due = None;
            return;
        };
        let jitter = self.random_below(MEMBERS_WRITE_JITTER);
        if now >= *self.membership.write_due.get_or_insert(now + jitter) {
            self.membership.write_due = None;
            self.propose(now, &roster);
        }
    }

    /// Whether this host may write a change of the members. The previous change must be held:
    /// otherwise, hosts that know neither of the two could confirm each other.
    fn can_propose(&self, now: Duration) -> bool {
        self.is_current(now) && self.revisions.held() >= self.roster_revision
    }

    /// Returns the record to write: without this host if it leaves, with it if it is not a member,
    /// otherwise without lost members.
    fn needed_change(&self, now: Duration) -> Option<Roster> {
        let age = now.saturating_sub(self.roster_learned_at);
        let (own, revision) = (&self.identity.member, self.roster_revision);
        if self.membership.leave_since.is_some() {
            let listed = (!self.needs_no_removal()).then_some(&own.host)?;
            return Some(self.roster.without_members(std::slice::from_ref(listed), revision, age));
        }
        if !self.is_member() && !self.membership.draining {
            return Some(self.roster.with_member(own, revision, age));
        }
        let lost = self.lost_members(now);
        (!lost.is_empty()).then(|| self.roster.without_members(&lost, revision, age))
    }

    /// Names of the other members that more than half of the members suspect, or that are silent
    /// and listed as gone by the platform.
    fn lost_members(&self, now: Duration) -> Vec<Arc<str>> {
        let own = &self.identity.member;
        let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for member in &self.roster.members {
            let is_self = member.host == own.host && member.incarnation == own.incarnation;
            let suspects = if is_self {
                self.silent_members(now).collect()
            } else {
                self.peers.suspected_by(now, member)
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

    /// Writes `roster` as the next `members` record.
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
        self.membership.pending_write = Some(PendingWrite { ticket, write, sent });
    }

    /// Stops a leaving host once its removal has been held for one heartbeat interval and its
    /// claims are handed over. Returns whether the host has stopped.
    ///
    /// If that takes too long, for instance while the store is unavailable, the host stops anyway:
    /// the other hosts then remove the member, and one of them still has each of its claim records
    /// as owner or backup.
    fn finish_leaving(&mut self, now: Duration) -> bool {
        let Some(since) = self.membership.leave_since else {
            return false;
        };
        let held = self.revisions.held() >= self.roster_revision;
        if self.needs_no_removal() && self.membership.pending_write.is_none() && held {
            self.membership.removal_held_since.get_or_insert(now);
        }
        let removal_held_since = self.membership.removal_held_since;
        let is_complete = removal_held_since.is_some_and(|since| now >= since + HEARTBEAT_INTERVAL)
            && self.claims.has_handed_over();
        let is_overdue = now >= since + 2 * IN_FORCE_BOUND;
        if is_complete || is_overdue {
            self.stop();
        }
        is_complete || is_overdue
    }

    /// Whether this host can leave without a change of the table. The last member stays in the
    /// table, as nobody could tell whether an empty table is held.
    fn needs_no_removal(&self) -> bool {
        !self.is_member() || self.roster.members.len() == 1
    }

    fn stop(&mut self) {
        self.membership.stopped = true;
        self.currency.end();
        self.actions.push(Action::Stop);
    }
}
