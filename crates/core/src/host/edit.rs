//! Operators' edits: validated, written to the store, and accepted once more than half of the
//! members hold them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{
    Host,
    event::{Action, Edit, EditOutcome, Ticket, Write},
};
use crate::{
    catalog::{Catalog, Record},
    constants::{DOCUMENT_LIMIT_BYTES, EDIT_QUEUE_LIMIT, IN_FORCE_BOUND, WRITE_RETRY_INTERVAL},
    document::Document,
    finding::Findings,
};

/// Prefix of the record keys of documents; the service name follows.
pub const DOCUMENT_KEY_PREFIX: &str = "documents/";

/// Start of the marker, the last line of a stored document. The marker carries the id of the edit,
/// so that a writer that got no answer from the store can recognise its own write.
const MARKER_PREFIX: &str = "# marjorampick: edit ";

/// Returns the text of a stored document as the operator wrote it, without the marker.
pub fn operator_text(value: &str) -> &str {
    let line = value.trim_end_matches('\n').rfind('\n').map_or(0, |at| at + 1);
    if value[line..].starts_with(MARKER_PREFIX) { &value[..line] } else { value }
}

/// Returns the stored form of an edit: its text with a marker, or nothing for a removal.
fn stored_form(edit: &Edit) -> Arc<str> {
    let text = operator_text(&edit.text);
    if text.is_empty() {
        return Arc::default();
    }
    let end = if text.ends_with('\n') { "" } else { "\n" };
    Arc::from(format!("{text}{end}{}", marker(edit.id, edit.base_revision)))
}

fn marker(id: u64, base: u64) -> String {
    format!("{MARKER_PREFIX}{id:016x} of revision {base}\n")
}

/// Returns the edit's id and base revision from the marker of a stored document.
fn parse_marker(value: &str) -> Option<(u64, u64)> {
    let marker = value[operator_text(value).len()..].strip_prefix(MARKER_PREFIX)?.trim_end();
    let (id, base) = marker.split_once(" of revision ")?;
    Some((u64::from_str_radix(id, 16).ok()?, base.parse().ok()?))
}

/// Edits of this host. One edit at a time is written to the store.
#[derive(Debug, Default)]
pub(super) struct Edits {
    /// Edits that wait for the active one, oldest first.
    queue: VecDeque<PendingEdit>,
    /// The edit that is being written.
    active: Option<PendingEdit>,
    /// Edits in the store that are not known to be held yet.
    written: Vec<WrittenEdit>,
}

/// An edit that is queued or being written.
#[derive(Clone, Debug)]
struct PendingEdit {
    ticket: Ticket,
    edit: Edit,
    /// The stored form of the document.
    value: Arc<str>,
    /// When the edit is reported at the latest.
    deadline: Duration,
    /// The last attempt. Its write may be repeated, as the store compares `head`.
    attempt: Option<Attempt>,
    /// Earliest time of the next read or repeated write.
    retry_at: Duration,
}

/// A write, which may be sent several times.
#[derive(Clone, Debug)]
struct Attempt {
    ticket: Ticket,
    write: Write,
    /// Whether the answer to the last write is outstanding.
    awaited: bool,
    /// Whether any of the writes ended without an answer.
    uncertain: bool,
}

/// An edit that took effect in the store at `revision`.
#[derive(Clone, Debug)]
struct WrittenEdit {
    ticket: Ticket,
    revision: u64,
    deadline: Duration,
}

/// Next step of the active edit.
enum Step {
    Wait,
    Read,
    Write(Write),
    Written(u64),
    End(EditOutcome),
}

impl Edits {
    /// Records that the write with this ticket took effect, and returns it.
    pub(super) fn complete_attempt(&mut self, ticket: Ticket, revision: u64) -> Option<Write> {
        let attempt = self.attempt_mut(ticket)?.clone();
        self.move_active_to_written(revision);
        Some(attempt.write)
    }

    /// Records that the store refused the write with this ticket.
    pub(super) fn record_conflict(&mut self, ticket: Ticket) {
        if let Some(attempt) = self.attempt_mut(ticket) {
            attempt.awaited = false;
        }
    }

