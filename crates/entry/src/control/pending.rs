//! Requests that wait for an answer from the host.

use std::{collections::HashMap, time::Duration};

use marjorampick_core::{
    budget::Budget,
    claim::Verdict,
    constants::BORROW_TIMEOUT,
    host::event::{EditOutcome, Ticket},
};
use tokio::sync::oneshot;

/// Maximum number of requests that wait for borrowed tokens. Further ones are refused at once.
const MAX_BORROWERS: usize = 16_384;

/// Pending requests, by ticket or budget. If the requester gave up, its channel is closed.
#[derive(Default)]
pub(super) struct Requests {
    last_ticket: Ticket,
    edits: HashMap<Ticket, oneshot::Sender<EditOutcome>>,
    claims: HashMap<Ticket, oneshot::Sender<Verdict>>,
    /// Start of the wait and wake-up channel of each request that waits for tokens of a budget.
    borrowers: HashMap<Budget, Vec<(Duration, oneshot::Sender<()>)>>,
    borrower_count: usize,
    leave: Option<oneshot::Sender<()>>,
    has_left: bool,
    is_leave_answered: bool,
}

impl Requests {
    /// Adds an edit and returns its ticket.
    pub(super) fn add_edit(&mut self, answer: oneshot::Sender<EditOutcome>) -> Ticket {
        self.last_ticket += 1;
        self.edits.insert(self.last_ticket, answer);
        self.last_ticket
    }

    pub(super) fn answer_edit(&mut self, ticket: Ticket, outcome: EditOutcome) {
        if let Some(answer) = self.edits.remove(&ticket) {
            let _ = answer.send(outcome);
        }
    }

    /// Adds a claim and returns its ticket.
    pub(super) fn add_claim(&mut self, answer: oneshot::Sender<Verdict>) -> Ticket {
        self.last_ticket += 1;
        self.claims.insert(self.last_ticket, answer);
        self.last_ticket
    }

    pub(super) fn answer_claim(&mut self, ticket: Ticket, verdict: Verdict) {
        if let Some(answer) = self.claims.remove(&ticket) {
            let _ = answer.send(verdict);
        }
    }

    /// Adds a request that waits for tokens, or drops `wake` if too many requests wait.
    pub(super) fn add_borrower(
        &mut self,
        now: Duration,
        budget: Budget,
        wake: oneshot::Sender<()>,
    ) {
        if self.borrower_count < MAX_BORROWERS {
            self.borrower_count += 1;
            self.borrowers.entry(budget).or_default().push((now, wake));
        }
    }

    pub(super) fn wake_borrowers(&mut self, budget: &Budget) {
        let woken = self.borrowers.remove(budget).unwrap_or_default();
        self.borrower_count -= woken.len();
        for (_, wake) in woken {
            let _ = wake.send(());
        }
    }

    /// Drops the channels of requests that have waited for a loan for [`BORROW_TIMEOUT`], which
    /// wakes them, and those of edits and claims whose requester gave up.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        for waiting in self.borrowers.values_mut() {
            waiting.retain(|(since, _)| now < *since + BORROW_TIMEOUT);
        }
        self.borrowers.retain(|_, waiting| !waiting.is_empty());
        self.borrower_count = self.borrowers.values().map(Vec::len).sum();
        self.edits.retain(|_, answer| !answer.is_closed());
        self.claims.retain(|_, answer| !answer.is_closed());
    }

    /// Sets the pending request to leave. If the host has already left, answers it at once.
    pub(super) fn set_leave(&mut self, answer: oneshot::Sender<()>) {
        self.leave = Some(answer);
        self.send_leave_answer();
    }

    /// Records that the host has left, answers the request to leave, and returns whether there was
    /// one.
    pub(super) fn answer_leave(&mut self) -> bool {
        self.has_left = true;
        let was_requested = self.leave.is_some();
        self.send_leave_answer();
        was_requested
    }

    /// Whether the host has left and the request to leave was answered.
    pub(super) fn is_leave_answered(&self) -> bool {
        self.is_leave_answered
    }

    fn send_leave_answer(&mut self) {
        if !self.has_left {
            return;
        }
        if let Some(answer) = self.leave.take() {
            let _ = answer.send(());
            self.is_leave_answered = true;
        }
    }
}
