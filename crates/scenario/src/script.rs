//! Data model of a parsed scenario file.

use std::{sync::Arc, time::Duration};

/// A parsed scenario file.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Title, from the statement `scenario`.
    pub title: String,
    /// Deployment that gives the regions and the network delays.
    pub deployment: Deployment,
    /// Number of entry hosts.
    pub hosts: usize,
    /// How hosts confirm that they are current.
    pub currency_source: CurrencySource,
    /// How budgets are divided among the hosts.
    pub policy: Policy,
    /// Workspaces of the service; a scenario has one service.
    pub workspaces: Vec<Workspace>,
    /// Traffic of the workspaces.
    pub loads: Vec<Load>,
    /// Events in the order of the file.
    pub events: Vec<TimedEvent>,
    /// Expectations in the order of the file.
    pub expectations: Vec<Expectation>,
    /// Time at which the scenario ends.
    pub end: Duration,
}

/// Deployment whose regions and network delays are simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Three regions; one way 20 ms between regions, 0.5 ms between failure domains.
    Karnerand,
    /// Three regions; one way 55 ms between regions, 1.4 ms between failure domains.
    Lothian,
}

/// How a host confirms that it is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CurrencySource {
    /// By store reads or by responses of more than half of the members.
    StoreOrMembers,
    /// By store reads only.
    Store,
}

/// How a budget is divided among the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Shares, and loans between hosts.
    Lending,
    /// Equal shares without loans.
    Fixed,
    /// Equal shares without loans, valid while a lease in the store lasts.
    Leased,
}

/// A workspace and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Requests per second, over all hosts.
    pub rate: f64,
    /// Requests at the same moment, over all hosts.
    pub burst: u64,
}

/// Traffic of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Workspace that sends the requests.
    pub workspace: Arc<str>,
    /// Mean rate of requests per second.
    pub rate: f64,
    /// Hosts that receive the requests. Each request goes to one of them, chosen uniformly at
    /// random; a rotation determines the host by the time.
    pub hosts: Hosts,
    /// When the traffic starts.
    pub from: Duration,
    /// When the traffic ends.
    pub to: Duration,
}

/// Hosts that a statement names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hosts {
    /// Every host.
    All,
    /// Hosts by their number, counted from 1.
    Listed(Vec<usize>),
    /// One host after another, each for this long.
    Rotating(Duration),
}

/// An event at a time of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Line in the file.
    pub line: usize,
    /// Time since the start of the scenario.
    pub at: Duration,
    /// The event.
    pub event: Event,
}

/// A failure or an operator's action. A duration in the last field is how long the event lasts.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Processes crash.
    Kill(Hosts),
    /// Processes start with a new incarnation.
    Start(Hosts),
    /// Processes are suspended for a time and then continue.
    Pause(Hosts, Duration),
    /// Hosts are partitioned from all other hosts and from the store.
    Cut(Hosts, Duration),
    /// Hosts are partitioned from the store only.
    CutStore(Hosts, Duration),
    /// Hosts are stopped as planned: they drain and leave.
    Stop(Hosts),
    /// The store is down.
    StoreDown(Duration),
    /// The store adds the first duration to the latency of every call.
    StoreSlow(Duration, Duration),
    /// The store processes calls, but its answers are lost.
    StoreLosesAnswers(Duration),
    /// Each message between hosts is lost with this probability, in percent. Meant for
    /// measurements.
    Loss(f64, Duration),
    /// The platform lists hosts as gone.
    ListGone(Hosts),
    /// An operator changes the limit of a workspace.
    SetRate {
        /// Workspace to change.
        workspace: Arc<str>,
        /// New rate.
        rate: f64,
        /// New burst.
        burst: u64,
        /// Number of the host that receives the edit.
        via: usize,
    },
    /// An operator removes a workspace from the document.
    Remove {
        /// Workspace to remove.
        workspace: Arc<str>,
        /// Number of the host that receives the edit.
        via: usize,
    },
    /// An operator withdraws all keys of a workspace.
    Withdraw {
        /// Workspace that loses its keys.
        workspace: Arc<str>,
        /// Number of the host that receives the edit.
        via: usize,
    },
}

/// A check and the line that states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Line in the file.
    pub line: usize,
    /// The check.
    pub check: Check,
}

/// Condition on the results of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Check {
    /// No workspace has a time window with more admissions than burst and rate allow.
    WithinLimits,
    /// Requests admitted in an interval, in percent of what one omniscient limiter admits.
    Share {
        /// Workspace, or all workspaces together.
        workspace: Option<Arc<str>>,
        /// Smallest accepted percentage.
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
    AcceptedEditsHold,
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
    /// The store received at most this many calls per second, averaged over the run.
    StoreCalls(f64),
}
