//! Answers to the questions of other hosts for the changes of the store.

use std::{collections::VecDeque, net::SocketAddr, slice, time::Duration};

use bytes::Bytes;

use super::{
    Feed,
    parts::{self, Holding, MAX_PARTS, PART_BYTES},
    relay::{Answer, Apart, Decline, MAX_REVISIONS_WITHOUT_CHANGE, Question},
};
use crate::{
    metrics,
    peers::{
        MAX_DATAGRAM_BYTES, Message,
        queue::{self, Batch, Datagram},
    },
};

/// Longest time for which a host sends another one parts of a configuration: that one asks the next host soon
/// after, and then names the parts that it lacks.
const PLAN_TIME: Duration = Duration::from_millis(300);

impl Feed {
    /// Answers the questions of other hosts with what this host has just read of the store.
    pub(super) fn answer(&self, questions: &[(SocketAddr, Question)]) {
        let key = |question: &Question| {
            let has_plan = question.held.as_ref().map(|held| self.is_plan_held(held));
            (question.era, question.revision, question.takes_parts, has_plan)
        };
        let mut sorted: Vec<&(SocketAddr, Question)> = questions.iter().collect();
        sorted.sort_unstable_by_key(|(_, question)| key(question));
        // One payload at a time, as each may take a megabyte.
        for alike in sorted.chunk_by(|(_, one), (_, other)| key(one) == key(other)) {
            let changes = alike.first().and_then(|(_, question)| self.changes(question));
            for asked in alike {
                let (host, question) = asked;
                match &changes {
                    Some(changes) => self.send_changes(question, changes, *host),
                    None => self.decline(slice::from_ref(asked)),
                }
            }
        }
    }

    /// Whether a host has the configuration that this one passes on.
    fn is_plan_held(&self, held: &Holding) -> bool {
        let has_payload = || {
            self.recent
                .plan_payload()
                .is_some_and(|plan| plan.is_ok_and(|plan| held.has(&plan.name)))
        };
        held.version >= self.recent.plan_version() || has_payload()
    }

    /// What answers a question. `None` for a host that has missed changes which this one no longer knows, or
    /// has read further than the store that this one reads.
    fn changes(&self, question: &Question) -> Option<Changes> {
        // An earlier version asks without an era.
        let is_same_era = question.era == self.era || question.era.is_untold();
        if !is_same_era || question.revision > self.revision {
            return None;
        }
        self.changes_without_plan(question).or_else(|| self.all_changes(question))
    }

    /// All changes together.
    fn all_changes(&self, question: &Question) -> Option<Changes> {
        let after = question.revision;
        let payload = self.recent.payload(after, question.takes_parts)?.ok()?;
        let max_parts = if question.takes_parts { MAX_PARTS } else { 1 };
        let is_sendable = payload.len() <= max_parts * PART_BYTES;
        // Its receiver would not believe an answer that goes further.
        let is_believed = is_believed(self.recent.last_revision(after), self.revision);
        let changes = Changes { payload: payload.into(), until: self.revision, apart: None };
        (is_sendable && is_believed).then_some(changes)
    }

    /// The changes without the configuration, for a host that has it, or gets it as an answer of its own as it
    /// is large: a lost part of it then costs no other change.
    fn changes_without_plan(&self, question: &Question) -> Option<Changes> {
        let (after, held) = (question.revision, question.held.as_ref()?);
        if !self.recent.has_plan_after(after) {
            return None;
        }
        let payload = Bytes::from(self.recent.payload_without_plan(after)?.ok()?);
        let changes = if self.is_plan_held(held) {
            Changes { payload, until: self.revision, apart: None }
        } else {
            self.changes_apart(payload)?
        };
        let is_sendable = changes.payload.len() <= MAX_PARTS * PART_BYTES;
        let last = self.recent.last_revision_without_plan(after);
        let apart = changes.apart.as_ref().map_or(changes.until, |apart| apart.until);
        let is_believed =
            is_believed(last, changes.until) && is_believed(last.max(changes.until), apart);
        (is_sendable && is_believed).then_some(changes)
    }

    /// Changes that a large configuration follows. `None` if one datagram holds both.
    fn changes_apart(&self, payload: Bytes) -> Option<Changes> {
        let plan = self.recent.plan_payload()?.ok()?;
        let is_large = payload.len() + plan.bytes.len() > PART_BYTES && plan.name.is_sendable();
        // What follows the configuration is not complete without it.
        let until = self.revision.min(plan.revision - 1);
        let apart = Some(Apart { configuration: plan.name, until: self.revision });
        is_large.then_some(Changes { payload, until, apart })
    }

