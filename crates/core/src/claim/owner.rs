//! Owner and backup of a claim: granting, replicating and ending it.

use std::time::Duration;

use super::{
    Name, Participant, Record, Replica, Reply, Request, Resolution, State, Verdict,
    history::{Completeness, Process},
};
use crate::{
    constants::{CLAIM_REPLY_TIMEOUT, CLAIM_RETENTION, CLAIM_RETRY_INTERVAL},
    message::{Message, Sender},
};

/// A claim that the owner has recorded and the backup has not acknowledged yet.
#[derive(Debug)]
pub(super) struct Replication {
    name: Name,
    requester: Sender,
    request_id: u64,
    started_at: Duration,
    next_send: Duration,
}

impl Participant {
    pub(super) fn handle_request(
        &mut self,
        now: Duration,
        current: bool,
        from: &Sender,
        request: &Request,
    ) {
        if self.is_replicating(from, request) {
            return;
        }
        match self.existing_verdict(now, current, from, request) {
            Some(verdict) => self.reply(from, request.id, verdict),
            None => self.record_claim(now, from, request),
        }
    }

    /// Grants a claim whose replica the backup has acknowledged, if this owner is current.
    pub(super) fn acknowledge_replication(&mut self, current: bool, from: &Process, id: u64) {
        let Some(replication) = self.replications.get(&id) else {
            return;
        };
        let backup = self.history.placement(&replication.name).backup;
        if !current || !backup.is_some_and(|backup| from.matches(backup)) {
            return;
        }
        if let Some(replication) = self.replications.remove(&id) {
            if let Some(entry) = self.records.get_mut(&replication.name) {
                entry.stored_by.push(from.clone());
            }
            self.grant(&replication.name, &replication.requester, replication.request_id);
        }
    }

    /// Stores a replica as backup, or corrects the record of an owner that checks the holder.
    pub(super) fn handle_replica(&mut self, now: Duration, from: &Sender, replica: Replica) {
        self.correct_stale_record(now, &replica.record);
        let owner = Process::of(from);
        let placement = self.history.placement(&replica.record.name);
        let is_backup = placement.owner.is_some_and(|member| owner.matches(member))
            && placement.backup.is_some_and(|member| self.local_process().matches(member));
        let fits = !self.records.is_full() || self.records.get(now, &replica.record.name).is_some();
        if is_backup && fits && replica.record.revision == self.history.revision() {
            let stored_by = [owner, self.local_process()];
            self.records.merge(now, replica.record, &stored_by);
            self.send(from.peer, Message::ClaimAcknowledgement { id: replica.id });
        }
    }

    /// Ends a claim with the final state that its holder reports.
    ///
    /// It is acknowledged only when no older copy of the record can restore the running claim: the
    /// claim was found here, or this host has received all of its records.
    pub(super) fn handle_resolution(
        &mut self,
        now: Duration,
        from: &Sender,
        resolution: &Resolution,
    ) {
        let holder = Process::of(from);
        let found =
            self.records.end(now, &resolution.name, &holder, resolution.id, &resolution.state);
        self.replications.retain(|_, replication| {
            replication.request_id != resolution.id || Process::of(&replication.requester) != holder
        });
        let is_responsible =
            self.history.placement(&resolution.name).contains(&self.local_process());
        if is_responsible && (found || self.history.is_ready()) {
            self.send(from.peer, Message::ClaimAcknowledgement { id: resolution.id });
        }
    }

