//! Interface of a platform adapter: functions and header names that translate wire formats.
//!
//! An adapter only decodes and encodes; all decisions are made by the entry host. See
//! docs/platform.md for the adapter in this repository.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderName, Uri};
use marjorampick_core::steering::{instance::Endpoint, load::Report, plan::Plan};

use crate::store;

/// Translation between the wire formats of a platform and the types of the entry host.
#[derive(Clone)]
pub struct Codec {
    /// Names of HTTP headers.
    pub headers: Headers,
    /// Encoding and decoding of calls to the store.
    pub store: store::Codec,
    /// Prefixes of the platform's store keys that the entry host reads, besides its own keys.
    pub key_prefixes: Vec<&'static str>,
    /// Decodes an item of the store.
    pub decode_item: fn(&store::Item) -> Result<Record, Malformed>,
    /// Returns the store key of a subject.
    pub subject_key: fn(&Subject) -> String,
    /// Returns the subject of a store key.
    pub parse_key: fn(&str) -> Subject,
    /// Parses the load that an instance reports in the header [`Headers::load`]. Returns `None` for
    /// a malformed value.
    pub parse_load: fn(&str) -> Option<Report>,
    /// Parses the limit in the header [`Headers::limit`], in requests per second. Returns `None` for a
    /// malformed value.
    pub parse_limit: fn(&str) -> Option<f64>,
    /// Parses whether an instance leaves, from the header [`Headers::leaving`]. Returns `None` for a
    /// malformed value.
    pub parse_leaving: fn(&str) -> Option<bool>,
    /// Parses the pause that an instance asks for in the header [`Headers::pause`]. Returns `None` for a
    /// malformed value.
    pub parse_pause: fn(&str) -> Option<Duration>,
    /// URL path of host look-ups.
    pub lookup_path: &'static str,
    /// Parses the URI of a look-up. Returns `None` for a malformed query.
    pub parse_lookup: fn(&Uri) -> Option<Query>,
    /// Encodes the response body of a look-up from the addresses and their time to live.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// URL path of the platform's readiness check.
    pub ready_path: &'static str,
}

/// Names of the HTTP headers on the wire.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Unique id of a caller's request, which the response repeats.
    pub request_id: HeaderName,
    /// Time left until the request's deadline, in milliseconds.
    pub time_left: HeaderName,
    /// Name of the cookie that identifies the object to which the request applies.
    pub object_cookie: &'static str,
    /// API key of the caller, which is not forwarded to instances.
    pub api_key: HeaderName,
    /// Name of the workspace, which is sent to the instance.
    pub workspace: HeaderName,
    /// Id of the only instance that may run the request. Another instance that gets it, for example
    /// because it has taken over the address, refuses it.
    pub expected_instance: HeaderName,
    /// Present in every response that an instance itself produced.
    pub response_stamp: HeaderName,
    /// Present in a response if the request did not run.
    pub not_run: HeaderName,
    /// Load that the instance reports.
    pub load: HeaderName,
    /// Requests per second that the instance takes from all hosts together. An answer of an instance
    /// without a limit has no such header.
    pub limit: HeaderName,
    /// Says that the instance leaves and takes no more requests.
    pub leaving: HeaderName,
    /// Time for which an instance that rejects a request with 503 wants no more of them.
    pub pause: HeaderName,
}

/// Decoded item of the store.
#[derive(Debug)]
pub enum Record {
    /// Configuration.
    Plan(Box<Plan>),
    /// Evacuation of a failure domain, whose instances get no requests.
    Evacuation(Arc<str>),
    /// Registration of an instance.
    Instance(Endpoint),
    /// Item that the entry host does not use.
    Other,
}

/// What a store key refers to. Unlike a [`Record`], it is also known for a removed item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Configuration.
    Plan,
    /// Evacuation of the failure domain with this name.
    Evacuation(Arc<str>),
    /// Registration of the instance with this id.
    Instance(Arc<str>),
    /// Key that the entry host does not use.
    Other,
}

/// Query of a caller's look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Host name that the caller wants to reach.
    pub name: String,
    /// Region of the caller; empty if unknown.
    pub region: String,
    /// Failure domain of the caller; empty if unknown.
    pub domain: String,
}

/// Reason why an item could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}