    /// Sends changes, and after them the configuration that they lack.
    fn send_changes(&self, question: &Question, changes: &Changes, host: SocketAddr) {
        let answer = Answer {
            until: changes.until,
            is_plan_alone: false,
            apart: changes.apart.clone(),
            ..self.plan_answer(question)
        };
        let mut messages = messages(&answer, &changes.payload);
        if changes.apart.is_some() {
            messages.extend(self.plan_messages(question, host));
        }
        let is_sent = self.send_messages(messages, host);
        metrics::record_relay(if is_sent { "answered" } else { "unanswered" });
    }

    /// Head of an answer with the configuration alone.
    fn plan_answer(&self, question: &Question) -> Answer {
        Answer {
            id: question.id,
            after: question.revision,
            until: question.revision,
            era: self.era,
            plan: self.state.version(),
            is_plan_alone: true,
            configuration: None,
            apart: None,
            part: None,
        }
    }

    /// The configuration alone, or those parts of it which a host lacks. That host names what it lacks then in
    /// its next question, to another host, so that it gets no more than its link carries until that one.
    fn plan_messages(&self, question: &Question, host: SocketAddr) -> Vec<(Answer, Bytes)> {
        let plan = self.recent.plan_payload().and_then(Result::ok);
        let Some(plan) = plan.filter(|plan| plan.name.is_sendable()) else { return Vec::new() };
        let answer = self.plan_answer(question);
        let Some(held) = &question.held else { return messages(&answer, &plan.bytes) };
        let answer = Answer { configuration: Some(plan.name), ..answer };
        let all = messages(&answer, &plan.bytes).into_iter().enumerate();
        let lacking = all.filter(|(index, _)| held.lacks(&plan.name, *index));
        let part_time = self.link_time(host);
        let is_in_time = |(sent, _): &(u32, _)| *sent == 0 || part_time * *sent < PLAN_TIME;
        (0..).zip(lacking).take_while(is_in_time).map(|(_, (_, message))| message).collect()
    }

    /// Time that the largest datagram takes to a host.
    fn link_time(&self, host: SocketAddr) -> Duration {
        let links = [self.state.settings.limits.link_mbps, self.link_mbps(host)];
        let times = links.map(|link| queue::link_time(MAX_DATAGRAM_BYTES, link));
        times.into_iter().max().unwrap_or_default()
    }

    /// Bandwidth of the link of a host in Mbit/s, if it has told it.
    fn link_mbps(&self, host: SocketAddr) -> Option<u32> {
        let peers = self.state.peers.borrow();
        let hosts = self.state.hosts.borrow();
        hosts.get(&peers.get(&host)?.name)?.registration.link_mbps
    }

    /// Sends the messages of an answer: changes of one datagram at once, and all others as the links have
    /// room. Returns whether all were sent, or wait.
    fn send_messages(&self, messages: Vec<(Answer, Bytes)>, host: SocketAddr) -> bool {
        let (mut is_sent, mut datagrams) = (true, VecDeque::new());
        for (answer, payload) in messages {
            let is_large = answer.part.is_some() || answer.is_plan_alone;
            let message = Message::Changes(answer);
            if !is_large {
                is_sent &= self.socket.send_with_payload(&message, &payload, host);
            } else if let Some(head) = message.head() {
                datagrams.push_back(Datagram { head, payload });
            }
        }
        if datagrams.is_empty() {
            return is_sent;
        }
        let batch = Batch { host, link_mbps: self.link_mbps(host), datagrams };
        self.socket.send_batch(batch) && is_sent
    }

    /// Sends the configuration to a host that gets no changes and has an earlier one. Returns whether it was
    /// sent.
    fn send_plan(&self, question: &Question, host: SocketAddr) -> bool {
        if self.recent.plan_version() <= question.plan {
            return false;
        }
        let messages = self.plan_messages(question, host);
        !messages.is_empty() && self.send_messages(messages, host)
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
}

/// Changes that answer a question.
#[derive(Debug)]
struct Changes {
    payload: Bytes,
    /// Revision up to which they are complete.
    until: u64,
    /// The configuration that they lack.
    apart: Option<Apart>,
}

/// Whether a host believes an answer up to `until` whose last change has this revision.
fn is_believed(last: u64, until: u64) -> bool {
    until <= last.saturating_add(MAX_REVISIONS_WITHOUT_CHANGE)
}

/// The messages that carry a payload, with the head of an answer.
fn messages(answer: &Answer, payload: &Bytes) -> Vec<(Answer, Bytes)> {
    let parts = parts::split(payload);
    let message = |(part, bytes)| (Answer { part, ..answer.clone() }, payload.slice_ref(bytes));
    parts.map(message).collect()
}
