//! Simulation of the claim protocol under faults of hosts and messages, which checks that no name
//! is granted twice.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arbtest::arbitrary::{Result, Unstructured};

use super::{history::Process, *};
use crate::{
    constants::{CLAIM_MEMORY_LIMIT_BYTES, CLAIM_RETENTION},
    host::event::Action,
    member::Member,
    message::{Message, Sender},
    testing::check,
};

mod cases;

const HOST_COUNT: usize = 6;
const STEP: Duration = Duration::from_millis(50);
/// Time after a change of members by which every host has it or is no longer current; see
/// docs/design.md §5.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

fn name(key: usize) -> Name {
    let key = format!("key-{key}").into();
    Name { service: "signing".into(), workspace: "anchor".into(), key }
}

fn done(status: u16) -> State {
    State::Done(Outcome { status, headers: Vec::new(), body: Arc::from(*b"signed") })
}

struct Host {
    member: Member,
    /// `None` while the host is down.
    participant: Option<Participant>,
    paused_until: Duration,
    /// Time until which the host learns no member table, although it runs.
    cut_off_until: Duration,
    /// Revision of the latest member table that the host knows; 0 if none.
    revision: u64,
}

/// A grant that the request path of a host has received.
#[derive(Clone, Debug)]
struct Grant {
    holder: Process,
    /// Whether the request has not ended.
    is_open: bool,
    final_state: Option<State>,
}

/// A message on its way.
struct Packet {
    arrives_at: Duration,
    to: SocketAddr,
    from: Sender,
    message: Message,
}

struct Simulation {
    now: Duration,
    hosts: Vec<Host>,
    /// Each member table, with those before it, and the time at which it was written.
    memberships: Vec<(Duration, Membership)>,
    packets: Vec<Packet>,
    /// Index of the requesting host and name, by ticket.
    tickets: BTreeMap<u64, (usize, Name)>,
    grants: BTreeMap<Name, Vec<Grant>>,
    verdicts: BTreeMap<u64, Verdict>,
    /// Last number used as a ticket or an incarnation.
    last_number: u64,
    /// Whether messages are lost, repeated or delayed, and tables are learned late.
    faulty: bool,
}

impl Simulation {
    fn new(domains: usize) -> Self {
        let host = |index: usize| Host {
            member: Member {
                host: format!("entry-{index}").into(),
                incarnation: 0,
                region: "ee-north".into(),
                domain: format!("domain-{}", index % domains).into(),
                peer: ([127, 0, 0, 1], 9000 + index as u16).into(),
                callers: ([127, 0, 0, 1], 8000 + index as u16).into(),
            },
            participant: None,
            paused_until: Duration::ZERO,
            cut_off_until: Duration::ZERO,
            revision: 0,
        };
        let mut simulation = Self {
            now: Duration::ZERO,
            hosts: (0..HOST_COUNT).map(host).collect(),
            memberships: Vec::new(),
            packets: Vec::new(),
            tickets: BTreeMap::new(),
            grants: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            last_number: 0,
            faulty: false,
        };
        (0..HOST_COUNT).for_each(|index| simulation.start(index));
        let members = simulation.hosts.iter().map(|host| host.member.clone()).collect();
        simulation.write_membership(members);
        simulation
    }

    /// Starts a process without any state at the same address as the one before.
    fn start(&mut self, index: usize) {
        self.last_number += 1;
        let host = &mut self.hosts[index];
        // Consecutive incarnations, so that the ids of two processes overlap unless the protocol
        // tells the processes apart.
        host.member.incarnation = self.last_number;
        host.participant = Some(Participant::new(host.member.sender()));
        host.revision = 0;
    }

    fn write_membership(&mut self, members: Vec<Member>) {
        let epoch = |(index, (_, membership)): (usize, &(Duration, Membership))| Epoch {
            revision: membership.revision,
            replaced_ago: self.now
                - self.memberships.get(index + 1).map_or(self.now, |(written, _)| *written),
            members: membership.members.clone(),
        };
        let earlier = self.memberships.iter().enumerate().map(epoch).collect();
        let revision = 1 + self.memberships.len() as u64;
        let membership = Membership { revision, members, earlier, earlier_complete: true };
        self.memberships.push((self.now, membership));
    }

    fn is_running(&self, index: usize) -> bool {
        self.hosts[index].participant.is_some() && self.now >= self.hosts[index].paused_until
    }

    /// Whether the host knows every table that was written at least [`PROPAGATION_LIMIT`] ago.
    fn is_current(&self, index: usize) -> bool {
        let known = self.hosts[index].revision;
        let is_old =
            |(written, _): &&(Duration, Membership)| *written + PROPAGATION_LIMIT <= self.now;
        let mut old = self.memberships.iter().filter(is_old);
        known > 0 && old.all(|(_, membership)| membership.revision <= known)
    }

