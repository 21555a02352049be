//! Questions to other hosts for the changes of the store, and the answers to theirs.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    Feed, Progress,
    read::Batch,
    relay::{self, Answer, Outstanding, Question, Received},
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
        let question = Question { id: rand::random(), revision: self.revision, era: self.era };
        self.socket.send(&Message::Follow(question.clone()), address);
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.remove(0);
        }
        self.outstanding.push(Outstanding { question, relay: address, asked_at: now });
    }

    /// Answers the questions of other hosts from a batch. A host that has missed changes from before it, or
    /// knows a revision that the store has not reached, gets no answer and asks the store.
    pub(super) fn answer(&self, questions: &[(SocketAddr, Question)], batch: &Batch) {
        let mut payloads: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        let is_answerable =
            |asked: &Question| (batch.after..=batch.until).contains(&asked.revision);
        for (host, question) in questions.iter().filter(|(_, asked)| is_answerable(asked)) {
            let Question { id, revision: after, .. } = *question;
            let payload = payloads
                .entry(after)
                .or_insert_with(|| relay::encode(&batch.changes, after).unwrap_or_default());
            let answer = Answer { id, after, until: batch.until, era: self.era };
            let message = Message::Changes(answer);
            let is_sent = self.socket.send_with_payload(&message, payload, *host);
            metrics::record_relay(if is_sent { "answered" } else { "unanswered" });
        }
    }

    /// Applies the answer of another host to a question of this process. One that claims more than the
    /// store can have reached is not used; the host asks the store.
    pub(super) fn apply_answer(&mut self, received: Received) {
        let asked = self.outstanding.iter().position(|asked| asked.is_answered_by(&received));
        let Some(index) = asked else {
            record_dropped(&self.state, received.sender, "unasked");
            return;
        };
        let asked_at = self.outstanding.swap_remove(index).asked_at;
        if !received.is_plausible() {
            record_dropped(&self.state, received.sender, "implausible");
            self.schedule.record_gap();
            return;
        }
        // A relay of an earlier version tells no era. This host hears of a restore when it renews its
        // lease, and then reads everything anew.
        let era = received.answer.era;
        let is_other_era = era != self.era && !era.is_untold();
        if self.progress != Progress::Complete || is_other_era {
            return;
        }
        metrics::record_relay("followed");
        self.schedule.record_answer(asked_at);
        self.record_knowledge(asked_at, self.others_after(&received.changes));
        self.apply_changes(received.changes, received.answer.until);
        self.state.lag.borrow_mut().read_all(asked_at);
        self.publish();
    }
}
