//! Changes of the store that one host asks for and passes on to others.
//!
//! [`marjorampick_core::steering::relay`] decides who asks whom and when. A question says up to which
//! revision its sender has all changes, so that an answer needs no state of its own at the relay: it holds
//! what the store reports after that revision.

use std::{
    cell::{Cell, RefCell},
    io::{self, Read as _},
    net::SocketAddr,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use marjorampick_core::steering::history::Era;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    clock,
    store::{Change, Item},
};

/// Most questions that wait for the next call of the store; further ones are dropped.
const MAX_QUESTIONS: usize = 1024;

/// Time for which a question waits for the next call of the store. Its sender asks others meanwhile, and
/// after an outage all of them would answer with the same changes.
const MAX_QUESTION_AGE: Duration = Duration::from_secs(2);

/// Most answers that wait until the feed applies them; further ones are dropped.
const MAX_ANSWERS: usize = 16;

/// Revisions by which the sender of a question may be behind. One that is further behind asks the store.
const MAX_LAG: u64 = 500;

/// Revisions of the store that may come without a change, such as those of leases.
const MAX_REVISIONS_WITHOUT_CHANGE: u64 = 1000;

/// Largest decompressed payload, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 4 * 1024 * 1024;

/// Asks for the changes of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Random id. Its name on the wire is that of earlier versions, whose relays repeat any number.
    #[serde(rename = "asked_at")]
    pub id: u64,
    /// Revision up to which that host has all changes.
    pub revision: u64,
    /// Era of that revision; untold by earlier versions.
    #[serde(default, skip_serializing_if = "Era::is_untold")]
    pub era: Era,
}

/// Answers a question. The changes follow as the payload of the message, see [`encode`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// [`Question::id`] of the question.
    #[serde(rename = "asked_at")]
    pub id: u64,
    /// [`Question::revision`] of the question.
    pub after: u64,
    /// Revision up to which the changes are complete.
    pub until: u64,
    /// Era of the changes; untold by earlier versions.
    #[serde(default, skip_serializing_if = "Era::is_untold")]
    pub era: Era,
}

/// Change of one key in a payload.
#[derive(Serialize, Deserialize)]
struct WireChange {
    key: String,
    revision: u64,
    /// Value that is valid UTF-8, which compresses better than with Base64; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    /// Any other value, Base64-encoded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bytes: Option<String>,
}

impl From<&Change> for WireChange {
    fn from(change: &Change) -> Self {
        let (key, revision) = (change.key().to_owned(), change.revision());
        let (text, bytes) = match change {
            Change::Written(item) => match String::from_utf8(item.value.clone()) {
                Ok(text) => (Some(text), None),
                Err(error) => (None, Some(STANDARD.encode(error.as_bytes()))),
            },
            Change::Removed { .. } => (None, None),
        };
        Self { key, revision, text, bytes }
    }
}

impl WireChange {
    /// The change. An invalid value becomes an empty one, which no kind of entry accepts.
    fn into_change(self) -> Change {
        let Self { key, revision, text, bytes } = self;
        let value = match (text, bytes) {
            (Some(text), _) => text.into_bytes(),
            (None, Some(bytes)) => STANDARD.decode(bytes).unwrap_or_default(),
            (None, None) => return Change::Removed { key, revision },
        };
        Change::Written(Item { key, value, revision })
    }
}

/// Encodes the changes after a revision as compressed JSON. A large configuration would take a slow link
/// of the relay for a second otherwise.
pub fn encode(changes: &[Change], after: u64) -> io::Result<Vec<u8>> {
    let later = changes.iter().filter(|change| change.revision() > after);
    let wire: Vec<WireChange> = later.map(WireChange::from).collect();
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, &wire)?;
    encoder.finish()
}

/// Decodes what [`encode`] returned; `None` if it is malformed or too long.
pub fn decode(payload: &[u8]) -> Option<Vec<Change>> {
    let reader = ZlibDecoder::new(payload).take(MAX_PAYLOAD_BYTES);
    let wire: Vec<WireChange> = serde_json::from_reader(io::BufReader::new(reader)).ok()?;
    Some(wire.into_iter().map(WireChange::into_change).collect())
}

/// Answer of another host.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) sender: SocketAddr,
    pub(crate) answer: Answer,
    pub(crate) changes: Vec<Change>,
}

/// Question of this host that has no answer yet.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) question: Question,
    /// Address of the host that was asked.
    pub(super) relay: SocketAddr,
    pub(super) asked_at: Duration,
}

impl Outstanding {
    /// Whether an answer belongs to this question.
    pub(super) fn is_answered_by(&self, received: &Received) -> bool {
        let Received { sender, answer, .. } = received;
        self.relay == *sender
            && self.question.id == answer.id
            && self.question.revision == answer.after
    }
}

impl Received {
    /// Whether the store can have reached the revision up to which the changes are complete: it counts
    /// one revision for each change.
    pub(super) fn is_plausible(&self) -> bool {
        let last = self.changes.iter().map(Change::revision).fold(self.answer.after, u64::max);
        self.answer.until <= last.saturating_add(MAX_REVISIONS_WITHOUT_CHANGE)
    }
}

/// Question of another host that waits for an answer.
#[derive(Debug)]
struct Waiting {
    sender: SocketAddr,
    question: Question,
    since: Duration,
}

/// Messages of other hosts about changes of the store, until the feed takes them.
#[derive(Debug, Default)]
pub struct Inbox {
    questions: RefCell<Vec<Waiting>>,
    answers: RefCell<Vec<Received>>,
    /// When the last question arrived.
    asked_at: Cell<Option<Duration>>,
    arrived: Notify,
}

impl Inbox {
    /// Adds a question, which replaces an earlier one of the same host.
    pub(crate) fn add_question(&self, question: Question, sender: SocketAddr) {
        let mut questions = self.questions.borrow_mut();
        let now = clock::now();
        questions.retain(|other| other.sender != sender);
        if questions.len() < MAX_QUESTIONS {
            questions.push(Waiting { sender, question, since: now });
        }
        self.asked_at.set(Some(now));
        self.arrived.notify_one();
    }

    /// Adds an answer.
    pub(crate) fn add_answer(&self, received: Received) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() < MAX_ANSWERS {
            answers.push(received);
        }
        self.arrived.notify_one();
    }

    /// Wakes the feed.
    pub(super) fn wake(&self) {
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

    /// Takes the questions of hosts that have most changes up to `revision` of `era`, and still wait.
    pub(super) fn take_questions(&self, era: Era, revision: u64) -> Vec<(SocketAddr, Question)> {
        let oldest = clock::now().saturating_sub(MAX_QUESTION_AGE);
        let is_answerable = |waiting: &Waiting| {
            let asked = &waiting.question;
            // An earlier version asks without an era.
            let is_same_era = asked.era == era || asked.era.is_untold();
            let is_recent = asked.revision.saturating_add(MAX_LAG) >= revision;
            waiting.since >= oldest && is_same_era && is_recent
        };
        let waiting = self.questions.take().into_iter().filter(is_answerable);
        waiting.map(|waiting| (waiting.sender, waiting.question)).collect()
    }

    /// Takes the answers.
    pub(super) fn take_answers(&self) -> Vec<Received> {
        self.answers.take()
    }

    /// Waits until a message arrives.
    pub(super) async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