    fn carry_out(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        actions: Vec<Action>,
    ) -> Result<()> {
        let from = self.hosts[index].member.sender();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(u, &from, to, &message)?,
                Action::ReportClaim { ticket, verdict } => {
                    self.record_verdict(index, ticket, verdict);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        u: &mut Unstructured<'_>,
        from: &Sender,
        to: SocketAddr,
        message: &Message,
    ) -> Result<()> {
        let copies = if self.faulty { *u.choose(&[0, 1, 1, 1, 1, 2])? } else { 1 };
        for _ in 0..copies {
            let delay = match self.faulty {
                true if u.ratio(1, 12)? => u.int_in_range(500..=15_000)?,
                true => u.int_in_range(0..=200)?,
                false => 20,
            };
            let arrives_at = self.now + Duration::from_millis(delay);
            let (from, message) = (from.clone(), message.clone());
            self.packets.push(Packet { arrives_at, to, from, message });
        }
        Ok(())
    }

    fn record_verdict(&mut self, index: usize, ticket: u64, verdict: Verdict) {
        let (requester, name) = self.tickets.get(&ticket).cloned().expect("a known ticket");
        assert_eq!(requester, index);
        if verdict == Verdict::Granted {
            let grants = self.grants.entry(name.clone()).or_default();
            assert!(grants.is_empty(), "{name:?} granted twice at {:?}: {grants:?}", self.now);
            let holder = Process::from(&self.hosts[index].member);
            grants.push(Grant { holder, is_open: true, final_state: None });
        }
        let repeated = self.verdicts.insert(ticket, verdict);
        assert_eq!(repeated, None, "ticket answered twice");
    }

    fn acquire(&mut self, u: &mut Unstructured<'_>, index: usize, name: Name) -> Result<u64> {
        self.last_number += 1;
        let (ticket, current) = (self.last_number, self.is_current(index));
        self.tickets.insert(ticket, (index, name.clone()));
        let now = self.now;
        let participant = self.hosts[index].participant.as_mut().expect("a running host");
        let actions = participant.acquire(now, current, ticket, name, 7);
        self.carry_out(u, index, actions)?;
        Ok(ticket)
    }

    /// Ends an open grant of the host; `state` is `None` if no byte was sent.
    fn complete(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        name: &Name,
        state: Option<State>,
    ) -> Result<()> {
        let holder = Process::from(&self.hosts[index].member);
        let Some(grants) = self.grants.get_mut(name) else {
            return Ok(());
        };
        let Some(grant) = grants.iter_mut().find(|grant| grant.holder == holder && grant.is_open)
        else {
            return Ok(());
        };
        grant.is_open = false;
        grant.final_state = state.clone();
        if state.is_none() {
            grants.clear();
        }
        let (now, name) = (self.now, name.clone());
        let participant = self.hosts[index].participant.as_mut().expect("a running host");
        let actions = participant.complete(now, Completion { name, state });
        self.carry_out(u, index, actions)
    }

    /// Advances time by [`STEP`]: messages arrive, hosts learn member tables and tick.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += STEP;
        let now = self.now;
        let is_due = |packet: &mut Packet| packet.arrives_at <= now;
        let packets: Vec<Packet> = self.packets.extract_if(.., is_due).collect();
        for Packet { to, from, message, .. } in packets {
            let has_address = |host: &Host| host.member.peer == to;
            let index = self.hosts.iter().position(has_address).expect("a known address");
            let current = self.is_current(index);
            if self.is_running(index) {
                let participant = self.hosts[index].participant.as_mut().expect("a running host");
                let actions = participant.handle(now, current, &from, message);
                self.carry_out(u, index, actions)?;
            }
        }
        for index in 0..HOST_COUNT {
            if self.is_running(index) {
                self.learn_membership(u, index)?;
                let current = self.is_current(index);
                let participant = self.hosts[index].participant.as_mut().expect("a running host");
                let actions = participant.tick(now, current);
                self.carry_out(u, index, actions)?;
            }
        }
        Ok(())
    }

    fn learn_membership(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        if self.now < self.hosts[index].cut_off_until || self.faulty && !u.ratio(1, 8)? {
            return Ok(());
        }
        let (written, membership) = self.memberships.last().expect("a table").clone();
        let now = self.now;
        let host = &mut self.hosts[index];
        let participant = host.participant.as_mut().expect("a running host");
        host.revision = membership.revision;
        let mut actions = participant.set_membership(now, &membership);
        if now >= written + PROPAGATION_LIMIT + STEP {
            actions.extend(participant.set_in_force(now, membership.revision));
        }
        self.carry_out(u, index, actions)
    }

