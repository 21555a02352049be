//! Members: the hosts that have shares, and how a host knows that its configuration is current.
//!
//! See docs/design.md §5.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{budget, message::Sender};

pub mod currency;
pub mod peers;
pub mod revisions;
pub mod roster;

/// A host that has shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: Arc<str>,
    /// Random number that identifies one start of the process.
    pub incarnation: u64,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the host's peer listener.
    pub peer: SocketAddr,
    /// Address of the host's caller listener.
    pub callers: SocketAddr,
}

impl Member {
    /// Returns the member as the sender of a message.
    pub fn sender(&self) -> Sender {
        Sender { host: self.host.clone(), incarnation: self.incarnation, peer: self.peer }
    }
}

/// Periodic message to a peer, which replies with its revision. See [`HeartbeatReply`].
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat; increases with each round of the sender.
    pub sequence: u64,
    /// Revision of the sender's catalog.
    pub revision: u64,
    /// Names of the members from which the sender has received nothing for a while.
    pub suspected: Vec<Arc<str>>,
    /// What the sender can lend.
    pub spare: Vec<budget::Spare>,
    /// Whether the sender is draining.
    pub leaving: bool,
}

/// Reply to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Revision of the replying host's catalog.
    pub revision: u64,
}