    /// Records that the write with this ticket may or may not have taken effect.
    pub(super) fn record_unknown(&mut self, now: Duration, ticket: Ticket) {
        let Some(attempt) = self.attempt_mut(ticket) else {
            return;
        };
        attempt.awaited = false;
        attempt.uncertain = true;
        if let Some(active) = &mut self.active {
            active.retry_at = now + WRITE_RETRY_INTERVAL;
        }
    }

    fn attempt_mut(&mut self, ticket: Ticket) -> Option<&mut Attempt> {
        let attempt = self.active.as_mut()?.attempt.as_mut()?;
        (attempt.ticket == ticket).then_some(attempt)
    }

    fn move_active_to_written(&mut self, revision: u64) {
        if let Some(active) = self.active.take() {
            self.written.push(WrittenEdit {
                ticket: active.ticket,
                revision,
                deadline: active.deadline,
            });
        }
    }
}

impl PendingEdit {
    fn next_step(&mut self, now: Duration, catalog: &Catalog, current: bool) -> Step {
        let record = catalog.record(&self.key());
        if let Some(revision) = self.own_write_revision(record) {
            return Step::Written(revision);
        }
        if now >= self.deadline {
            return Step::End(self.timeout_outcome());
        }
        match self.attempt.clone() {
            Some(attempt) if attempt.awaited => Step::Wait,
            Some(attempt) if catalog.revision() <= attempt.write.expected_head => {
                self.retry_attempt(now, attempt)
            }
            Some(attempt) if attempt.uncertain => {
                self.resolve_unknown(now, catalog, current, &attempt)
            }
            _ => self.first_attempt(now, catalog, current),
        }
    }

    /// Returns the outcome of an edit that is not known to be written at its deadline.
    fn timeout_outcome(&self) -> EditOutcome {
        let attempt = self.attempt.as_ref();
        if attempt.is_some_and(|attempt| attempt.awaited || attempt.uncertain) {
            EditOutcome::Unknown
        } else {
            EditOutcome::Unavailable
        }
    }

    /// Retries an attempt while the catalog has nothing newer: repeats a write whose outcome is
    /// unknown, and reads the records after a refused one.
    fn retry_attempt(&mut self, now: Duration, attempt: Attempt) -> Step {
        if now < self.retry_at {
            return Step::Wait;
        }
        self.retry_at = now + WRITE_RETRY_INTERVAL;
        if attempt.uncertain { Step::Write(attempt.write) } else { Step::Read }
    }

    /// Decides about an attempt with unknown outcome once the catalog has newer records. `head` has
    /// moved on, so the write cannot take effect any more, but may have done so before. If another
    /// edit of the document has the same base revision, this one did not take effect; otherwise, it
    /// may have been written and replaced since.
    fn resolve_unknown(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        current: bool,
        last: &Attempt,
    ) -> Step {
        let record = catalog.record(&self.key());
        let Some(other) = record.filter(|record| record.revision > last.write.expected_head) else {
            self.attempt = None;
            return self.first_attempt(now, catalog, current);
        };
        let revision = other.revision;
        let same_base =
            parse_marker(&other.value).is_some_and(|(_, base)| base == self.edit.base_revision);
        Step::End(if same_base { EditOutcome::Conflict { revision } } else { EditOutcome::Unknown })
    }

    /// Decides about an edit with no attempt that may still take effect.
    fn first_attempt(&mut self, now: Duration, catalog: &Catalog, current: bool) -> Step {
        if !current {
            return Step::End(EditOutcome::Unavailable);
        }
        let record = catalog.record(&self.key());
        let revision = record.map_or(0, |record| record.revision);
        let is_removed = record.is_none_or(|record| record.value.is_empty());
        let is_new = self.edit.base_revision == 0 && is_removed;
        let changes_nothing = is_removed && self.value.is_empty();
        if self.edit.base_revision > revision {
            return self.read_newer(now);
        }
        if (self.edit.base_revision < revision && !is_new) || changes_nothing {
            return Step::End(EditOutcome::Conflict { revision });
        }
        Step::Write(Write {
            expected_head: catalog.revision(),
            key: self.key(),
            value: self.value.clone(),
            id: self.edit.id,
        })
    }

    /// Reads the records, as the operator has seen a larger revision than this host.
    fn read_newer(&mut self, now: Duration) -> Step {
        if now < self.retry_at {
            return Step::Wait;
        }
        self.retry_at = now + WRITE_RETRY_INTERVAL;
        Step::Read
    }

