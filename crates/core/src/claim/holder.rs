//! Holder of a claim: requests it from the owner and reports its end to owner and backup.

use std::{collections::BTreeSet, time::Duration};

use super::{
    Completion, Name, Outcome, Participant, Record, Reply, Request, Resolution, State, Verdict,
    history::Process,
};
use crate::{
    constants::{
        CLAIM_BODY_LIMIT_BYTES, CLAIM_REPLY_TIMEOUT, CLAIM_RETENTION, CLAIM_RETRY_INTERVAL,
        OPEN_CLAIMS_LIMIT,
    },
    host::event::Ticket,
    message::{Message, Sender},
};

/// Number of unacknowledged final states at which further ones are sent without their response.
/// Otherwise responses would fill the memory while owner and backup stay unreachable.
const DELIVERIES_WITH_RESPONSE_LIMIT: usize = 256;

/// Requests without a grant that are remembered, so that a grant that arrives late is released.
const REJECTED_REQUESTS_LIMIT: usize = 10_000;

/// A request that the owner has not answered yet.
#[derive(Debug)]
pub(super) struct Acquisition {
    ticket: Ticket,
    name: Name,
    fingerprint: u64,
    owner: Process,
    started_at: Duration,
    next_send: Duration,
}

/// Final state of an ended claim, sent until owner and backup have acknowledged it.
#[derive(Debug)]
pub(super) struct Delivery {
    name: Name,
    state: State,
    acknowledged_by: BTreeSet<Process>,
    ended_at: Duration,
    next_send: Duration,
}

impl Participant {
    pub(super) fn start_acquisition(
        &mut self,
        now: Duration,
        current: bool,
        ticket: Ticket,
        name: Name,
        fingerprint: u64,
    ) {
        let open = self.acquisitions.len() + self.held.len() + self.deliveries.len();
        let owner = self.history.placement(&name).owner.map(Process::from);
        let Some(owner) = owner.filter(|_| current && open < OPEN_CLAIMS_LIMIT) else {
            return self.report_verdict(ticket, Verdict::Unavailable);
        };
        let id = self.allocate_id();
        let next_send = now + CLAIM_RETRY_INTERVAL;
        let acquisition =
            Acquisition { ticket, name, fingerprint, owner, started_at: now, next_send };
        self.acquisitions.insert(id, acquisition);
        self.send_request(id);
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Duration,
        current: bool,
        from: &Sender,
        reply: Reply,
    ) {
        let Some(acquisition) = self.acquisitions.get(&reply.id) else {
            if reply.verdict == Verdict::Granted {
                self.report_ended(now, reply.id);
            }
            return;
        };
        if acquisition.owner != Process::of(from) {
            return;
        }
        match reply.verdict {
            // A host that is not current may not forward the request, so it releases the grant.
            Verdict::Granted if !current => self.abandon(now, reply.id),
            Verdict::Granted => self.accept_grant(reply.id),
            verdict => self.reject(reply.id, verdict),
        }
    }

    pub(super) fn release(&mut self, now: Duration, completion: Completion) {
        let Some(id) = self.held_ids.remove(&completion.name) else {
            return;
        };
        self.held.remove(&id);
        let state = match completion.state {
            None => State::Dropped,
            Some(State::Done(outcome)) => self.done_state(outcome),
            Some(State::Running) => State::Unknown,
            Some(state) => state,
        };
        self.deliver(now, id, completion.name, state);
    }

    /// Abandons requests whose owner changed with the member table, since the earlier owner no
    /// longer answers them, and makes final states due for the new owners and backups.
    pub(super) fn apply_new_owners(&mut self, now: Duration) {
        let history = &self.history;
        let moved = |acquisition: &Acquisition| {
            !history
                .placement(&acquisition.name)
                .owner
                .is_some_and(|m| acquisition.owner.matches(m))
        };
        let acquisitions = self.acquisitions.iter().filter(|(_, acquisition)| moved(acquisition));
        let moved: Vec<u64> = acquisitions.map(|(id, _)| *id).collect();
        moved.into_iter().for_each(|id| self.abandon(now, id));
        for delivery in self.deliveries.values_mut() {
            delivery.next_send = now;
        }
    }

