//! Ledgers of eight hosts in virtual time, with delays between them.

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

const REGION_OF: [usize; HOSTS] = [0, 0, 0, 1, 1, 1, 2, 2];
const IN_REGION: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Traffic starts when all shares are settled and the buckets had time to fill.
pub(crate) const WARM_UP: Duration = Duration::from_secs(10);
/// From the death of a host to the change of members, and on to its being in force.
const REMOVED_AFTER: Duration = Duration::from_millis(3_500);
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_100);

/// What happens besides the traffic.
#[derive(Clone, Copy, Default)]
pub(crate) struct Conditions {
    /// One-way delay between regions.
    pub(crate) between_regions: Duration,
    /// When host 0 dies, counted from the start of the traffic.
    pub(crate) death: Option<Duration>,
    /// From when on the store is away, counted likewise.
    pub(crate) outage: Option<Duration>,
}

/// What a run counted.
#[derive(Clone, Default)]
pub(crate) struct Figures {
    /// Admitted requests with the time of their arrival, for each workspace.
    pub(crate) admitted: Vec<Vec<Duration>>,
    /// Times of the requests refused although a limiter that saw everything would have had a token.
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
    TimedOut(usize, usize),
    Death,
    Removed,
    InForce,
    Renew,
}

/// Bucket that sees the requests of all hosts.
#[derive(Clone)]
struct Shadow {
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
    dead: bool,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    scheduled: u64,
    waiting: Vec<Vec<VecDeque<Duration>>>,
    /// See the admitted requests, and must never be overdrawn.
    bounds: Vec<Shadow>,
    /// See the admitted requests and those refused although within the rate, so that an unspent
    /// token counts for one refusal only.
    judges: Vec<Shadow>,
    figures: Figures,
}

fn budget(workspace: &Workspace) -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: workspace.name.into() }
}

