//! Answers of the store: reads of `head` and ends of writes.

use std::time::Duration;

use super::{
    Host,
    event::{Action, Ticket, Write, WriteOutcome},
};
use crate::catalog::{Record, Update};

impl Host {
    /// A read of `head` that answers the own revision keeps the host current.
    pub(super) fn head_read(&mut self, sent: Duration, revision: u64) {
        let own = self.catalog.revision();
        if revision > own {
            self.actions.push(Action::ReadRecords);
        } else if revision == own && !self.membership.is_stopped() {
            self.currency.confirm(sent);
            self.budgets.ledger().renew_lease(sent);
        }
    }

    pub(super) fn written(&mut self, now: Duration, ticket: Ticket, result: WriteOutcome) {
        match result {
            WriteOutcome::Done { revision } => self.done(now, ticket, revision),
            WriteOutcome::Conflict => self.conflict(now, ticket),
            WriteOutcome::Unknown => self.unknown(now, ticket),
        }
    }

    /// Sends a write to the store.
    pub(super) fn write(&mut self, write: Write) -> Ticket {
        let ticket = self.ticket();
        self.actions.push(Action::Write { ticket, write });
        ticket
    }

    fn done(&mut self, now: Duration, ticket: Ticket, revision: u64) {
        let edit = self.edits.done(ticket, revision);
        let Some(write) = edit.or_else(|| self.membership.take_write(ticket)) else {
            return;
        };
        let update = update_of(&write, revision);
        self.update(now, &update);
        self.spread(&update);
    }

    fn conflict(&mut self, now: Duration, ticket: Ticket) {
        self.edits.refused(ticket);
        self.members_refused(now, ticket);
        self.actions.push(Action::ReadRecords);
    }

    fn unknown(&mut self, now: Duration, ticket: Ticket) {
        self.edits.unanswered(now, ticket);
        self.members_refused(now, ticket);
        self.actions.push(Action::ReadRecords);
    }
}

/// What a write has changed. It leaves no gap, as the store has compared `head`.
fn update_of(write: &Write, revision: u64) -> Update {
    let record = Record { key: write.key.clone(), revision, value: write.value.clone() };
    Update { since: write.expected_head, through: revision, records: vec![record] }
}
