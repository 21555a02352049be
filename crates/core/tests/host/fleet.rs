//! A fleet of hosts in virtual time, with a network and a store whose faults the tests set.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::store::Store;
use marjorampick_core::{
    budget::Budget,
    claim::{Name, Verdict},
    constants::IN_FORCE_BOUND,
    host::{
        CurrencySource, Host, Identity,
        event::{Action, Edit, EditOutcome, Event, ListedHost, ListedState, Write, WriteOutcome},
    },
    member::Member,
    message::Envelope,
};

/// Number of hosts in a full fleet. The addresses of as many hosts are the seeds of every host.
pub(crate) const HOSTS: usize = 8;

/// Service whose tokens [`Fleet`] spends once it has a document, which must have [`SPENT_RATE`] as
/// rate and burst.
pub(crate) const SPENT_SERVICE: &str = "uploads";
/// Rate in tokens per second, and burst in tokens.
pub(crate) const SPENT_RATE: u64 = 320;

pub(crate) const TICK: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// SplitMix64 random number generator.
#[derive(Default)]
pub(crate) struct Random(pub u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }

    fn duration_below_ms(&mut self, limit_ms: u64) -> Duration {
        Duration::from_micros(self.next() % (limit_ms * 1000).max(1))
    }
}

pub(crate) struct Node {
    pub(crate) host: Host,
    pub(crate) member: Member,
    pub(crate) alive: bool,
    pub(crate) paused_until: Duration,
    /// Network partition; hosts reach each other only within a partition.
    pub(crate) partition: u8,
    pub(crate) reaches_store: bool,
    /// Whether the host has returned [`Action::Stop`].
    pub(crate) stopped: bool,
    /// Actions that the host returned for its request path.
    pub(crate) reported: Vec<Action>,
    started: Duration,
    /// Rate of the host's clock in thousandths of the rate of virtual time.
    clock_rate_permille: u32,
}

impl Node {
    /// Time on the host's clock.
    pub(crate) fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started) * self.clock_rate_permille / 1000
    }

    pub(crate) fn is_current(&self, now: Duration) -> bool {
        self.alive && self.host.is_current(self.local_time(now))
    }
}

enum Delivery {
    Tick,
    Event(Event),
    StoreCall(StoreCall),
}

/// A call of a host to the store.
struct StoreCall {
    action: Action,
    sent: Duration,
    /// Sending time on the host's clock.
    sent_local: Duration,
    /// Whether the call reaches the store only after [`STORE_TIMEOUT`], so that the host gives up
    /// first.
    timed_out: bool,
}

/// An edit that was sent to a host.
pub(crate) struct SubmittedEdit {
    pub(crate) id: u64,
    pub(crate) outcome: Option<(Duration, EditOutcome)>,
}

#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) random: Random,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    /// Percentage of messages between hosts that are lost.
    pub(crate) loss_percent: u64,
    /// Percentage of messages between hosts that are delivered twice.
    pub(crate) duplicate_percent: u64,
    /// Limit of the random delay of messages between hosts, in milliseconds.
    pub(crate) delay_limit_ms: u64,
    pub(crate) source: CurrencySource,
    pub(crate) edits: Vec<SubmittedEdit>,
    /// Node, incarnation and delivery by time and order of scheduling.
    queue: BTreeMap<(Duration, u64), (usize, u64, Delivery)>,
    next_order: u64,
    /// Largest revision seen of each incarnation.
    largest_revisions: BTreeMap<u64, u64>,
    /// Largest revision that any host takes as in force, or that was accepted at least
    /// [`IN_FORCE_BOUND`] ago.
    largest_in_force: u64,
    granted_claims: BTreeSet<u64>,
    /// Tokens of the budget of [`SPENT_SERVICE`] spent by all hosts.
    pub(crate) spent_tokens: f64,
    /// Smallest difference so far between the spent tokens and those that the rate has yielded.
    lowest_excess: f64,
}

