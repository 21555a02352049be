//! Discrete-event simulation of hosts, network, store and callers in virtual time.
//!
//! [`World`] keeps a queue of tasks that is ordered by time, and by number for tasks of the same
//! time. Each task may schedule further tasks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use marjorampick_core::{
    budget::{self, Budget},
    constants::CURRENCY_TERM,
    host::{
        CurrencySource, Host, Identity,
        event::{Action, EditOutcome, Event, WriteOutcome},
    },
    message::{Envelope, Sender},
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{
    admission::{CLOCK_DRIFT_FRACTION, Limit, Traffic, TrafficMap},
    network::host_index,
    script::{self, Policy, Script},
    store::Store,
};

mod callers;
mod events;

/// Name of the service; a scenario has one service.
pub const SERVICE: &str = "status";

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const STORE_PROCESSING_TIME: Duration = Duration::from_millis(2);
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);

/// A simulated entry host. Its state machine is `None` while the process does not run.
struct Node {
    host: Option<Host>,
    sender: Sender,
    started_at: Duration,
    paused_until: Duration,
    cut_until: Duration,
    store_cut_until: Duration,
    /// Requests that wait for borrowed tokens.
    borrowers: BTreeMap<Budget, Vec<Request>>,
}

/// A request that takes one token of its workspace's budget.
#[derive(Clone, Debug)]
struct Request {
    workspace: Arc<str>,
    arrived_at: Duration,
    /// Remaining attempts to borrow a token.
    borrow_attempts_left: u32,
}

/// A task that is due at a time. Ticks and inputs of a host are dropped if it no longer runs with
/// the same incarnation.
enum Task {
    /// Tick of a host: index and incarnation.
    Tick(usize, u64),
    /// Arrival of a request: index of the load.
    RequestArrival(usize),
    /// End of the time that a request waits for tokens: index of the host, budget and arrival time
    /// of the request.
    BorrowTimeout(usize, Budget, Duration),
    /// Input of a host: index, incarnation and input.
    HostEvent(usize, u64, Box<Event>),
    /// Call at the store: index and incarnation of the calling host, and the call.
    StoreCall(usize, u64, Box<Action>),
    /// Event of the script: index of the event.
    ScriptEvent(usize),
    /// Snapshot of all running hosts.
    Snapshot,
}

/// An edit that an operator submitted, and its outcome.
#[derive(Clone, Debug)]
pub struct EditRecord {
    /// Time of submission.
    pub submitted_at: Duration,
    /// Time and content of the outcome that the host reported; `None` if it reported none.
    pub outcome: Option<(Duration, EditOutcome)>,
    /// Workspace and limit that the edit sets; `None` if it sets none or was accepted.
    new_limit: Option<(Arc<str>, Limit)>,
}

/// State of a running host at one time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Time of the snapshot.
    pub at: Duration,
    /// Index of the host, counted from 0.
    pub host: usize,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Whether the host was current and not paused.
    pub current: bool,
    /// Revision of the host's catalog.
    pub revision: u64,
    /// Number of members in the host's member table.
    pub members: usize,
}

/// State of one run: hosts, network, store and callers.
pub struct World {
    script: Script,
    now: Duration,
    random: StdRng,
    /// Due times and numbers of the scheduled tasks, earliest first.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Scheduled tasks by number.
    tasks: BTreeMap<u64, Task>,
    /// Number of the last scheduled task.
    last_task: u64,
    nodes: Vec<Node>,
    store: Store,
    store_down_until: Duration,
    /// Latency added to every store call, and the end of that.
    store_slowdown: (Duration, Duration),
    answers_lost_until: Duration,
    /// Percentage of messages that are lost, and the end of that.
    message_loss: (f64, Duration),
    /// Indexes of the hosts that the platform lists as gone.
    listed_gone: Vec<usize>,
    /// Workspaces of the document, as last edited.
    workspaces: Vec<script::Workspace>,
    /// Names of the workspaces whose keys were withdrawn.
    withdrawn: Vec<Arc<str>>,
    /// Traffic by workspace.
    pub traffic: TrafficMap,
    /// Edits in the order of their submission. The index is the ticket of the edit.
    pub edits: Vec<EditRecord>,
    /// Snapshots of the running hosts, in the order of their times.
    pub snapshots: Vec<Snapshot>,
}

