//! A fleet of hosts in virtual time, with a network and a store that fail as the test says.

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

/// Hosts of a fleet that are seeds of each other.
pub(crate) const HOSTS: usize = 8;

/// Service whose rate [`Fleet`] spends once there is a document, with [`SPENT_RATE`] as rate and
/// burst.
pub(crate) const SPENT: &str = "uploads";
pub(crate) const SPENT_RATE: u64 = 320;

pub(crate) const TICK: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// SplitMix64.
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

    fn millis(&mut self, below: u64) -> Duration {
        Duration::from_micros(self.next() % (below * 1000).max(1))
    }
}

pub(crate) struct Node {
    pub(crate) host: Host,
    pub(crate) member: Member,
    pub(crate) alive: bool,
    pub(crate) paused_until: Duration,
    /// Group of hosts that can reach each other.
    pub(crate) group: u8,
    pub(crate) sees_store: bool,
    pub(crate) left: bool,
    /// What the host told its request path.
    pub(crate) told: Vec<Action>,
    started: Duration,
    /// Rate of the host's clock in thousandths of the true rate.
    rate: u32,
}

impl Node {
    pub(crate) fn local(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started) * self.rate / 1000
    }

    pub(crate) fn is_current(&self, now: Duration) -> bool {
        self.alive && self.host.is_current(self.local(now))
    }
}

enum Delivery {
    Tick,
    Event(Event),
    Ask(Ask),
}

/// A question to the store.
struct Ask {
    action: Action,
    sent: Duration,
    /// The same on the host's clock.
    local: Duration,
    /// The host was told that no answer came.
    given_up: bool,
}

/// An edit that was given to a host.
pub(crate) struct Asked {
    pub(crate) id: u64,
    pub(crate) ended: Option<(Duration, EditOutcome)>,
}

#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) random: Random,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    pub(crate) loss: u64,
    pub(crate) duplicates: u64,
    pub(crate) delay: u64,
    pub(crate) source: CurrencySource,
    pub(crate) edits: Vec<Asked>,
    queue: BTreeMap<(Duration, u64), (usize, u64, Delivery)>,
    order: u64,
    revisions: BTreeMap<u64, u64>,
    in_force: u64,
    granted: BTreeSet<u64>,
    /// Tokens of the budget of [`SPENT`] spent by all hosts.
    pub(crate) spent: f64,
    lowest: f64,
}