    pub(super) fn retry_acquisitions(&mut self, now: Duration) {
        let due = self.acquisitions.iter().filter(|(_, acquisition)| now >= acquisition.next_send);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some(acquisition) = self.acquisitions.get_mut(&id) else {
                continue;
            };
            if now >= acquisition.started_at + CLAIM_REPLY_TIMEOUT {
                self.abandon(now, id);
            } else {
                acquisition.next_send = now + CLAIM_RETRY_INTERVAL;
                self.send_request(id);
            }
        }
    }

    pub(super) fn retry_deliveries(&mut self, now: Duration) {
        self.deliveries.retain(|_, delivery| now < delivery.ended_at + CLAIM_RETENTION);
        let due = self.deliveries.iter().filter(|(_, delivery)| now >= delivery.next_send);
        let ids: Vec<u64> = due.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.send_resolution(now, id));
    }

    /// Notes that owner or backup stored a final state, and ends the delivery after the last one.
    pub(super) fn acknowledge_delivery(&mut self, from: &Process, id: u64) {
        let Some(delivery) = self.deliveries.get_mut(&id) else {
            return;
        };
        delivery.acknowledged_by.insert(from.clone());
        let placement = self.history.placement(&delivery.name);
        let acknowledged = |member| delivery.acknowledged_by.contains(&Process::from(member));
        if placement.members().all(acknowledged) {
            let dropped =
                self.deliveries.remove(&id).filter(|delivery| delivery.state == State::Dropped);
            if let Some(delivery) = dropped {
                self.remember_rejected(id, delivery.name);
            }
        }
    }

    /// Sends the final state of a claim of this host that has ended but is recorded as running by
    /// another host.
    pub(super) fn correct_stale_record(&mut self, now: Duration, record: &Record) {
        let is_own =
            record.holder == self.local.host && record.incarnation == self.local.incarnation;
        let open = self.acquisitions.contains_key(&record.id) || self.held.contains_key(&record.id);
        if !is_own || open || record.state != State::Running {
            return;
        }
        if self.deliveries.contains_key(&record.id) || self.rejected.contains_key(&record.id) {
            self.report_ended(now, record.id);
        } else {
            // The owner and backup that stored the final state are gone, so this host knows only
            // that the claim has ended.
            self.deliver(now, record.id, record.name.clone(), State::Unknown);
        }
    }

    fn send_request(&mut self, id: u64) {
        let Some(acquisition) = self.acquisitions.get(&id) else {
            return;
        };
        let Some(owner) = self.history.member(&acquisition.owner).map(|member| member.peer) else {
            return;
        };
        let request = Request {
            id,
            name: acquisition.name.clone(),
            fingerprint: acquisition.fingerprint,
            revision: self.history.revision(),
        };
        self.send(owner, Message::ClaimRequest(request));
    }

    fn accept_grant(&mut self, id: u64) {
        if let Some(acquisition) = self.acquisitions.remove(&id) {
            self.held.insert(id, acquisition.name.clone());
            self.held_ids.insert(acquisition.name, id);
            self.report_verdict(acquisition.ticket, Verdict::Granted);
        }
    }

    /// Reports a verdict other than a grant. The request is remembered, as a duplicate of it may
    /// still arrive and be granted.
    fn reject(&mut self, id: u64, verdict: Verdict) {
        if let Some(acquisition) = self.acquisitions.remove(&id) {
            self.report_verdict(acquisition.ticket, verdict);
            self.remember_rejected(id, acquisition.name);
        }
    }

    fn remember_rejected(&mut self, id: u64, name: Name) {
        self.rejected.insert(id, name);
        if self.rejected.len() > REJECTED_REQUESTS_LIMIT {
            self.rejected.pop_first();
        }
    }

    /// Sends the final state, again if need be, of a claim that its owner takes for running.
    fn report_ended(&mut self, now: Duration, id: u64) {
        if let Some(name) = self.rejected.remove(&id) {
            self.deliver(now, id, name, State::Dropped);
        } else if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.acknowledged_by.clear();
            self.send_resolution(now, id);
        }
    }

    /// Gives up a request and drops the claim that the owner may have recorded for it.
    fn abandon(&mut self, now: Duration, id: u64) {
        if let Some(acquisition) = self.acquisitions.remove(&id) {
            self.report_verdict(acquisition.ticket, Verdict::Unavailable);
            self.deliver(now, id, acquisition.name, State::Dropped);
        }
    }

    fn deliver(&mut self, now: Duration, id: u64, name: Name, state: State) {
        let delivery = Delivery {
            name,
            state,
            acknowledged_by: BTreeSet::new(),
            ended_at: now,
            next_send: now,
        };
        self.deliveries.insert(id, delivery);
        self.send_resolution(now, id);
    }

    fn send_resolution(&mut self, now: Duration, id: u64) {
        let Some(delivery) = self.deliveries.get_mut(&id) else {
            return;
        };
        delivery.next_send = now + CLAIM_RETRY_INTERVAL;
        let (name, state) = (delivery.name.clone(), delivery.state.clone());
        let missing = |member: &&crate::member::Member| {
            !delivery.acknowledged_by.contains(&Process::from(*member))
        };
        let recipients = self.history.placement(&name).members().filter(missing);
        let peers: Vec<_> = recipients.map(|member| member.peer).collect();
        let resolution = Resolution { id, name, state };
        for peer in peers {
            self.send(peer, Message::ClaimResolution(resolution.clone()));
        }
    }

    fn done_state(&self, outcome: Outcome) -> State {
        let unacknowledged = self.deliveries.len();
        let fits = outcome.body.len() <= CLAIM_BODY_LIMIT_BYTES
            && unacknowledged < DELIVERIES_WITH_RESPONSE_LIMIT;
        if fits { State::Done(outcome) } else { State::DoneWithoutAnswer }
    }
}