impl World {
    /// Creates the hosts, the store and the document of `script`, and schedules its events.
    pub fn new(script: &Script, seed: u64) -> Self {
        let traffic = script.workspaces.iter().map(|w| (w.name.clone(), Traffic::new(w)));
        let mut world = Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            last_task: 0,
            nodes: Vec::new(),
            store: Store::default(),
            store_down_until: Duration::ZERO,
            store_slowdown: (Duration::ZERO, Duration::ZERO),
            answers_lost_until: Duration::ZERO,
            message_loss: (0.0, Duration::ZERO),
            listed_gone: Vec::new(),
            workspaces: script.workspaces.clone(),
            withdrawn: Vec::new(),
            traffic: traffic.collect(),
            edits: Vec::new(),
            snapshots: Vec::new(),
            script: script.clone(),
        };
        world.initialize();
        world
    }

    /// Runs the simulation to the end of the script.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.script.end {
                break;
            }
            self.now = at;
            if let Some(task) = self.tasks.remove(&number) {
                self.run_task(task);
            }
        }
    }

    /// Number of calls that reached the store.
    pub fn store_calls(&self) -> u64 {
        self.store.calls
    }

    fn initialize(&mut self) {
        let document = self.document();
        let write = marjorampick_core::host::event::Write {
            expected_head: 0,
            key: Arc::from(format!("documents/{SERVICE}")),
            value: document,
            id: 0,
        };
        self.store.write(&write);
        for index in 0..self.script.hosts {
            self.nodes.push(Node::empty(&self.script, index));
            self.start_host(index);
        }
        for index in 0..self.script.events.len() {
            self.schedule(self.script.events[index].at, Task::ScriptEvent(index));
        }
        for index in 0..self.script.loads.len() {
            self.schedule(self.script.loads[index].from, Task::RequestArrival(index));
        }
        self.schedule(SNAPSHOT_INTERVAL, Task::Snapshot);
    }

    fn schedule(&mut self, at: Duration, task: Task) {
        self.last_task += 1;
        self.tasks.insert(self.last_task, task);
        self.queue.push(Reverse((at.max(self.now), self.last_task)));
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick(index, incarnation) => self.tick_host(index, incarnation),
            Task::HostEvent(index, incarnation, event) => {
                self.handle_event(index, incarnation, *event);
            }
            Task::StoreCall(index, incarnation, call) => {
                self.run_store_call(index, incarnation, *call);
            }
            Task::RequestArrival(load) => self.handle_arrival(load),
            Task::BorrowTimeout(index, budget, arrived_at) => {
                let borrowers = self.nodes[index].borrowers.entry(budget).or_default();
                borrowers.retain(|request| request.arrived_at != arrived_at);
            }
            Task::ScriptEvent(index) => self.apply_script_event(index),
            Task::Snapshot => self.take_snapshots(),
        }
    }

    fn tick_host(&mut self, index: usize, incarnation: u64) {
        let node = &self.nodes[index];
        if node.host.is_none() || node.sender.incarnation != incarnation {
            return;
        }
        let resume_at = node.paused_until.max(self.now);
        if resume_at == self.now {
            let now = self.host_clock(index);
            let actions = self.nodes[index].host.as_mut().map(|host| host.tick(now));
            self.apply_actions(index, actions.unwrap_or_default());
        }
        self.schedule(resume_at.max(self.now + TICK_INTERVAL), Task::Tick(index, incarnation));
    }

    fn handle_event(&mut self, index: usize, incarnation: u64, event: Event) {
        let node = &self.nodes[index];
        if node.host.is_none() || node.sender.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let resume_at = node.paused_until;
            return self.schedule(resume_at, Task::HostEvent(index, incarnation, Box::new(event)));
        }
        let now = self.host_clock(index);
        let actions = self.nodes[index].host.as_mut().map(|host| host.handle(now, event));
        self.apply_actions(index, actions.unwrap_or_default());
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_message(index, host_index(to), message),
                Action::ReadHead | Action::ReadRecords | Action::Write { .. } => {
                    let delay = self.script.deployment.store_delay(index)
                        + STORE_PROCESSING_TIME
                        + self.added_store_latency();
                    let incarnation = self.nodes[index].sender.incarnation;
                    let call = Task::StoreCall(index, incarnation, Box::new(action));
                    self.schedule(self.now + delay, call);
                }
                Action::ReportEdit { ticket, outcome } => self.record_edit_outcome(ticket, outcome),
                Action::WakeBorrowers(budget) => self.retry_borrowers(index, &budget),
                Action::Stop => self.nodes[index].host = None,
                _ => {}
            }
        }
    }

    fn send_message(
        &mut self,
        from: usize,
        to: usize,
        message: marjorampick_core::message::Message,
    ) {
        let is_cut = |node: &Node| node.cut_until > self.now;
        let (percent, until) = self.message_loss;
        let lost = self.now < until && self.random.random::<f64>() * 100.0 < percent;
        if to >= self.nodes.len() || is_cut(&self.nodes[from]) || is_cut(&self.nodes[to]) || lost {
            return;
        }
        let envelope = Envelope { from: self.nodes[from].sender.clone(), message };
        let jitter = Duration::from_micros(self.random.random_range(0..200));
        let at = self.now + self.script.deployment.peer_delay(from, to) + jitter;
        let incarnation = self.nodes[to].sender.incarnation;
        self.schedule(
            at,
            Task::HostEvent(to, incarnation, Box::new(Event::MessageReceived(envelope))),
        );
    }

    fn added_store_latency(&self) -> Duration {
        let (delay, until) = self.store_slowdown;
        if self.now < until { delay } else { Duration::ZERO }
    }

    /// Runs a call at the store and schedules the delivery of its answer.
    ///
    /// A write without an answer ends as unknown after [`STORE_TIMEOUT`]; a read without an answer
    /// ends without an event.
    fn run_store_call(&mut self, index: usize, incarnation: u64, call: Action) {
        let node = &self.nodes[index];
        let unreachable =
            node.cut_until.max(node.store_cut_until).max(self.store_down_until) > self.now;
        let return_delay = self.script.deployment.store_delay(index);
        // Time at which the host sent the call, on its own clock: the one-way delay, the processing
        // time and the added latency ago.
        let sent = self
            .host_clock(index)
            .saturating_sub(return_delay + STORE_PROCESSING_TIME + self.added_store_latency());
        let answer = match &call {
            _ if unreachable => None,
            Action::ReadHead => Some(Event::HeadRead { sent, revision: self.store.read_head() }),
            Action::ReadRecords => Some(Event::RecordsUpdated(self.store.read_records())),
            Action::Write { ticket, write } => {
                let outcome = self.store.write(write);
                Some(Event::WriteEnded { ticket: *ticket, outcome })
            }
            _ => None,
        };
        let answers_lost = self.answers_lost_until > self.now;
        let (delay, event) = match (answer, call) {
            (Some(event), _) if !answers_lost => (return_delay, event),
            (_, Action::Write { ticket, .. }) => {
                (STORE_TIMEOUT, Event::WriteEnded { ticket, outcome: WriteOutcome::Unknown })
            }
            _ => return,
        };
        self.schedule(self.now + delay, Task::HostEvent(index, incarnation, Box::new(event)));
    }

    /// Time since the start of a host on its own clock. Clocks of even indexes run slow, the others
    /// fast.
    fn host_clock(&self, index: usize) -> Duration {
        let drift =
            if index.is_multiple_of(2) { -CLOCK_DRIFT_FRACTION } else { CLOCK_DRIFT_FRACTION };
        let rate = 1.0 + drift;
        (self.now - self.nodes[index].started_at).mul_f64(rate)
    }

    fn start_host(&mut self, index: usize) {
        let incarnation = self.random.random::<u64>() | 1;
        let member = self.script.deployment.member(index, incarnation);
        let seeds = (0..self.script.hosts).filter(|other| *other != index);
        let seeds = seeds.map(|other| self.script.deployment.member(other, 0).peer).collect();
        let currency_source = match self.script.currency_source {
            script::CurrencySource::StoreOrMembers => CurrencySource::StoreOrMembers,
            script::CurrencySource::Store => CurrencySource::Store,
        };
        let mut random = StdRng::seed_from_u64(incarnation);
        let sender = Sender { host: member.host.clone(), incarnation, peer: member.peer };
        let identity = Identity { member, currency_source };
        let budget_policy = budget_policy(self.script.policy);
        let node = &mut self.nodes[index];
        let host = Host::new(identity, seeds, move || random.random());
        node.host = Some(host.with_budget_policy(budget_policy));
        node.sender = sender;
        node.started_at = self.now;
        node.paused_until = Duration::ZERO;
        node.borrowers.clear();
        // Random phase, so that hosts do not tick at the same time.
        let phase = TICK_INTERVAL.mul_f64(self.random.random());
        self.schedule(self.now + phase, Task::Tick(index, incarnation));
    }

    fn take_snapshots(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.host_clock(index);
            let node = &self.nodes[index];
            let Some(host) = &node.host else { continue };
            self.snapshots.push(Snapshot {
                at: self.now,
                host: index,
                incarnation: node.sender.incarnation,
                current: node.paused_until <= self.now && host.is_current(now),
                revision: host.catalog().revision(),
                members: host.members().len(),
            });
        }
        self.schedule(self.now + SNAPSHOT_INTERVAL, Task::Snapshot);
    }
}

impl Node {
    fn empty(script: &Script, index: usize) -> Self {
        let member = script.deployment.member(index, 0);
        Self {
            host: None,
            sender: Sender { host: member.host, incarnation: 0, peer: member.peer },
            started_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            borrowers: BTreeMap::new(),
        }
    }
}

/// Budget policy of the hosts for `policy`. A lease lasts as long as a confirmation of currency, so
/// that the policies are compared under the same tolerance of store outages.
fn budget_policy(policy: Policy) -> budget::Policy {
    match policy {
        Policy::Lending => budget::Policy::Lending,
        Policy::Fixed => budget::Policy::Fixed,
        Policy::Leased => budget::Policy::Leased { lease: CURRENCY_TERM },
    }
}
