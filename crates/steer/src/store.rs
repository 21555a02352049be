//! Client of the platform's key-value store.
//!
//! Each call opens a new connection, because a reused one may be dead without notice and calls are
//! rare. A call that gets no response may or may not have been executed.

use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use marjorampick_core::steering::history::{Era, History, Verdict};
use marjorampick_link::http_client::{self, BODY_LIMIT_BYTES, Limits};

use crate::constants::{MAX_STORE_READ_TIME, STORE_CALL_TIMEOUT};

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a page of the items whose keys start with `prefix`, beginning after the key `after`.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page.
        after: Option<String>,
        /// Whether the items may be those of an earlier revision, which the reply states.
        may_be_stale: bool,
    },
    /// Returns the changes after a revision, and waits for one if there is none (long polling).
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision up to which the caller already has all changes.
        after: u64,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
    /// Executes a transaction.
    Write(Transaction),
    /// Grants a new lease with this time to live.
    Grant(Duration),
    /// Renews the lease with this id.
    Renew(u64),
    /// Revokes the lease with this id and removes its keys.
    Revoke(u64),
}

impl Call {
    /// What the call may take, with a response of up to `body_bytes`.
    fn limits(&self, body_bytes: usize) -> Limits {
        let wait = match self {
            Self::Range { .. } => Duration::ZERO,
            Self::Watch { wait, .. } => *wait,
            Self::Write(_) | Self::Grant(_) | Self::Renew(_) | Self::Revoke(_) => {
                return Limits::within(STORE_CALL_TIMEOUT);
            }
        };
        Limits {
            head: wait + STORE_CALL_TIMEOUT,
            silence: STORE_CALL_TIMEOUT,
            total: wait + MAX_STORE_READ_TIME,
            body_bytes,
        }
    }
}

/// Writes and removals that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with their expected revisions; 0 for a key that must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// Write of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Id of the lease that the key is attached to; 0 for none. The key is removed with the lease.
    pub lease: u64,
}

/// Item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the item's last change.
    pub revision: u64,
}

/// Change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was created or updated.
    Written(Item),
    /// An item was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// Changed key.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Size of the value in bytes; 0 for a removal.
    pub fn value_bytes(&self) -> usize {
        match self {
            Self::Written(item) => item.value.len(),
            Self::Removed { .. } => 0,
        }
    }

    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A page of items.
    Items {
        /// Items in the order of their keys.
        items: Vec<Item>,
        /// Whether there are more pages.
        has_more: bool,
        /// Revision of the store at the time of the read.
        revision: u64,
    },
    /// Changes after the requested revision.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Change>,
        /// Revision up to which the response contains all changes.
        revision: u64,
    },
    /// The call was executed.
    Done,
    /// Id of a new lease.
    Lease(u64),
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call was not executed: there was no connection, or the store rejected it.
    Refused(String),
    /// It is unknown whether the call was executed.
    Unknown(String),
    /// The store does not have the requested revision: it has compacted its history past it, or not
    /// reached it.
    Compacted,
    /// The changes that the caller has missed are more than it reads.
    TooManyChanges,
    /// The store has been restored to an earlier copy since the call was made, or since the caller's
    /// revisions and leases were read. It is unknown whether the call was executed.
    Restored,
    /// A condition of the transaction does not hold.
    Conflict,
    /// The lease does not exist.
    LeaseNotFound,
    /// The response could not be decoded.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "the call was not executed: {reason}"),
            Self::Unknown(reason) => write!(f, "no usable answer: {reason}"),
            Self::Compacted => write!(f, "the store does not have the revision"),
            Self::TooManyChanges => write!(f, "the changes are larger than the state"),
            Self::Restored => write!(f, "the store has been restored to an earlier copy"),
            Self::Conflict => write!(f, "a condition of the transaction does not hold"),
            Self::LeaseNotFound => write!(f, "the lease does not exist"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Encoding of calls and decoding of their responses.
#[derive(Clone)]
pub struct Codec {
    /// Encodes a call as an HTTP request. Its URI has only a path and a query.
    pub encode: fn(&Call) -> Request<Bytes>,
    /// Decodes the status and body of the response to a call.
    pub decode: fn(&Call, StatusCode, &[u8]) -> Result<Reply, Fault>,
    /// Decodes the era of the store from the headers of a response.
    pub decode_era: fn(&HeaderMap) -> Era,
}

/// Client of the store.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    codec: Codec,
    /// Shared by all clients of the process, so that each learns of a restore from any response.
    history: Rc<RefCell<History>>,
}

impl Client {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, codec: Codec) -> Self {
        Self { address, codec, history: Rc::default() }
    }

    /// Era of the store's latest history that any response has told.
    pub fn era(&self) -> Era {
        self.history.borrow().era()
    }

    /// Fails if the store has been restored since `era`.
    pub fn check_era(&self, era: Era) -> Result<(), Fault> {
        if self.era() == era { Ok(()) } else { Err(Fault::Restored) }
    }

    /// Makes one call. The connection attempt and the wait for a response each have the timeout of a call,
    /// plus the wait time of a watch. Reads go on for as long as the response keeps coming.
    pub async fn call(&self, call: &Call) -> Result<Reply, Fault> {
        self.call_up_to(call, BODY_LIMIT_BYTES).await
    }

    /// Makes one call whose response takes up to `body_bytes`. Changes that take more are not read.
    pub async fn call_up_to(&self, call: &Call, body_bytes: usize) -> Result<Reply, Fault> {
        let asked_in = self.era();
        let mut request = (self.codec.encode)(call);
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", self.address);
        *request.uri_mut() =
            uri.parse().map_err(|_| Fault::Refused("invalid request URI".to_owned()))?;
        let sent =
            http_client::send_within(request, STORE_CALL_TIMEOUT, call.limits(body_bytes)).await;
        let response = sent.map_err(|fault| match (&fault, call) {
            (http_client::Fault::TooLarge, Call::Watch { .. }) => Fault::TooManyChanges,
            _ if fault.is_not_sent() => Fault::Refused(fault.to_string()),
            _ => Fault::Unknown(fault.to_string()),
        })?;
        let answered_in = (self.codec.decode_era)(response.headers());
        match self.history.borrow_mut().record(asked_in, answered_in) {
            Verdict::Usable => (self.codec.decode)(call, response.status(), response.body()),
            Verdict::Restored => Err(Fault::Restored),
            Verdict::Outdated => Err(Fault::Unknown(format!(
                "a late response of era {}, before era {}",
                answered_in.0, asked_in.0
            ))),
        }
    }
}
