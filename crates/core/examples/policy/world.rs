//! Simulation of the ledgers of eight hosts in virtual time, with network delays between them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use marjorampick_core::{
    budget::{Account, Budget, Ledger, Limit, Policy, Spare},
    constants::{BORROW_TIMEOUT, HEARTBEAT_INTERVAL},
    message::Message,
};

use crate::traffic::{Arrival, HOSTS, Random, Workspace};

/// Region index of each host.
const REGION_BY_HOST: [usize; HOSTS] = [0, 0, 0, 1, 1, 1, 2, 2];
/// One-way delay between hosts of the same region.
const INTRA_REGION_DELAY: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the traffic starts, in which the hosts' shares come into force and the buckets fill.
pub(crate) const WARM_UP: Duration = Duration::from_secs(10);
/// Time from the crash of a host to its removal from the members.
const REMOVAL_DELAY: Duration = Duration::from_millis(3_500);
/// Time from the removal to the new members being in force.
const IN_FORCE_DELAY: Duration = Duration::from_millis(3_100);

/// Network delay and failures during a run.
#[derive(Clone, Copy, Default)]
pub(crate) struct Conditions {
    /// One-way delay between hosts of different regions.
    pub(crate) inter_region_delay: Duration,
    /// When host 0 crashes, counted from the start of the traffic.
    pub(crate) crash_time: Option<Duration>,
    /// When the store becomes unreachable for the rest of the run, counted from the start of the
    /// traffic.
    pub(crate) outage_start: Option<Duration>,
}

/// Results of a run.
#[derive(Clone, Default)]
pub(crate) struct Counts {
    /// Arrival times of the admitted requests, for each workspace.
    pub(crate) admitted: Vec<Vec<Duration>>,
    /// Arrival times of the requests that were refused although a global limiter would have had a
    /// token.
    pub(crate) refused_within_rate: Vec<Duration>,
    /// Messages about loans.
    pub(crate) messages: u64,
    /// Waiting times of admitted requests that had to wait.
    pub(crate) waits: Vec<Duration>,
}

enum Event {
    Deliver { from: usize, to: usize, message: Message },
    Spare { from: usize, to: usize, spare: Vec<Spare> },
    Heartbeat(usize),
    Tick(usize),
    WaitTimeout(usize, usize),
    Crash,
    HostRemoved,
    MembersInForce,
    RenewLeases,
}

/// Token bucket for the requests of all hosts to one workspace.
#[derive(Clone)]
struct TokenBucket {
    tokens: f64,
    updated: Duration,
}

pub(crate) struct World<'a> {
    now: Duration,
    workspaces: &'a [Workspace],
    conditions: Conditions,
    policy: Policy,
    names: Vec<Arc<str>>,
    ledgers: Vec<Arc<Ledger>>,
    accounts: Vec<Vec<Arc<Account>>>,
    is_first_host_crashed: bool,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    event_bodies: HashMap<u64, Event>,
    last_event_number: u64,
    waiting: Vec<Vec<VecDeque<Duration>>>,
    /// One bucket per workspace that counts the admitted requests. It must never be overdrawn,
    /// since that would exceed the limit.
    limit_buckets: Vec<TokenBucket>,
    /// One bucket per workspace that also counts the requests refused although within the rate, so
    /// that each unspent token accounts for one such refusal at most.
    reference_buckets: Vec<TokenBucket>,
    counts: Counts,
}

fn budget(workspace: &Workspace) -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: workspace.name.into() }
}

impl<'a> World<'a> {
    /// Simulates the arrivals and returns the results.
    pub(crate) fn run(
        workspaces: &'a [Workspace],
        policy: Policy,
        conditions: Conditions,
        arrivals: &[Arrival],
    ) -> Counts {
        let mut world = Self::new(workspaces, policy, conditions);
        let mut random = Random(7);
        for arrival in arrivals {
            world.advance(WARM_UP + arrival.at);
            let mut host = arrival.host;
            while world.is_first_host_crashed && host == 0 {
                host = random.below(HOSTS);
            }
            world.arrive(host, arrival.workspace);
        }
        world.advance(world.now + BORROW_TIMEOUT * 2);
        world.counts
    }

