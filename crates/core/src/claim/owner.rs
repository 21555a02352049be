//! Owner and backup of a claim: granting, keeping and ending it.

use std::time::Duration;

use super::{
    Name, Participant, Record, Replica, Reply, Request, Resolution, State, Verdict,
    history::{Availability, Process},
};
use crate::{
    constants::{CLAIM_ANSWER_WAIT, CLAIM_RETENTION, CLAIM_RETRY_INTERVAL},
    message::{Message, Sender},
};

/// A claim that the owner has recorded and whose copy the backup has not answered yet.
#[derive(Debug)]
pub(super) struct Pending {
    name: Name,
    asker: Sender,
    question: u64,
    since: Duration,
    next: Duration,
}

impl Participant {
    pub(super) fn requested(
        &mut self,
        now: Duration,
        current: bool,
        from: &Sender,
        request: &Request,
    ) {
        if self.is_pending(from, request) {
            return;
        }
        match self.known_verdict(now, current, from, request) {
            Some(verdict) => self.reply(from, request.id, verdict),
            None => self.record(now, from, request),
        }
    }

    /// The backup has kept the copy, so the claim is granted, but only by a current owner.
    pub(super) fn backed_up(&mut self, current: bool, from: &Process, id: u64) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let backup = self.history.pair(&pending.name).backup;
        if !current || !backup.is_some_and(|backup| from.is(backup)) {
            return;
        }
        if let Some(pending) = self.pending.remove(&id) {
            if let Some(entry) = self.records.get_mut(&pending.name) {
                entry.keepers.push(from.clone());
            }
            self.grant(&pending.name, &pending.asker, pending.question);
        }
    }

    /// Keeps a copy as backup, or answers an owner's check as holder.
    pub(super) fn copied(&mut self, now: Duration, from: &Sender, copy: Replica) {
        self.check_held(now, &copy.record);
        let owner = Process::of(from);
        let pair = self.history.pair(&copy.record.name);
        let backs_up = pair.owner.is_some_and(|member| owner.is(member))
            && pair.backup.is_some_and(|member| self.process().is(member));
        let fits = !self.records.is_full() || self.records.get(now, &copy.record.name).is_some();
        if backs_up && fits && copy.record.revision == self.history.revision() {
            let keepers = [owner, self.process()];
            self.records.merge(now, copy.record, &keepers);
            self.send(from.peer, Message::ClaimCopyReply { id: copy.id });
        }
    }

    /// Takes the result of a claim from its holder.
    ///
    /// It is answered when no older copy of the record can bring the running claim back: the claim
    /// was found, or everything has arrived.
    pub(super) fn ended(&mut self, now: Duration, from: &Sender, finish: &Resolution) {
        let holder = Process::of(from);
        let found = self.records.end(now, &finish.name, &holder, finish.id, &finish.state);
        self.pending.retain(|_, pending| {
            pending.question != finish.id || Process::of(&pending.asker) != holder
        });
        let keeps = self.history.pair(&finish.name).has(&self.process());
        if keeps && (found || self.history.is_ready()) {
            self.send(from.peer, Message::ClaimCopyReply { id: finish.id });
        }
    }

    pub(super) fn drive_pending(&mut self, now: Duration) {
        let due = self.pending.iter().filter(|(_, pending)| now >= pending.next);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            if now >= pending.since + CLAIM_ANSWER_WAIT {
                self.withdraw(now, id);
            } else {
                pending.next = now + CLAIM_RETRY_INTERVAL;
                let name = pending.name.clone();
                self.send_copy(now, id, &name);
            }
        }
    }

    /// Under a new table, the backup may be another host.
    pub(super) fn withdraw_pending(&mut self, now: Duration) {
        let ids: Vec<u64> = self.pending.keys().copied().collect();
        ids.into_iter().for_each(|id| self.withdraw(now, id));
    }

    /// Asks the holder of a claim that seems to run for long whether it does. A running claim of a
    /// host that never was a member becomes unknown in time, as nobody watches that host.
    pub(super) fn check(&mut self, now: Duration, name: &Name) {
        let id = self.number();
        let Some(entry) = self.records.get_mut(name) else {
            return;
        };
        entry.next_check = now;
        if entry.record.state != State::Running {
            return;
        }
        let (holder, record) = (entry.holder(), entry.sent(now));
        let overdue = now >= entry.since + CLAIM_RETENTION;
        let keeps = self.history.pair(name).has(&self.process());
        let peer = self.history.member(&holder).map(|member| member.peer);
        if let Some(peer) = peer.filter(|_| self.owns(name)) {
            self.send(peer, Message::ClaimCopy(Replica { id, record }));
        } else if overdue && !(keeps && peer.is_some()) {
            let unknown = State::Unknown;
            self.records.end(now, name, &holder, record.id, &unknown);
        }
    }

    /// What the owner answers without recording anything; `None` if it may grant the claim.
    fn known_verdict(
        &self,
        now: Duration,
        current: bool,
        from: &Sender,
        request: &Request,
    ) -> Option<Verdict> {
        let asker = Process::of(from);
        let outdated = request.revision > self.history.revision();
        if !current || outdated || !self.owns(&request.name) || self.history.has_left(&asker) {
            return Some(Verdict::Unavailable);
        }
        let availability = self.history.availability(now, &request.name);
        if availability == Availability::Waiting {
            return Some(Verdict::Unavailable);
        }
        let known = self.records.get(now, &request.name);
        let repeated = known.is_some_and(|e| e.record.id == request.id && e.holder() == asker);
        match known.map(|entry| (&entry.record, entry.granted)) {
            Some((record, true)) if repeated && record.state == State::Running => {
                Some(Verdict::Granted)
            }
            Some((record, _)) if repeated && record.state == State::Dropped => {
                Some(Verdict::Unavailable)
            }
            Some((record, _)) if record.state != State::Dropped => Some(verdict(record, request)),
            _ if availability == Availability::Lost => Some(Verdict::Unknown),
            _ if self.records.is_full() => Some(Verdict::Unavailable),
            _ => None,
        }
    }

    fn is_pending(&self, from: &Sender, request: &Request) -> bool {
        let same = |pending: &Pending| pending.question == request.id && pending.asker == *from;
        self.pending.values().any(same)
    }

    fn owns(&self, name: &Name) -> bool {
        let me = self.process();
        self.history.pair(name).owner.is_some_and(|owner| me.is(owner))
    }

    fn record(&mut self, now: Duration, from: &Sender, request: &Request) {
        self.next_number += 1;
        let record = Record {
            name: request.name.clone(),
            fingerprint: request.fingerprint,
            holder: from.host.clone(),
            incarnation: from.incarnation,
            id: request.id,
            revision: self.history.revision(),
            sequence: self.next_number,
            state: State::Running,
            age_ms: 0,
        };
        let me = self.process();
        self.records.merge(now, record, &[me]);
        if self.history.pair(&request.name).backup.is_none() {
            return self.grant(&request.name, from, request.id);
        }
        let id = self.number();
        let pending = Pending {
            name: request.name.clone(),
            asker: from.clone(),
            question: request.id,
            since: now,
            next: now + CLAIM_RETRY_INTERVAL,
        };
        self.pending.insert(id, pending);
        self.send_copy(now, id, &request.name);
    }

    fn grant(&mut self, name: &Name, asker: &Sender, question: u64) {
        if let Some(entry) = self.records.get_mut(name) {
            entry.granted = true;
        }
        self.reply(asker, question, Verdict::Granted);
    }

    /// Gives up a claim that was not granted.
    fn withdraw(&mut self, now: Duration, id: u64) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let asker = Process::of(&pending.asker);
        self.records.end(now, &pending.name, &asker, pending.question, &State::Dropped);
        let id = self.number();
        self.send_copy(now, id, &pending.name);
        self.reply(&pending.asker, pending.question, Verdict::Unavailable);
    }

    fn send_copy(&mut self, now: Duration, id: u64, name: &Name) {
        let backup = self.history.pair(name).backup.map(|member| member.peer);
        let record = self.records.get(now, name).map(|entry| entry.sent(now));
        if let (Some(peer), Some(record)) = (backup, record) {
            self.send(peer, Message::ClaimCopy(Replica { id, record }));
        }
    }

    fn reply(&mut self, to: &Sender, id: u64, verdict: Verdict) {
        self.send(to.peer, Message::ClaimReply(Reply { id, verdict }));
    }
}

/// Answer to a later question about a claim that was not dropped.
fn verdict(record: &Record, request: &Request) -> Verdict {
    match &record.state {
        _ if record.fingerprint != request.fingerprint => Verdict::Mismatch,
        State::Running => Verdict::Running,
        State::Done(outcome) => Verdict::Done(outcome.clone()),
        State::DoneWithoutAnswer => Verdict::DoneWithoutAnswer,
        State::Unknown | State::Dropped => Verdict::Unknown,
    }
}
