//! Messages that entry hosts send to each other.

use std::{net::SocketAddr, sync::Arc};

use crate::{budget, catalog, claim, member};

/// Host that sent a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Name of the host.
    pub host: Arc<str>,
    /// Random number that the process draws at its start. Distinguishes it from earlier and later
    /// processes on the same host.
    pub incarnation: u64,
    /// Address of the sender's peer listener, to which replies are sent.
    pub peer: SocketAddr,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Sender of the message.
    pub from: Sender,
    /// The message itself.
    pub message: Message,
}

/// Content of a message. Any message may be lost, delayed or delivered twice.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// See [`member::Heartbeat`].
    Heartbeat(member::Heartbeat),
    /// See [`member::HeartbeatReply`].
    HeartbeatReply(member::HeartbeatReply),
    /// Requests an update of the catalog; a [`Self::Update`] answers it.
    UpdateRequest {
        /// Revision of the requesting host's catalog.
        since: u64,
    },
    /// See [`catalog::Update`].
    Update(catalog::Update),
    /// See [`budget::LoanRequest`].
    LoanRequest(budget::LoanRequest),
    /// See [`budget::Loan`].
    Loan(budget::Loan),
    /// See [`budget::LoanReturn`].
    LoanReturn(budget::LoanReturn),
    /// See [`claim::Request`].
    ClaimRequest(claim::Request),
    /// See [`claim::Reply`].
    ClaimReply(claim::Reply),
    /// See [`claim::Replica`].
    ClaimReplica(claim::Replica),
    /// Acknowledges that the sender has stored a [`claim::Replica`], [`claim::Resolution`] or
    /// [`claim::Handover`].
    ClaimAcknowledgement {
        /// Id of the acknowledged message.
        id: u64,
    },
    /// See [`claim::Resolution`].
    ClaimResolution(claim::Resolution),
    /// See [`claim::Handover`].
    ClaimHandover(claim::Handover),
    /// Requests the actual region weights of a peer; [`Self::Weights`] answers it.
    WeightsRequest,
    /// Actual region weights of the sender.
    Weights(Vec<ServiceWeights>),
}

/// Actual region weights of a service: how traffic is split now, which a shift moves step by step
/// towards the weights of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeights {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of each region and its share of the traffic, from 0 to 1.
    pub regions: Vec<(Arc<str>, f64)>,
}