    pub(super) fn retry_replications(&mut self, now: Duration) {
        let due = self.replications.iter().filter(|(_, replication)| now >= replication.next_send);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some(replication) = self.replications.get_mut(&id) else {
                continue;
            };
            if now >= replication.started_at + CLAIM_REPLY_TIMEOUT {
                self.abort_replication(now, id);
            } else {
                replication.next_send = now + CLAIM_RETRY_INTERVAL;
                let name = replication.name.clone();
                self.send_replica(now, id, &name);
            }
        }
    }

    /// Drops the claims that wait for a backup, since under a new table it may be another host.
    pub(super) fn abort_replications(&mut self, now: Duration) {
        let ids: Vec<u64> = self.replications.keys().copied().collect();
        ids.into_iter().for_each(|id| self.abort_replication(now, id));
    }

    /// Checks a claim that is recorded as running.
    ///
    /// If the holder is a member, the owner sends it the record, and the holder answers with the
    /// final state if the claim has ended. The backup leaves such a claim running. In all other
    /// cases the claim becomes unknown after the retention time, as no host detects the death of a
    /// holder that never was a member.
    pub(super) fn check(&mut self, now: Duration, name: &Name) {
        let id = self.allocate_id();
        let Some(entry) = self.records.get_mut(name) else {
            return;
        };
        entry.last_check = now;
        if entry.record.state != State::Running {
            return;
        }
        let (holder, record) = (entry.holder(), entry.snapshot(now));
        let is_overdue = now >= entry.changed_at + CLAIM_RETENTION;
        let is_responsible = self.history.placement(name).contains(&self.local_process());
        let peer = self.history.member(&holder).map(|member| member.peer);
        if let Some(peer) = peer.filter(|_| self.owns(name)) {
            self.send(peer, Message::ClaimReplica(Replica { id, record }));
        } else if is_overdue && !(is_responsible && peer.is_some()) {
            let unknown = State::Unknown;
            self.records.end(now, name, &holder, record.id, &unknown);
        }
    }

    /// The verdict that needs no new record, or `None` if a new claim may be recorded and granted.
    fn existing_verdict(
        &self,
        now: Duration,
        current: bool,
        from: &Sender,
        request: &Request,
    ) -> Option<Verdict> {
        let requester = Process::of(from);
        let outdated = request.revision > self.history.revision();
        if !current || outdated || !self.owns(&request.name) || self.history.has_left(&requester) {
            return Some(Verdict::Unavailable);
        }
        let completeness = self.history.completeness(now, &request.name);
        if completeness == Completeness::Incomplete {
            return Some(Verdict::Unavailable);
        }
        let known = self.records.get(now, &request.name);
        let repeated = known.is_some_and(|e| e.record.id == request.id && e.holder() == requester);
        match known.map(|entry| (&entry.record, entry.granted)) {
            Some((record, true)) if repeated && record.state == State::Running => {
                Some(Verdict::Granted)
            }
            Some((record, _)) if repeated && record.state == State::Dropped => {
                Some(Verdict::Unavailable)
            }
            Some((record, _)) if record.state != State::Dropped => {
                Some(verdict_on_repeat(record, request))
            }
            _ if completeness == Completeness::Lost => Some(Verdict::Unknown),
            _ if self.records.is_full() => Some(Verdict::Unavailable),
            _ => None,
        }
    }

    fn is_replicating(&self, from: &Sender, request: &Request) -> bool {
        let same = |replication: &Replication| {
            replication.request_id == request.id && replication.requester == *from
        };
        self.replications.values().any(same)
    }

    fn owns(&self, name: &Name) -> bool {
        let local = self.local_process();
        self.history.placement(name).owner.is_some_and(|owner| local.matches(owner))
    }

    fn record_claim(&mut self, now: Duration, from: &Sender, request: &Request) {
        self.last_sequence += 1;
        let record = Record {
            name: request.name.clone(),
            fingerprint: request.fingerprint,
            holder: from.host.clone(),
            incarnation: from.incarnation,
            id: request.id,
            revision: self.history.revision(),
            sequence: self.last_sequence,
            state: State::Running,
            age_ms: 0,
        };
        let local = self.local_process();
        self.records.merge(now, record, &[local]);
        if self.history.placement(&request.name).backup.is_none() {
            return self.grant(&request.name, from, request.id);
        }
        let id = self.allocate_id();
        let replication = Replication {
            name: request.name.clone(),
            requester: from.clone(),
            request_id: request.id,
            started_at: now,
            next_send: now + CLAIM_RETRY_INTERVAL,
        };
        self.replications.insert(id, replication);
        self.send_replica(now, id, &request.name);
    }

    fn grant(&mut self, name: &Name, requester: &Sender, request_id: u64) {
        if let Some(entry) = self.records.get_mut(name) {
            entry.granted = true;
        }
        self.reply(requester, request_id, Verdict::Granted);
    }

    /// Drops a claim that was not granted, at the backup too.
    fn abort_replication(&mut self, now: Duration, id: u64) {
        let Some(replication) = self.replications.remove(&id) else {
            return;
        };
        let requester = Process::of(&replication.requester);
        self.records.end(
            now,
            &replication.name,
            &requester,
            replication.request_id,
            &State::Dropped,
        );
        let id = self.allocate_id();
        self.send_replica(now, id, &replication.name);
        self.reply(&replication.requester, replication.request_id, Verdict::Unavailable);
    }

    fn send_replica(&mut self, now: Duration, id: u64, name: &Name) {
        let backup = self.history.placement(name).backup.map(|member| member.peer);
        let record = self.records.get(now, name).map(|entry| entry.snapshot(now));
        if let (Some(peer), Some(record)) = (backup, record) {
            self.send(peer, Message::ClaimReplica(Replica { id, record }));
        }
    }

    fn reply(&mut self, to: &Sender, id: u64, verdict: Verdict) {
        self.send(to.peer, Message::ClaimReply(Reply { id, verdict }));
    }
}

/// Verdict on a later request for a claim that was not dropped.
fn verdict_on_repeat(record: &Record, request: &Request) -> Verdict {
    match &record.state {
        _ if record.fingerprint != request.fingerprint => Verdict::Mismatch,
        State::Running => Verdict::Running,
        State::Done(outcome) => Verdict::Done(outcome.clone()),
        State::DoneWithoutAnswer => Verdict::DoneWithoutAnswer,
        State::Unknown | State::Dropped => Verdict::Unknown,
    }
}
