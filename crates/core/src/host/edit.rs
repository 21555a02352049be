//! Operators' edits: from the check to the moment at which more than half of the members have them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use super::{
    Host,
    event::{Action, Edit, EditOutcome, Ticket, Write},
};
use crate::{
    catalog::{Catalog, Record},
    constants::{DOCUMENT_LIMIT, EDIT_QUEUE_LENGTH, IN_FORCE_BOUND, WRITE_RETRY_INTERVAL},
    document::Document,
    finding::Findings,
};

/// Prefix of the keys of documents.
pub const DOCUMENT_KEY_PREFIX: &str = "documents/";

/// Start of the last line of a stored document. The line names the edit, so that a writer whose
/// answer was lost finds its own write.
const MARK: &str = "# marjorampick: edit ";

/// The text of a stored document as the operator wrote it.
pub fn operator_text(value: &str) -> &str {
    let line = value.trim_end_matches('\n').rfind('\n').map_or(0, |at| at + 1);
    if value[line..].starts_with(MARK) { &value[..line] } else { value }
}

/// The stored form of an edit's text. A removed document stays empty.
fn stored(edit: &Edit) -> Arc<str> {
    let text = operator_text(&edit.text);
    if text.is_empty() {
        return Arc::default();
    }
    let end = if text.ends_with('\n') { "" } else { "\n" };
    Arc::from(format!("{text}{end}{}", mark(edit.id, edit.base_revision)))
}

fn mark(id: u64, base: u64) -> String {
    format!("{MARK}{id:016x} of revision {base}\n")
}

/// The edit's id and base in a stored document.
fn marked(value: &str) -> Option<(u64, u64)> {
    let mark = value[operator_text(value).len()..].strip_prefix(MARK)?.trim_end();
    let (id, base) = mark.split_once(" of revision ")?;
    Some((u64::from_str_radix(id, 16).ok()?, base.parse().ok()?))
}

/// Edits that wait, the one that is being written, and those that wait to be held.
#[derive(Debug, Default)]
pub(super) struct Edits {
    queue: VecDeque<Active>,
    active: Option<Active>,
    written: Vec<WrittenEdit>,
}

/// An edit on its way to the store.
#[derive(Clone, Debug)]
struct Active {
    ticket: Ticket,
    edit: Edit,
    value: Arc<str>,
    deadline: Duration,
    /// The last attempt; a write with the same content may be repeated, as the store compares `head`.
    attempt: Option<Attempt>,
    /// When to read or write again.
    retry: Duration,
}

/// A write and its repetitions.
#[derive(Clone, Debug)]
struct Attempt {
    ticket: Ticket,
    write: Write,
    /// Whether the answer to the last repetition is still to come.
    awaited: bool,
    /// Whether any repetition ended without an answer.
    uncertain: bool,
}

#[derive(Clone, Debug)]
struct WrittenEdit {
    ticket: Ticket,
    revision: u64,
    deadline: Duration,
}

/// What to do next with the active edit.
enum Step {
    Wait,
    Read,
    Write(Write),
    Written(u64),
    End(EditOutcome),
}

impl Edits {
    /// Ends the write with this ticket, which took effect.
    pub(super) fn done(&mut self, ticket: Ticket, revision: u64) -> Option<Write> {
        let attempt = self.attempt_mut(ticket)?.clone();
        self.active_written(revision);
        Some(attempt.write)
    }

    /// Notes that the write with this ticket was refused.
    pub(super) fn refused(&mut self, ticket: Ticket) {
        if let Some(attempt) = self.attempt_mut(ticket) {
            attempt.awaited = false;
        }
    }

    /// Notes that the write with this ticket may or may not have taken effect.
    pub(super) fn unanswered(&mut self, now: Duration, ticket: Ticket) {
        let Some(attempt) = self.attempt_mut(ticket) else {
            return;
        };
        attempt.awaited = false;
        attempt.uncertain = true;
        if let Some(active) = &mut self.active {
            active.retry = now + WRITE_RETRY_INTERVAL;
        }
    }

    fn attempt_mut(&mut self, ticket: Ticket) -> Option<&mut Attempt> {
        let attempt = self.active.as_mut()?.attempt.as_mut()?;
        (attempt.ticket == ticket).then_some(attempt)
    }

    fn active_written(&mut self, revision: u64) {
        if let Some(active) = self.active.take() {
            self.written.push(WrittenEdit {
                ticket: active.ticket,
                revision,
                deadline: active.deadline,
            });
        }
    }
}

impl Active {
    fn step(&mut self, now: Duration, catalog: &Catalog, current: bool) -> Step {
        let record = catalog.record(&self.key());
        if let Some(revision) = self.own_write(record) {
            return Step::Written(revision);
        }
        if now >= self.deadline {
            return Step::End(self.overdue());
        }
        match self.attempt.clone() {
            Some(attempt) if attempt.awaited => Step::Wait,
            Some(attempt) if catalog.revision() <= attempt.write.expected_head => {
                self.again(now, attempt)
            }
            Some(attempt) if attempt.uncertain => self.settle(now, catalog, current, &attempt),
            _ => self.first(now, catalog, current),
        }
    }

    fn overdue(&self) -> EditOutcome {
        let attempt = self.attempt.as_ref();
        if attempt.is_some_and(|attempt| attempt.awaited || attempt.uncertain) {
            EditOutcome::Unknown
        } else {
            EditOutcome::Unavailable
        }
    }

