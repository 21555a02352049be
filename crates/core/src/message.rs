//! Messages between hosts.

use std::{net::SocketAddr, sync::Arc};

use crate::{budget, catalog, claim, member};

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Name of the host.
    pub host: Arc<str>,
    /// Random number of one start of the process.
    pub incarnation: u64,
    /// Address of the sender's peer listener, to which answers go.
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

/// Messages between hosts. Each may be lost, delayed or delivered twice.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// See [`member::Heartbeat`].
    Heartbeat(member::Heartbeat),
    /// See [`member::HeartbeatReply`].
    HeartbeatReply(member::HeartbeatReply),
    /// Asks for the records after a revision.
    UpdateRequest {
        /// Revision of the asking host.
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
    /// Answer to a [`claim::Replica`], [`claim::Resolution`] or [`claim::Handover`]; its content is
    /// kept.
    ClaimAcknowledgement {
        /// Number of the message that is answered.
        id: u64,
    },
    /// See [`claim::Resolution`].
    ClaimResolution(claim::Resolution),
    /// See [`claim::Handover`].
    ClaimHandover(claim::Handover),
    /// Asks a peer for its actual region weights.
    WeightsRequest,
    /// Actual region weights of the sender.
    Weights(Vec<ServiceWeights>),
}

/// Actual region weights of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeights {
    /// Service of the weights.
    pub service: Arc<str>,
    /// Region and part of the traffic, between 0 and 1.
    pub regions: Vec<(Arc<str>, f64)>,
}
