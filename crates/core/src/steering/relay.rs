//! Decides whether a host asks the store for changes, or another host of its region.
//!
//! The load pattern is hundreds of hosts that follow the same changes, each with calls that cost as
//! much as the first one. So the hosts of a region send their questions to one of them, which asks the
//! store once for all questions that have arrived, and answers each with the changes that its sender is
//! missing. An answer shows what the store held after the question was sent, by the clock of the host
//! that sent it: neither a delayed message nor a frozen relay can pass off an old state as a new one. A
//! host that has no answer in time asks the store itself, as soon as it would without a relay. A host that
//! the store does not serve, or whose read of the store lasts too long, asks others as well, whatever the
//! size of its region. See docs/platform.md.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::rendezvous;

/// Hosts of a region from which on they ask one of them. With fewer, the relay's more frequent calls
/// cost more than those that it saves.
const MIN_HOSTS: usize = 5;

/// Hosts that are asked in turn while they do not answer.
const MAX_RELAYS: usize = 3;

/// Interval between two calls of a relay, relative to the longest time without a fresh state.
const RELAY_INTERVAL_RATIO: f64 = 0.4;

/// Longest wait for an answer, relative to the longest time without a fresh state.
const ANSWER_TIME_RATIO: f64 = 0.6;

/// Time after which a host that the store does not serve asks another one besides, relative to the longest
/// time without a fresh state. A third of those that it asks may not be served either.
const SUBSTITUTE_TIME_RATIO: f64 = 0.3;

/// Fewest hosts of all regions that are asked in turn by those that the store does not serve. Some of them may
/// not be served either.
const MIN_SUBSTITUTES: usize = 8;

/// Number of hosts for each of which one more is asked.
const HOSTS_PER_SUBSTITUTE: usize = 25;

/// Smallest bandwidth of a fast link, relative to the fastest one.
const FAST_LINK_RATIO: f64 = 0.5;

/// Most questions that are remembered until they are answered.
const MAX_QUESTIONS: usize = 8;

/// Time after an unanswered question after which the first host is asked again. All hosts that ask the
/// same one share its calls.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Time since the last question for which a host counts as a relay.
const RELAY_TIME: Duration = Duration::from_secs(3);

/// Next thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the store.
    CallStore,
    /// Ask the host with this name.
    Ask(Arc<str>),
    /// Wait until this time, or until a message arrives.
    Wait(Duration),
}

/// Hosts that may be asked, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hosts {
    /// Those of the own region.
    pub region: Vec<Arc<str>>,
    /// Those of all regions.
    pub all: Vec<Arc<str>>,
    /// Those with slow links, which others ask last: an answer with a large configuration takes such a link
    /// for a tenth of a second.
    pub slow: HashSet<Arc<str>>,
}

impl Hosts {
    /// Names of the hosts whose links are much slower than the fastest one, from the bandwidth of each if it is
    /// known.
    pub fn find_slow<'a>(
        links: impl Iterator<Item = (&'a Arc<str>, Option<u32>)> + Clone,
    ) -> HashSet<Arc<str>> {
        let fastest = links.clone().filter_map(|(_, mbps)| mbps).max().map_or(0.0, f64::from);
        let is_slow = |mbps: u32| f64::from(mbps) < fastest * FAST_LINK_RATIO;
        links.filter(|(_, mbps)| mbps.is_some_and(is_slow)).map(|(name, _)| name.clone()).collect()
    }

    /// Hosts of the region that are asked, the first one first, in an order that all hosts know.
    pub fn relays(&self) -> impl Iterator<Item = Arc<str>> {
        self.rank(&self.region).into_iter().take(MAX_RELAYS)
    }

