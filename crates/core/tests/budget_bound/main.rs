//! Property test in simulated time: all hosts together never admit more than a limit allows, under
//! any mix of member and limit versions, lost, late or duplicated messages, pauses and clock drift
//! (docs/design.md §3, rows 2 and 6).

use std::{sync::Arc, time::Duration};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::{
    budget::{Ledger, Limit, Policy},
    message::Message,
};
use node::{Change, Node, Replay, slots, tokens};

mod node;

/// Fixed seeds, so that every run gives the same result.
const SEEDS: std::ops::Range<u64> = 0..60;
/// Size of the random input of one run.
const ENTROPY_BYTES: u64 = 60_000;
const STEPS_PER_RUN: usize = 1_500;
/// Longest time that a request occupies a slot.
const MAX_REQUEST_DURATION: Duration = Duration::from_millis(700);
/// Simulated time in which every loan of tokens ends, also on the slowest clock: 2 s with 1% drift.
const TOKEN_SETTLING_TIME: Duration = Duration::from_nanos(2_000_000_000 * 100 / 99 + 1);
/// Simulated time in which every request on borrowed slots ends, also on the slowest clock: the
/// loan term of 10 s and [`MAX_REQUEST_DURATION`], with 1% drift.
const SLOT_SETTLING_TIME: Duration = Duration::from_nanos(10_700_000_000 * 100 / 99 + 1);

/// Message in transit.
struct Packet {
    arrives_at: Duration,
    from: Arc<str>,
    to: Arc<str>,
    message: Message,
}

struct Simulation {
    now: Duration,
    /// All published changes, by revision.
    changes: Vec<Change>,
    nodes: Vec<Node>,
    packets: Vec<Packet>,
    /// When requests of replaced hosts end; until then they still occupy their slots.
    orphaned_requests: Vec<Duration>,
    /// Time and tokens of each admitted request.
    admitted: Vec<(Duration, u64)>,
    /// Tokens and slots lent in all.
    lent: u64,
    /// Whether every host applies every version of the limits, so that a limit may only be used
    /// once it has settled.
    sees_every_limit: bool,
}

fn chance(u: &mut Unstructured<'_>, percent: u8) -> Result<bool> {
    Ok(u.int_in_range(0..=99)? < percent)
}