    fn new(workspaces: &'a [Workspace], policy: Policy, conditions: Conditions) -> Self {
        let names: Vec<Arc<str>> = (0..HOSTS).map(|host| format!("host-{host}").into()).collect();
        let ledgers = ledgers(workspaces, policy, &names);
        let account = |ledger: &Arc<Ledger>, workspace| {
            let account = ledger.account(&budget(workspace));
            account.expect("every budget is configured")
        };
        let accounts = ledgers
            .iter()
            .map(|ledger| workspaces.iter().map(|workspace| account(ledger, workspace)).collect())
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            workspaces,
            conditions,
            policy,
            names,
            ledgers,
            accounts,
            is_first_host_crashed: false,
            events: BinaryHeap::new(),
            event_bodies: HashMap::new(),
            last_event_number: 0,
            waiting: vec![vec![VecDeque::new(); workspaces.len()]; HOSTS],
            limit_buckets: workspaces.iter().map(TokenBucket::new).collect(),
            reference_buckets: workspaces.iter().map(TokenBucket::new).collect(),
            counts: Counts { admitted: vec![Vec::new(); workspaces.len()], ..Counts::default() },
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for host in 0..HOSTS {
            let phase = Duration::from_millis(61 * host as u64);
            self.schedule(phase, Event::Heartbeat(host));
            self.schedule(phase / 5, Event::Tick(host));
        }
        self.schedule(Duration::ZERO, Event::RenewLeases);
        if let Some(crash_time) = self.conditions.crash_time {
            let crash_time = WARM_UP + crash_time;
            self.schedule(crash_time, Event::Crash);
            self.schedule(crash_time + REMOVAL_DELAY, Event::HostRemoved);
            self.schedule(crash_time + REMOVAL_DELAY + IN_FORCE_DELAY, Event::MembersInForce);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event_number += 1;
        self.events.push(Reverse((at, self.last_event_number)));
        self.event_bodies.insert(self.last_event_number, event);
    }

    fn advance(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.event_bodies.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, &message),
            Event::Spare { from, to, spare } => {
                let round_trip = self.delay(from, to) * 2;
                self.ledgers[to].record_round_trip(&self.names[from], round_trip);
                self.ledgers[to].record_spare(self.now, &self.names[from], &spare);
            }
            Event::Heartbeat(host) => self.heartbeat(host),
            Event::Tick(host) => self.tick(host),
            Event::WaitTimeout(host, workspace) => self.retry_waiting(host, workspace),
            Event::Crash => self.is_first_host_crashed = true,
            Event::HostRemoved => {
                for ledger in &self.ledgers[1..] {
                    ledger.set_members(self.now, &self.names[1..], 2);
                }
            }
            Event::MembersInForce => {
                for ledger in &self.ledgers[1..] {
                    ledger.mark_in_force(self.now, 2);
                }
            }
            Event::RenewLeases => self.renew_leases(),
        }
    }

    fn is_crashed(&self, host: usize) -> bool {
        self.is_first_host_crashed && host == 0
    }

    fn deliver(&mut self, from: usize, to: usize, message: &Message) {
        if self.is_crashed(to) {
            return;
        }
        let (ledger, peer) = (&self.ledgers[to], &self.names[from]);
        match message {
            Message::LoanRequest(request) => {
                let loan = ledger.lend(self.now, peer, request);
                self.send(to, from, Message::Loan(loan));
            }
            Message::Loan(loan) => {
                ledger.receive_loan(self.now, peer, loan);
                let index =
                    self.workspaces.iter().position(|workspace| budget(workspace) == loan.budget);
                if let Some(workspace) = index {
                    self.retry_waiting(to, workspace);
                }
            }
            _ => (),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.counts.messages += 1;
        let at = self.now + self.delay(from, to);
        self.schedule(at, Event::Deliver { from, to, message });
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        if REGION_BY_HOST[from] == REGION_BY_HOST[to] {
            INTRA_REGION_DELAY
        } else {
            self.conditions.inter_region_delay
        }
    }

    fn heartbeat(&mut self, host: usize) {
        if self.is_crashed(host) || self.policy == Policy::Omniscient {
            return;
        }
        let spare = self.ledgers[host].spare(self.now);
        for to in (0..HOSTS).filter(|to| *to != host) {
            let at = self.now + self.delay(host, to);
            let (from, spare) = (host, spare.clone());
            self.schedule(at, Event::Spare { from, to, spare });
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, Event::Heartbeat(host));
    }

    fn tick(&mut self, host: usize) {
        if self.is_crashed(host) || self.policy == Policy::Omniscient {
            return;
        }
        for outgoing in self.ledgers[host].tick(self.now) {
            let to = self.names.iter().position(|name| *name == outgoing.host);
            self.send(host, to.expect("peers have names"), outgoing.message);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick(host));
    }

    fn renew_leases(&mut self) {
        let Policy::Leased { lease } = self.policy else {
            return;
        };
        let is_store_down = self.conditions.outage_start.is_some_and(|at| WARM_UP + at <= self.now);
        if !is_store_down {
            self.ledgers.iter().for_each(|ledger| ledger.renew_lease(self.now));
        }
        self.schedule(self.now + lease / 3, Event::RenewLeases);
    }

    /// Admits a request, lets it wait for a loan, or refuses it.
    fn arrive(&mut self, host: usize, workspace: usize) {
        if self.accounts[host][workspace].take(self.now, 1).is_ok() {
            self.admit(workspace, self.now);
        } else if self.borrow(host, workspace) {
            self.waiting[host][workspace].push_back(self.now);
            let deadline = self.now + BORROW_TIMEOUT;
            self.schedule(deadline, Event::WaitTimeout(host, workspace));
        } else {
            self.refuse(workspace, self.now);
        }
    }

    /// Asks a peer to lend one token. Returns whether a loan is pending, so that the request can
    /// wait.
    fn borrow(&mut self, host: usize, workspace: usize) -> bool {
        let budget = budget(&self.workspaces[workspace]);
        let ledger = self.ledgers[host].clone();
        let Some((lender, request)) = ledger.request_loan(self.now, &budget, 1) else {
            return ledger.is_borrowing(self.now, &budget);
        };
        let to = self.names.iter().position(|name| *name == lender);
        let to = to.expect("peers have names");
        self.send(host, to, Message::LoanRequest(request));
        true
    }

    /// Tries the waiting requests again, and refuses those that have waited for [`BORROW_TIMEOUT`].
    fn retry_waiting(&mut self, host: usize, workspace: usize) {
        if self.is_crashed(host) {
            return;
        }
        for arrived in std::mem::take(&mut self.waiting[host][workspace]) {
            let taken = self.accounts[host][workspace].retry_take(self.now, 1);
            if taken.is_ok() {
                self.counts.waits.push(self.now - arrived);
                self.admit(workspace, arrived);
            } else if arrived + BORROW_TIMEOUT > self.now && self.borrow(host, workspace) {
                self.waiting[host][workspace].push_back(arrived);
            } else {
                self.refuse(workspace, arrived);
            }
        }
    }

    fn admit(&mut self, workspace: usize, arrived: Duration) {
        let limit = &self.workspaces[workspace];
        let remaining = self.limit_buckets[workspace].spend(self.now, limit);
        let name = limit.name;
        assert!(remaining > -1e-3, "{name} exceeds its limit at {arrived:?}");
        self.reference_buckets[workspace].spend(self.now, limit);
        self.counts.admitted[workspace].push(arrived - WARM_UP);
    }

    fn refuse(&mut self, workspace: usize, arrived: Duration) {
        let limit = &self.workspaces[workspace];
        let reference = &mut self.reference_buckets[workspace];
        if reference.refill(self.now, limit) >= 1.0 {
            reference.tokens -= 1.0;
            self.counts.refused_within_rate.push(arrived - WARM_UP);
        }
    }
}