    /// Hosts that are asked by `host`, which the store does not serve: the relays of its region and others of all
    /// regions. All such hosts ask the same few, so that these share their calls, but not in the same order, so that
    /// they share the answers.
    fn substitutes(&self, host: &Arc<str>) -> Vec<Arc<str>> {
        let count = MIN_SUBSTITUTES.max(self.all.len() / HOSTS_PER_SUBSTITUTE);
        let near = self.relays().filter(|_| self.region.len() >= MIN_HOSTS);
        let mut substitutes: Vec<Arc<str>> = near.collect();
        for other in self.rank(&self.all).into_iter().take(count) {
            if !substitutes.contains(&other) {
                substitutes.push(other);
            }
        }
        substitutes.sort_by_key(|other| rendezvous::weight(host, other));
        substitutes.retain(|other| other != host);
        substitutes
    }

    /// Hosts in an order that all hosts know, those with slow links last.
    fn rank(&self, hosts: &[Arc<str>]) -> Vec<Arc<str>> {
        let ranked = rendezvous::rank("relay", hosts.iter().map(AsRef::as_ref));
        let mut ranked: Vec<Arc<str>> =
            ranked.into_iter().map(|index| hosts[index].clone()).collect();
        ranked.sort_by_key(|host| self.slow.contains(host));
        ranked
    }
}

/// Times at which a host learned, and has to learn, what the store holds.
#[derive(Clone, Debug)]
pub struct Schedule {
    host: Arc<str>,
    /// Longest time without a fresh state.
    interval: Duration,
    /// Time of a state that the host knows completely; `None` if it knows none.
    fresh_at: Option<Duration>,
    /// When the last call of the store ended.
    called_at: Duration,
    /// Time before which the store is not called again, after a failure.
    retry_at: Duration,
    /// Whether the last call of the store failed.
    has_failed: bool,
    /// When the read that is under way began; `None` without one.
    read_at: Option<Duration>,
    /// Whether that read has lasted longer than [`Self::interval`].
    is_overdue: bool,
    /// When the last question to a relay was sent; `None` if it was answered.
    asked_at: Option<Duration>,
    /// The latest questions: when they were sent, and [`Self::unanswered`] at that time.
    questions: VecDeque<(Duration, usize)>,
    /// Number of questions that were not answered since the first host was asked.
    unanswered: usize,
    /// When a question last remained unanswered.
    unanswered_at: Duration,
    /// When another host last asked this one.
    was_asked_at: Option<Duration>,
}

impl Schedule {
    /// A host that knows nothing yet. `interval` is the longest time without a fresh state.
    pub fn new(host: Arc<str>, interval: Duration) -> Self {
        Self {
            host,
            interval,
            fresh_at: None,
            called_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            has_failed: false,
            read_at: None,
            is_overdue: false,
            asked_at: None,
            questions: VecDeque::new(),
            unanswered: 0,
            unanswered_at: Duration::ZERO,
            was_asked_at: None,
        }
    }

    /// Returns what to do now. `hosts` are those that may be asked, including this one, and
    /// `has_questions` says whether other hosts wait for an answer.
    pub fn next(&mut self, now: Duration, hosts: &Hosts, has_questions: bool) -> Step {
        let call_at = self.call_at(has_questions);
        if now >= call_at {
            return Step::CallStore;
        }
        if let Some(read_at) = self.read_at {
            let overdue_at = read_at + self.interval;
            self.is_overdue = now >= overdue_at;
            if !self.is_unserved() {
                return Step::Wait(overdue_at);
            }
        }
        let is_relay = self.was_asked_at.is_some_and(|at| now < at + RELAY_TIME);
        let is_served = !self.is_unserved();
        if is_served && (has_questions || is_relay || hosts.region.len() < MIN_HOSTS) {
            self.asked_at = None;
            return Step::Wait(call_at);
        }
        let ratio = if is_served { ANSWER_TIME_RATIO } else { SUBSTITUTE_TIME_RATIO };
        let answer_time = self.interval.mul_f64(ratio);
        match self.asked_at {
            Some(asked_at) if now < asked_at + answer_time => {
                return Step::Wait(call_at.min(asked_at + answer_time));
            }
            Some(_) => {
                self.unanswered += 1;
                self.unanswered_at = now;
            }
            None if now >= self.unanswered_at + RETURN_TIME => self.unanswered = 0,
            None => {}
        }
        self.asked_at = Some(now);
        self.questions.push_back((now, self.unanswered));
        if self.questions.len() > MAX_QUESTIONS {
            self.questions.pop_front();
        }
        match self.relay(hosts) {
            Some(relay) if relay != self.host => Step::Ask(relay),
            _ => Step::Wait(call_at.min(now + answer_time)),
        }
    }

