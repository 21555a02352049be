//! Members: the hosts that hold shares, and how a host knows that its view is current.
//!
//! See docs/design.md §5.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{budget, message::Sender};

pub mod currency;
pub mod held;
pub mod peers;
pub mod roster;

/// One host that holds shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: Arc<str>,
    /// Random number of one start of the process.
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
    /// The member as the sender of a message.
    pub fn sender(&self) -> Sender {
        Sender { host: self.host.clone(), incarnation: self.incarnation, peer: self.peer }
    }
}

/// Question to a peer whether it knows a larger revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Number of the heartbeat, increasing for each sender.
    pub sequence: u64,
    /// Revision of the sender's catalog.
    pub revision: u64,
    /// Names of the members that the sender has not heard from for a while.
    pub suspected: Vec<Arc<str>>,
    /// What the sender could lend.
    pub spare: Vec<budget::Spare>,
    /// Whether the sender is draining.
    pub leaving: bool,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Number of the heartbeat that is answered.
    pub sequence: u64,
    /// Revision of the answering host's catalog.
    pub revision: u64,
}
