//! Guards against requests that run twice, whatever happens to hosts and messages.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arbtest::arbitrary::{Result, Unstructured};

use super::{history::Process, *};
use crate::{
    constants::{CLAIM_MEMORY_LIMIT, CLAIM_RETENTION},
    host::event::Action,
    member::Member,
    message::{Message, Sender},
    testing::check,
};

mod cases;

const HOSTS: usize = 6;
const STEP: Duration = Duration::from_millis(50);
/// How long after a change every host has it or is not current; see docs/design.md §5.
const TERM: Duration = Duration::from_secs(3);

fn name(key: usize) -> Name {
    let key = format!("key-{key}").into();
    Name { service: "signing".into(), workspace: "anchor".into(), key }
}

fn done(status: u16) -> State {
    State::Done(Outcome { status, headers: Vec::new(), body: Arc::from(*b"signed") })
}

struct Host {
    member: Member,
    /// None while the host is dead.
    book: Option<Participant>,
    paused_until: Duration,
    /// Until when it learns no table, although it runs.
    cut_off_until: Duration,
    revision: u64,
}

/// A grant that the request path of a host has acted on.
#[derive(Clone, Debug)]
struct Grant {
    by: Process,
    open: bool,
    answer: Option<State>,
}

struct Letter {
    at: Duration,
    to: SocketAddr,
    from: Sender,
    message: Message,
}

struct World {
    now: Duration,
    hosts: Vec<Host>,
    /// Membership with the time at which they were written.
    tables: Vec<(Duration, Membership)>,
    letters: Vec<Letter>,
    tickets: BTreeMap<u64, (usize, Name)>,
    grants: BTreeMap<Name, Vec<Grant>>,
    verdicts: BTreeMap<u64, Verdict>,
    next: u64,
    rough: bool,
}

