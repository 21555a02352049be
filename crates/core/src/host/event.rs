//! What a host is told and what it asks its surroundings to do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{budget, catalog, claim, message};

/// Number that ties an answer to its question within one incarnation.
pub type Ticket = u64;

/// What happened in the surroundings of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message from another host arrived.
    Received(message::Envelope),
    /// The store answered a read of the `head` key.
    HeadRead {
        /// When the read was sent, on the host's clock.
        sent: Duration,
        /// Revision of `head`; 0 when it does not exist yet.
        revision: u64,
    },
    /// The store answered a read of the records, or a watch reported them.
    Updated(catalog::Update),
    /// A write to the store ended.
    Written {
        /// Ticket of the write.
        ticket: Ticket,
        /// How it ended.
        result: Written,
    },
    /// The platform's list of hosts was read.
    Listed(Vec<Listed>),
    /// An operator edits a document.
    Edit {
        /// Ticket for [`Action::Edited`].
        ticket: Ticket,
        /// The edit.
        edit: Edit,
    },
    /// The request path lacks tokens of a budget.
    Short {
        /// Budget that lacks tokens.
        budget: budget::Budget,
        /// Tokens or slots wanted.
        wanted: u64,
    },
    /// The request path asks whether a request may run.
    Claim {
        /// Ticket for [`Action::Claimed`].
        ticket: Ticket,
        /// Name of the claim.
        name: claim::Name,
        /// See [`claim::Record::fingerprint`].
        fingerprint: u64,
    },
    /// A claimed request ended.
    Completed(claim::Completion),
    /// The process was asked to stop: the host tells its peers and lends nothing more.
    Drain,
    /// Every open request has ended after [`Event::Drain`]: the host leaves the members and answers
    /// [`Action::Left`].
    Leave,
    /// The host's own actual region weights, for peers that start.
    Weights(Vec<message::ServiceWeights>),
}

/// How a write to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The write took effect at this revision.
    Done {
        /// Revision of the chain after the write.
        revision: u64,
    },
    /// Another write was first; nothing was changed.
    Conflict,
    /// No answer came, so that the write may or may not take effect.
    Unknown,
}

/// One line of the platform's list of hosts. The list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of the host or backend server instance.
    pub name: Arc<str>,
    /// Service of a backend server; `None` for an entry host.
    pub service: Option<Arc<str>>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the host.
    pub address: SocketAddr,
    /// State of the host.
    pub state: ListedState,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The host is running.
    Live,
    /// The host is about to stop.
    Leaving,
    /// The host's machine no longer runs.
    Gone,
}

/// An operator's edit of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Service of the document.
    pub service: Arc<str>,
    /// Revision of the document that the edit was made from; 0 for a new document.
    pub base: u64,
    /// Text of the new document; empty removes the document.
    pub text: Arc<str>,
    /// Random number by which a writer recognises its own write.
    pub id: u64,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edited {
    /// The edit is accepted.
    Accepted {
        /// Revision of the document.
        revision: u64,
    },
    /// The edit is in the store, but not yet held by more than half of the members.
    NotInForce {
        /// Revision of the document.
        revision: u64,
    },
    /// The document was changed since the revision that the edit was made from.
    Conflict {
        /// Revision of the document now.
        revision: u64,
    },
    /// The document has faults; nothing was written.
    Invalid(crate::finding::Findings),
    /// The host is not current or the store is away; nothing was written.
    Unavailable,
    /// No answer came from the store, so that the edit may or may not take effect.
    Unknown,
}

/// A write of one record, conditional on the revision of `head`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Revision that `head` must have; 0 when it must not exist.
    pub head: u64,
    /// Key of the record below the prefix.
    pub key: Arc<str>,
    /// Value of the record.
    pub value: Arc<str>,
    /// Random number stored as the value of `head`, by which a writer recognises its own write.
    pub id: u64,
}

/// What a host asks its surroundings to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the host whose peer listener has this address.
    Send {
        /// Address of the receiver's peer listener.
        to: SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Read `head`; the answer is [`Event::HeadRead`].
    ReadHead,
    /// Read all records; the answer is [`Event::Updated`].
    ReadRecords,
    /// Write to the store; the answer is [`Event::Written`].
    Write {
        /// Ticket for the answer.
        ticket: Ticket,
        /// The write.
        write: Write,
    },
    /// Tell the operator how the edit ended.
    Edited {
        /// Ticket of [`Event::Edit`].
        ticket: Ticket,
        /// How the edit ended.
        edited: Edited,
    },
    /// Tell the request path how its claim was answered.
    Claimed {
        /// Ticket of [`Event::Claim`].
        ticket: Ticket,
        /// The answer.
        verdict: claim::Verdict,
    },
    /// A loan for this budget arrived or was denied; wake the requests that wait for it.
    Borrowed(budget::Budget),
    /// Documents or members changed; build a new snapshot for the request path.
    Publish,
    /// A peer's actual region weights, asked for at the start.
    Weights(Vec<message::ServiceWeights>),
    /// The host has left the members, or another incarnation has taken its place; the process may end.
    Left,
}
