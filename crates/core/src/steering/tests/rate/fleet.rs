//! A workspace that sends less than its limit to hundreds of hosts, each of which gets a request now and
//! then, in virtual time.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arbtest::arbitrary::Unstructured;

use super::{TOLERANCE, workspace};
use crate::rendezvous;
use crate::steering::{
    lenders::{Lender, Selector},
    plan::Workspace,
    rate::{LOAN_LIFETIME, Limiter},
    tests::support::{at, name},
};

/// Longest wait of a request for tokens of other hosts.
const LOAN_WAIT: u64 = 130;

/// Time of a message within a region, and between two regions, in milliseconds.
const LOCAL_TIME: u64 = 2;
const REMOTE_TIME: u64 = 21;

const REGIONS: usize = 3;

enum Content {
    Ask { wanted: u32 },
    Lend { tokens: u32, asked_at: u64 },
}

struct Message {
    from: usize,
    to: usize,
    arrives_at: u64,
    asked_at: u64,
    content: Content,
}

struct Host {
    limiter: Limiter,
    selector: Selector,
    /// Ends of the waits of the requests that have no token.
    waiting: Vec<u64>,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    pub(super) admitted: usize,
    pub(super) refused: usize,
    pub(super) messages: usize,
}

struct Fleet {
    workspace: Workspace,
    names: Vec<Arc<str>>,
    indexes: HashMap<Arc<str>, usize>,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    outcome: Outcome,
}

impl Fleet {
    fn new(count: usize, workspace: Workspace) -> Self {
        let names: Vec<Arc<str>> = (0..count).map(|index| name(&format!("host-{index}"))).collect();
        let host = |own: &Arc<str>| {
            let mut limiter = Limiter::new(TOLERANCE, own.clone());
            limiter.set_seats(Duration::ZERO, names.clone());
            let selector = Selector::new(rendezvous::weight("anchor", own));
            Host { limiter, selector, waiting: Vec::new() }
        };
        let hosts = names.iter().map(host).collect();
        let indexes = names.iter().cloned().zip(0..).collect();
        let (messages, outcome) = (Vec::new(), Outcome::default());
        Self { workspace, names, indexes, hosts, messages, outcome }
    }

    /// A request arrives at a host.
    fn request(&mut self, now: u64, index: usize) {
        let host = &mut self.hosts[index];
        match host.limiter.acquire(at(now), &name("anchor"), &self.workspace) {
            Ok(()) => self.outcome.admitted += 1,
            Err(_) => host.waiting.push(now + LOAN_WAIT),
        }
        self.ask(now, index);
    }

    fn lenders(&mut self, now: u64, index: usize) -> Vec<Lender> {
        let limiter = &mut self.hosts[index].limiter;
        let sharing = limiter.lenders(at(now), &name("anchor"), &self.workspace);
        let others = sharing.iter().filter(|host| **host != self.names[index]);
        let is_local = |host: &Arc<str>| self.indexes[host] % REGIONS == index % REGIONS;
        others.map(|host| Lender { host: host.clone(), is_local: is_local(host) }).collect()
    }

    fn ask(&mut self, now: u64, index: usize) {
        let limiter = &mut self.hosts[index].limiter;
        let wanted = limiter.tokens_to_borrow(at(now), &name("anchor"), &self.workspace);
        if wanted == 0 {
            return;
        }
        let lenders = self.lenders(now, index);
        if let Some(lender) = self.hosts[index].selector.choose(at(now), &lenders) {
            let to = self.indexes[&lender];
            self.send(now, index, to, now, Content::Ask { wanted });
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, asked_at: u64, content: Content) {
        let is_local = from % REGIONS == to % REGIONS;
        let arrives_at = now + if is_local { LOCAL_TIME } else { REMOTE_TIME };
        self.outcome.messages += 1;
        self.messages.push(Message { from, to, arrives_at, asked_at, content });
    }

    fn step(&mut self, now: u64) {
        let (due, later): (Vec<Message>, Vec<Message>) =
            self.messages.drain(..).partition(|message| message.arrives_at <= now);
        self.messages = later;
        for Message { from, to, asked_at, content, .. } in due {
            let anchor = name("anchor");
            let host = &mut self.hosts[to];
            match content {
                Content::Ask { wanted } => {
                    let tokens = host.limiter.lend(at(now), &anchor, &self.workspace, wanted);
                    self.send(now, to, from, asked_at, Content::Lend { tokens, asked_at });
                }
                Content::Lend { tokens, asked_at } => {
                    let expires_at = at(asked_at) + LOAN_LIFETIME;
                    host.limiter.add_loan(at(now), &anchor, tokens, expires_at);
                    host.selector.record_reply(at(now), &self.names[from], tokens);
                }
            }
        }
        for index in 0..self.hosts.len() {
            if !self.hosts[index].waiting.is_empty() {
                self.serve_waiting(now, index);
            }
        }
    }

    fn serve_waiting(&mut self, now: u64, index: usize) {
        self.ask(now, index);
        let lenders = self.lenders(now, index);
        let anchor = name("anchor");
        let host = &mut self.hosts[index];
        let may_be_lent = host.selector.has_candidate(at(now), &lenders);
        let waits = std::mem::take(&mut host.waiting);
        for ends_at in waits {
            let has_token = host.limiter.has_token(at(now), &anchor, &self.workspace);
            if has_token && host.limiter.acquire(at(now), &anchor, &self.workspace).is_ok() {
                self.outcome.admitted += 1;
            } else if now >= ends_at || !may_be_lent {
                self.outcome.refused += 1;
            } else {
                host.waiting.push(ends_at);
            }
        }
    }
}

/// Plays 10 s in which the hosts get `demand` requests per second together. `weight` is the part of the
/// requests that the first region gets; the others share the rest.
pub(super) fn play(
    random: &mut Unstructured<'_>,
    count: usize,
    rate: f64,
    demand: f64,
    weight: f64,
) -> Outcome {
    let mut fleet = Fleet::new(count, workspace(rate, rate));
    for now in 6_000..16_000 {
        if random.int_in_range(0..=999_999).unwrap_or(0) < (demand * 1000.0) as u32 {
            let is_first = random.int_in_range(0..=999).unwrap_or(0) < (weight * 1000.0) as u32;
            let region =
                if is_first { 0 } else { random.int_in_range(1..=REGIONS - 1).unwrap_or(1) };
            let place = random.int_in_range(0..=count / REGIONS - 1).unwrap_or(0);
            fleet.request(now, place * REGIONS + region);
        }
        fleet.step(now);
    }
    fleet.outcome
}