impl Simulation {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut simulation = Self {
            now: Duration::from_secs(1),
            changes: Vec::new(),
            nodes: Vec::new(),
            packets: Vec::new(),
            orphaned_requests: Vec::new(),
            admitted: Vec::new(),
            lent: 0,
            sees_every_limit: u.arbitrary()?,
        };
        for name in ["a", "b", "c", "d"] {
            simulation.start_node(u, name.into())?;
        }
        let members = simulation.nodes.iter().map(|node| (node.name.clone(), node.incarnation));
        simulation.changes.push(Change {
            members: members.collect(),
            rate: Limit::rate(40.0, 20),
            slots: Limit::Concurrency { slots: 9, max_duration: MAX_REQUEST_DURATION },
            published_at: simulation.now,
            in_force_at: Some(simulation.now),
        });
        for index in 0..simulation.nodes.len() {
            simulation.nodes[index].apply_changes(
                simulation.now,
                &simulation.changes,
                1,
                Replay::All,
            );
        }
        simulation.announce_in_force();
        Ok(simulation)
    }

    fn start_node(&mut self, u: &mut Unstructured<'_>, name: Arc<str>) -> Result<()> {
        let incarnation = u.arbitrary()?;
        self.nodes.push(Node {
            ledger: Ledger::new(name.clone(), incarnation, Policy::Lending),
            name,
            incarnation,
            speed_per_mille: u.int_in_range(990..=1_000)?,
            known_revision: 0,
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
            85..=93 => self.apply_changes(u, index)?,
            94 => self.publish_change(u)?,
            95..=96 => self.bring_in_force(u)?,
            97..=98 => self.announce_in_force(),
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
                account.release(node.local_time(now), ended);
            }
        }
        self.orphaned_requests.retain(|end| *end > now);
    }

    /// Takes some tokens and slots, then requests a loan of each.
    fn request(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &mut self.nodes[index];
        let local_now = node.local_time(self.now);
        let accounts = node.ledger.account(&tokens()).zip(node.ledger.account(&slots()));
        let Some((rate, concurrency)) = accounts.filter(|_| node.current) else {
            return Ok(());
        };
        for _ in 0..u.int_in_range(1..=6)? {
            let amount = u.int_in_range(1..=2)?;
            if rate.take(local_now, amount).is_ok() {
                self.admitted.push((self.now, amount));
            }
            if concurrency.take(local_now, 1).is_ok() {
                let shortest = if chance(u, 30)? { MAX_REQUEST_DURATION } else { Duration::ZERO };
                let time = shortest.max(Duration::from_millis(u.int_in_range(1..=700)?));
                node.running.push(self.now + time * 1_000 / node.speed_per_mille);
            }
        }
        let wanted = u.int_in_range(1..=4)?;
        let requests: Vec<_> = [tokens(), slots()]
            .iter()
            .filter_map(|budget| node.ledger.request_loan(local_now, budget, wanted))
            .collect();
        let from = node.name.clone();
        for (to, request) in requests {
            self.send(u, &from, &to, &Message::LoanRequest(request))?;
        }
        Ok(())
    }

    /// Sends a message, which may be lost, delayed or duplicated.
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
                arrives_at: self.now + Duration::from_millis(u.int_in_range(0..=longest)?),
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
            self.packets.extract_if(.., |packet| packet.arrives_at <= now).collect();
        for mut packet in due {
            let Some(node) = self.nodes.iter().find(|node| node.name == packet.to) else {
                continue;
            };
            if node.paused_until > now {
                packet.arrives_at = node.paused_until;
                self.packets.push(packet);
                continue;
            }
            let local_now = node.local_time(now);
            match &packet.message {
                Message::LoanRequest(request) if node.current => {
                    let loan = node.ledger.lend(local_now, &packet.from, request);
                    self.lent += loan.tokens;
                    self.send(u, &packet.to, &packet.from, &Message::Loan(loan))?;
                }
                Message::Loan(loan) => node.ledger.receive_loan(local_now, &packet.from, loan),
                Message::LoanReturn(loan) => {
                    node.ledger.receive_return(local_now, &packet.from, loan);
                }
                _ => (),
            }
        }
        Ok(())
    }

    fn tick(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &self.nodes[index];
        let from = node.name.clone();
        for outgoing in node.ledger.tick(node.local_time(self.now)) {
            self.send(u, &from, &outgoing.host, &outgoing.message)?;
        }
        Ok(())
    }

    /// Reports the spare amounts of a host to all others, without loss or delay.
    fn heartbeat(&self, index: usize) {
        let node = &self.nodes[index];
        let spare = node.ledger.spare(node.local_time(self.now));
        for peer in self.nodes.iter().filter(|peer| peer.name != node.name) {
            peer.ledger.record_spare(peer.local_time(self.now), &node.name, &spare);
        }
    }

    fn apply_changes(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let node = &mut self.nodes[index];
        if node.known_revision < self.changes.len() {
            let revision = u.int_in_range(node.known_revision + 1..=self.changes.len())?;
            let replay = match u.int_in_range(0..=2)? {
                _ if self.sees_every_limit => Replay::All,
                0 => Replay::All,
                1 => Replay::Members,
                _ => Replay::Newest,
            };
            node.apply_changes(self.now, &self.changes, revision, replay);
        }
        Ok(())
    }

    /// Publishes a change: a host joins, leaves or restarts, or the limits are edited.
    fn publish_change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut change = self.changes.last().expect("there is a first change").clone();
        change.published_at = self.now;
        change.in_force_at = None;
        match u.int_in_range(0..=3)? {
            0 if self.nodes.len() < 6 => {
                let name = Arc::from(format!("n{}", self.changes.len()));
                self.start_node(u, name)?;
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
                let position = self.nodes.iter().position(|node| node.name == name);
                let old = self.nodes.remove(position.expect("members have nodes"));
                self.orphaned_requests.extend(old.running);
                self.start_node(u, name)?;
                let node = self.nodes.last().expect("just started");
                change.members[index].1 = node.incarnation;
            }
            _ => {
                change.rate =
                    Limit::rate(f64::from(u.int_in_range(5..=60)?), u.int_in_range(1..=30)?);
                change.slots = Limit::Concurrency {
                    slots: u.int_in_range(1..=16)?,
                    max_duration: MAX_REQUEST_DURATION,
                };
            }
        }
        self.changes.push(change);
        Ok(())
    }

    /// Puts the changes up to a random revision in force: a host that does not know it is not
    /// current from now on.
    fn bring_in_force(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let revision = u.int_in_range(1..=self.changes.len())?;
        for change in &mut self.changes[..revision] {
            change.in_force_at.get_or_insert(self.now);
        }
        for node in &mut self.nodes {
            node.current &= node.known_revision >= revision;
        }
        Ok(())
    }

    /// Tells each running host which of the changes it knows are in force.
    fn announce_in_force(&self) {
        let newest = self.changes.iter().rposition(|change| change.in_force_at.is_some());
        for node in self.nodes.iter().filter(|node| node.paused_until <= self.now) {
            let revision = newest.map_or(0, |index| index + 1).min(node.known_revision);
            node.ledger.mark_in_force(node.local_time(self.now), revision as u64);
        }
    }

    /// The changes whose limits hosts may use at `now`: from the newest settled one to the newest
    /// published one, which a host may have applied without those in between. Only the settled one
    /// if every host sees every limit.
    fn changes_in_effect(&self, now: Duration, settling_time: Duration) -> &[Change] {
        let settled =
            |change: &Change| change.in_force_at.is_some_and(|at| at + settling_time <= now);
        let first = self.changes.iter().rposition(settled);
        let last = self.changes.iter().rposition(|change| change.published_at <= now);
        match (first, last) {
            (Some(first), Some(last)) => {
                &self.changes[first..=if self.sees_every_limit { first } else { last }]
            }
            _ => &[],
        }
    }

    /// Asserts that no more slots are in use than the largest limit in effect allows.
    fn check_slots(&self) {
        let running = self.nodes.iter().map(|node| node.running.len());
        let used = running.sum::<usize>() + self.orphaned_requests.len();
        let in_effect = self.changes_in_effect(self.now, SLOT_SETTLING_TIME).iter();
        let limit = in_effect.map(|change| match change.slots {
            Limit::Concurrency { slots, .. } => slots,
            Limit::Rate { .. } => 0,
        });
        let limit = limit.max().unwrap_or(0);
        assert!(used as u64 <= limit, "{used} slots of {limit} in use at {:?}", self.now);
    }

    /// Largest rate, in thousandths of a token per second, and largest burst, in whole tokens, of
    /// the changes in effect at `now`.
    fn largest_rate_and_burst(&self, now: Duration) -> (u128, u128) {
        let in_effect = self.changes_in_effect(now, TOKEN_SETTLING_TIME).iter();
        let limits = in_effect.map(|change| match change.rate {
            Limit::Rate { millitokens_per_second, burst } => {
                (u128::from(millitokens_per_second), u128::from(burst))
            }
            Limit::Concurrency { .. } => (0, 0),
        });
        limits.fold((0, 0), |(rate, burst), limit| (rate.max(limit.0), burst.max(limit.1)))
    }

    /// Asserts for the window between each pair of admitted requests that the admitted tokens are
    /// at most the burst at its start plus what the rate yields in it. All amounts are in
    /// billionths of a thousandth of a token.
    fn check_windows(&self) {
        let settled = self.changes.iter().filter_map(|change| change.in_force_at);
        let mut times: Vec<Duration> = settled.map(|at| at + TOKEN_SETTLING_TIME).collect();
        times.extend(self.changes.iter().map(|change| change.published_at));
        times.extend(self.admitted.iter().map(|(at, _)| *at));
        times.sort();
        let mut gained = std::collections::HashMap::from([(Duration::ZERO, 0_u128)]);
        let (mut last, mut sum) = (Duration::ZERO, 0);
        for at in times {
            sum += self.largest_rate_and_burst(last).0 * (at - last).as_nanos();
            gained.insert(at, sum);
            last = at;
        }
        let units_per_token = 1_000 * 1_000_000_000_u128;
        for (index, (start, _)) in self.admitted.iter().enumerate() {
            let burst = self.largest_rate_and_burst(*start).1 * units_per_token;
            let mut total = 0;
            for (end, amount) in &self.admitted[index..] {
                total += u128::from(*amount) * units_per_token;
                let allowed = burst + gained[end] - gained[start];
                assert!(total <= allowed, "{total} of {allowed} in {start:?}..{end:?}");
            }
        }
    }
}

/// Guards against shares, loans, mixed versions and late messages that add up to more than the
/// limit.
#[test]
fn no_window_exceeds_the_limit() {
    let (mut admitted, mut lent) = (0, 0);
    for seed in SEEDS {
        arbtest(|u| {
            let mut simulation = Simulation::new(u)?;
            for _ in 0..STEPS_PER_RUN {
                simulation.step(u)?;
            }
            simulation.check_windows();
            admitted += simulation.admitted.len();
            lent += simulation.lent;
            Ok(())
        })
        .seed(seed << 32 | ENTROPY_BYTES)
        .run();
    }
    println!("{admitted} requests admitted, {lent} tokens and slots lent");
    assert!(admitted > 10_000 && lent > 5_000, "{admitted} admitted, {lent} lent: too few to tell");
}