    /// The store's chain is not known beyond the attempt.
    fn again(&mut self, now: Duration, attempt: Attempt) -> Step {
        if now < self.retry {
            return Step::Wait;
        }
        self.retry = now + WRITE_RETRY_INTERVAL;
        if attempt.uncertain { Step::Write(attempt.write) } else { Step::Read }
    }

    /// The chain went past an attempt whose answer is unknown, so that the attempt cannot take effect
    /// any more unless it already has.
    fn settle(&mut self, now: Duration, catalog: &Catalog, current: bool, last: &Attempt) -> Step {
        let record = catalog.record(&self.key());
        let Some(other) = record.filter(|record| record.revision > last.write.expected_head) else {
            self.attempt = None;
            return self.first(now, catalog, current);
        };
        let revision = other.revision;
        let beaten = marked(&other.value).is_some_and(|(_, base)| base == self.edit.base_revision);
        Step::End(if beaten { EditOutcome::Conflict { revision } } else { EditOutcome::Unknown })
    }

    fn first(&mut self, now: Duration, catalog: &Catalog, current: bool) -> Step {
        if !current {
            return Step::End(EditOutcome::Unavailable);
        }
        let record = catalog.record(&self.key());
        let revision = record.map_or(0, |record| record.revision);
        let removed = record.is_none_or(|record| record.value.is_empty());
        let new = self.edit.base_revision == 0 && removed;
        let pointless = removed && self.value.is_empty();
        if self.edit.base_revision > revision {
            return self.read(now);
        }
        if (self.edit.base_revision < revision && !new) || pointless {
            return Step::End(EditOutcome::Conflict { revision });
        }
        Step::Write(Write {
            expected_head: catalog.revision(),
            key: self.key(),
            value: self.value.clone(),
            id: self.edit.id,
        })
    }

    /// The operator knows a larger revision than the host.
    fn read(&mut self, now: Duration) -> Step {
        if now < self.retry {
            return Step::Wait;
        }
        self.retry = now + WRITE_RETRY_INTERVAL;
        Step::Read
    }

    /// Revision of the own write if the catalog holds it. A removal carries no id: whoever removed
    /// the document, it is removed as the operator wanted.
    fn own_write(&self, record: Option<&Record>) -> Option<u64> {
        let record = record?;
        let attempt = self.attempt.as_ref();
        let removed = attempt.is_some_and(|a| {
            self.value.is_empty()
                && record.value.is_empty()
                && record.revision > a.write.expected_head
        });
        let own = marked(&record.value).is_some_and(|(id, _)| id == self.edit.id);
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
    pub(super) fn edit(&mut self, now: Duration, ticket: Ticket, edit: Edit) {
        let findings = check(&edit);
        if !findings.is_empty() {
            return self.edited(ticket, EditOutcome::Invalid(findings));
        }
        if !self.is_current(now) || self.edits.queue.len() >= EDIT_QUEUE_LENGTH {
            return self.edited(ticket, EditOutcome::Unavailable);
        }
        self.edits.queue.push_back(Active {
            ticket,
            value: stored(&edit),
            edit,
            deadline: now + IN_FORCE_BOUND,
            attempt: None,
            retry: now,
        });
    }

    /// Advances the edits as far as possible.
    pub(super) fn drive_edits(&mut self, now: Duration) {
        while self.drive_edit(now) {}
        let held = self.held.revision();
        let ended = |edit: &WrittenEdit| edit.revision <= held || now >= edit.deadline;
        let (ended, waiting) = self.edits.written.drain(..).partition(ended);
        self.edits.written = waiting;
        for WrittenEdit { ticket, revision, .. } in ended {
            let edited = if revision <= held {
                EditOutcome::Accepted { revision }
            } else {
                EditOutcome::NotInForce { revision }
            };
            self.edited(ticket, edited);
        }
    }

    /// Takes one step; answers whether another may follow at once.
    fn drive_edit(&mut self, now: Duration) -> bool {
        let current = self.is_current(now);
        let Some(mut active) = self.edits.active.take().or_else(|| self.edits.queue.pop_front())
        else {
            return false;
        };
        let step = active.step(now, &self.catalog, current);
        match step {
            Step::End(edited) => {
                self.edited(active.ticket, edited);
                return true;
            }
            Step::Written(revision) => {
                self.edits.active = Some(active);
                self.edits.active_written(revision);
                // The answers show who has it by now.
                self.send_heartbeats(now);
                return true;
            }
            Step::Write(write) => active.attempt = Some(self.attempt(write, active.is_uncertain())),
            Step::Read => self.actions.push(Action::ReadRecords),
            Step::Wait => {}
        }
        self.edits.active = Some(active);
        false
    }

    fn attempt(&mut self, write: Write, uncertain: bool) -> Attempt {
        Attempt { ticket: self.write(write.clone()), write, awaited: true, uncertain }
    }

    fn edited(&mut self, ticket: Ticket, edited: EditOutcome) {
        self.actions.push(Action::ReportEdit { ticket, outcome: edited });
    }
}

/// Checks an edit before anything is written.
fn check(edit: &Edit) -> Findings {
    let text = operator_text(&edit.text);
    let mut findings = Findings::default();
    if text.is_empty() {
        return findings;
    }
    if text.len() > DOCUMENT_LIMIT {
        let fault = format!("has {} bytes, expected at most {DOCUMENT_LIMIT}", text.len());
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
