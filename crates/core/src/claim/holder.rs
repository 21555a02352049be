//! Holder of a claim: asks the owner and tells owner and backup the result.

use std::{collections::BTreeSet, time::Duration};

use super::{
    Completion, Name, Outcome, Participant, Record, Reply, Request, Resolution, State, Verdict,
    history::Process,
};
use crate::{
    constants::{
        CLAIM_ANSWER_WAIT, CLAIM_BODY_LIMIT, CLAIM_OPEN_LIMIT, CLAIM_RETENTION,
        CLAIM_RETRY_INTERVAL,
    },
    host::event::Ticket,
    message::{Message, Sender},
};

/// Results that may wait for owner and backup with their answer. Beyond it, answers are left out,
/// since during a long loss of the pair they would fill the memory.
const ANSWERS_LIMIT: usize = 256;

/// Questions without a grant that are remembered, to give back a grant that comes late.
const REFUSED_LIMIT: usize = 10_000;

/// A question that waits for the owner's answer.
#[derive(Debug)]
pub(super) struct Ask {
    ticket: Ticket,
    name: Name,
    fingerprint: u64,
    owner: Process,
    since: Duration,
    next: Duration,
}

/// The result of an ended claim.
#[derive(Debug)]
pub(super) struct Finished {
    name: Name,
    state: State,
    kept_by: BTreeSet<Process>,
    since: Duration,
    next: Duration,
}

impl Participant {
    pub(super) fn open(
        &mut self,
        now: Duration,
        current: bool,
        ticket: Ticket,
        name: Name,
        fingerprint: u64,
    ) {
        let open = self.asks.len() + self.held.len() + self.finished.len();
        let owner = self.history.pair(&name).owner.map(Process::from);
        let Some(owner) = owner.filter(|_| current && open < CLAIM_OPEN_LIMIT) else {
            return self.answer(ticket, Verdict::Unavailable);
        };
        let id = self.number();
        let next = now + CLAIM_RETRY_INTERVAL;
        let ask = Ask { ticket, name, fingerprint, owner, since: now, next };
        self.asks.insert(id, ask);
        self.send_request(id);
    }

    pub(super) fn replied(&mut self, now: Duration, current: bool, from: &Sender, reply: Reply) {
        let Some(ask) = self.asks.get(&reply.id) else {
            if reply.verdict == Verdict::Granted {
                self.give_back(now, reply.id);
            }
            return;
        };
        if ask.owner != Process::of(from) {
            return;
        }
        match reply.verdict {
            // Not sent by a host that is not current, so it is given back.
            Verdict::Granted if !current => self.abandon(now, reply.id),
            Verdict::Granted => self.hold(reply.id),
            verdict => self.refuse(reply.id, verdict),
        }
    }

    pub(super) fn close(&mut self, now: Duration, completion: Completion) {
        let Some(id) = self.held_names.remove(&completion.name) else {
            return;
        };
        self.held.remove(&id);
        let state = match completion.state {
            None => State::Dropped,
            Some(State::Done(outcome)) => self.kept_answer(outcome),
            Some(State::Running) => State::Unknown,
            Some(state) => state,
        };
        self.finish(now, id, completion.name, state);
    }

    /// Under a new table, questions to a host that is no longer the owner have no answer.
    pub(super) fn reconsider_asks(&mut self, now: Duration) {
        let history = &self.history;
        let moved = |ask: &Ask| !history.pair(&ask.name).owner.is_some_and(|m| ask.owner.is(m));
        let asks = self.asks.iter().filter(|(_, ask)| moved(ask));
        let moved: Vec<u64> = asks.map(|(id, _)| *id).collect();
        moved.into_iter().for_each(|id| self.abandon(now, id));
        for finished in self.finished.values_mut() {
            finished.next = now;
        }
    }

