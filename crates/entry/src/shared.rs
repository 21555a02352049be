//! What the request threads share with the control thread.
//!
//! The control thread replaces the snapshot by an atomic pointer swap; request threads only read it.
//! See docs/design.md §4.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use marjorampick_core::{
    budget, catalog::Record, claim, document::Document, host::event, member::Member,
    message::ServiceWeights,
};
use tokio::sync::{mpsc, oneshot};

/// Number of requests that may wait for the control thread.
pub const CONTROL_QUEUE_LENGTH: usize = 1024;

/// Everything that the request path and look-ups need to know, immutable.
#[derive(Default)]
pub struct Snapshot {
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Entry hosts that callers may use, draining ones left out.
    pub entry_hosts: Vec<EntryHost>,
}

/// One service of a [`Snapshot`].
pub struct Service {
    /// The service's document.
    pub document: Arc<Document>,
    /// Revision of the document.
    pub revision: u64,
    /// Actual region weights of this host.
    pub weights: ServiceWeights,
    /// Backend servers as the platform lists them.
    pub backends: Vec<event::ListedHost>,
}

/// One entry host for look-up answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// Name of the host.
    pub host: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
}

/// What the admin listener reports about the host's decisions, immutable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Revision up to which the host has every record.
    pub revision: u64,
    /// Largest revision known to be held by more than half of the members.
    pub held: u64,
    /// Largest revision known to be in force.
    pub in_force: u64,
    /// Whether this process is a member; otherwise it is a guest.
    pub is_member: bool,
    /// Hosts that hold shares.
    pub members: Vec<Member>,
    /// Records of the documents, without the removed ones.
    pub documents: Vec<Record>,
}

/// State of one service's backend servers in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionReport {
    /// Service of the backend servers.
    pub service: Arc<str>,
    /// Region of the backend servers.
    pub region: Arc<str>,
    /// Late figure: running requests relative to the slots; `None` without any report.
    pub load: Option<f64>,
    /// Whether no backend server of the region may get a request.
    pub is_lost: bool,
}

/// Question or command for the control thread.
pub enum Request {
    /// The request path lacks tokens; the answer comes when a loan arrived or was denied.
    TokensNeeded {
        /// Budget that lacks tokens.
        budget: budget::Budget,
        /// Tokens or slots wanted.
        wanted: u64,
        /// Closed or answered when it is worth trying again.
        wake: oneshot::Sender<()>,
    },
    /// Whether a request with an idempotency key may run.
    Claim {
        /// Name of the claim.
        name: claim::Name,
        /// See [`claim::Record::fingerprint`].
        fingerprint: u64,
        /// Receives the verdict; a closed channel means [`claim::Verdict::Unavailable`].
        answer: oneshot::Sender<claim::Verdict>,
    },
    /// A claimed request ended.
    Completed(claim::Completion),
    /// An operator's edit.
    Edit {
        /// The edit.
        edit: event::Edit,
        /// Receives the result.
        answer: oneshot::Sender<event::EditOutcome>,
    },
    /// What probes and the request path know about regions.
    RegionReports(Vec<RegionReport>),
    /// The process was asked to stop; peers and look-ups leave the host out from now on.
    Drain,
    /// Every open request has ended; answered when the host has left the members.
    Leave(oneshot::Sender<()>),
}

/// State shared by all threads of an entry host.
pub struct Shared {
    /// Name of this host.
    pub host: Arc<str>,
    /// Region of this host.
    pub region: Arc<str>,
    /// Newest snapshot.
    pub snapshot: ArcSwap<Snapshot>,
    /// Newest status.
    pub status: ArcSwap<Status>,
    /// Queue of the control thread.
    pub control: mpsc::Sender<Request>,
    started: Instant,
    current_until_micros: AtomicU64,
    draining: AtomicBool,
}

impl Shared {
    /// State of a host that is not current yet, and the receiving end of its control queue.
    pub fn new(host: Arc<str>, region: Arc<str>) -> (Arc<Self>, mpsc::Receiver<Request>) {
        let (control, requests) = mpsc::channel(CONTROL_QUEUE_LENGTH);
        let shared = Self {
            host,
            region,
            snapshot: ArcSwap::default(),
            status: ArcSwap::default(),
            control,
            started: Instant::now(),
            current_until_micros: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        };
        (Arc::new(shared), requests)
    }

    /// Time since the start of the process, the clock of all decisions.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the host may honour keys and spend shares now (docs/design.md §5).
    pub fn is_current(&self) -> bool {
        self.now().as_micros() < u128::from(self.current_until_micros.load(Ordering::Acquire))
    }

    /// Sets the moment until which the host is current.
    pub fn set_current_until(&self, until: Duration) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.current_until_micros.store(micros, Ordering::Release);
    }

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Marks the host as draining; there is no way back.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }
}
