//! Drives hosts in virtual time.

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
    judge::{CLOCK_SPREAD, Ledger, Limit, Traffic},
    network::host_at,
    script::{self, Evidence, Policy, Script},
    store::Store,
};

mod callers;
mod events;

/// The one service of a scenario.
pub const SERVICE: &str = "status";

const TICK: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const STORE_WORK: Duration = Duration::from_millis(2);
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// One entry host of the scenario.
struct Slot {
    host: Option<Host>,
    sender: Sender,
    started: Duration,
    paused_until: Duration,
    cut_until: Duration,
    store_cut_until: Duration,
    waiting: BTreeMap<Budget, Vec<Request>>,
}

#[derive(Clone, Debug)]
struct Request {
    workspace: Arc<str>,
    arrived: Duration,
    /// Questions to lenders that are left.
    rounds: u32,
}

/// Something that happens at a moment.
enum Occurrence {
    Tick(usize, u64),
    Arrival(usize),
    GiveUp(usize, Budget, Duration),
    Event(usize, u64, Box<Event>),
    StoreCall(usize, u64, Box<Action>),
    Script(usize),
    Probe,
}

/// An edit and what became of it.
#[derive(Clone, Debug)]
pub struct EditRecord {
    /// When the operator made it.
    pub at: Duration,
    /// When it was answered, and how.
    pub answer: Option<(Duration, EditOutcome)>,
    limit: Option<(Arc<str>, Limit)>,
}

/// What one host knew at one moment.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Moment of the probe.
    pub at: Duration,
    /// Index of the host.
    pub host: usize,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Whether the host was current.
    pub current: bool,
    /// Revision of the host.
    pub revision: u64,
    /// Number of members in the host's table.
    pub members: usize,
}

/// Hosts, network, store and callers of one run.
pub struct World {
    script: Script,
    now: Duration,
    random: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    next: u64,
    slots: Vec<Slot>,
    store: Store,
    store_down_until: Duration,
    store_slow: (Duration, Duration),
    answers_lost_until: Duration,
    loss: (f64, Duration),
    gone: Vec<usize>,
    limits: Vec<script::Workspace>,
    /// Workspaces whose keys were withdrawn.
    withdrawn: Vec<Arc<str>>,
    /// Traffic by workspace.
    pub traffic: Ledger,
    /// Edits in the order in which they were made.
    pub edits: Vec<EditRecord>,
    /// Probes of every running host.
    pub probes: Vec<Probe>,
}

impl World {
    /// The world of `script` before its first event.
    pub fn new(script: &Script, seed: u64) -> Self {
        let traffic = script.workspaces.iter().map(|w| (w.name.clone(), Traffic::new(w)));
        let mut world = Self {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            next: 0,
            slots: Vec::new(),
            store: Store::default(),
            store_down_until: Duration::ZERO,
            store_slow: (Duration::ZERO, Duration::ZERO),
            answers_lost_until: Duration::ZERO,
            loss: (0.0, Duration::ZERO),
            gone: Vec::new(),
            limits: script.workspaces.clone(),
            withdrawn: Vec::new(),
            traffic: traffic.collect(),
            edits: Vec::new(),
            probes: Vec::new(),
            script: script.clone(),
        };
        world.prepare();
        world
    }

