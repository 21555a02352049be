//! No mix of versions, lost, late or duplicated messages, pauses and clock drift admits more than a
//! limit allows (docs/design.md §3, rows 2 and 6).

use std::{sync::Arc, time::Duration};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::{
    budget::{Ledger, Limit, Policy},
    message::Message,
};
use node::{Change, Node, Steps, slots, tokens};

mod node;

/// Seeds that the test runs, so that every run gives the same verdict.
const SEEDS: std::ops::Range<u64> = 0..60;
/// Random bytes of one run.
const ENTROPY: u64 = 60_000;
const STEPS: usize = 1_500;
/// Longest time that a request of the test occupies a slot.
const LONGEST: Duration = Duration::from_millis(700);
/// Time in which every loan of tokens ends, also on the slowest clock.
const TOKENS_SETTLE: Duration = Duration::from_nanos(2_000_000_000 * 100 / 99 + 1);
/// Time in which every request on borrowed slots ends, also on the slowest clock.
const SLOTS_SETTLE: Duration = Duration::from_nanos(10_700_000_000 * 100 / 99 + 1);

struct Packet {
    arrives: Duration,
    from: Arc<str>,
    to: Arc<str>,
    message: Message,
}

struct World {
    now: Duration,
    chain: Vec<Change>,
    nodes: Vec<Node>,
    packets: Vec<Packet>,
    /// Requests of hosts that are gone still occupy their slots.
    orphans: Vec<Duration>,
    /// Time and tokens.
    admitted: Vec<(Duration, u64)>,
    lent: u64,
    /// Whether every host sees every limit, so that no limit counts before it is settled.
    strict: bool,
}

fn chance(u: &mut Unstructured<'_>, percent: u8) -> Result<bool> {
    Ok(u.int_in_range(0..=99)? < percent)
}

