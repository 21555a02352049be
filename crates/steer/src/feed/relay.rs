//! Changes of the store that one host asks for and passes on to others.
//!
//! [`marjorampick_core::steering::relay`] decides who asks whom and when. A question says up to which
//! revision its sender has all changes, so that an answer needs no state of its own at the relay: it holds
//! what the store reports after that revision.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    clock,
    store::{Change, Item},
};

/// Most questions that wait for the next call of the store; further ones are dropped.
const MAX_QUESTIONS: usize = 1024;

/// Most answers that wait until the feed applies them; further ones are dropped.
const MAX_ANSWERS: usize = 16;

/// Revisions by which the sender of a question may be behind. One that is further behind asks the store.
const MAX_LAG: u64 = 2000;

/// Asks for the changes of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// When it was asked, in nanoseconds on the clock of the host that asks.
    pub asked_at: u64,
    /// Revision up to which that host has all changes.
    pub revision: u64,
}

/// All changes of the store after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// [`Question::asked_at`] of the question.
    pub asked_at: u64,
    /// [`Question::revision`] of the question.
    pub after: u64,
    /// Revision up to which [`Self::changes`] is complete.
    pub until: u64,
    /// Changes in the order of their revisions.
    pub changes: Vec<WireChange>,
}

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireChange {
    key: String,
    revision: u64,
    /// Base64-encoded value; absent if the key was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl From<&Change> for WireChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Written(Item { key, value, revision }) => {
                let value = Some(STANDARD.encode(value));
                Self { key: key.clone(), revision: *revision, value }
            }
            Change::Removed { key, revision } => {
                Self { key: key.clone(), revision: *revision, value: None }
            }
        }
    }
}

impl TryFrom<WireChange> for Change {
    type Error = base64::DecodeError;

    fn try_from(change: WireChange) -> Result<Self, Self::Error> {
        let WireChange { key, revision, value } = change;
        match value {
            Some(value) => {
                let value = STANDARD.decode(value)?;
                Ok(Self::Written(Item { key, value, revision }))
            }
            None => Ok(Self::Removed { key, revision }),
        }
    }
}

impl Answer {
    /// Answers a question from changes that begin at its revision or before.
    pub fn new(question: &Question, changes: &[Change], until: u64) -> Self {
        let later = changes.iter().filter(|change| change.revision() > question.revision);
        Self {
            asked_at: question.asked_at,
            after: question.revision,
            until: until.max(question.revision),
            changes: later.map(WireChange::from).collect(),
        }
    }
}

/// Messages of other hosts about changes of the store, until the feed takes them.
#[derive(Debug, Default)]
pub struct Inbox {
    questions: RefCell<Vec<(SocketAddr, Question)>>,
    answers: RefCell<Vec<Answer>>,
    /// When the last question arrived.
    asked_at: Cell<Option<Duration>>,
    arrived: Notify,
}

impl Inbox {
    /// Adds a question, which replaces an earlier one of the same host.
    pub(crate) fn add_question(&self, question: Question, sender: SocketAddr) {
        let mut questions = self.questions.borrow_mut();
        questions.retain(|(other, _)| *other != sender);
        if questions.len() < MAX_QUESTIONS {
            questions.push((sender, question));
        }
        self.asked_at.set(Some(clock::now()));
        self.arrived.notify_one();
    }

    /// Adds an answer.
    pub(crate) fn add_answer(&self, answer: Answer) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() < MAX_ANSWERS {
            answers.push(answer);
        }
        self.arrived.notify_one();
    }

    /// Whether questions wait for an answer.
    pub(super) fn has_questions(&self) -> bool {
        !self.questions.borrow().is_empty()
    }

    /// When the last question arrived; `None` without one since the last call.
    pub(super) fn take_asked_at(&self) -> Option<Duration> {
        self.asked_at.take()
    }

    /// Takes the questions of hosts that have most changes up to `revision`.
    pub(super) fn take_questions(&self, revision: u64) -> Vec<(SocketAddr, Question)> {
        let mut questions = self.questions.take();
        questions.retain(|(_, question)| question.revision + MAX_LAG >= revision);
        questions
    }

    /// Takes the answers.
    pub(super) fn take_answers(&self) -> Vec<Answer> {
        self.answers.take()
    }

    /// Waits until a message arrives.
    pub(super) async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
