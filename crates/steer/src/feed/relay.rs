//! Changes of the store that one host asks for and passes on to others.
//!
//! [`marjorampick_core::steering::relay`] decides who asks whom and when. A question says up to which
//! revision its sender has all changes, and an answer holds those after it ([`super::recent`]). Each message
//! also tells which configuration its sender has in force.

use std::{
    cell::{Cell, RefCell},
    io::{self, Read as _},
    net::SocketAddr,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use flate2::{Compression, bufread::ZlibDecoder, write::ZlibEncoder};
use marjorampick_core::steering::history::Era;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::parts::{Assembly, Holding, MAX_PARTS, Name, Part};
use crate::{
    clock,
    store::{Change, Item},
};

/// Most questions that wait for the next call of the store; further ones are dropped.
const MAX_QUESTIONS: usize = 1024;

/// Time for which a question waits for the next call of the store. Its sender asks others meanwhile, and
/// after an outage all of them would answer with the same changes.
pub(super) const MAX_QUESTION_AGE: Duration = Duration::from_secs(2);

/// Most answers, and parts of them, that wait until the feed applies them; further ones are dropped.
const MAX_ANSWERS: usize = 2 * MAX_PARTS;

/// Revisions of the store that may come without a change, such as those of leases.
pub(super) const MAX_REVISIONS_WITHOUT_CHANGE: u64 = 1000;

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
    /// Version of the configuration in force; 0 without one, and of earlier versions.
    #[serde(default)]
    pub plan: u64,
    /// Whether that host takes answers in parts, payloads of several streams, and [`Decline`]; earlier
    /// versions do not.
    #[serde(default)]
    pub takes_parts: bool,
    /// What that host has of the configuration, which it takes as an answer of its own; `None` of earlier
    /// versions, which take it together with the other changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Holding>,
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
    /// Version of the configuration in force; 0 without one, and of earlier versions.
    #[serde(default)]
    pub plan: u64,
    /// Whether the payload is the latest configuration alone. The changes are then complete up to
    /// [`Self::after`] only, and the answer says nothing of what the store holds.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_plan_alone: bool,
    /// Name of that configuration; `None` for earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Name>,
    /// The configuration that the payload lacks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub apart: Option<Apart>,
    /// Which part of the payload follows; `None` if all of it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Part>,
}

/// A configuration that is sent as an answer of its own. The other changes are complete up to
/// [`Answer::until`] without it, and hold what follows as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apart {
    /// Which one.
    pub configuration: Name,
    /// Revision up to which the changes are complete together with it.
    pub until: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Tells the sender of a question that it gets no changes. It says nothing of what the store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decline {
    /// [`Question::id`] of the question.
    pub id: u64,
    /// Version of the configuration in force; 0 without one.
    pub plan: u64,
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

/// Encodes changes as compressed JSON. A large configuration would take a slow link of the relay for a second
/// otherwise.
pub fn encode<'a>(changes: impl IntoIterator<Item = &'a Change>) -> io::Result<Vec<u8>> {
    let wire: Vec<WireChange> = changes.into_iter().map(WireChange::from).collect();
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, &wire)?;
    encoder.finish()
}

/// Decodes what [`encode`] returned, once or several times one after the other; `None` if it is malformed or
/// too long. The changes are in the order of their revisions.
pub fn decode(payload: &[u8]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    let (mut rest, mut allowed_bytes) = (payload, MAX_PAYLOAD_BYTES);
    loop {
        let mut decoder = ZlibDecoder::new(rest);
        let reader = io::BufReader::new(decoder.by_ref().take(allowed_bytes));
        let wire: Vec<WireChange> = serde_json::from_reader(reader).ok()?;
        changes.extend(wire.into_iter().map(WireChange::into_change));
        allowed_bytes = allowed_bytes.saturating_sub(decoder.total_out());
        rest = rest.get(usize::try_from(decoder.total_in()).ok()?..)?;
        if rest.is_empty() {
            break;
        }
    }
    changes.sort_by_key(Change::revision);
    Some(changes)
}

