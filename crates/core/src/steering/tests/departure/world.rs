//! Hosts of several regions that follow the store and tell each other of instances that leave, in virtual
//! time.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::super::{
    super::relay::{Hosts, Schedule, Step},
    support::name,
};

/// The bound of the users' deployments for an instance that leaves.
pub(super) const BOUND: Duration = Duration::from_millis(2500);

/// Longest time between two calls of the store by a host without a relay.
const INTERVAL: Duration = Duration::from_millis(1125);

pub(super) const TICK: Duration = Duration::from_millis(10);

/// Time of a call of the store, and of a message.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Time after which a call without an answer fails, and the longest wait of a watch, with which the first
/// one takes longer.
const HANGING_CALL_TIME: Duration = Duration::from_millis(900);
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Times after which an announcement is sent.
const ANNOUNCEMENT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(150), Duration::from_millis(600)];

/// Delays after failed calls.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(800)];

/// What is wrong with a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Fault {
    #[default]
    None,
    /// The store refuses its calls.
    Refused,
    /// The store does not answer its calls.
    Unanswered,
    /// It stands still.
    Frozen,
    /// It is gone.
    Killed,
}

struct Call {
    ends_at: Duration,
    /// Indexes of the hosts that asked, and when they did.
    questions: Vec<(usize, Duration)>,
    has_failed: bool,
}

struct Host {
    name: Arc<str>,
    region: usize,
    schedule: Schedule,
    /// Departures that it has read from the store, or been told of.
    read: usize,
    told: BTreeSet<usize>,
    questions: Vec<(usize, Duration)>,
    call: Option<Call>,
    retry_delay: Duration,
    fault: Fault,
}

#[derive(Clone)]
enum Content {
    Question { from: usize, asked_at: Duration },
    Answer { asked_at: Duration, read: usize },
    Departures(Vec<usize>),
}

struct Message {
    to: usize,
    arrives_at: Duration,
    content: Content,
}

/// The hosts, and the store as the number of departures that it has acknowledged.
pub(super) struct World {
    hosts: Vec<Host>,
    names: Vec<Hosts>,
    messages: Vec<Message>,
    pub(super) departures: Vec<Duration>,
    pub(super) calls: usize,
    pub(super) announcements: usize,
}