    pub(super) fn drive_asks(&mut self, now: Duration) {
        let due = self.asks.iter().filter(|(_, ask)| now >= ask.next);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some(ask) = self.asks.get_mut(&id) else {
                continue;
            };
            if now >= ask.since + CLAIM_ANSWER_WAIT {
                self.abandon(now, id);
            } else {
                ask.next = now + CLAIM_RETRY_INTERVAL;
                self.send_request(id);
            }
        }
    }

    pub(super) fn drive_finished(&mut self, now: Duration) {
        self.finished.retain(|_, finished| now < finished.since + CLAIM_RETENTION);
        let due = self.finished.iter().filter(|(_, finished)| now >= finished.next);
        let ids: Vec<u64> = due.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.send_result(now, id));
    }

    /// Owner or backup has kept a result.
    pub(super) fn result_kept(&mut self, from: &Process, id: u64) {
        let Some(finished) = self.finished.get_mut(&id) else {
            return;
        };
        finished.kept_by.insert(from.clone());
        let pair = self.history.pair(&finished.name);
        let kept = |member| finished.kept_by.contains(&Process::from(member));
        if pair.members().all(kept) {
            let dropped = self.finished.remove(&id).filter(|f| f.state == State::Dropped);
            if let Some(finished) = dropped {
                self.remember(id, finished.name);
            }
        }
    }

    /// An owner or backup has this record as running: tells it the result if it is not.
    pub(super) fn check_held(&mut self, now: Duration, record: &Record) {
        let mine = record.holder == self.me.host && record.incarnation == self.me.incarnation;
        let open = self.asks.contains_key(&record.id) || self.held.contains_key(&record.id);
        if !mine || open || record.state != State::Running {
            return;
        }
        if self.finished.contains_key(&record.id) || self.refused.contains_key(&record.id) {
            self.give_back(now, record.id);
        } else {
            // The result was kept by a pair that is gone, so only that it ended is known.
            self.finish(now, record.id, record.name.clone(), State::Unknown);
        }
    }

    fn send_request(&mut self, id: u64) {
        let Some(ask) = self.asks.get(&id) else {
            return;
        };
        let Some(owner) = self.history.member(&ask.owner).map(|member| member.peer) else {
            return;
        };
        let request = Request {
            id,
            name: ask.name.clone(),
            fingerprint: ask.fingerprint,
            revision: self.history.revision(),
        };
        self.send(owner, Message::Claim(request));
    }

    fn hold(&mut self, id: u64) {
        if let Some(ask) = self.asks.remove(&id) {
            self.held.insert(id, ask.name.clone());
            self.held_names.insert(ask.name, id);
            self.answer(ask.ticket, Verdict::Granted);
        }
    }

    /// The owner did not grant. The question is remembered, as a copy of it may still be underway.
    fn refuse(&mut self, id: u64, verdict: Verdict) {
        if let Some(ask) = self.asks.remove(&id) {
            self.answer(ask.ticket, verdict);
            self.remember(id, ask.name);
        }
    }

    fn remember(&mut self, id: u64, name: Name) {
        self.refused.insert(id, name);
        if self.refused.len() > REFUSED_LIMIT {
            self.refused.pop_first();
        }
    }

    /// A claim that does not run here seems to run to its owner: repeats the result.
    fn give_back(&mut self, now: Duration, id: u64) {
        if let Some(name) = self.refused.remove(&id) {
            self.finish(now, id, name, State::Dropped);
        } else if let Some(finished) = self.finished.get_mut(&id) {
            finished.kept_by.clear();
            self.send_result(now, id);
        }
    }

    /// Gives up a question that may have been recorded, and has that undone.
    fn abandon(&mut self, now: Duration, id: u64) {
        if let Some(ask) = self.asks.remove(&id) {
            self.answer(ask.ticket, Verdict::Unavailable);
            self.finish(now, id, ask.name, State::Dropped);
        }
    }

    fn finish(&mut self, now: Duration, id: u64, name: Name, state: State) {
        let finished = Finished { name, state, kept_by: BTreeSet::new(), since: now, next: now };
        self.finished.insert(id, finished);
        self.send_result(now, id);
    }

    fn send_result(&mut self, now: Duration, id: u64) {
        let Some(finished) = self.finished.get_mut(&id) else {
            return;
        };
        finished.next = now + CLAIM_RETRY_INTERVAL;
        let (name, state) = (finished.name.clone(), finished.state.clone());
        let missing =
            |member: &&crate::member::Member| !finished.kept_by.contains(&Process::from(*member));
        let pair = self.history.pair(&name).members().filter(missing);
        let peers: Vec<_> = pair.map(|member| member.peer).collect();
        let finish = Resolution { id, name, state };
        for peer in peers {
            self.send(peer, Message::ClaimCompletion(finish.clone()));
        }
    }

    fn kept_answer(&self, outcome: Outcome) -> State {
        let waiting = self.finished.len();
        let fits = outcome.body.len() <= CLAIM_BODY_LIMIT && waiting < ANSWERS_LIMIT;
        if fits { State::Done(outcome) } else { State::DoneWithoutAnswer }
    }
}
