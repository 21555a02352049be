//! The parts of a scenario.

use std::{sync::Arc, time::Duration};

/// A parsed scenario file.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// What the scenario shows.
    pub title: String,
    /// Regions and delays.
    pub deployment: Deployment,
    /// Number of entry hosts.
    pub hosts: usize,
    /// How hosts learn that they are current.
    pub evidence: Evidence,
    /// How budgets are divided.
    pub policy: Policy,
    /// Workspaces of the one service of the scenario.
    pub workspaces: Vec<Workspace>,
    /// Traffic of the workspaces.
    pub loads: Vec<Load>,
    /// Events in the order of the file.
    pub events: Vec<Timed>,
    /// Expectations in the order of the file.
    pub expectations: Vec<Expectation>,
    /// When the scenario ends.
    pub end: Duration,
}

/// A deployment of the users with its regions and delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Three regions, 20 ms apart, 0.5 ms between failure domains.
    Karnerand,
    /// Three regions, 55 ms apart, 1.4 ms between failure domains.
    Lothian,
}

/// Evidence by which a host is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Store reads, or answers of more than half of the members.
    StoreOrMembers,
    /// Store reads alone.
    Store,
}

/// Division of budgets over the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Shares with loans.
    Lending,
    /// Equal shares without loans.
    Fixed,
    /// Shares that end with a lease in the store, without loans.
    Leased,
}

/// A workspace and its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Requests at once over all hosts.
    pub burst: u64,
}

/// Traffic of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Workspace that calls.
    pub workspace: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    /// Hosts that receive the traffic, in equal parts.
    pub hosts: Hosts,
    /// When the traffic starts.
    pub from: Duration,
    /// When the traffic ends.
    pub to: Duration,
}

/// Which hosts a statement names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hosts {
    /// Every host.
    All,
    /// Hosts by their number, counted from 1.
    Listed(Vec<usize>),
    /// One host after the other, each for this long.
    Rotating(Duration),
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// Line in the file.
    pub line: usize,
    /// Time since the start of the scenario.
    pub at: Duration,
    /// What happens.
    pub event: Event,
}

/// What a scenario does to the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Processes end without notice.
    Kill(Hosts),
    /// Processes start with a new incarnation.
    Start(Hosts),
    /// Processes stop running for a while and then go on.
    Pause(Hosts, Duration),
    /// Hosts lose every connection to other hosts and to the store.
    Cut(Hosts, Duration),
    /// Hosts lose the store, but not each other.
    CutStore(Hosts, Duration),
    /// A planned stop.
    Stop(Hosts),
    /// The store answers nobody.
    StoreDown(Duration),
    /// The store takes this long for every call.
    StoreSlow(Duration, Duration),
    /// The store takes writes, but their answers are lost.
    StoreLosesAnswers(Duration),
    /// Measurements: each message between hosts is lost with this probability, in percent.
    Loss(f64, Duration),
    /// The platform lists hosts as gone.
    ListGone(Hosts),
    /// An operator edits the rate of a workspace through a host.
    SetRate {
        /// Workspace to change.
        workspace: Arc<str>,
        /// New rate.
        rate: f64,
        /// New burst.
        burst: u64,
        /// Number of the host that takes the edit.
        via: usize,
    },
    /// An operator removes a workspace from the document through a host.
    Remove {
        /// Workspace to remove.
        workspace: Arc<str>,
        /// Number of the host that takes the edit.
        via: usize,
    },
    /// An operator withdraws every key of a workspace through a host.
    Withdraw {
        /// Workspace that loses its keys.
        workspace: Arc<str>,
        /// Number of the host that takes the edit.
        via: usize,
    },
}

/// What must be true.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Line in the file.
    pub line: usize,
    /// The check.
    pub check: Check,
}

/// A check on the run.
#[derive(Clone, Debug, PartialEq)]
pub enum Check {
    /// No window of time admits more than burst and rate allow, for every workspace.
    WithinLimits,
    /// The admitted part of what one omniscient limiter admits, in percent, in an interval.
    Share {
        /// Workspace, or every workspace together.
        workspace: Option<Arc<str>>,
        /// Least share in percent.
        percent: f64,
        /// Start of the interval.
        from: Duration,
        /// End of the interval.
        to: Duration,
    },
    /// No request of the workspace is admitted in an interval.
    NoneAdmitted {
        /// Workspace.
        workspace: Arc<str>,
        /// Start of the interval.
        from: Duration,
        /// End of the interval.
        to: Duration,
    },
    /// Hosts are current at a time.
    Current(Hosts, Duration),
    /// Hosts are not current at a time.
    NotCurrent(Hosts, Duration),
    /// Every accepted edit is in force on every current host within 4 s and never reverts.
    EditsHold,
    /// The edit made at a time was accepted, or was not.
    Edit {
        /// Time of the edit.
        at: Duration,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// Number of members in the table of a host at a time.
    Members {
        /// Number of the host.
        host: usize,
        /// Expected number of members.
        count: usize,
        /// Time of the check.
        at: Duration,
    },
    /// The store took at most this many calls a second, averaged over the run.
    StoreCalls(f64),
}