impl World {
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
            book: None,
            paused_until: Duration::ZERO,
            cut_off_until: Duration::ZERO,
            revision: 0,
        };
        let mut world = Self {
            now: Duration::ZERO,
            hosts: (0..HOSTS).map(host).collect(),
            tables: Vec::new(),
            letters: Vec::new(),
            tickets: BTreeMap::new(),
            grants: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            next: 0,
            rough: false,
        };
        (0..HOSTS).for_each(|index| world.start(index));
        let members = world.hosts.iter().map(|host| host.member.clone()).collect();
        world.write(members);
        world
    }

    /// Starts a process, which knows nothing, at the same address as the one before.
    fn start(&mut self, index: usize) {
        self.next += 1;
        let host = &mut self.hosts[index];
        // Close to each other, so that numbers of incarnations collide if they are not told apart.
        host.member.incarnation = self.next;
        host.book = Some(Participant::new(host.member.sender()));
        host.revision = 0;
    }

    fn write(&mut self, members: Vec<Member>) {
        let epoch = |(index, (_, tables)): (usize, &(Duration, Membership))| Epoch {
            revision: tables.revision,
            replaced_ago: self.now
                - self.tables.get(index + 1).map_or(self.now, |(written, _)| *written),
            members: tables.members.clone(),
        };
        let earlier = self.tables.iter().enumerate().map(epoch).collect();
        let revision = 1 + self.tables.len() as u64;
        let tables = Membership { revision, members, earlier, earlier_complete: true };
        self.tables.push((self.now, tables));
    }

    fn runs(&self, index: usize) -> bool {
        self.hosts[index].book.is_some() && self.now >= self.hosts[index].paused_until
    }

    /// A host is current if it knows every table that was written a term ago.
    fn is_current(&self, index: usize) -> bool {
        let known = self.hosts[index].revision;
        let old = |(written, _): &&(Duration, Membership)| *written + TERM <= self.now;
        known > 0 && self.tables.iter().filter(old).all(|(_, tables)| tables.revision <= known)
    }

    fn act(&mut self, u: &mut Unstructured<'_>, index: usize, actions: Vec<Action>) -> Result<()> {
        let from = self.hosts[index].member.sender();
        for action in actions {
            match action {
                Action::Send { to, message } => self.post(u, &from, to, &message)?,
                Action::ReportClaim { ticket, verdict } => self.claimed(index, ticket, verdict),
                _ => {}
            }
        }
        Ok(())
    }

    fn post(
        &mut self,
        u: &mut Unstructured<'_>,
        from: &Sender,
        to: SocketAddr,
        message: &Message,
    ) -> Result<()> {
        let copies = if self.rough { *u.choose(&[0, 1, 1, 1, 1, 2])? } else { 1 };
        for _ in 0..copies {
            let delay = match self.rough {
                true if u.ratio(1, 12)? => u.int_in_range(500..=15_000)?,
                true => u.int_in_range(0..=200)?,
                false => 20,
            };
            let at = self.now + Duration::from_millis(delay);
            let (from, message) = (from.clone(), message.clone());
            self.letters.push(Letter { at, to, from, message });
        }
        Ok(())
    }

    fn claimed(&mut self, index: usize, ticket: u64, verdict: Verdict) {
        let (asker, name) = self.tickets.get(&ticket).cloned().expect("a known ticket");
        assert_eq!(asker, index);
        if verdict == Verdict::Granted {
            let grants = self.grants.entry(name.clone()).or_default();
            assert!(grants.is_empty(), "{name:?} granted twice at {:?}: {grants:?}", self.now);
            let by = Process::from(&self.hosts[index].member);
            grants.push(Grant { by, open: true, answer: None });
        }
        let repeated = self.verdicts.insert(ticket, verdict);
        assert_eq!(repeated, None, "ticket answered twice");
    }

    fn ask(&mut self, u: &mut Unstructured<'_>, index: usize, name: Name) -> Result<u64> {
        self.next += 1;
        let (ticket, current) = (self.next, self.is_current(index));
        self.tickets.insert(ticket, (index, name.clone()));
        let now = self.now;
        let book = self.hosts[index].book.as_mut().expect("a running host");
        let actions = book.acquire(now, current, ticket, name, 7);
        self.act(u, index, actions)?;
        Ok(ticket)
    }

    /// Ends an open grant of the host; without a state if no byte was sent.
    fn complete(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        name: &Name,
        state: Option<State>,
    ) -> Result<()> {
        let me = Process::from(&self.hosts[index].member);
        let Some(grants) = self.grants.get_mut(name) else {
            return Ok(());
        };
        let Some(grant) = grants.iter_mut().find(|g| g.by == me && g.open) else {
            return Ok(());
        };
        grant.open = false;
        grant.answer = state.clone();
        if state.is_none() {
            grants.clear();
        }
        let (now, name) = (self.now, name.clone());
        let book = self.hosts[index].book.as_mut().expect("a running host");
        let actions = book.complete(now, Completion { name, state });
        self.act(u, index, actions)
    }

    /// Lets 50 ms pass: messages arrive, hosts learn tables and tick.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += STEP;
        let now = self.now;
        let due = |letter: &mut Letter| letter.at <= now;
        let letters: Vec<Letter> = self.letters.extract_if(.., due).collect();
        for Letter { to, from, message, .. } in letters {
            let at = |host: &Host| host.member.peer == to;
            let index = self.hosts.iter().position(at).expect("a known address");
            let current = self.is_current(index);
            if self.runs(index) {
                let book = self.hosts[index].book.as_mut().expect("a running host");
                let actions = book.handle(now, current, &from, message);
                self.act(u, index, actions)?;
            }
        }
        for index in 0..HOSTS {
            if self.runs(index) {
                self.learn(u, index)?;
                let current = self.is_current(index);
                let book = self.hosts[index].book.as_mut().expect("a running host");
                let actions = book.tick(now, current);
                self.act(u, index, actions)?;
            }
        }
        Ok(())
    }

    fn learn(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        if self.now < self.hosts[index].cut_off_until || self.rough && !u.ratio(1, 8)? {
            return Ok(());
        }
        let (written, tables) = self.tables.last().expect("a table").clone();
        let now = self.now;
        let host = &mut self.hosts[index];
        let book = host.book.as_mut().expect("a running host");
        host.revision = tables.revision;
        let mut actions = book.set_membership(now, &tables);
        if now >= written + TERM + STEP {
            actions.extend(book.set_in_force(now, tables.revision));
        }
        self.act(u, index, actions)
    }

    /// Kills, restarts, pauses, cuts off, removes or adds a host.
    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.int_in_range(0..=HOSTS - 1)?;
        let mut members = self.tables.last().expect("a table").1.members.clone();
        let place = members.iter().position(|m| m.peer == self.hosts[index].member.peer);
        let pause = Duration::from_millis(u.int_in_range(500..=12_000)?);
        match u.int_in_range(0..=6)? {
            0 => self.hosts[index].book = None,
            1 if self.hosts[index].book.is_none() => self.start(index),
            2 => self.hosts[index].paused_until = self.now + pause,
            3 | 4 if members.len() > 2 && place.is_some() => {
                self.hosts[index].cut_off_until = self.now + u.int_in_range(0..=1)? * pause;
                members.remove(place.unwrap_or_default());
                self.write(members);
            }
            5 | 6 if self.hosts[index].book.is_some() => {
                let member = self.hosts[index].member.clone();
                if !members.contains(&member) {
                    members.retain(|known| known.host != member.host);
                    members.push(member);
                    self.write(members);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Undisturbed time after which every host is current and has every record.
    fn calm(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.rough = false;
        for index in 0..HOSTS {
            if self.hosts[index].book.is_none() {
                self.start(index);
            }
            self.hosts[index].paused_until = Duration::ZERO;
            self.hosts[index].cut_off_until = Duration::ZERO;
        }
        let members = self.hosts.iter().map(|host| host.member.clone()).collect();
        self.write(members);
        for _ in 0..700 {
            self.step(u)?;
        }
        Ok(())
    }
}

/// A run of random questions, results, messages, kills, pauses and changes of members.
fn run(u: &mut Unstructured<'_>, counts: &mut BTreeMap<&'static str, u32>) -> Result<()> {
    let mut world = World::new(u.int_in_range(1..=3)?);
    for _ in 0..80 {
        world.step(u)?;
    }
    world.rough = true;
    let spacing = *u.choose(&[25, 100, 400])?;
    for _ in 0..500 {
        let index = u.int_in_range(0..=HOSTS - 1)?;
        let key = name(u.int_in_range(0..=7)?);
        if world.runs(index) && u.ratio(1, 3)? {
            world.ask(u, index, key)?;
        } else if world.runs(index) && u.ratio(1, 2)? {
            let state = u.choose(&[Some(done(201)), Some(State::Unknown), None])?.clone();
            world.complete(u, index, &key, state)?;
        }
        if u.ratio(1, spacing)? {
            world.disturb(u)?;
        }
        world.step(u)?;
    }
    world.calm(u)?;
    for key in 0..8 {
        settled(u, &mut world, &name(key), counts)?;
    }
    for verdict in world.verdicts.values() {
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

/// In calm, the answer fits what happened: no claim of a running holder is lost, no answer is made
/// up, and a name that was never granted is not blocked for ever.
fn settled(
    u: &mut Unstructured<'_>,
    world: &mut World,
    name: &Name,
    counts: &mut BTreeMap<&'static str, u32>,
) -> Result<()> {
    let before = world.grants.get(name).and_then(|grants| grants.first()).cloned();
    let ticket = world.ask(u, 0, name.clone())?;
    for _ in 0..5 {
        world.step(u)?;
    }
    let verdict = world.verdicts.get(&ticket).expect("an answer");
    let lost = *verdict == Verdict::Unknown;
    let fits = match before {
        None => lost || *verdict == Verdict::Granted,
        Some(Grant { open: true, .. }) => lost || *verdict == Verdict::Running,
        Some(Grant { answer: Some(State::Done(ref answer)), .. }) => {
            lost || *verdict == Verdict::Done(answer.clone())
        }
        Some(_) => lost,
    };
    assert!(fits, "{name:?} answered {verdict:?} after {before:?}");
    let kind = match (lost, before) {
        (true, None) => "lost",
        (true, Some(Grant { answer: Some(State::Done(_)), .. })) => "lost answer",
        (true, _) => "settled unknown",
        (false, _) => "settled known",
    };
    *counts.entry(kind).or_default() += 1;
    Ok(())
}

/// Guards against two grants of one name under any schedule of messages, kills, pauses and changes
/// of members, and against a book that holds this only by refusing everything.
#[test]
fn no_schedule_grants_twice() {
    let mut counts = BTreeMap::new();
    check(60, 300_000, |u| run(u, &mut counts));
    println!("{counts:?}");
    assert!(counts["granted"] > 600 && counts["done"] > 600, "{counts:?}");
    assert!(counts["settled known"] > counts["settled unknown"], "{counts:?}");
}
