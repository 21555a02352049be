//! Requests that wait for an answer of the host.

use std::{collections::HashMap, time::Duration};

use marjorampick_core::{
    budget::Budget,
    claim::Verdict,
    constants::BORROW_TIMEOUT,
    host::event::{EditOutcome, Ticket},
};
use tokio::sync::oneshot;

/// Largest number of requests that wait for tokens; more are refused without waiting.
const SHORT_LIMIT: usize = 16_384;

/// Requests that wait, by ticket or budget. A request that gave up leaves a closed channel behind.
#[derive(Default)]
pub(super) struct Waiting {
    next_ticket: Ticket,
    edits: HashMap<Ticket, oneshot::Sender<EditOutcome>>,
    claims: HashMap<Ticket, oneshot::Sender<Verdict>>,
    short: HashMap<Budget, Vec<(Duration, oneshot::Sender<()>)>>,
    short_count: usize,
    leaving: Option<oneshot::Sender<()>>,
    has_left: bool,
    is_finished: bool,
}

impl Waiting {
    pub(super) fn edit(&mut self, answer: oneshot::Sender<EditOutcome>) -> Ticket {
        self.next_ticket += 1;
        self.edits.insert(self.next_ticket, answer);
        self.next_ticket
    }

    pub(super) fn edited(&mut self, ticket: Ticket, edited: EditOutcome) {
        if let Some(answer) = self.edits.remove(&ticket) {
            let _ = answer.send(edited);
        }
    }

    pub(super) fn claim(&mut self, answer: oneshot::Sender<Verdict>) -> Ticket {
        self.next_ticket += 1;
        self.claims.insert(self.next_ticket, answer);
        self.next_ticket
    }

    pub(super) fn claimed(&mut self, ticket: Ticket, verdict: Verdict) {
        if let Some(answer) = self.claims.remove(&ticket) {
            let _ = answer.send(verdict);
        }
    }

    pub(super) fn short(&mut self, now: Duration, budget: Budget, wake: oneshot::Sender<()>) {
        if self.short_count < SHORT_LIMIT {
            self.short_count += 1;
            self.short.entry(budget).or_default().push((now, wake));
        }
    }

    pub(super) fn borrowed(&mut self, budget: &Budget) {
        let woken = self.short.remove(budget).unwrap_or_default();
        self.short_count -= woken.len();
        for (_, wake) in woken {
            let _ = wake.send(());
        }
    }

    /// Wakes requests whose loan never came, and forgets answers that nobody waits for.
    pub(super) fn expire(&mut self, now: Duration) {
        for waiting in self.short.values_mut() {
            waiting.retain(|(since, _)| now < *since + BORROW_TIMEOUT);
        }
        self.short.retain(|_, waiting| !waiting.is_empty());
        self.short_count = self.short.values().map(Vec::len).sum();
        self.edits.retain(|_, answer| !answer.is_closed());
        self.claims.retain(|_, answer| !answer.is_closed());
    }

    /// Answers at once if the host has left before.
    pub(super) fn leave(&mut self, answer: oneshot::Sender<()>) {
        self.leaving = Some(answer);
        self.answer_leaving();
    }

    /// Answers whether the process had asked to leave.
    pub(super) fn left(&mut self) -> bool {
        self.has_left = true;
        let asked = self.leaving.is_some();
        self.answer_leaving();
        asked
    }

    /// Whether the host has left and the process knows it.
    pub(super) fn is_finished(&self) -> bool {
        self.is_finished
    }

    fn answer_leaving(&mut self) {
        if !self.has_left {
            return;
        }
        if let Some(answer) = self.leaving.take() {
            let _ = answer.send(());
            self.is_finished = true;
        }
    }
}
