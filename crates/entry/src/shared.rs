//! State that the threads of an entry host share, and requests to the control thread.
//!
//! The control thread replaces the snapshot by an atomic pointer swap; the other threads only read
//! it. See docs/design.md §4.

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

/// Maximum number of requests that wait for the control thread.
pub const CONTROL_QUEUE_LENGTH: usize = 1024;

/// Immutable data for the request path, the probes and the look-ups.
#[derive(Default)]
pub struct Snapshot {
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Entry hosts that callers may use; draining ones are excluded.
    pub entry_hosts: Vec<EntryHost>,
}

/// One service of a [`Snapshot`].
pub struct Service {
    /// The service's document.
    pub document: Arc<Document>,
    /// Revision of the document.
    pub revision: u64,
    /// Actual weights of the regions on this host.
    pub weights: ServiceWeights,
    /// Backend servers in the platform's list of hosts.
    pub backends: Vec<event::ListedHost>,
}

/// Entry host in the answers to look-ups.
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

/// Immutable state of the control thread that the admin listener reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Revision up to which this host has every record.
    pub revision: u64,
    /// Largest revision known to be held by more than half of the members.
    pub held_revision: u64,
    /// Largest revision known to be in force.
    pub in_force_revision: u64,
    /// Whether this host is a member. Otherwise it is a guest, which has no shares and spends only
    /// loans.
    pub is_member: bool,
    /// Hosts that share the budgets.
    pub members: Vec<Member>,
    /// Records of the documents; removed ones are excluded.
    pub documents: Vec<Record>,
}

/// State of a service's backend servers in one region, from probes and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionReport {
    /// Service of the backend servers.
    pub service: Arc<str>,
    /// Region of the backend servers.
    pub region: Arc<str>,
    /// Running requests relative to the slots, from load reports that lag behind; `None` without a
    /// recent report.
    pub load: Option<f64>,
    /// Whether no backend server of the region may get new requests.
    pub is_lost: bool,
}

/// Request to the control thread.
pub enum Request {
    /// The request path needs more tokens or slots of a budget than this host has.
    TokensNeeded {
        /// Budget that lacks tokens or slots.
        budget: budget::Budget,
        /// Tokens or slots wanted.
        wanted: u64,
        /// Notified when a loan has arrived or was denied, and closed after a timeout, so that the
        /// request can try again.
        wake: oneshot::Sender<()>,
    },
    /// The request path asks whether a request with an idempotency key may run.
    Claim {
        /// Name of the claim.
        name: claim::Name,
        /// See [`claim::Record::fingerprint`].
        fingerprint: u64,
        /// Receives the verdict. A closed channel means [`claim::Verdict::Unavailable`].
        answer: oneshot::Sender<claim::Verdict>,
    },
    /// A request with a granted claim has ended.
    Completed(claim::Completion),
    /// An operator requests an edit of a document.
    Edit {
        /// The edit.
        edit: event::Edit,
        /// Receives the outcome.
        answer: oneshot::Sender<event::EditOutcome>,
    },
    /// State of the regions of every service that has backend servers.
    RegionReports(Vec<RegionReport>),
    /// The process was asked to stop. Peers and look-ups exclude the host from now on.
    Drain,
    /// Every open request has ended after [`Self::Drain`]. Answered when the host has left the
    /// members.
    Leave(oneshot::Sender<()>),
}

/// State shared by all threads of an entry host.
pub struct Shared {
    /// Name of this host.
    pub host: Arc<str>,
    /// Region of this host.
    pub region: Arc<str>,
    /// Current snapshot.
    pub snapshot: ArcSwap<Snapshot>,
    /// Current status.
    pub status: ArcSwap<Status>,
    /// Queue of requests to the control thread.
    pub control: mpsc::Sender<Request>,
    started_at: Instant,
    current_until_micros: AtomicU64,
    is_draining: AtomicBool,
}

impl Shared {
    /// Returns the state of a host that is not current yet, and the receiver of its control queue.
    pub fn new(host: Arc<str>, region: Arc<str>) -> (Arc<Self>, mpsc::Receiver<Request>) {
        let (control, requests) = mpsc::channel(CONTROL_QUEUE_LENGTH);
        let shared = Self {
            host,
            region,
            snapshot: ArcSwap::default(),
            status: ArcSwap::default(),
            control,
            started_at: Instant::now(),
            current_until_micros: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
        };
        (Arc::new(shared), requests)
    }

    /// Time since the start of the process. All decisions use this clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the host may accept keys and spend its share of the budgets now. See docs/design.md
    /// §5.
    pub fn is_current(&self) -> bool {
        self.now().as_micros() < u128::from(self.current_until_micros.load(Ordering::Acquire))
    }

    /// Sets the time until which the host is current.
    pub fn set_current_until(&self, until: Duration) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.current_until_micros.store(micros, Ordering::Release);
    }

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Marks the host as draining. This cannot be undone.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
    }
}
