//! Questions to other hosts for the changes of the store, and what becomes of their answers.

use std::{net::SocketAddr, time::Duration};

use super::{
    Feed, Progress,
    parts::{Assembly, Holding, Name},
    relay::{self, Answer, Decline, Outstanding, Question, Received},
};
use crate::{
    metrics,
    peers::{Message, record_dropped},
    store::Change,
};

/// Most questions without an answer; the oldest one is forgotten. An answer with a large configuration may take
/// seconds, in which the host asks others.
const MAX_OUTSTANDING: usize = 8;

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
            held: Some(self.held()),
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
            waiting: None,
        });
    }

    /// What this host has of the configuration.
    fn held(&mut self) -> Holding {
        self.collection.forget_until(self.recent.plan_version());
        self.collection.holding(self.recent.plan_version())
    }

    /// Records that another host has no changes for this one. Its answer may still follow.
    pub(super) fn record_decline(&self, sender: SocketAddr, decline: &Decline) {
        self.state.hear_version_at(sender, decline.plan);
        if !self.outstanding.iter().any(|asked| asked.is_declined_by(sender, decline)) {
            record_dropped(&self.state, sender, "unasked");
        }
    }

    /// Applies the answer of another host to a question of this process, once all parts have arrived. One
    /// that claims more than the store can have reached is not used; the host asks the store.
    pub(super) fn apply_answer(&mut self, received: Received) {
        // Also a late answer tells that this host is behind.
        self.state.hear_version_at(received.sender, received.answer.plan);
        let asked = self.outstanding.iter().position(|asked| asked.is_answered_by(&received));
        let Some(index) = asked else {
            record_dropped(&self.state, received.sender, "unasked");
            return;
        };
        let Received { sender, answer, payload } = received;
        if let Some(name) = answer.configuration {
            self.collect(&answer, name, &payload, sender);
            return;
        }
        let Some(payload) = self.outstanding[index].assembly.add(&answer, payload) else { return };
        let Some(changes) = relay::decode(&payload) else {
            self.outstanding.remove(index);
            record_dropped(&self.state, sender, "malformed");
            return;
        };
        if !answer.is_plausible(&changes) {
            self.outstanding.remove(index);
            record_dropped(&self.state, sender, "implausible");
            self.schedule.record_gap();
            return;
        }
        let held = self.held();
        if answer.apart.as_ref().is_some_and(|apart| !held.has(&apart.configuration)) {
            self.apply_without_plan(&answer, &changes, self.outstanding[index].asked_at);
            self.outstanding[index].waiting = Some((answer, changes));
            return;
        }
        let asked_at = self.outstanding.remove(index).asked_at;
        self.apply_whole(&answer.completed(), changes, asked_at);
    }

    /// Applies an answer that lacks nothing.
    fn apply_whole(&mut self, answer: &Answer, changes: Vec<Change>, asked_at: Duration) {
        // A configuration counts by its version, whatever else this host has missed.
        if answer.is_plan_alone || self.is_incomplete() {
            self.apply_plans_of(changes);
        } else if self.follows(answer) {
            metrics::record_relay("followed");
            self.schedule.record_answer(asked_at);
            self.record_knowledge(asked_at, self.others_after(&changes));
            self.apply_changes(changes, answer.until);
            self.state.lag.borrow_mut().forget_before(asked_at);
            self.publish();
        }
    }

    fn is_incomplete(&self) -> bool {
        self.progress == Progress::Incomplete && !self.is_restored
    }

    /// Whether an answer continues what this host has read. A relay of an earlier version tells no era. This
    /// host hears of a restore when it renews its lease, and then reads everything anew.
    fn follows(&self, answer: &Answer) -> bool {
        let is_other_era = answer.era != self.era && !answer.era.is_untold();
        self.progress == Progress::Complete && !is_other_era
    }

    /// Applies changes whose configuration is still under way. The host is behind until it has that, too, and
    /// goes on asking.
    fn apply_without_plan(&mut self, answer: &Answer, changes: &[Change], asked_at: Duration) {
        if self.follows(answer) {
            self.record_knowledge(asked_at, self.others_after(changes));
            let is_complete = |change: &&Change| change.revision() <= answer.until;
            let (complete, ahead): (Vec<&Change>, Vec<&Change>) =
                changes.iter().partition(is_complete);
            self.apply_changes(complete.into_iter().cloned().collect(), answer.until);
            // A late answer may end before what the store has told since.
            let is_new = |change: &&Change| change.revision() > self.revision;
            let ahead: Vec<&Change> = ahead.into_iter().filter(is_new).collect();
            ahead.into_iter().for_each(|change| self.apply_ahead(change));
            self.departures.flush(&self.state, true);
            self.publish();
        }
    }

    /// Adds a part of a configuration, and puts it in force once it is whole.
    fn collect(&mut self, answer: &Answer, name: Name, payload: &[u8], sender: SocketAddr) {
        let index = answer.part.map_or(0, |part| part.index);
        let Some(payload) = self.collection.add(name, index, payload) else { return };
        let plans = relay::decode(&payload).unwrap_or_default();
        if !plans.iter().any(|change| self.is_plan(change)) {
            self.collection.clear();
            record_dropped(&self.state, sender, "malformed");
            return;
        }
        self.apply_plans_of(plans);
        self.apply_waiting();
    }

    /// Puts the configuration among these changes in force.
    fn apply_plans_of(&mut self, changes: Vec<Change>) {
        let plans = changes.into_iter().filter(|change| self.is_plan(change)).collect();
        self.apply_plans(plans);
        self.publish();
    }

    /// Completes the answers whose configuration has arrived.
    fn apply_waiting(&mut self) {
        let held = self.held();
        let is_complete = |asked: &mut Outstanding| {
            let apart = asked.waiting.as_ref().and_then(|(answer, _)| answer.apart.as_ref());
            apart.is_some_and(|apart| held.has(&apart.configuration))
        };
        let complete: Vec<Outstanding> = self.outstanding.extract_if(.., is_complete).collect();
        for Outstanding { asked_at, waiting, .. } in complete {
            if let Some((answer, changes)) = waiting {
                self.apply_whole(&answer.completed(), changes, asked_at);
            }
        }
    }
}
