//! Requests that crash the instances that run them.
//!
//! The load pattern is one request that crashes each instance that begins to run it, and comes again at
//! other hosts. Every host repeats the requests of a crashed instance elsewhere, so that a few callers can
//! end all instances of a service within a second. A host alone sees single attempts; only all hosts
//! together see that the same request was on each of the crashed instances. So hosts tell each other which
//! requests were on an instance that crashed, and each one judges by the same evidence.
//!
//! Most requests on a crashed instance are innocent, and many are on several crashed instances in a row, as
//! they are repeated into the same wave. So a request that was on three instances, one after the other, and
//! was not answered since, only runs on trial, once at a time over all hosts: an innocent one is answered,
//! and one that crashes the instance without another suspect on it is condemned. See docs/platform.md.

mod book;
mod claim;
mod evidence;
mod fingerprint;

pub use book::{Acquittal, Admission, Book, Publication};
pub use fingerprint::Fingerprint;

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Crashes in a row after which a request runs on trial only.
pub const TRIAL_CRASHES: usize = 3;

/// Time in which hosts that want to try a request at the same moment hear of each other. The one with the
/// highest rank runs it.
pub const CLAIM_TIME: Duration = Duration::from_millis(150);

/// Time for which a condemned request is refused. A later crash condemns it again at once.
pub const SENTENCE_TIME: Duration = Duration::from_secs(600);

/// Time after a crash in which all hosts tell which requests were on the instance.
pub const SETTLING_TIME: Duration = Duration::from_millis(100);

/// A request that was on an instance when it crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// The request.
    pub request: Fingerprint,
    /// Time from sending the request to the crash.
    pub ran_for: Duration,
    /// Time since the crash.
    pub ended_ago: Duration,
}
