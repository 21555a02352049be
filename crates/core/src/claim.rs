//! Claims: a request with an idempotency key runs at most once.
//!
//! Each key has an owner and a backup among the members, which keep the deduplication record of the
//! request. The host that forwards the request is the holder of the claim. See docs/design.md §8
//! and, for the protocol, [`participant`].

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

/// Name of a claim: the idempotency key in the scope of a service and a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// Service that runs the request.
    pub service: Arc<str>,
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: Arc<str>,
}

/// Response of a backend server, kept so that a repeated request gets the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers of the response, without those of the connection.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body, at most [`crate::constants::CLAIM_BODY_LIMIT_BYTES`] bytes.
    pub body: Arc<[u8]>,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The request may be running at a backend server.
    Running,
    /// The request ran and this is its response.
    Done(Outcome),
    /// The request ran, but its response was not kept, for instance because it is too large.
    DoneWithoutAnswer,
    /// It is not known whether the request ran.
    Unknown,
    /// No byte of the request was sent to a backend server, so the name may be granted again. The
    /// record is kept, so that an older copy of it cannot restore the running claim.
    Dropped,
}

/// Deduplication record of a claim, kept by its owner and its backup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the claim.
    pub name: Name,
    /// Hash of method, path and body headers, which must be the same in a repeated request.
    pub fingerprint: u64,
    /// Host that forwards the request.
    pub holder: Arc<str>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Id of the holder's [`Request`]. Together with holder and incarnation it identifies the
    /// claim.
    pub id: u64,
    /// Revision of the member table under which the owner recorded the claim.
    pub revision: u64,
    /// Sequence number of the record at that owner. A name has one owner under each table, so of
    /// two records of a name the one with the larger revision and sequence number is the later one.
    pub sequence: u64,
    /// State of the claim.
    pub state: State,
    /// Time from the last change of the state until the record was sent, in milliseconds.
    pub age_ms: u64,
}

/// Asks the owner of a name for the claim, on behalf of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of this message, unique for the incarnation of the sender.
    pub id: u64,
    /// Name of the claim.
    pub name: Name,
    /// See [`Record::fingerprint`].
    pub fingerprint: u64,
    /// Revision of the sender's member table.
    pub revision: u64,
}

/// Decision of the owner on a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller's request may be sent; owner and backup have recorded the claim.
    Granted,
    /// The same request is running.
    Running,
    /// The request ran before, with this response.
    Done(Outcome),
    /// The request ran before, but its response was not kept.
    DoneWithoutAnswer,
    /// It is not known whether the request ran.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The owner cannot decide now, and the request holds no claim.
    Unavailable,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request.
    pub id: u64,
    /// Decision of the owner.
    pub verdict: Verdict,
}

/// Copy of a record that the owner sends to the backup before it grants the claim.
///
/// The owner sends the same message to the holder to check that a claim is still running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id of this message, unique for the incarnation of the owner.
    pub id: u64,
    /// The record to keep.
    pub record: Record,
}

/// How a granted request ended, reported by the request path to its own host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Name of the claim.
    pub name: Name,
    /// Final state, or `None` when no byte was sent to a backend server, so that the claim is
    /// dropped.
    pub state: Option<State>,
}

/// Final state of a claim, sent by its holder to owner and backup until both acknowledge it.
///
/// The claim is identified by the sender's name and incarnation and by `id`, so that a late message
/// cannot end a later claim of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Id of the holder's [`Request`].
    pub id: u64,
    /// Name of the claim.
    pub name: Name,
    /// Final state.
    pub state: State,
}

/// Records sent to their new owners and backups after a change of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Id of this message, unique for the incarnation of the sender.
    pub id: u64,
    /// Revision of the change of members.
    pub revision: u64,
    /// Records of which the receiver is owner or backup under the new table.
    pub records: Vec<Record>,
    /// Whether the sender has sent everything for this revision.
    pub complete: bool,
    /// Revisions of the member tables under which the sender had received all records of the names
    /// that it was owner or backup of.
    pub ready_revisions: Vec<u64>,
}
