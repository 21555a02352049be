//! A fleet of hosts in virtual time, with a network and a store that fail as the test says.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use marjorampick_core::{
    budget::Budget,
    catalog::{Record, Update},
    claim::Verdict,
    constants::IN_FORCE_BOUND,
    host::{
        Host, Identity, Source,
        event::{Action, Edit, Edited, Event, Listed, ListedState, Write, Written},
    },
    member::{
        Member,
        roster::{self, Roster},
    },
    message::{Envelope, ServiceWeights},
};

/// Hosts of a fleet that are seeds of each other.
pub(crate) const HOSTS: usize = 8;

const TICK: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// SplitMix64.
#[derive(Clone)]
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

/// The store: records, the log of all writes, and its faults.
pub(crate) struct Store {
    pub(crate) up: bool,
    /// Percentage of answers that are lost.
    pub(crate) lost_answers: u64,
    /// Largest delay in each direction, in milliseconds.
    pub(crate) delay: u64,
    pub(crate) head: u64,
    pub(crate) records: BTreeMap<Arc<str>, Record>,
    pub(crate) log: Vec<(u64, Write)>,
}

impl Store {
    fn write(&mut self, write: &Write) -> Written {
        if self.head != write.head {
            return Written::Conflict;
        }
        if write.key.as_ref() == roster::KEY {
            let roster = Roster::parse(&write.value).expect("the record is valid");
            let before = self.records.get(&write.key).map_or(0, |r| r.revision);
            let replaced = roster.earlier.first().map_or(0, |table| table.revision);
            assert_eq!(replaced, before, "the tables form one chain");
        }
        // Other keys of the store take revisions, too.
        self.head += 3;
        let record = Record {
            key: write.key.clone(),
            revision: self.head,
            value: write.value.clone(),
        };
        self.records.insert(write.key.clone(), record);
        self.log.push((self.head, write.clone()));
        Written::Done {
            revision: self.head,
        }
    }

    fn update(&self) -> Update {
        Update {
            since: 0,
            through: self.head,
            records: self.records.values().cloned().collect(),
        }
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
    /// Budgets for which waiting requests were woken.
    pub(crate) woken: Vec<Budget>,
    /// Answers to claims by ticket.
    pub(crate) verdicts: BTreeMap<u64, Verdict>,
    /// Weights that a peer has sent.
    pub(crate) weights: Vec<ServiceWeights>,
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
    pub(crate) ended: Option<(Duration, Edited)>,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) random: Random,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    pub(crate) loss: u64,
    pub(crate) duplicates: u64,
    pub(crate) delay: u64,
    pub(crate) source: Source,
    pub(crate) edits: Vec<Asked>,
    queue: BTreeMap<(Duration, u64), (usize, u64, Delivery)>,
    order: u64,
    revisions: BTreeMap<u64, u64>,
    in_force: u64,
}

