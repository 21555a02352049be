//! Calls to the platform's key-value store.
//!
//! Every call uses a connection of its own: a kept connection may have gone silent for good, and the
//! calls are few. An answer that does not come says nothing about whether the call was done.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use marjorampick_link::http_client;

use crate::constants::STORE_CALL_TIMEOUT;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Items whose keys begin with `prefix`, after the key `after`.
    Range {
        /// Beginning of the keys.
        prefix: String,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Changes after a revision; waits until there is one.
    Watch {
        /// Beginning of the keys.
        prefix: String,
        /// Revision up to which the changes are known.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Writes and removals that are done together, if the conditions hold.
    Write(Transaction),
    /// A new lease.
    Grant(Duration),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease and removes its keys.
    Revoke(u64),
}

/// Writes and removals that are done together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have; 0 for keys that must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// One key to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease with which the key ends; 0 for none.
    pub lease: u64,
}

/// One item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// A key was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A page of items.
    Items {
        /// The items.
        items: Vec<Item>,
        /// Whether another page follows.
        has_more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// Changes in order.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Revision up to which all changes are known now.
        revision: u64,
    },
    /// Done.
    Done,
    /// A lease.
    Lease(u64),
}

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing was done: no connection, or the store said so.
    Refused(String),
    /// Whether it was done is unknown.
    Unknown(String),
    /// The history after the revision is gone.
    Compacted,
    /// A condition does not hold.
    Conflict,
    /// The lease does not exist.
    LeaseNotFound,
    /// The answer cannot be read.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "nothing was done: {reason}"),
            Self::Unknown(reason) => write!(f, "no usable answer: {reason}"),
            Self::Compacted => write!(f, "the history is gone"),
            Self::Conflict => write!(f, "a condition does not hold"),
            Self::LeaseNotFound => write!(f, "the lease does not exist"),
            Self::Malformed(reason) => write!(f, "the answer cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Translation of calls and answers.
#[derive(Clone)]
pub struct Codec {
    /// Request for a call, with a path and no address.
    pub encode: fn(&Call) -> Request<Bytes>,
    /// Meaning of the answer to a call.
    pub decode: fn(&Call, StatusCode, &[u8]) -> Result<Reply, Fault>,
}

/// The one client of the store.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    codec: Codec,
}

impl Client {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr, codec: Codec) -> Self {
        Self { address, codec }
    }

    /// Makes one call.
    pub async fn call(&self, call: &Call) -> Result<Reply, Fault> {
        let mut request = (self.codec.encode)(call);
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", self.address);
        *request.uri_mut() = uri.parse().map_err(|_| Fault::Refused("bad address".to_owned()))?;
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let sent = http_client::send(request, wait + STORE_CALL_TIMEOUT).await;
        let response = sent.map_err(|fault| match fault.is_not_sent() {
            true => Fault::Refused(fault.to_string()),
            false => Fault::Unknown(fault.to_string()),
        })?;
        (self.codec.decode)(call, response.status(), response.body())
    }
}