    /// Runs to the end of the script.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.script.end {
                break;
            }
            self.now = at;
            if let Some(occurrence) = self.occurrences.remove(&number) {
                self.perform(occurrence);
            }
        }
    }

    /// Calls that reached the store.
    pub fn store_calls(&self) -> u64 {
        self.store.calls
    }

    fn prepare(&mut self) {
        let text = self.document();
        let write = marjorampick_core::host::event::Write {
            expected_head: 0,
            key: Arc::from(format!("documents/{SERVICE}")),
            value: text,
            id: 0,
        };
        self.store.write(&write);
        for index in 0..self.script.hosts {
            self.slots.push(Slot::empty(&self.script, index));
            self.start(index);
        }
        for index in 0..self.script.events.len() {
            self.schedule(self.script.events[index].at, Occurrence::Script(index));
        }
        for index in 0..self.script.loads.len() {
            self.schedule(self.script.loads[index].from, Occurrence::Arrival(index));
        }
        self.schedule(PROBE_INTERVAL, Occurrence::Probe);
    }

    fn schedule(&mut self, at: Duration, occurrence: Occurrence) {
        self.next += 1;
        self.occurrences.insert(self.next, occurrence);
        self.queue.push(Reverse((at.max(self.now), self.next)));
    }

    fn perform(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Tick(index, incarnation) => self.tick(index, incarnation),
            Occurrence::Event(index, incarnation, event) => self.event(index, incarnation, *event),
            Occurrence::StoreCall(index, incarnation, call) => {
                self.store_call(index, incarnation, *call);
            }
            Occurrence::Arrival(load) => self.arrival(load),
            Occurrence::GiveUp(index, budget, arrived) => {
                let waiting = self.slots[index].waiting.entry(budget).or_default();
                waiting.retain(|request| request.arrived != arrived);
            }
            Occurrence::Script(index) => self.script_event(index),
            Occurrence::Probe => self.probe(),
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        let slot = &self.slots[index];
        if slot.host.is_none() || slot.sender.incarnation != incarnation {
            return;
        }
        let resumed = slot.paused_until.max(self.now);
        if resumed == self.now {
            let now = self.clock(index);
            let actions = self.slots[index].host.as_mut().map(|host| host.tick(now));
            self.act(index, actions.unwrap_or_default());
        }
        self.schedule(resumed.max(self.now + TICK), Occurrence::Tick(index, incarnation));
    }

    fn event(&mut self, index: usize, incarnation: u64, event: Event) {
        let slot = &self.slots[index];
        if slot.host.is_none() || slot.sender.incarnation != incarnation {
            return;
        }
        if slot.paused_until > self.now {
            let resumed = slot.paused_until;
            return self.schedule(resumed, Occurrence::Event(index, incarnation, Box::new(event)));
        }
        let now = self.clock(index);
        let actions = self.slots[index].host.as_mut().map(|host| host.handle(now, event));
        self.act(index, actions.unwrap_or_default());
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(index, host_at(to), message),
                Action::ReadHead | Action::ReadRecords | Action::Write { .. } => {
                    let delay =
                        self.script.deployment.store_delay(index) + STORE_WORK + self.slowness();
                    let incarnation = self.slots[index].sender.incarnation;
                    let call = Occurrence::StoreCall(index, incarnation, Box::new(action));
                    self.schedule(self.now + delay, call);
                }
                Action::ReportEdit { ticket, outcome } => self.edited(ticket, outcome),
                Action::WakeBorrowers(budget) => self.retry(index, &budget),
                Action::Stop => self.slots[index].host = None,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: marjorampick_core::message::Message) {
        let cut = |slot: &Slot| slot.cut_until > self.now;
        let (rate, until) = self.loss;
        let lost = self.now < until && self.random.random::<f64>() * 100.0 < rate;
        if to >= self.slots.len() || cut(&self.slots[from]) || cut(&self.slots[to]) || lost {
            return;
        }
        let envelope = Envelope { from: self.slots[from].sender.clone(), message };
        let jitter = Duration::from_micros(self.random.random_range(0..200));
        let at = self.now + self.script.deployment.delay(from, to) + jitter;
        let incarnation = self.slots[to].sender.incarnation;
        self.schedule(
            at,
            Occurrence::Event(to, incarnation, Box::new(Event::MessageReceived(envelope))),
        );
    }

    fn slowness(&self) -> Duration {
        let (delay, until) = self.store_slow;
        if self.now < until { delay } else { Duration::ZERO }
    }

    /// Performs a call at the store and sends the answer back.
    fn store_call(&mut self, index: usize, incarnation: u64, call: Action) {
        let slot = &self.slots[index];
        let unreachable =
            slot.cut_until.max(slot.store_cut_until).max(self.store_down_until) > self.now;
        let back = self.script.deployment.store_delay(index);
        // The call was sent one way earlier, on the host's clock.
        let sent = self.clock(index).saturating_sub(back + STORE_WORK + self.slowness());
        let answer = match &call {
            _ if unreachable => None,
            Action::ReadHead => Some(Event::HeadRead { sent, revision: self.store.head() }),
            Action::ReadRecords => Some(Event::RecordsUpdated(self.store.read())),
            Action::Write { ticket, write } => {
                let result = self.store.write(write);
                Some(Event::WriteEnded { ticket: *ticket, outcome: result })
            }
            _ => None,
        };
        let lost = self.answers_lost_until > self.now;
        let (delay, event) = match (answer, call) {
            (Some(event), _) if !lost => (back, event),
            (_, Action::Write { ticket, .. }) => {
                (STORE_TIMEOUT, Event::WriteEnded { ticket, outcome: WriteOutcome::Unknown })
            }
            _ => return,
        };
        self.schedule(self.now + delay, Occurrence::Event(index, incarnation, Box::new(event)));
    }

    /// Time on the host's own clock, which runs a little fast or slow.
    fn clock(&self, index: usize) -> Duration {
        let error = if index.is_multiple_of(2) { -CLOCK_SPREAD } else { CLOCK_SPREAD };
        let rate = 1.0 + error;
        (self.now - self.slots[index].started).mul_f64(rate)
    }

    fn start(&mut self, index: usize) {
        let incarnation = self.random.random::<u64>() | 1;
        let member = self.script.deployment.member(index, incarnation);
        let seeds = (0..self.script.hosts).filter(|other| *other != index);
        let seeds = seeds.map(|other| self.script.deployment.member(other, 0).peer).collect();
        let currency_source = match self.script.evidence {
            Evidence::StoreOrMembers => CurrencySource::StoreOrMembers,
            Evidence::Store => CurrencySource::Store,
        };
        let mut random = StdRng::seed_from_u64(incarnation);
        let sender = Sender { host: member.host.clone(), incarnation, peer: member.peer };
        let identity = Identity { member, currency_source };
        let settings = settings(self.script.policy);
        let slot = &mut self.slots[index];
        let host = Host::new(identity, seeds, move || random.random());
        slot.host = Some(host.with_budget_settings(settings));
        slot.sender = sender;
        slot.started = self.now;
        slot.paused_until = Duration::ZERO;
        slot.waiting.clear();
        // Hosts do not tick in step.
        let phase = TICK.mul_f64(self.random.random());
        self.schedule(self.now + phase, Occurrence::Tick(index, incarnation));
    }

    fn probe(&mut self) {
        for index in 0..self.slots.len() {
            let now = self.clock(index);
            let slot = &self.slots[index];
            let Some(host) = &slot.host else { continue };
            self.probes.push(Probe {
                at: self.now,
                host: index,
                incarnation: slot.sender.incarnation,
                current: slot.paused_until <= self.now && host.is_current(now),
                revision: host.catalog().revision(),
                members: host.members().len(),
            });
        }
        self.schedule(self.now + PROBE_INTERVAL, Occurrence::Probe);
    }
}

impl Slot {
    fn empty(script: &Script, index: usize) -> Self {
        let member = script.deployment.member(index, 0);
        Self {
            host: None,
            sender: Sender { host: member.host, incarnation: 0, peer: member.peer },
            started: Duration::ZERO,
            paused_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            waiting: BTreeMap::new(),
        }
    }
}

/// How hosts spend under `policy`. The lease lasts as long as a confirmation of currency, so that both
/// baselines are compared under the same patience with the store.
fn settings(policy: Policy) -> budget::Policy {
    match policy {
        Policy::Lending => budget::Policy::Lending,
        Policy::Fixed => budget::Policy::Fixed,
        Policy::Leased => budget::Policy::Leased { lease: CURRENCY_TERM },
    }
}
