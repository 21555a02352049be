//! What a platform's adapter provides: plain functions and names that translate its wire formats.
//!
//! The entry host takes every decision itself; an adapter only decodes and encodes. See
//! docs/platform.md for the one that this repository has.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderName, Uri};
use marjorampick_core::steering::{instance::Endpoint, load::Report, plan::Plan};

use crate::store;

/// Translation between one platform and the entry host.
#[derive(Clone)]
pub struct Codec {
    /// Names of headers.
    pub headers: Headers,
    /// Calls to the store.
    pub store: store::Codec,
    /// Beginnings of the store's keys that concern the entry host, beside its own.
    pub key_prefixes: Vec<&'static str>,
    /// What an item in the store says.
    pub decode_item: fn(&store::Item) -> Result<Record, Malformed>,
    /// Key in the store for a subject.
    pub subject_key: fn(&Subject) -> String,
    /// What a key in the store is about.
    pub parse_key: fn(&str) -> Subject,
    /// Load that an instance reports in the header of [`Headers::load`].
    pub parse_load: fn(&str) -> Option<Report>,
    /// Path of look-ups.
    pub lookup_path: &'static str,
    /// Query of a caller's look-up.
    pub parse_lookup: fn(&Uri) -> Option<Query>,
    /// Body of the answer to a look-up.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Path of the platform's readiness check.
    pub ready_path: &'static str,
}

/// Names of headers on the wire.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Unique id of a caller's request, repeated in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the request.
    pub time_left: HeaderName,
    /// Cookie that names the object which the request concerns.
    pub object_cookie: &'static str,
    /// Key of the caller; never passed on.
    pub api_key: HeaderName,
    /// Name of the workspace, for the instance.
    pub workspace: HeaderName,
    /// Id of the only instance that may run the request.
    pub expected_instance: HeaderName,
    /// Mark of an answer that an instance made.
    pub response_stamp: HeaderName,
    /// Mark of an answer that says that the request did not run.
    pub not_run: HeaderName,
    /// Load of an instance.
    pub load: HeaderName,
}

/// Something that the store holds.
#[derive(Debug)]
pub enum Record {
    /// The configuration.
    Plan(Box<Plan>),
    /// A failure domain is to get no requests.
    Evacuation(Arc<str>),
    /// An instance.
    Instance(Endpoint),
    /// Nothing that concerns the entry host.
    Other,
}

/// What a key is about; needed when the item is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Plan,
    /// The evacuation of a failure domain.
    Evacuation(Arc<str>),
    /// An instance.
    Instance(Arc<str>),
    /// Nothing that concerns the entry host.
    Other,
}

/// Query of a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Host that the caller wants to reach.
    pub name: String,
    /// Region of the caller.
    pub region: String,
    /// Failure domain of the caller.
    pub domain: String,
}

/// Why an item cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}