impl Fleet {
    /// `count` hosts that start at the same time, with an empty store.
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let store = Store { up: true, delay: 5, ..Store::default() };
        let mut fleet = Self { random: Random(seed), store, delay: 25, ..Self::default() };
        (0..count).for_each(|index| fleet.start(index));
        fleet
    }

    /// A fleet that had the time to form.
    pub(crate) fn formed(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed, count);
        fleet.run_ms(6000);
        let sizes = fleet.nodes.iter().map(|n| n.host.members().len());
        assert_eq!(sizes.min(), Some(count), "the fleet formed");
        fleet
    }

    /// Starts a process at the place of node `index`; an earlier one there is dead.
    pub(crate) fn start(&mut self, index: usize) {
        self.start_as(index, index);
    }

    /// Starts a process at the place of node `index` with the name of node `name`.
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
        let rate = 996 + (random.next() % 9) as u32;
        let node = Node {
            host: Host::new(identity, (0..HOSTS).map(address).collect(), move || random.next()),
            member,
            alive: true,
            paused_until: self.now,
            group: 0,
            sees_store: true,
            left: false,
            told: Vec::new(),
            started: self.now,
            rate,
        };
        match self.nodes.get_mut(index) {
            Some(place) => *place = node,
            None => self.nodes.push(node),
        }
        self.schedule(index, Duration::ZERO, Delivery::Tick);
    }

    pub(crate) fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), (index, incarnation, delivery)) = entry.remove_entry();
            self.now = at;
            let node = &self.nodes[index];
            let gone = !node.alive || node.member.incarnation != incarnation;
            let wait = node.paused_until.saturating_sub(at);
            match delivery {
                Delivery::Ask(ask) => self.ask(index, incarnation, &ask),
                _ if gone => {}
                _ if wait > Duration::ZERO => self.schedule(index, wait, delivery),
                _ => self.deliver(index, delivery),
            }
            self.check();
        }
        self.now = end;
    }

    /// Gives an edit of `service` to node `index` and answers its number in `edits`.
    pub(crate) fn edit(&mut self, index: usize, service: &str, base: u64, rate: u64) -> usize {
        let id = self.random.next();
        let edit = Edit {
            service: Arc::from(service),
            base_revision: base,
            text: Arc::from(document(service, rate)),
            id,
        };
        let ticket = self.edits.len() as u64;
        self.edits.push(Asked { id, ended: None });
        self.give(index, Event::Edit { ticket, edit });
        ticket as usize
    }

    pub(crate) fn give(&mut self, index: usize, event: Event) {
        self.schedule(index, Duration::ZERO, Delivery::Event(event));
    }

    /// The platform's list reports the hosts in `gone` as gone and all others as live, and
    /// `backends` live backend servers of `signing` in `ee-north`.
    pub(crate) fn list(&mut self, gone: &BTreeSet<usize>, backends: usize) {
        let nodes = self.nodes.iter().enumerate();
        let hosts = nodes.map(|(index, node)| {
            let live = !gone.contains(&index);
            listed(&node.member.host, None, live)
        });
        let backends = (0..backends).map(|one| listed(&one.to_string(), Some("signing"), true));
        let list: Vec<ListedHost> = hosts.chain(backends).collect();
        (0..self.nodes.len()).for_each(|index| self.give(index, Event::HostsListed(list.clone())));
    }

    pub(crate) fn ended(&self, edit: usize) -> Option<&EditOutcome> {
        self.edits[edit].ended.as_ref().map(|(_, edited)| edited)
    }

    /// Indexes of the hosts that are current now.
    pub(crate) fn current(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let current = nodes.filter(|(_, node)| node.is_current(self.now));
        current.map(|(index, _)| index).collect()
    }

    fn schedule(&mut self, index: usize, wait: Duration, delivery: Delivery) {
        self.order += 1;
        let incarnation = self.nodes[index].member.incarnation;
        let key = (self.now + wait, self.order);
        self.queue.insert(key, (index, incarnation, delivery));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let local = self.nodes[index].local(self.now);
        let actions = match delivery {
            Delivery::Tick => {
                self.schedule(index, TICK, Delivery::Tick);
                self.spend(index, local);
                self.nodes[index].host.tick(local)
            }
            Delivery::Event(event) => self.nodes[index].host.handle(local, event),
            Delivery::Ask(_) => Vec::new(),
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
                let copies = 1 + u8::from(self.random.percent(self.duplicates));
                (0..copies).for_each(|_| self.send(index, to, envelope.clone()));
            }
            Action::ReadHead | Action::ReadRecords | Action::Write { .. } => {
                self.ask_later(index, action);
            }
            Action::ReportEdit { ticket, outcome } => self.edited(ticket as usize, outcome),
            Action::Stop => {
                self.nodes[index].left = true;
                self.nodes[index].alive = false;
            }
            Action::ReportClaim { ticket, verdict: Verdict::Granted } => {
                assert!(self.granted.insert(ticket), "granted twice");
                self.nodes[index].told.push(action);
            }
            told => self.nodes[index].told.push(told),
        }
    }

    fn ask_later(&mut self, index: usize, action: Action) {
        let wait = self.random.millis(self.store.delay);
        let given_up = wait >= STORE_TIMEOUT;
        if let (true, Action::Write { ticket, .. }) = (given_up, &action) {
            self.schedule(index, STORE_TIMEOUT, Delivery::Event(unknown(*ticket)));
        }
        let ask =
            Ask { action, sent: self.now, local: self.nodes[index].local(self.now), given_up };
        self.schedule(index, wait, Delivery::Ask(ask));
    }

    /// The question has reached the store.
    fn ask(&mut self, index: usize, incarnation: u64, ask: &Ask) {
        let reached = self.store.up && self.nodes[index].sees_store;
        let answer = match &ask.action {
            Action::ReadHead => Event::HeadRead { sent: ask.local, revision: self.store.head },
            Action::Write { ticket, write } if reached => {
                Event::WriteEnded { ticket: *ticket, outcome: self.store.write(write) }
            }
            Action::Write { ticket, .. } => unknown(*ticket),
            _ => Event::RecordsUpdated(self.store.update()),
        };
        let lost = !reached || self.random.percent(self.store.lost_answers);
        let back = self.random.millis(self.store.delay);
        let late = self.now + back > ask.sent + STORE_TIMEOUT;
        let (at, event) = match &ask.action {
            _ if ask.given_up => return,
            Action::Write { ticket, .. } if lost || late => {
                (ask.sent + STORE_TIMEOUT, unknown(*ticket))
            }
            _ if lost => return,
            _ => (self.now + back, answer),
        };
        self.order += 1;
        let entry = (index, incarnation, Delivery::Event(event));
        self.queue.insert((at.max(self.now), self.order), entry);
    }

    fn edited(&mut self, edit: usize, edited: EditOutcome) {
        let asked = &mut self.edits[edit];
        assert!(asked.ended.is_none(), "an edit is answered once");
        if let EditOutcome::Accepted { revision } = edited {
            let written = |(at, write): &(u64, Write)| *at == revision && write.id == asked.id;
            assert!(self.store.log.iter().any(written), "accepted edits are in the chain");
        }
        asked.ended = Some((self.now, edited));
    }

    /// What must hold at any time (docs/design.md §3, row 12).
    fn check(&mut self) {
        let due = |asked: &Asked| match &asked.ended {
            Some((at, EditOutcome::Accepted { revision })) if *at + IN_FORCE_BOUND <= self.now => {
                *revision
            }
            _ => 0,
        };
        let accepted = self.edits.iter().map(due).max().unwrap_or(0);
        let claimed = self.nodes.iter().map(|node| node.host.in_force_revision()).max();
        self.in_force = self.in_force.max(claimed.unwrap_or(0)).max(accepted);
        for node in &self.nodes {
            let revision = node.host.catalog().revision();
            let seen = self.revisions.entry(node.member.incarnation).or_default();
            assert!(revision >= *seen, "{} went back", node.member.host);
            *seen = revision;
            assert!(
                revision >= self.in_force || !node.is_current(self.now),
                "{} is current at {revision}, but {} is in force",
                node.member.host,
                self.in_force
            );
        }
    }

    /// Spends all that a current host has of the budget of `SPENT`, in turns of 3 s so that the
    /// burst fills up again. Over all hosts, no window of time may see more than the burst and what
    /// the rate yields (docs/design.md §7).
    fn spend(&mut self, index: usize, local: Duration) {
        let account = self.nodes[index].host.ledger().account(&budget(SPENT));
        let spends = self.nodes[index].is_current(self.now) && self.now.as_secs() % 6 < 3;
        let Some(account) = account.filter(|_| spends) else {
            return;
        };
        let amount = account.available(local);
        account.take(local, amount).expect("the amount is available");
        let yielded = 1.01 * SPENT_RATE as f64 * self.now.as_secs_f64();
        self.lowest = self.lowest.min(self.spent - yielded);
        self.spent += amount as f64;
        let most = self.spent - yielded - self.lowest;
        assert!(most <= SPENT_RATE as f64, "{most} tokens spent at once");
        if amount == 0 && self.random.percent(5) {
            self.lack(index, SPENT);
        }
    }

    /// The request path of a host lacks tokens of a service.
    pub(crate) fn lack(&mut self, index: usize, service: &str) {
        let (budget, wanted) = (budget(service), 5);
        self.give(index, Event::TokensNeeded { budget, wanted });
    }

    /// Asks for the claim with the number `key`.
    pub(crate) fn claim(&mut self, index: usize, key: u64) {
        let name = Name {
            service: Arc::from("signing"),
            workspace: Arc::from("anchor"),
            key: Arc::from(format!("{key}")),
        };
        let (ticket, fingerprint) = (key, 1);
        self.give(index, Event::Claim { ticket, name, fingerprint });
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = self.nodes.iter().position(|node| node.member.peer == to) else {
            return;
        };
        let cut = self.nodes[from].group != self.nodes[to].group;
        if cut || self.random.percent(self.loss) {
            return;
        }
        let wait = self.random.millis(self.delay);
        self.schedule(to, wait, Delivery::Event(Event::MessageReceived(envelope)));
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

/// Budget of the workspace in [`document`].
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
