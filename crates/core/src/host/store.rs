//! Handles the answers of the store: reads of `head` and outcomes of writes.

use std::time::Duration;

use super::{
    Host,
    event::{Action, Ticket, Write, WriteOutcome},
};
use crate::catalog::{Record, Update};

impl Host {
    /// Confirms that the host is current and renews the ledger's lease if `head` has the host's own
    /// revision; reads the records if it has a larger one.
    pub(super) fn handle_head_read(&mut self, sent: Duration, revision: u64) {
        let own = self.catalog.revision();
        if revision > own {
            self.actions.push(Action::ReadRecords);
        } else if revision == own && !self.membership.is_stopped() {
            self.currency.confirm(sent);
            self.budgets.ledger().renew_lease(sent);
        }
    }

    pub(super) fn handle_write_outcome(
        &mut self,
        now: Duration,
        ticket: Ticket,
        outcome: WriteOutcome,
    ) {
        match outcome {
            WriteOutcome::Done { revision } => self.handle_write_done(now, ticket, revision),
            WriteOutcome::Conflict => self.handle_write_conflict(now, ticket),
            WriteOutcome::Unknown => self.handle_write_unknown(now, ticket),
        }
    }

    /// Sends a write to the store and returns its ticket.
    pub(super) fn write(&mut self, write: Write) -> Ticket {
        let ticket = self.next_ticket();
        self.actions.push(Action::Write { ticket, write });
        ticket
    }

    fn handle_write_done(&mut self, now: Duration, ticket: Ticket, revision: u64) {
        let edit = self.edits.complete_attempt(ticket, revision);
        let Some(write) = edit.or_else(|| self.membership.take_pending_write(ticket)) else {
            return;
        };
        let update = update_of(&write, revision);
        self.apply_update(now, &update);
        self.broadcast_update(&update);
    }

    fn handle_write_conflict(&mut self, now: Duration, ticket: Ticket) {
        self.edits.record_conflict(ticket);
        self.reschedule_change(now, ticket);
        self.actions.push(Action::ReadRecords);
    }

    fn handle_write_unknown(&mut self, now: Duration, ticket: Ticket) {
        self.edits.record_unknown(now, ticket);
        self.reschedule_change(now, ticket);
        self.actions.push(Action::ReadRecords);
    }
}

/// Returns the update that a successful write amounts to. It leaves no gap, as the store compared
/// `head` with the writer's revision.
fn update_of(write: &Write, revision: u64) -> Update {
    let record = Record { key: write.key.clone(), revision, value: write.value.clone() };
    Update { since: write.expected_head, through: revision, records: vec![record] }
}