impl TokenBucket {
    fn new(workspace: &Workspace) -> Self {
        Self { tokens: workspace.burst as f64, updated: Duration::ZERO }
    }

    /// Adds the tokens gained since the last call and returns the number of tokens.
    fn refill(&mut self, now: Duration, workspace: &Workspace) -> f64 {
        let refilled = (now - self.updated).as_secs_f64() * workspace.rate;
        self.tokens = (self.tokens + refilled).min(workspace.burst as f64);
        self.updated = now;
        self.tokens
    }

    /// Takes one token and returns the number of tokens left, which may be negative.
    fn spend(&mut self, now: Duration, workspace: &Workspace) -> f64 {
        self.tokens = self.refill(now, workspace) - 1.0;
        self.tokens
    }
}

/// One ledger for each host, with all shares in force. With [`Policy::Omniscient`] all hosts share
/// the same ledger.
fn ledgers(workspaces: &[Workspace], policy: Policy, names: &[Arc<str>]) -> Vec<Arc<Ledger>> {
    let limit =
        |workspace: &Workspace| (budget(workspace), Limit::rate(workspace.rate, workspace.burst));
    let limits: Vec<(Budget, Limit)> = workspaces.iter().map(limit).collect();
    let create_ledger = |host: usize| {
        let ledger = Ledger::new(names[host].clone(), host as u64, policy);
        ledger.configure(Duration::ZERO, &limits, 1);
        ledger.set_members(Duration::ZERO, names, 1);
        ledger.mark_in_force(Duration::ZERO, 1);
        Arc::new(ledger)
    };
    if policy == Policy::Omniscient {
        return vec![create_ledger(0); HOSTS];
    }
    (0..HOSTS).map(create_ledger).collect()
}
