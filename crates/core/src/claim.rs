//! Claims: a request with an idempotency key runs at most once.
//!
//! See docs/design.md §8 and, for the protocol, [`participant`].

use std::sync::Arc;

mod handover;
mod history;
mod holder;
mod membership;
mod owner;
pub mod participant;
mod records;

#[cfg(test)]
mod tests;

pub use membership::{Epoch, Membership};
pub use participant::Participant;

/// Name of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// Service that runs the request.
    pub service: Arc<str>,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: Arc<str>,
}

/// Answer of a backend server, kept so that a repeated request gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers that belong to the answer itself.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body, at most [`crate::constants::CLAIM_BODY_LIMIT`] bytes.
    pub body: Arc<[u8]>,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The request may be running at a backend server.
    Running,
    /// The request ran and this is its answer.
    Done(Outcome),
    /// The request ran, but its answer is too large to keep.
    DoneWithoutAnswer,
    /// Whether the request ran cannot be told.
    Unknown,
    /// No byte of the request left for a backend server; the name may be granted again. The record
    /// stays, so that an older copy of it cannot come back as running.
    Dropped,
}

/// A claim as its owner and its backup hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the claim.
    pub name: Name,
    /// Hash of method, path and body headers; a repeated request must have the same one.
    pub fingerprint: u64,
    /// Host that forwards the request.
    pub holder: Arc<str>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Number of the holder's question; with holder and incarnation it identifies the claim.
    pub id: u64,
    /// Revision of the member table under which the owner recorded the claim.
    pub revision: u64,
    /// Number of the record at that owner. Of two records of one name, the one with the larger
    /// revision and number is the later one, as a name has one owner under each table.
    pub sequence: u64,
    /// State of the claim.
    pub state: State,
    /// Time since the state last changed, in milliseconds, when the record was sent.
    pub age_ms: u64,
}

/// Question to the owner whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the question, unique for the asking incarnation.
    pub id: u64,
    /// Name of the claim.
    pub name: Name,
    /// See [`Record::fingerprint`].
    pub fingerprint: u64,
    /// Revision of the asking host's member table.
    pub revision: u64,
}

/// What the owner answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent; owner and backup have recorded it.
    Granted,
    /// The same request is running.
    Running,
    /// The request ran before.
    Done(Outcome),
    /// The request ran before, but its answer was not kept.
    DoneWithoutAnswer,
    /// Whether the request ran cannot be told.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The owner cannot answer now; nothing was recorded for this question.
    Unavailable,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Number of the question.
    pub id: u64,
    /// The owner's answer.
    pub verdict: Verdict,
}

/// Record that the owner sends to the backup before it grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Number of the copy, unique for the owner's incarnation.
    pub id: u64,
    /// The record to keep.
    pub record: Record,
}

/// Result of a request, as the request path reports it to its own host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Name of the claim.
    pub name: Name,
    /// Final state; `None` when no byte left for a backend server, so that the claim is dropped.
    pub state: Option<State>,
}

/// Result of a request, sent by its holder to owner and backup until both have answered.
///
/// The sender's name and incarnation and `id` identify the claim, so that a late message cannot end
/// a later claim of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Number of the holder's question.
    pub id: u64,
    /// Name of the claim.
    pub name: Name,
    /// Final state.
    pub state: State,
}

/// Records for the new holders after a change of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Number of the message, unique for the sender's incarnation.
    pub id: u64,
    /// Revision of the change of members.
    pub revision: u64,
    /// Records whose new pair contains the receiver.
    pub records: Vec<Record>,
    /// Whether the sender has sent everything for this revision.
    pub complete: bool,
    /// Revisions of the member tables under which the sender had received every record of its own.
    pub ready_revisions: Vec<u64>,
}