impl Fleet {
    /// Creates `count` hosts that start at the same time, with an empty store.
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let store = Store { up: true, delay_limit_ms: 5, ..Store::default() };
        let mut fleet = Self { random: Random(seed), store, delay_limit_ms: 25, ..Self::default() };
        (0..count).for_each(|index| fleet.start(index));
        fleet
    }

    /// Creates a fleet and runs it until every host is a member.
    pub(crate) fn formed(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed, count);
        fleet.run_ms(6000);
        let sizes = fleet.nodes.iter().map(|n| n.host.members().len());
        assert_eq!(sizes.min(), Some(count), "every host knows all members");
        fleet
    }

    /// Starts a process as node `index`, replacing an earlier one.
    pub(crate) fn start(&mut self, index: usize) {
        self.start_as(index, index);
    }

    /// Starts a process as node `index`, replacing an earlier one, with the host name of node
    /// `name`.
    pub(crate) fn start_as(&mut self, index: usize, name: usize) {
        let mut random = Random(self.random.next());
        let member = Member {
            host: Arc::from(format!("host-{name}")),
            incarnation: random.next(),
            region: Arc::from(format!("region-{}", index % 3)),
            domain: Arc::from(format!("domain-{}", index % 6)),
            peer: address(index),
            callers: SocketAddr::from(([127, 0, 0, 1], 2000 + index as u16)),
        };
        let identity = Identity { member: member.clone(), currency_source: self.source };
        let clock_rate_permille = 996 + (random.next() % 9) as u32;
        let node = Node {
            host: Host::new(identity, (0..HOSTS).map(address).collect(), move || random.next()),
            member,
            alive: true,
            paused_until: self.now,
            partition: 0,
            reaches_store: true,
            stopped: false,
            reported: Vec::new(),
            started: self.now,
            clock_rate_permille,
        };
        match self.nodes.get_mut(index) {
            Some(place) => *place = node,
            None => self.nodes.push(node),
        }
        self.schedule(index, Duration::ZERO, Delivery::Tick);
    }

    /// Runs the fleet for some virtual time and checks the invariants after every delivery.
    pub(crate) fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), (index, incarnation, delivery)) = entry.remove_entry();
            self.now = at;
            let node = &self.nodes[index];
            let gone = !node.alive || node.member.incarnation != incarnation;
            let wait = node.paused_until.saturating_sub(at);
            match delivery {
                Delivery::StoreCall(call) => self.run_store_call(index, incarnation, &call),
                _ if gone => {}
                _ if wait > Duration::ZERO => self.schedule(index, wait, delivery),
                _ => self.deliver(index, delivery),
            }
            self.check_invariants();
        }
        self.now = end;
    }

    /// Sends an edit of `service` to node `index` and returns its index in `edits`.
    pub(crate) fn edit(&mut self, index: usize, service: &str, base: u64, rate: u64) -> usize {
        let id = self.random.next();
        let edit = Edit {
            service: Arc::from(service),
            base_revision: base,
            text: Arc::from(document(service, rate)),
            id,
        };
        let ticket = self.edits.len() as u64;
        self.edits.push(SubmittedEdit { id, outcome: None });
        self.send_event(index, Event::Edit { ticket, edit });
        ticket as usize
    }

    pub(crate) fn send_event(&mut self, index: usize, event: Event) {
        self.schedule(index, Duration::ZERO, Delivery::Event(event));
    }

    /// Sends every node a list of hosts from the platform, in which the hosts in `gone` are gone,
    /// all others are live, and there are `backends` live backend servers of `signing` in
    /// `ee-north`.
    pub(crate) fn send_host_list(&mut self, gone: &BTreeSet<usize>, backends: usize) {
        let nodes = self.nodes.iter().enumerate();
        let hosts = nodes.map(|(index, node)| {
            let live = !gone.contains(&index);
            listed(&node.member.host, None, live)
        });
        let backends = (0..backends).map(|one| listed(&one.to_string(), Some("signing"), true));
        let list: Vec<ListedHost> = hosts.chain(backends).collect();
        (0..self.nodes.len())
            .for_each(|index| self.send_event(index, Event::HostsListed(list.clone())));
    }

    pub(crate) fn edit_outcome(&self, edit: usize) -> Option<&EditOutcome> {
        self.edits[edit].outcome.as_ref().map(|(_, outcome)| outcome)
    }

    /// Indexes of the hosts that are current now.
    pub(crate) fn current_hosts(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let current = nodes.filter(|(_, node)| node.is_current(self.now));
        current.map(|(index, _)| index).collect()
    }

    fn schedule(&mut self, index: usize, wait: Duration, delivery: Delivery) {
        self.next_order += 1;
        let incarnation = self.nodes[index].member.incarnation;
        let key = (self.now + wait, self.next_order);
        self.queue.insert(key, (index, incarnation, delivery));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let local = self.nodes[index].local_time(self.now);
        let actions = match delivery {
            Delivery::Tick => {
                self.schedule(index, TICK, Delivery::Tick);
                self.spend(index, local);
                self.nodes[index].host.tick(local)
            }
            Delivery::Event(event) => self.nodes[index].host.handle(local, event),
            Delivery::StoreCall(_) => Vec::new(),
        };
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let from = self.nodes[index].member.sender();
                let envelope = Envelope { from, message };
                let copies = 1 + u8::from(self.random.percent(self.duplicate_percent));
                (0..copies).for_each(|_| self.send(index, to, envelope.clone()));
            }
            Action::ReadHead | Action::ReadRecords | Action::Write { .. } => {
                self.schedule_store_call(index, action);
            }
            Action::ReportEdit { ticket, outcome } => {
                self.record_edit_outcome(ticket as usize, outcome);
            }
            Action::Stop => {
                self.nodes[index].stopped = true;
                self.nodes[index].alive = false;
            }
            Action::ReportClaim { ticket, verdict: Verdict::Granted } => {
                assert!(self.granted_claims.insert(ticket), "the claim was granted twice");
                self.nodes[index].reported.push(action);
            }
            reported => self.nodes[index].reported.push(reported),
        }
    }

    /// Schedules a call to reach the store after a random delay. A write that would reach it too
    /// late still does so, but the host is told at the timeout that its outcome is unknown.
    fn schedule_store_call(&mut self, index: usize, action: Action) {
        let wait = self.random.duration_below_ms(self.store.delay_limit_ms);
        let timed_out = wait >= STORE_TIMEOUT;
        if let (true, Action::Write { ticket, .. }) = (timed_out, &action) {
            self.schedule(index, STORE_TIMEOUT, Delivery::Event(unknown(*ticket)));
        }
        let call = StoreCall {
            action,
            sent: self.now,
            sent_local: self.nodes[index].local_time(self.now),
            timed_out,
        };
        self.schedule(index, wait, Delivery::StoreCall(call));
    }

    /// Executes a call that has reached the store, and schedules the answer unless it is lost.
    fn run_store_call(&mut self, index: usize, incarnation: u64, call: &StoreCall) {
        let reached = self.store.up && self.nodes[index].reaches_store;
        let answer = match &call.action {
            Action::ReadHead => {
                Event::HeadRead { sent: call.sent_local, revision: self.store.head }
            }
            Action::Write { ticket, write } if reached => {
                Event::WriteEnded { ticket: *ticket, outcome: self.store.write(write) }
            }
            Action::Write { ticket, .. } => unknown(*ticket),
            _ => Event::RecordsUpdated(self.store.update()),
        };
        let lost = !reached || self.random.percent(self.store.lost_answers_percent);
        let return_delay = self.random.duration_below_ms(self.store.delay_limit_ms);
        let late = self.now + return_delay > call.sent + STORE_TIMEOUT;
        let (at, event) = match &call.action {
            _ if call.timed_out => return,
            Action::Write { ticket, .. } if lost || late => {
                (call.sent + STORE_TIMEOUT, unknown(*ticket))
            }
            _ if lost => return,
            _ => (self.now + return_delay, answer),
        };
        self.next_order += 1;
        let entry = (index, incarnation, Delivery::Event(event));
        self.queue.insert((at.max(self.now), self.next_order), entry);
    }

    fn record_edit_outcome(&mut self, edit: usize, outcome: EditOutcome) {
        let submitted = &mut self.edits[edit];
        assert!(submitted.outcome.is_none(), "an edit is answered once");
        if let EditOutcome::Accepted { revision } = outcome {
            let written = |(at, write): &(u64, Write)| *at == revision && write.id == submitted.id;
            assert!(self.store.log.iter().any(written), "accepted edits are stored");
        }
        submitted.outcome = Some((self.now, outcome));
    }

    /// Checks that no host's revision decreases and that every current host has the revision in
    /// force (docs/design.md §3, row 12).
    fn check_invariants(&mut self) {
        let due = |submitted: &SubmittedEdit| match &submitted.outcome {
            Some((at, EditOutcome::Accepted { revision })) if *at + IN_FORCE_BOUND <= self.now => {
                *revision
            }
            _ => 0,
        };
        let accepted = self.edits.iter().map(due).max().unwrap_or(0);
        let in_force = self.nodes.iter().map(|node| node.host.in_force_revision()).max();
        self.largest_in_force = self.largest_in_force.max(in_force.unwrap_or(0)).max(accepted);
        for node in &self.nodes {
            let revision = node.host.catalog().revision();
            let seen = self.largest_revisions.entry(node.member.incarnation).or_default();
            assert!(revision >= *seen, "the revision of {} decreased", node.member.host);
            *seen = revision;
            assert!(
                revision >= self.largest_in_force || !node.is_current(self.now),
                "{} is current at {revision}, but {} is in force",
                node.member.host,
                self.largest_in_force
            );
        }
    }

    /// Spends all tokens of [`SPENT_SERVICE`] that a current host has, for 3 s out of every 6 s so
    /// that the burst fills up again. Over all hosts, no window of time may see more tokens than
    /// the burst plus the yield of the rate (docs/design.md §7).
    fn spend(&mut self, index: usize, local: Duration) {
        let account = self.nodes[index].host.ledger().account(&budget(SPENT_SERVICE));
        let spends = self.nodes[index].is_current(self.now) && self.now.as_secs() % 6 < 3;
        let Some(account) = account.filter(|_| spends) else {
            return;
        };
        let amount = account.available(local);
        account.take(local, amount).expect("the amount is available");
        let yielded = 1.01 * SPENT_RATE as f64 * self.now.as_secs_f64();
        self.lowest_excess = self.lowest_excess.min(self.spent_tokens - yielded);
        self.spent_tokens += amount as f64;
        let most = self.spent_tokens - yielded - self.lowest_excess;
        assert!(most <= SPENT_RATE as f64, "{most} tokens spent at once");
        if amount == 0 && self.random.percent(5) {
            self.request_tokens(index, SPENT_SERVICE);
        }
    }

    /// Sends node `index` a request of its request path for tokens of a service.
    pub(crate) fn request_tokens(&mut self, index: usize, service: &str) {
        let (budget, wanted) = (budget(service), 5);
        self.send_event(index, Event::TokensNeeded { budget, wanted });
    }

    /// Requests a claim with the number `key` from node `index`.
    pub(crate) fn claim(&mut self, index: usize, key: u64) {
        let name = Name {
            service: Arc::from("signing"),
            workspace: Arc::from("anchor"),
            key: Arc::from(format!("{key}")),
        };
        let (ticket, fingerprint) = (key, 1);
        self.send_event(index, Event::Claim { ticket, name, fingerprint });
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = self.nodes.iter().position(|node| node.member.peer == to) else {
            return;
        };
        let cut = self.nodes[from].partition != self.nodes[to].partition;
        if cut || self.random.percent(self.loss_percent) {
            return;
        }
        let wait = self.random.duration_below_ms(self.delay_limit_ms);
        self.schedule(to, wait, Delivery::Event(Event::MessageReceived(envelope)));
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

/// Budget of the workspace in the [`document`] of a service.
pub(crate) fn budget(service: &str) -> Budget {
    Budget::Workspace { service: Arc::from(service), workspace: Arc::from("anchor") }
}

pub(crate) fn document(service: &str, rate: u64) -> String {
    format!(
        "service = \"{service}\"\n[[route]]\npath = \"/\"\nclass = \"look-up\"\n[[region]]\n\
         name = \"ee-north\"\nweight = 1\nslots_per_backend = 7\n[[workspace]]\nname = \"anchor\"\n\
         rate_per_second = {rate}\nburst = {rate}\n"
    )
}

fn unknown(ticket: u64) -> Event {
    Event::WriteEnded { ticket, outcome: WriteOutcome::Unknown }
}

fn listed(name: &str, service: Option<&str>, live: bool) -> ListedHost {
    ListedHost {
        name: Arc::from(name),
        service: service.map(Arc::from),
        region: Arc::from("ee-north"),
        domain: Arc::from("domain"),
        address: address(0),
        state: [ListedState::Gone, ListedState::Live][usize::from(live)],
    }
}