/// Answer of another host, or a part of it.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) sender: SocketAddr,
    pub(crate) answer: Answer,
    pub(crate) payload: Vec<u8>,
}

/// Question of this host that has no answer yet.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) question: Question,
    /// Address of the host that was asked.
    pub(super) relay: SocketAddr,
    pub(super) asked_at: Duration,
    /// Parts of the answer that have arrived.
    pub(super) assembly: Assembly,
    /// An answer that waits for its configuration, and its changes.
    pub(super) waiting: Option<(Answer, Vec<Change>)>,
}

impl Outstanding {
    /// Whether an answer belongs to this question.
    pub(super) fn is_answered_by(&self, received: &Received) -> bool {
        let Received { sender, answer, .. } = received;
        self.relay == *sender
            && self.question.id == answer.id
            && self.question.revision == answer.after
    }

    /// Whether this question was declined.
    pub(super) fn is_declined_by(&self, sender: SocketAddr, decline: &Decline) -> bool {
        self.relay == sender && self.question.id == decline.id
    }
}

impl Answer {
    /// Whether the store can have reached the revisions up to which these changes are complete: it counts
    /// one revision for each change.
    pub(super) fn is_plausible(&self, changes: &[Change]) -> bool {
        let last = changes.iter().map(Change::revision).fold(self.after, u64::max);
        let believed = last.max(self.until).saturating_add(MAX_REVISIONS_WITHOUT_CHANGE);
        self.until <= last.saturating_add(MAX_REVISIONS_WITHOUT_CHANGE)
            && self.apart.as_ref().is_none_or(|apart| apart.until <= believed)
    }

    /// The answer together with the configuration that it lacks.
    pub(super) fn completed(self) -> Self {
        let until = self.apart.as_ref().map_or(self.until, |apart| apart.until);
        Self { until, apart: None, ..self }
    }
}

/// Question of another host that waits for an answer.
#[derive(Debug)]
struct Waiting {
    sender: SocketAddr,
    question: Question,
    since: Duration,
    /// Whether its sender was told to ask another host.
    is_declined: bool,
}

/// Messages of other hosts about changes of the store, until the feed takes them.
#[derive(Debug, Default)]
pub struct Inbox {
    questions: RefCell<Vec<Waiting>>,
    answers: RefCell<Vec<Received>>,
    declines: RefCell<Vec<(SocketAddr, Decline)>>,
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
            questions.push(Waiting { sender, question, since: now, is_declined: false });
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

    /// Adds a message that declines a question.
    pub(crate) fn add_decline(&self, sender: SocketAddr, decline: Decline) {
        let mut declines = self.declines.borrow_mut();
        if declines.len() < MAX_ANSWERS {
            declines.push((sender, decline));
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

    /// Takes the questions of hosts that still wait.
    pub(super) fn take_questions(&self) -> Vec<(SocketAddr, Question)> {
        let oldest = clock::now().saturating_sub(MAX_QUESTION_AGE);
        let waiting = self.questions.take().into_iter().filter(|waiting| waiting.since >= oldest);
        waiting.map(|waiting| (waiting.sender, waiting.question)).collect()
    }

    /// Questions that have not been declined yet. They go on waiting for an answer.
    pub(super) fn decline_questions(&self) -> Vec<(SocketAddr, Question)> {
        let mut questions = self.questions.borrow_mut();
        let undeclined = questions.iter_mut().filter(|waiting| !waiting.is_declined);
        let declined = undeclined.map(|waiting| {
            waiting.is_declined = true;
            (waiting.sender, waiting.question.clone())
        });
        declined.collect()
    }

    /// Takes the answers.
    pub(super) fn take_answers(&self) -> Vec<Received> {
        self.answers.take()
    }

    /// Takes the messages that decline questions of this host.
    pub(super) fn take_declines(&self) -> Vec<(SocketAddr, Decline)> {
        self.declines.take()
    }

    /// Waits until a message arrives.
    pub(super) async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