    /// Stops, restarts, pauses or cuts off a host, or removes it from or adds it to the members.
    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.int_in_range(0..=HOST_COUNT - 1)?;
        let mut members = self.memberships.last().expect("a table").1.members.clone();
        let place = members.iter().position(|m| m.peer == self.hosts[index].member.peer);
        let pause = Duration::from_millis(u.int_in_range(500..=12_000)?);
        match u.int_in_range(0..=6)? {
            0 => self.hosts[index].participant = None,
            1 if self.hosts[index].participant.is_none() => self.start(index),
            2 => self.hosts[index].paused_until = self.now + pause,
            3 | 4 if members.len() > 2 && place.is_some() => {
                self.hosts[index].cut_off_until = self.now + u.int_in_range(0..=1)? * pause;
                members.remove(place.unwrap_or_default());
                self.write_membership(members);
            }
            5 | 6 if self.hosts[index].participant.is_some() => {
                let member = self.hosts[index].member.clone();
                if !members.contains(&member) {
                    members.retain(|known| known.host != member.host);
                    members.push(member);
                    self.write_membership(members);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends all faults and waits until every host is current and has received all its records.
    fn recover(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.faulty = false;
        for index in 0..HOST_COUNT {
            if self.hosts[index].participant.is_none() {
                self.start(index);
            }
            self.hosts[index].paused_until = Duration::ZERO;
            self.hosts[index].cut_off_until = Duration::ZERO;
        }
        let members = self.hosts.iter().map(|host| host.member.clone()).collect();
        self.write_membership(members);
        for _ in 0..700 {
            self.step(u)?;
        }
        Ok(())
    }
}

/// Runs a random schedule of requests, results, messages, faults and changes of members.
fn run_schedule(u: &mut Unstructured<'_>, counts: &mut BTreeMap<&'static str, u32>) -> Result<()> {
    let mut simulation = Simulation::new(u.int_in_range(1..=3)?);
    for _ in 0..80 {
        simulation.step(u)?;
    }
    simulation.faulty = true;
    let fault_interval = *u.choose(&[25, 100, 400])?;
    for _ in 0..500 {
        let index = u.int_in_range(0..=HOST_COUNT - 1)?;
        let key = name(u.int_in_range(0..=7)?);
        if simulation.is_running(index) && u.ratio(1, 3)? {
            simulation.acquire(u, index, key)?;
        } else if simulation.is_running(index) && u.ratio(1, 2)? {
            let state = u.choose(&[Some(done(201)), Some(State::Unknown), None])?.clone();
            simulation.complete(u, index, &key, state)?;
        }
        if u.ratio(1, fault_interval)? {
            simulation.inject_fault(u)?;
        }
        simulation.step(u)?;
    }
    simulation.recover(u)?;
    for key in 0..8 {
        check_settled(u, &mut simulation, &name(key), counts)?;
    }
    for verdict in simulation.verdicts.values() {
        let kind = match verdict {
            Verdict::Granted => "granted",
            Verdict::Done(_) => "done",
            Verdict::Unavailable => "unavailable",
            _ => "other",
        };
        *counts.entry(kind).or_default() += 1;
    }
    Ok(())
}

/// Checks the verdict on a name after all faults ended. It must fit the grant before: a claim that
/// runs stays known, a response is replayed only as it was, and a name without a grant can be
/// granted. [`Verdict::Unknown`] is always allowed.
fn check_settled(
    u: &mut Unstructured<'_>,
    simulation: &mut Simulation,
    name: &Name,
    counts: &mut BTreeMap<&'static str, u32>,
) -> Result<()> {
    let before = simulation.grants.get(name).and_then(|grants| grants.first()).cloned();
    let ticket = simulation.acquire(u, 0, name.clone())?;
    for _ in 0..5 {
        simulation.step(u)?;
    }
    let verdict = simulation.verdicts.get(&ticket).expect("a verdict");
    let is_unknown = *verdict == Verdict::Unknown;
    let fits = match before {
        None => is_unknown || *verdict == Verdict::Granted,
        Some(Grant { is_open: true, .. }) => is_unknown || *verdict == Verdict::Running,
        Some(Grant { final_state: Some(State::Done(ref outcome)), .. }) => {
            is_unknown || *verdict == Verdict::Done(outcome.clone())
        }
        Some(_) => is_unknown,
    };
    assert!(fits, "{name:?} answered {verdict:?} after {before:?}");
    let kind = match (is_unknown, before) {
        (true, None) => "lost",
        (true, Some(Grant { final_state: Some(State::Done(_)), .. })) => "lost response",
        (true, _) => "settled unknown",
        (false, _) => "settled known",
    };
    *counts.entry(kind).or_default() += 1;
    Ok(())
}

/// Guards against two grants of one name under random message faults, crashes, pauses and changes
/// of members. The counts guard against a protocol that is safe only because it refuses most
/// requests.
#[test]
fn no_schedule_grants_twice() {
    let mut counts = BTreeMap::new();
    check(60, 300_000, |u| run_schedule(u, &mut counts));
    println!("{counts:?}");
    assert!(counts["granted"] > 600 && counts["done"] > 600, "{counts:?}");
    assert!(counts["settled known"] > counts["settled unknown"], "{counts:?}");
}