impl Fleet {
    /// `count` hosts that start at the same time, with an empty store.
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            random: Random(seed),
            nodes: Vec::new(),
            store: Store {
                up: true,
                lost_answers: 0,
                delay: 5,
                head: 0,
                records: BTreeMap::new(),
                log: Vec::new(),
            },
            loss: 0,
            duplicates: 0,
            delay: 25,
            source: Source::StoreOrMembers,
            edits: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            revisions: BTreeMap::new(),
            in_force: 0,
        };
        for index in 0..count {
            fleet.start(index);
        }
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
        let identity = Identity {
            member: member.clone(),
            currency: self.source,
        };
        let rate = 996 + (random.next() % 9) as u32;
        let node = Node {
            host: Host::new(identity, (0..HOSTS).map(address).collect(), move || {
                random.next()
            }),
            member,
            alive: true,
            paused_until: self.now,
            group: 0,
            sees_store: true,
            left: false,
            woken: Vec::new(),
            verdicts: BTreeMap::new(),
            weights: Vec::new(),
            started: self.now,
            rate,
        };
        if index < self.nodes.len() {
            self.nodes[index] = node;
        } else {
            self.nodes.push(node);
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
            base,
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

    /// The platform's list reports these hosts as gone and all others as live.
    pub(crate) fn list_gone(&mut self, gone: &BTreeSet<usize>) {
        let nodes = self.nodes.iter().enumerate();
        let listed = nodes.map(|(index, node)| {
            let state = match gone.contains(&index) {
                true => ListedState::Gone,
                false => ListedState::Live,
            };
            listed(&node.member.host, None, &node.member.region, state)
        });
        self.list(&listed.collect::<Vec<_>>());
    }

    /// The platform's list reports `count` live backend servers.
    pub(crate) fn list_backends(&mut self, service: &str, region: &str, count: usize) {
        let one = |index| {
            listed(
                &format!("{index}"),
                Some(service),
                region,
                ListedState::Live,
            )
        };
        self.list(&(0..count).map(one).collect::<Vec<_>>());
    }

    fn list(&mut self, list: &[Listed]) {
        for index in 0..self.nodes.len() {
            self.give(index, Event::Listed(list.to_vec()));
        }
    }

    pub(crate) fn ended(&self, edit: usize) -> Option<&Edited> {
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
            Action::Edited { ticket, edited } => self.edited(ticket as usize, edited),
            Action::Left => self.nodes[index].left = true,
            Action::Borrowed(budget) => self.nodes[index].woken.push(budget),
            Action::Weights(weights) => self.nodes[index].weights = weights,
            Action::Claimed { ticket, verdict } => {
                self.nodes[index].verdicts.insert(ticket, verdict);
            }
            Action::Publish => {}
        }
    }

    fn ask_later(&mut self, index: usize, action: Action) {
        let wait = self.random.millis(self.store.delay);
        let given_up = wait >= STORE_TIMEOUT;
        if let (true, Action::Write { ticket, .. }) = (given_up, &action) {
            self.schedule(index, STORE_TIMEOUT, Delivery::Event(unknown(*ticket)));
        }
        let ask = Ask {
            action,
            sent: self.now,
            local: self.nodes[index].local(self.now),
            given_up,
        };
        self.schedule(index, wait, Delivery::Ask(ask));
    }

    /// The question has reached the store.
    fn ask(&mut self, index: usize, incarnation: u64, ask: &Ask) {
        let reached = self.store.up && self.nodes[index].sees_store;
        let answer = match &ask.action {
            Action::ReadHead => Event::HeadRead {
                sent: ask.local,
                revision: self.store.head,
            },
            Action::Write { ticket, write } if reached => Event::Written {
                ticket: *ticket,
                result: self.store.write(write),
            },
            Action::Write { ticket, .. } => unknown(*ticket),
            _ => Event::Updated(self.store.update()),
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

    fn edited(&mut self, edit: usize, edited: Edited) {
        let asked = &mut self.edits[edit];
        assert!(asked.ended.is_none(), "an edit is answered once");
        if let Edited::Accepted { revision } = edited {
            let written = |(at, write): &(u64, Write)| *at == revision && write.id == asked.id;
            assert!(
                self.store.log.iter().any(written),
                "accepted edits are in the chain"
            );
        }
        asked.ended = Some((self.now, edited));
    }

    /// What must hold at any time (docs/design.md §3, row 12).
    fn check(&mut self) {
        let due = |asked: &Asked| match &asked.ended {
            Some((at, Edited::Accepted { revision })) if *at + IN_FORCE_BOUND <= self.now => {
                *revision
            }
            _ => 0,
        };
        let accepted = self.edits.iter().map(due).max().unwrap_or(0);
        let claimed = self.nodes.iter().map(|node| node.host.in_force()).max();
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

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = self.nodes.iter().position(|node| node.member.peer == to) else {
            return;
        };
        let cut = self.nodes[from].group != self.nodes[to].group;
        if cut || self.random.percent(self.loss) {
            return;
        }
        let wait = self.random.millis(self.delay);
        self.schedule(to, wait, Delivery::Event(Event::Received(envelope)));
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

pub(crate) fn document(service: &str, rate: u64) -> String {
    format!(
        "service = \"{service}\"\n[[route]]\npath = \"/\"\nclass = \"look-up\"\n[[region]]\n\
         name = \"ee-north\"\nweight = 1\nslots_per_backend = 7\n[[workspace]]\nname = \"anchor\"\n\
         rate_per_second = {rate}\nburst = {rate}\n"
    )
}

fn unknown(ticket: u64) -> Event {
    Event::Written {
        ticket,
        result: Written::Unknown,
    }
}

fn listed(name: &str, service: Option<&str>, region: &str, state: ListedState) -> Listed {
    Listed {
        name: Arc::from(name),
        service: service.map(Arc::from),
        region: Arc::from(region),
        domain: Arc::from("domain"),
        address: address(0),
        state,
    }
}