    /// Returns the revision of this edit's own write if the catalog has it. A removed document has
    /// no marker, so a later removal by anyone counts: the document is gone as the operator wanted.
    fn own_write_revision(&self, record: Option<&Record>) -> Option<u64> {
        let record = record?;
        let attempt = self.attempt.as_ref();
        let removed = attempt.is_some_and(|a| {
            self.value.is_empty()
                && record.value.is_empty()
                && record.revision > a.write.expected_head
        });
        let own = parse_marker(&record.value).is_some_and(|(id, _)| id == self.edit.id);
        (own || removed).then_some(record.revision)
    }

    fn is_uncertain(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.uncertain)
    }

    fn key(&self) -> Arc<str> {
        Arc::from(format!("{DOCUMENT_KEY_PREFIX}{}", self.edit.service))
    }
}

impl Host {
    /// Validates an edit and queues it.
    pub(super) fn queue_edit(&mut self, now: Duration, ticket: Ticket, edit: Edit) {
        let findings = check_edit(&edit);
        if !findings.is_empty() {
            return self.report_edit(ticket, EditOutcome::Invalid(findings));
        }
        if !self.is_current(now) || self.edits.queue.len() >= EDIT_QUEUE_LIMIT {
            return self.report_edit(ticket, EditOutcome::Unavailable);
        }
        self.edits.queue.push_back(PendingEdit {
            ticket,
            value: stored_form(&edit),
            edit,
            deadline: now + IN_FORCE_BOUND,
            attempt: None,
            retry_at: now,
        });
    }

    /// Advances the edits as far as possible and reports those that are held or overdue.
    pub(super) fn advance_edits(&mut self, now: Duration) {
        while self.advance_active_edit(now) {}
        let held = self.revisions.held();
        let ended = |edit: &WrittenEdit| edit.revision <= held || now >= edit.deadline;
        let (ended, waiting) = self.edits.written.drain(..).partition(ended);
        self.edits.written = waiting;
        for WrittenEdit { ticket, revision, .. } in ended {
            let outcome = if revision <= held {
                EditOutcome::Accepted { revision }
            } else {
                EditOutcome::NotInForce { revision }
            };
            self.report_edit(ticket, outcome);
        }
    }

    /// Takes one step of the active edit. Returns whether another may follow at once.
    fn advance_active_edit(&mut self, now: Duration) -> bool {
        let current = self.is_current(now);
        let Some(mut active) = self.edits.active.take().or_else(|| self.edits.queue.pop_front())
        else {
            return false;
        };
        let step = active.next_step(now, &self.catalog, current);
        match step {
            Step::End(outcome) => {
                self.report_edit(active.ticket, outcome);
                return true;
            }
            Step::Written(revision) => {
                self.edits.active = Some(active);
                self.edits.move_active_to_written(revision);
                // The replies show which members have the change by now.
                self.send_heartbeats(now);
                return true;
            }
            Step::Write(write) => {
                active.attempt = Some(self.start_attempt(write, active.is_uncertain()));
            }
            Step::Read => self.actions.push(Action::ReadRecords),
            Step::Wait => {}
        }
        self.edits.active = Some(active);
        false
    }

    fn start_attempt(&mut self, write: Write, uncertain: bool) -> Attempt {
        Attempt { ticket: self.write(write.clone()), write, awaited: true, uncertain }
    }

    fn report_edit(&mut self, ticket: Ticket, outcome: EditOutcome) {
        self.actions.push(Action::ReportEdit { ticket, outcome });
    }
}

/// Validates an edit and returns the faults of its document.
fn check_edit(edit: &Edit) -> Findings {
    let text = operator_text(&edit.text);
    let mut findings = Findings::default();
    if text.is_empty() {
        return findings;
    }
    if text.len() > DOCUMENT_LIMIT_BYTES {
        let fault = format!("has {} bytes, expected at most {DOCUMENT_LIMIT_BYTES}", text.len());
        findings.add(text, None, "", fault);
        return findings;
    }
    match Document::parse(text) {
        Err(found) => return found,
        Ok(document) if document.service != edit.service => {
            let expected = format!("is {}, expected {}", document.service, edit.service);
            findings.add(text, None, "service", expected);
        }
        Ok(_) => {}
    }
    findings
}