    /// When the store is called next; never while a read is under way.
    fn call_at(&self, has_questions: bool) -> Duration {
        let relay_due = self.called_at + self.interval.mul_f64(RELAY_INTERVAL_RATIO);
        let own_due = self.fresh_at.map_or(Duration::ZERO, |fresh_at| fresh_at + self.interval);
        let due = if has_questions { relay_due.min(own_due) } else { own_due };
        match self.read_at {
            Some(_) => Duration::MAX,
            // Whatever others answer, a host that has failed tries the store again.
            None if self.has_failed => self.retry_at,
            None => due.max(self.retry_at),
        }
    }

    /// The host to ask now.
    fn relay(&self, hosts: &Hosts) -> Option<Arc<str>> {
        if !self.is_unserved() {
            return hosts.relays().nth(self.unanswered % MAX_RELAYS);
        }
        let others = hosts.substitutes(&self.host);
        let index = self.unanswered.checked_rem(others.len())?;
        others.get(index).cloned()
    }

    /// Records a response of the store.
    pub fn record_response(&mut self, now: Duration) {
        self.has_failed = false;
        self.fresh_at = self.fresh_at.max(Some(now));
        self.called_at = now;
        self.retry_at = Duration::ZERO;
    }

    /// Records a failed call of the store, which is repeated after `delay` at the earliest.
    pub fn record_failure(&mut self, now: Duration, delay: Duration) {
        self.has_failed = true;
        self.called_at = now;
        self.retry_at = now + delay;
    }

    /// Records the start of a read, until whose end the store is not called again.
    pub fn record_read(&mut self, now: Duration) {
        self.read_at = Some(now);
        self.is_overdue = false;
    }

    /// Records the end of the read that was under way, whatever came of it.
    pub fn record_read_end(&mut self) {
        self.read_at = None;
        self.is_overdue = false;
    }

    /// Whether the store does not serve the host, as far as it knows: the last call failed, or the read that is
    /// under way lasts too long. Such a host asks others, and has nothing to answer them with.
    pub fn is_unserved(&self) -> bool {
        self.has_failed || self.is_overdue
    }

    /// Whether the last call of the store failed, so that the next one is made beside questions to others.
    pub fn is_failing(&self) -> bool {
        self.has_failed
    }

    /// Records the start of a call that takes up to `time`, beside which the host goes on asking others.
    pub fn record_probe(&mut self, now: Duration, time: Duration) {
        self.retry_at = now + time;
    }

    /// Records that the store serves the host again, which calls it at once.
    pub fn record_recovery(&mut self) {
        self.has_failed = false;
        self.fresh_at = None;
        self.retry_at = Duration::ZERO;
    }

    /// Records that the host has missed changes, so that it knows no complete state.
    pub fn record_gap(&mut self) {
        self.fresh_at = None;
    }

    /// Records the answer to the question that was sent at `asked_at`.
    pub fn record_answer(&mut self, asked_at: Duration) {
        self.fresh_at = self.fresh_at.max(Some(asked_at));
        let question = self.questions.iter().find(|(at, _)| *at == asked_at);
        let is_last = self.asked_at == Some(asked_at);
        if let Some((_, unanswered)) = question.filter(|_| is_last || self.is_unserved()) {
            // It answers, though perhaps after another one was asked.
            self.unanswered = *unanswered;
            self.asked_at = None;
        }
    }

    /// Records a question of another host.
    pub fn record_question(&mut self, now: Duration) {
        self.was_asked_at = Some(now);
    }
}