impl World {
    pub(super) fn new(count: usize, regions: usize) -> Self {
        let host = |index: usize| Host {
            name: name(&format!("host-{index}")),
            region: index % regions,
            schedule: Schedule::new(name(&format!("host-{index}")), INTERVAL),
            read: 0,
            told: BTreeSet::new(),
            questions: Vec::new(),
            call: None,
            retry_delay: RETRY_DELAYS[0],
            fault: Fault::None,
        };
        let hosts: Vec<Host> = (0..count).map(host).collect();
        let all: Vec<Arc<str>> = hosts.iter().map(|host| host.name.clone()).collect();
        let of_region = |region: usize| Hosts {
            region: all.iter().skip(region).step_by(regions).cloned().collect(),
            all: all.clone(),
            ..Hosts::default()
        };
        let names = (0..regions).map(of_region).collect();
        let (messages, departures) = (Vec::new(), Vec::new());
        Self { hosts, names, messages, departures, calls: 0, announcements: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Index of the host that the others of a region ask first.
    pub(super) fn relay(&self, region: usize) -> usize {
        let relay = self.names[region].relays().next();
        self.hosts.iter().position(|host| Some(&host.name) == relay.as_ref()).unwrap()
    }

    pub(super) fn set_fault(&mut self, host: usize, fault: Fault) {
        self.hosts[host].fault = fault;
    }

    /// Whether the host may send requests to an instance that has left with this departure.
    pub(super) fn may_send(&self, host: usize, departure: usize) -> bool {
        let host = &self.hosts[host];
        let is_running = !matches!(host.fault, Fault::Frozen | Fault::Killed);
        is_running && host.read <= departure && !host.told.contains(&departure)
    }

    pub(super) fn step(&mut self, now: Duration, is_lost: &mut impl FnMut() -> bool) {
        self.deliver(now);
        for index in 0..self.hosts.len() {
            if !matches!(self.hosts[index].fault, Fault::Frozen | Fault::Killed) {
                self.run(now, index, is_lost);
            }
        }
    }

    fn deliver(&mut self, now: Duration) {
        let hosts = &mut self.hosts;
        let mut learned = Vec::new();
        self.messages.retain(|message| {
            let host = &mut hosts[message.to];
            if message.arrives_at > now || host.fault == Fault::Frozen {
                return true;
            }
            match &message.content {
                _ if host.fault == Fault::Killed => {}
                Content::Question { from, asked_at } => {
                    host.schedule.record_question(now);
                    host.questions.push((*from, *asked_at));
                }
                Content::Answer { asked_at, read } => {
                    host.schedule.record_answer(*asked_at);
                    learned.push((message.to, *read));
                }
                Content::Departures(departures) => host.told.extend(departures),
            }
            false
        });
        for (host, read) in learned {
            self.learn(now, host, read, &mut || false);
        }
    }

    /// Lets a host know the departures up to a number, and tell the others of those that are new to it.
    fn learn(
        &mut self,
        now: Duration,
        index: usize,
        read: usize,
        is_lost: &mut impl FnMut() -> bool,
    ) {
        let host = &mut self.hosts[index];
        let new: Vec<usize> = (host.read..read).filter(|new| !host.told.contains(new)).collect();
        host.read = host.read.max(read);
        if new.is_empty() {
            return;
        }
        for to in (0..self.hosts.len()).filter(|to| *to != index) {
            for delay in ANNOUNCEMENT_DELAYS {
                self.announcements += 1;
                self.send(now + delay, to, Content::Departures(new.clone()), is_lost());
            }
        }
    }

    fn run(&mut self, now: Duration, index: usize, is_lost: &mut impl FnMut() -> bool) {
        let host = &mut self.hosts[index];
        let is_running = host.call.as_ref().is_some_and(|call| now < call.ends_at);
        if is_running && !host.schedule.is_failing() {
            return;
        }
        if let Some(call) = host.call.take_if(|call| call.ends_at <= now) {
            if call.has_failed {
                host.schedule.record_failure(now, host.retry_delay);
                host.retry_delay = (host.retry_delay * 2).min(RETRY_DELAYS[1]);
                return;
            }
            host.retry_delay = RETRY_DELAYS[0];
            host.schedule.record_response(now);
            // The state is that of the moment at which the call began.
            let state = now - CALL_TIME;
            let read = self.departures.iter().filter(|at| **at <= state).count();
            self.learn(now, index, read, is_lost);
            for (to, asked_at) in call.questions {
                self.send(now, to, Content::Answer { asked_at, read }, is_lost());
            }
            return;
        }
        let has_questions = !host.questions.is_empty();
        let names = &self.names[host.region];
        match host.schedule.next(now, names, has_questions) {
            Step::CallStore => {
                self.calls += 1;
                let has_failed = host.fault != Fault::None;
                let is_hanging = host.fault == Fault::Unanswered;
                let is_probe = host.schedule.is_failing();
                if is_probe {
                    host.schedule.record_probe(now, HANGING_CALL_TIME * 2);
                }
                let wait = if is_probe { Duration::ZERO } else { WATCH_WAIT };
                let time = if is_hanging { HANGING_CALL_TIME + wait } else { CALL_TIME };
                let questions = std::mem::take(&mut host.questions);
                host.call = Some(Call { ends_at: now + time, questions, has_failed });
            }
            Step::Ask(relay) => {
                let to = self.hosts.iter().position(|host| host.name == relay).unwrap();
                let content = Content::Question { from: index, asked_at: now };
                self.send(now, to, content, is_lost());
            }
            Step::Wait(_) => {}
        }
    }

    fn send(&mut self, now: Duration, to: usize, content: Content, is_lost: bool) {
        if !is_lost {
            self.messages.push(Message { to, arrives_at: now + CALL_TIME, content });
        }
    }
}