impl<'a> World<'a> {
    /// Runs the arrivals and answers what was admitted.
    pub(crate) fn run(
        workspaces: &'a [Workspace],
        policy: Policy,
        conditions: Conditions,
        arrivals: &[Arrival],
    ) -> Figures {
        let mut world = Self::new(workspaces, policy, conditions);
        let mut random = Random(7);
        for arrival in arrivals {
            world.advance(WARM_UP + arrival.at);
            let mut host = arrival.host;
            while world.dead && host == 0 {
                host = random.below(HOSTS);
            }
            world.arrive(host, arrival.workspace);
        }
        world.advance(world.now + BORROW_TIMEOUT * 2);
        world.figures
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
            .map(|ledger| workspaces.iter().map(|one| account(ledger, one)).collect())
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            workspaces,
            conditions,
            policy,
            names,
            ledgers,
            accounts,
            dead: false,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            scheduled: 0,
            waiting: vec![vec![VecDeque::new(); workspaces.len()]; HOSTS],
            bounds: workspaces.iter().map(Shadow::new).collect(),
            judges: workspaces.iter().map(Shadow::new).collect(),
            figures: Figures { admitted: vec![Vec::new(); workspaces.len()], ..Figures::default() },
        };
        world.schedule_first();
        world
    }

    fn schedule_first(&mut self) {
        for host in 0..HOSTS {
            let phase = Duration::from_millis(61 * host as u64);
            self.schedule(phase, Event::Heartbeat(host));
            self.schedule(phase / 5, Event::Tick(host));
        }
        self.schedule(Duration::ZERO, Event::Renew);
        if let Some(death) = self.conditions.death {
            let death = WARM_UP + death;
            self.schedule(death, Event::Death);
            self.schedule(death + REMOVED_AFTER, Event::Removed);
            self.schedule(death + REMOVED_AFTER + IN_FORCE_AFTER, Event::InForce);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled)));
        self.bodies.insert(self.scheduled, event);
    }

    fn advance(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.bodies.remove(&number) {
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
            Event::TimedOut(host, workspace) => self.wake(host, workspace),
            Event::Death => self.dead = true,
            Event::Removed => {
                for ledger in &self.ledgers[1..] {
                    ledger.set_members(self.now, &self.names[1..], 2);
                }
            }
            Event::InForce => {
                for ledger in &self.ledgers[1..] {
                    ledger.mark_in_force(self.now, 2);
                }
            }
            Event::Renew => self.renew(),
        }
    }

    fn is_dead(&self, host: usize) -> bool {
        self.dead && host == 0
    }

    fn deliver(&mut self, from: usize, to: usize, message: &Message) {
        if self.is_dead(to) {
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
                let place =
                    self.workspaces.iter().position(|workspace| budget(workspace) == loan.budget);
                if let Some(workspace) = place {
                    self.wake(to, workspace);
                }
            }
            _ => (),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.figures.messages += 1;
        let at = self.now + self.delay(from, to);
        self.schedule(at, Event::Deliver { from, to, message });
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        if REGION_OF[from] == REGION_OF[to] { IN_REGION } else { self.conditions.between_regions }
    }

    fn heartbeat(&mut self, host: usize) {
        if self.is_dead(host) || self.policy == Policy::Omniscient {
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
        if self.is_dead(host) || self.policy == Policy::Omniscient {
            return;
        }
        for send in self.ledgers[host].tick(self.now) {
            let to = self.names.iter().position(|name| *name == send.host);
            self.send(host, to.expect("peers have names"), send.message);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick(host));
    }

    fn renew(&mut self) {
        let Policy::Leased { lease } = self.policy else {
            return;
        };
        let away = self.conditions.outage.is_some_and(|at| WARM_UP + at <= self.now);
        if !away {
            self.ledgers.iter().for_each(|ledger| ledger.renew_lease(self.now));
        }
        self.schedule(self.now + lease / 3, Event::Renew);
    }

    /// Admits a request, or lets it wait for a loan.
    fn arrive(&mut self, host: usize, workspace: usize) {
        if self.accounts[host][workspace].take(self.now, 1).is_ok() {
            self.admit(workspace, self.now);
        } else if self.borrow(host, workspace) {
            self.waiting[host][workspace].push_back(self.now);
            let deadline = self.now + BORROW_TIMEOUT;
            self.schedule(deadline, Event::TimedOut(host, workspace));
        } else {
            self.refuse(workspace, self.now);
        }
    }

    /// Asks for one token. Answers whether it is worth waiting.
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

    /// Lets the waiting requests try again.
    fn wake(&mut self, host: usize, workspace: usize) {
        if self.is_dead(host) {
            return;
        }
        for arrived in std::mem::take(&mut self.waiting[host][workspace]) {
            let taken = self.accounts[host][workspace].retry_take(self.now, 1);
            if taken.is_ok() {
                self.figures.waits.push(self.now - arrived);
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
        let left = self.bounds[workspace].spend(self.now, limit);
        let name = limit.name;
        assert!(left > -1e-3, "{name} exceeds its limit at {arrived:?}");
        self.judges[workspace].spend(self.now, limit);
        self.figures.admitted[workspace].push(arrived - WARM_UP);
    }

    fn refuse(&mut self, workspace: usize, arrived: Duration) {
        let limit = &self.workspaces[workspace];
        let judge = &mut self.judges[workspace];
        if judge.advance(self.now, limit) >= 1.0 {
            judge.tokens -= 1.0;
            self.figures.refused_within_rate.push(arrived - WARM_UP);
        }
    }
}

impl Shadow {
    fn new(workspace: &Workspace) -> Self {
        Self { tokens: workspace.burst as f64, updated: Duration::ZERO }
    }

    fn advance(&mut self, now: Duration, workspace: &Workspace) -> f64 {
        let gained = (now - self.updated).as_secs_f64() * workspace.rate;
        self.tokens = (self.tokens + gained).min(workspace.burst as f64);
        self.updated = now;
        self.tokens
    }

    fn spend(&mut self, now: Duration, workspace: &Workspace) -> f64 {
        self.tokens = self.advance(now, workspace) - 1.0;
        self.tokens
    }
}

/// One ledger for each host, all settled; the omniscient one is shared by all hosts.
fn ledgers(workspaces: &[Workspace], policy: Policy, names: &[Arc<str>]) -> Vec<Arc<Ledger>> {
    let limit = |one: &Workspace| (budget(one), Limit::rate(one.rate, one.burst));
    let limits: Vec<(Budget, Limit)> = workspaces.iter().map(limit).collect();
    let open = |host: usize| {
        let ledger = Ledger::new(names[host].clone(), host as u64, policy);
        ledger.configure(Duration::ZERO, &limits, 1);
        ledger.set_members(Duration::ZERO, names, 1);
        ledger.mark_in_force(Duration::ZERO, 1);
        Arc::new(ledger)
    };
    if policy == Policy::Omniscient {
        return vec![open(0); HOSTS];
    }
    (0..HOSTS).map(open).collect()
}
