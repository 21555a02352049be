//! Inputs ([`Event`]) and outputs ([`Action`]) of the state machine of an entry host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{budget, catalog, claim, message};

/// Correlation identifier that matches an answer to its request. Whoever sends the request chooses
/// it; it is unique within one incarnation.
pub type Ticket = u64;

/// Input of a host, from peers, the store, the platform or the request path.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message from another host arrived.
    MessageReceived(message::Envelope),
    /// The store answered a read of the `head` key.
    HeadRead {
        /// When the read was sent, on the host's clock.
        sent: Duration,
        /// Revision of `head`; 0 if it does not exist yet.
        revision: u64,
    },
    /// The store answered a read of the records, or a watch reported changed records.
    RecordsUpdated(catalog::Update),
    /// A write to the store ended.
    WriteEnded {
        /// Ticket of the write.
        ticket: Ticket,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The platform's list of hosts was read.
    HostsListed(Vec<ListedHost>),
    /// An operator requests an edit of a document.
    Edit {
        /// Ticket for [`Action::ReportEdit`].
        ticket: Ticket,
        /// The edit.
        edit: Edit,
    },
    /// The request path needs more tokens or slots of a budget than this host has.
    TokensNeeded {
        /// Budget that is short of tokens.
        budget: budget::Budget,
        /// Tokens or slots wanted.
        wanted: u64,
    },
    /// The request path asks whether a request may run.
    Claim {
        /// Ticket for [`Action::ReportClaim`].
        ticket: Ticket,
        /// Name of the claim.
        name: claim::Name,
        /// See [`claim::Record::fingerprint`].
        fingerprint: u64,
    },
    /// A request that had been granted a claim ended.
    RequestCompleted(claim::Completion),
    /// The process was asked to stop. The host tells its peers and stops lending.
    Drain,
    /// Every open request has ended after [`Event::Drain`]. The host leaves the members and then
    /// returns [`Action::Stop`].
    Leave,
    /// Actual region weights of this host, which it sends to peers that start.
    OwnWeights(Vec<message::ServiceWeights>),
}

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// Revision of the write.
        revision: u64,
    },
    /// `head` no longer had the expected revision; nothing was changed.
    Conflict,
    /// No answer came, so the write may or may not take effect.
    Unknown,
}

/// Entry of the platform's list of hosts. The list may lag behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the entry host or backend server instance.
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
    /// Revision of the document that the operator changed; 0 for a new document.
    pub base_revision: u64,
    /// Text of the new document; empty to remove the document.
    pub text: Arc<str>,
    /// Random number by which a writer recognises its own write.
    pub id: u64,
}

/// Outcome of an edit, as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit is stored and held by more than half of the members.
    Accepted {
        /// Revision of the document.
        revision: u64,
    },
    /// The edit is stored, but was not held by more than half of the members in time.
    NotInForce {
        /// Revision of the document.
        revision: u64,
    },
    /// The document has changed since the base revision of the edit.
    Conflict {
        /// Current revision of the document.
        revision: u64,
    },
    /// The document has faults; nothing was written.
    Invalid(crate::finding::Findings),
    /// The host is not current or the store is unavailable; nothing was written.
    Unavailable,
    /// The store did not answer, so the edit may or may not take effect.
    Unknown,
}

/// A write of one record, conditional on the revision of `head`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Revision that `head` must have; 0 if it must not exist.
    pub expected_head: u64,
    /// Key of the record below the prefix.
    pub key: Arc<str>,
    /// Value of the record.
    pub value: Arc<str>,
    /// Random number stored as the value of `head`, by which a writer recognises its own write.
    pub id: u64,
}

/// Output of a host, which its caller carries out.
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
    /// Read all records; the answer is [`Event::RecordsUpdated`].
    ReadRecords,
    /// Write to the store; the answer is [`Event::WriteEnded`].
    Write {
        /// Ticket for the answer.
        ticket: Ticket,
        /// The write.
        write: Write,
    },
    /// Report the outcome of an edit to the operator.
    ReportEdit {
        /// Ticket of [`Event::Edit`].
        ticket: Ticket,
        /// Outcome of the edit.
        outcome: EditOutcome,
    },
    /// Report the verdict on a claim to the request path.
    ReportClaim {
        /// Ticket of [`Event::Claim`].
        ticket: Ticket,
        /// Verdict on the claim.
        verdict: claim::Verdict,
    },
    /// Wake the requests that wait for tokens of this budget: a loan arrived or was denied, or no
    /// peer can lend.
    WakeBorrowers(budget::Budget),
    /// Build a new snapshot for the request path: documents or members have changed.
    PublishSnapshot,
    /// Start from these actual region weights of a peer, which were requested at the start.
    AdoptWeights(Vec<message::ServiceWeights>),
    /// End the process: the host has left the members, or another incarnation has replaced it.
    Stop,
}
