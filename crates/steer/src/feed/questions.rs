//! Questions to other hosts for the changes of the store, and the answers to theirs.

use std::{net::SocketAddr, slice, time::Duration};

use super::{
    Feed, Progress,
    parts::{self, Assembly, MAX_PARTS, PART_BYTES},
    relay::{self, Answer, Decline, MAX_REVISIONS_WITHOUT_CHANGE, Outstanding, Question, Received},
};
use crate::{
    metrics,
    peers::{Message, record_dropped},
};

/// Most questions without an answer; the oldest one is forgotten.
const MAX_OUTSTANDING: usize = 4;

impl Feed {
    /// Asks another host for the changes.
    pub(super) fn ask(&mut self, relay: &str, now: Duration) {
        let Some(address) =
            self.state.hosts.borrow().get(relay).map(|host| host.registration.peers)
        else {
            return;
        };
        let question = Question {
            id: rand::random(),
            revision: self.revision,
            era: self.era,
            plan: self.state.version(),
            takes_parts: true,
        };
        self.socket.send(&Message::Follow(question.clone()), address);
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.remove(0);
        }
        self.outstanding.push(Outstanding {
            question,
            relay: address,
            asked_at: now,
            assembly: Assembly::default(),
        });
    }

    /// Answers the questions of other hosts with what this host has just read of the store.
    pub(super) fn answer(&self, questions: &[(SocketAddr, Question)]) {
        let key = |question: &Question| (question.era, question.revision, question.takes_parts);
        let mut sorted: Vec<&(SocketAddr, Question)> = questions.iter().collect();
        sorted.sort_unstable_by_key(|(_, question)| key(question));
        // One payload at a time, as each may take a megabyte.
        for alike in sorted.chunk_by(|(_, one), (_, other)| key(one) == key(other)) {
            let payload = alike.first().and_then(|(_, question)| self.payload(question));
            for asked in alike {
                let (host, question) = asked;
                match &payload {
                    Some(payload) => self.send_answer(question, payload, *host),
                    None => self.decline(slice::from_ref(asked)),
                }
            }
        }
    }

    /// Payload of the answer to a question. `None` for a host that has missed changes which this one no
    /// longer knows, or has read further than the store that this one reads.
    fn payload(&self, question: &Question) -> Option<Vec<u8>> {
        let after = question.revision;
        // An earlier version asks without an era.
        let is_same_era = question.era == self.era || question.era.is_untold();
        // Its receiver would not believe an answer that goes further.
        let last = self.recent.last_revision(after);
        let believed = last.saturating_add(MAX_REVISIONS_WITHOUT_CHANGE);
        if !is_same_era || after > self.revision || self.revision > believed {
            return None;
        }
        let payload = self.recent.payload(after, question.takes_parts)?.ok()?;
        let max_parts = if question.takes_parts { MAX_PARTS } else { 1 };
        (payload.len() <= max_parts * PART_BYTES).then_some(payload)
    }

    fn send_answer(&self, question: &Question, payload: &[u8], host: SocketAddr) {
        let is_sent = self.send_parts(question, Some(self.revision), payload, host);
        metrics::record_relay(if is_sent { "answered" } else { "unanswered" });
    }

    /// Sends changes up to a revision, or the configuration alone without one. Returns whether all parts were
    /// sent.
    fn send_parts(
        &self,
        question: &Question,
        until: Option<u64>,
        payload: &[u8],
        host: SocketAddr,
    ) -> bool {
        let mut parts = parts::split(payload);
        // The other parts are of no use without one that cannot be sent.
        parts.all(|(part, bytes)| {
            let answer = Answer {
                id: question.id,
                after: question.revision,
                until: until.unwrap_or(question.revision),
                era: self.era,
                plan: self.state.version(),
                is_plan_alone: until.is_none(),
                part,
            };
            self.socket.send_with_payload(&Message::Changes(answer), bytes, host)
        })
    }

    /// Sends the configuration to a host that gets no changes and has an earlier one. Returns whether it was
    /// sent.
    fn send_plan(&self, question: &Question, host: SocketAddr) -> bool {
        let Some((version, Ok(payload))) = self.recent.plan_payload() else {
            return false;
        };
        version > question.plan
            && payload.len() <= MAX_PARTS * PART_BYTES
            && self.send_parts(question, None, &payload, host)
    }

    /// Tells hosts that they get no changes, and which configuration this host has in force, or sends it to those
    /// that have an earlier one. An earlier version of the program gets no answer.
    pub(super) fn decline(&self, questions: &[(SocketAddr, Question)]) {
        for (host, question) in questions {
            let outcome = if question.takes_parts { "declined" } else { "unanswered" };
            metrics::record_relay(outcome);
            if question.takes_parts && !self.send_plan(question, *host) {
                let decline = Decline { id: question.id, plan: self.state.version() };
                self.socket.send(&Message::Decline(decline), *host);
            }
        }
    }

    /// Records that another host has no changes for this one. Its answer may still follow.
    pub(super) fn record_decline(&self, sender: SocketAddr, decline: &Decline) {
        if self.outstanding.iter().any(|asked| asked.is_declined_by(sender, decline)) {
            self.state.hear_version_at(sender, decline.plan);
        } else {
            record_dropped(&self.state, sender, "unasked");
        }
    }

    /// Applies the answer of another host to a question of this process, once all parts have arrived. One
    /// that claims more than the store can have reached is not used; the host asks the store.
    pub(super) fn apply_answer(&mut self, received: Received) {
        let asked = self.outstanding.iter().position(|asked| asked.is_answered_by(&received));
        let Some(index) = asked else {
            record_dropped(&self.state, received.sender, "unasked");
            return;
        };
        let Received { sender, answer, payload } = received;
        let assembled = self.outstanding[index].assembly.add(&answer, payload);
        let Some(payload) = assembled else {
            self.state.hear_version_at(sender, answer.plan);
            return;
        };
        let asked_at = self.outstanding.swap_remove(index).asked_at;
        let Some(changes) = relay::decode(&payload) else {
            record_dropped(&self.state, sender, "malformed");
            return;
        };
        if !answer.is_plausible(&changes) {
            record_dropped(&self.state, sender, "implausible");
            self.schedule.record_gap();
            return;
        }
        // A configuration counts by its version, whatever else this host has missed.
        let is_incomplete = self.progress == Progress::Incomplete && !self.is_restored;
        if answer.is_plan_alone || is_incomplete {
            let plans = changes.into_iter().filter(|change| self.is_plan(change)).collect();
            self.apply_plans(plans);
            self.publish();
            return;
        }
        // A relay of an earlier version tells no era. This host hears of a restore when it renews its
        // lease, and then reads everything anew.
        let is_other_era = answer.era != self.era && !answer.era.is_untold();
        if self.progress == Progress::Complete && !is_other_era {
            metrics::record_relay("followed");
            self.schedule.record_answer(asked_at);
            self.record_knowledge(asked_at, self.others_after(&changes));
            self.apply_changes(changes, answer.until);
            self.state.lag.borrow_mut().forget_before(asked_at);
            self.publish();
        }
        self.state.hear_version_at(sender, answer.plan);
    }
}