impl World {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut world = Self {
            now: Duration::from_secs(1),
            chain: Vec::new(),
            nodes: Vec::new(),
            packets: Vec::new(),
            orphans: Vec::new(),
            admitted: Vec::new(),
            lent: 0,
            strict: u.arbitrary()?,
        };
        for name in ["a", "b", "c", "d"] {
            world.start(u, name.into())?;
        }
        let members = world.nodes.iter().map(|node| (node.name.clone(), node.incarnation));
        world.chain.push(Change {
            members: members.collect(),
            rate: Limit::rate(40.0, 20),
            slots: Limit::Concurrency { slots: 9, max_duration: LONGEST },
            published: world.now,
            in_force: Some(world.now),
        });
        for index in 0..world.nodes.len() {
            world.nodes[index].learn(world.now, &world.chain, 1, Steps::All);
        }
        world.tell_in_force();
        Ok(world)
    }

    fn start(&mut self, u: &mut Unstructured<'_>, name: Arc<str>) -> Result<()> {
        let incarnation = u.arbitrary()?;
        self.nodes.push(Node {
            ledger: Ledger::new(name.clone(), incarnation, Policy::Lending),
            name,
            incarnation,
            speed: u.int_in_range(990..=1_000)?,
            known: 0,
            current: true,
            paused_until: Duration::ZERO,
            running: Vec::new(),
        });
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let longest = if chance(u, 2)? { 3_000_000 } else { 40_000 };
        self.now += Duration::from_micros(u.int_in_range(0..=longest)?);
        self.end_requests();
        self.deliver(u)?;
        let index = u.choose_index(self.nodes.len())?;
        if self.nodes[index].paused_until > self.now {
            return Ok(());
        }
        match u.int_in_range(0..=99)? {
            0..=59 => self.request(u, index)?,
            60..=73 => self.tick(u, index)?,
            74..=84 => self.heartbeat(index),
            85..=93 => self.learn(u, index)?,
            94 => self.publish(u)?,
            95..=96 => self.bring_in_force(u)?,
            97..=98 => self.tell_in_force(),
            _ => {
                let pause = Duration::from_millis(u.int_in_range(0..=4_000)?);
                self.nodes[index].paused_until = self.now + pause;
            }
        }
        self.check_slots();
        Ok(())
    }

    fn end_requests(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let before = node.running.len();
            node.running.retain(|end| *end > now);
            let ended = (before - node.running.len()) as u64;
            let account = node.ledger.account(&slots());
            if let Some(account) = account.filter(|_| ended > 0) {
                account.release(node.clock(now), ended);
            }
        }
        self.orphans.retain(|end| *end > now);
    }

    /// Takes tokens and slots until the host is short, then asks for loans.
    fn request(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &mut self.nodes[index];
        let clock = node.clock(self.now);
        let accounts = node.ledger.account(&tokens()).zip(node.ledger.account(&slots()));
        let Some((rate, concurrency)) = accounts.filter(|_| node.current) else {
            return Ok(());
        };
        for _ in 0..u.int_in_range(1..=6)? {
            let amount = u.int_in_range(1..=2)?;
            if rate.take(clock, amount).is_ok() {
                self.admitted.push((self.now, amount));
            }
            if concurrency.take(clock, 1).is_ok() {
                let shortest = if chance(u, 30)? { LONGEST } else { Duration::ZERO };
                let time = shortest.max(Duration::from_millis(u.int_in_range(1..=700)?));
                node.running.push(self.now + time * 1_000 / node.speed);
            }
        }
        let wanted = u.int_in_range(1..=4)?;
        let requests: Vec<_> = [tokens(), slots()]
            .iter()
            .filter_map(|budget| node.ledger.request_loan(clock, budget, wanted))
            .collect();
        let from = node.name.clone();
        for (to, request) in requests {
            self.send(u, &from, &to, &Message::LoanRequest(request))?;
        }
        Ok(())
    }

    /// Sends a message that may be lost, late or duplicated.
    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        from: &Arc<str>,
        to: &Arc<str>,
        message: &Message,
    ) -> Result<()> {
        let copies = match u.int_in_range(0..=19)? {
            0 => 0,
            1 | 2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let longest = if chance(u, 10)? { 3_000 } else { 60 };
            self.packets.push(Packet {
                arrives: self.now + Duration::from_millis(u.int_in_range(0..=longest)?),
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let due: Vec<Packet> =
            self.packets.extract_if(.., |packet| packet.arrives <= now).collect();
        for mut packet in due {
            let Some(node) = self.nodes.iter().find(|node| node.name == packet.to) else {
                continue;
            };
            if node.paused_until > now {
                packet.arrives = node.paused_until;
                self.packets.push(packet);
                continue;
            }
            let clock = node.clock(now);
            match &packet.message {
                Message::LoanRequest(request) if node.current => {
                    let loan = node.ledger.lend(clock, &packet.from, request);
                    self.lent += loan.tokens;
                    self.send(u, &packet.to, &packet.from, &Message::Loan(loan))?;
                }
                Message::Loan(loan) => node.ledger.receive_loan(clock, &packet.from, loan),
                Message::LoanReturn(loan) => node.ledger.receive_return(clock, &packet.from, loan),
                _ => (),
            }
        }
        Ok(())
    }

    fn tick(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &self.nodes[index];
        let from = node.name.clone();
        for send in node.ledger.tick(node.clock(self.now)) {
            self.send(u, &from, &send.host, &send.message)?;
        }
        Ok(())
    }

    fn heartbeat(&self, index: usize) {
        let node = &self.nodes[index];
        let spare = node.ledger.spare(node.clock(self.now));
        for peer in self.nodes.iter().filter(|peer| peer.name != node.name) {
            peer.ledger.record_spare(peer.clock(self.now), &node.name, &spare);
        }
    }

    fn learn(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &mut self.nodes[index];
        if node.known < self.chain.len() {
            let revision = u.int_in_range(node.known + 1..=self.chain.len())?;
            let steps = match u.int_in_range(0..=2)? {
                _ if self.strict => Steps::All,
                0 => Steps::All,
                1 => Steps::Members,
                _ => Steps::Last,
            };
            node.learn(self.now, &self.chain, revision, steps);
        }
        Ok(())
    }

    /// Publishes a join, a leave, a restart or an edit of the limits.
    fn publish(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut change = self.chain.last().expect("the chain has a first change").clone();
        change.published = self.now;
        change.in_force = None;
        match u.int_in_range(0..=3)? {
            0 if self.nodes.len() < 6 => {
                let name = Arc::from(format!("n{}", self.chain.len()));
                self.start(u, name)?;
                let node = self.nodes.last().expect("just started");
                change.members.push((node.name.clone(), node.incarnation));
            }
            1 if change.members.len() > 2 => {
                let index = u.choose_index(change.members.len())?;
                change.members.remove(index);
            }
            2 => {
                let index = u.choose_index(change.members.len())?;
                let name = change.members[index].0.clone();
                let place = self.nodes.iter().position(|node| node.name == name);
                let old = self.nodes.remove(place.expect("members have nodes"));
                self.orphans.extend(old.running);
                self.start(u, name)?;
                let node = self.nodes.last().expect("just started");
                change.members[index].1 = node.incarnation;
            }
            _ => {
                change.rate =
                    Limit::rate(f64::from(u.int_in_range(5..=60)?), u.int_in_range(1..=30)?);
                change.slots =
                    Limit::Concurrency { slots: u.int_in_range(1..=16)?, max_duration: LONGEST };
            }
        }
        self.chain.push(change);
        Ok(())
    }

    /// Brings a change in force: whoever does not know it is not current from now on.
    fn bring_in_force(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let revision = u.int_in_range(1..=self.chain.len())?;
        for change in &mut self.chain[..revision] {
            change.in_force.get_or_insert(self.now);
        }
        for node in &mut self.nodes {
            node.current &= node.known >= revision;
        }
        Ok(())
    }

    fn tell_in_force(&self) {
        let newest = self.chain.iter().rposition(|change| change.in_force.is_some());
        for node in self.nodes.iter().filter(|node| node.paused_until <= self.now) {
            let revision = newest.map_or(0, |index| index + 1).min(node.known);
            node.ledger.mark_in_force(node.clock(self.now), revision as u64);
        }
    }

    /// The changes that bind at `now`: from the newest one whose predecessors' grants have all ended
    /// to the newest one that some host may have learned without seeing those in between.
    fn binding(&self, now: Duration, delay: Duration) -> &[Change] {
        let settled = |change: &Change| change.in_force.is_some_and(|at| at + delay <= now);
        let first = self.chain.iter().rposition(settled);
        let last = self.chain.iter().rposition(|change| change.published <= now);
        match (first, last) {
            (Some(first), Some(last)) => {
                &self.chain[first..=if self.strict { first } else { last }]
            }
            _ => &[],
        }
    }

    fn check_slots(&self) {
        let running = self.nodes.iter().map(|node| node.running.len());
        let used = running.sum::<usize>() + self.orphans.len();
        let binding = self.binding(self.now, SLOTS_SETTLE).iter();
        let limit = binding.map(|change| match change.slots {
            Limit::Concurrency { slots, .. } => slots,
            Limit::Rate { .. } => 0,
        });
        let limit = limit.max().unwrap_or(0);
        assert!(used as u64 <= limit, "{used} slots of {limit} in use at {:?}", self.now);
    }

    /// Rate in thousandths per second and burst that bind at `now`.
    fn rate(&self, now: Duration) -> (u128, u128) {
        let binding = self.binding(now, TOKENS_SETTLE).iter();
        let limits = binding.map(|change| match change.rate {
            Limit::Rate { millitokens_per_second, burst } => {
                (u128::from(millitokens_per_second), u128::from(burst))
            }
            Limit::Concurrency { .. } => (0, 0),
        });
        limits.fold((0, 0), |(rate, burst), limit| (rate.max(limit.0), burst.max(limit.1)))
    }

    /// Checks the window between every pair of admitted moments, in thousandths of a token times
    /// nanoseconds per second.
    fn check_windows(&self) {
        let settled = self.chain.iter().filter_map(|change| change.in_force);
        let mut moments: Vec<Duration> = settled.map(|at| at + TOKENS_SETTLE).collect();
        moments.extend(self.chain.iter().map(|change| change.published));
        moments.extend(self.admitted.iter().map(|(at, _)| *at));
        moments.sort();
        let mut gained = std::collections::HashMap::from([(Duration::ZERO, 0_u128)]);
        let (mut last, mut sum) = (Duration::ZERO, 0);
        for at in moments {
            sum += self.rate(last).0 * (at - last).as_nanos();
            gained.insert(at, sum);
            last = at;
        }
        let unit = 1_000 * 1_000_000_000_u128;
        for (index, (start, _)) in self.admitted.iter().enumerate() {
            let burst = self.rate(*start).1 * unit;
            let mut total = 0;
            for (end, amount) in &self.admitted[index..] {
                total += u128::from(*amount) * unit;
                let allowed = burst + gained[end] - gained[start];
                assert!(total <= allowed, "{total} of {allowed} in {start:?}..{end:?}");
            }
        }
    }
}

/// Guards against any way in which shares, loans, versions or late messages add up to more than the
/// limit.
#[test]
fn no_window_exceeds_the_limit() {
    let (mut admitted, mut lent) = (0, 0);
    for seed in SEEDS {
        arbtest(|u| {
            let mut world = World::new(u)?;
            for _ in 0..STEPS {
                world.step(u)?;
            }
            world.check_windows();
            admitted += world.admitted.len();
            lent += world.lent;
            Ok(())
        })
        .seed(seed << 32 | ENTROPY)
        .run();
    }
    println!("{admitted} requests admitted, {lent} tokens and slots lent");
    assert!(admitted > 10_000 && lent > 5_000, "{admitted} admitted, {lent} lent: too few to tell");
}
