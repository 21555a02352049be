//! Many hosts, the instances of a service and a store, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::{
    super::{
        super::quarantine::{Acquittal, Admission, Book, CLAIM_TIME, Crash, Fingerprint},
        support::{at, name},
    },
    request,
};

/// Length of a step of virtual time.
const STEP_MS: u64 = 5;

/// Requests per second for each instance, of which each is sent once unless it fails.
const LOAD: f64 = 3.0;

/// Requests per second with one and the same content.
const POPULAR_RATE: f64 = 10.0;

/// How often each request that crashes instances comes, per second.
const DEADLY_RATE: f64 = 4.0;

/// Attempts of a host for one request.
const ATTEMPTS: u32 = 2;

/// Time from a crash until the instance is back.
const RESTART_MS: u64 = 3000;

/// Fraction of the messages that are lost.
const MESSAGE_LOSS: f64 = 0.02;

/// Interval between two readings of the store.
const WATCH_INTERVAL_MS: u64 = 1500;

/// Interval of the maintenance of a host.
const MAINTENANCE_MS: u64 = 500;

/// Interval at which a host judges.
const JUDGING_MS: u64 = 100;

/// Interval at which a random host restarts.
const HOST_RESTART_MS: u64 = 2000;

/// Time after the third crash from which on requests are counted, and how many may still come.
const STABLE_MS: u64 = 3000;
const RETRIES: usize = 3;

/// The first requests are those that crash instances; then follows the popular one.
const POPULAR: u64 = 50;

struct Host {
    book: Book,
    /// Changes of the store that the host has seen.
    seen: usize,
    phase_ms: u64,
}

#[derive(Clone, Copy)]
struct Instance {
    incarnation: u64,
    up_at_ms: u64,
}

#[derive(Clone, Copy)]
struct Run {
    number: u64,
    host: usize,
    instance: usize,
    started_ms: u64,
    ends_ms: u64,
    attempts_left: u32,
    /// Whether the caller comes again at another host.
    is_first_try: bool,
}

/// Request that a host wants to try.
struct Trial {
    number: u64,
    host: usize,
    attempts: u32,
    is_first_try: bool,
}

#[derive(Clone)]
enum Message {
    Crash(Crash),
    Answered(Fingerprint),
    Trial(Fingerprint, u64),
    Verdict(Fingerprint),
}

/// The whole deployment.
pub(super) struct World {
    random: StdRng,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    runs: Vec<Run>,
    /// Trials that wait until other hosts have said that they want to try the same request.
    trials: Vec<(u64, Trial)>,
    /// Messages on their way: when they arrive, and where.
    messages: Vec<(u64, usize, Message)>,
    /// Records in the store, the latest ones last, and the revision of each request's record.
    store: Vec<(Fingerprint, bool)>,
    revisions: BTreeMap<Fingerprint, u64>,
    last_number: u64,
    /// Number of requests that crash instances.
    pub(super) deadly: usize,
    /// Seconds at which a third of the instances crash for another reason.
    pub(super) batches: Vec<u64>,
    /// Time over which the instances of a batch crash.
    pub(super) batch_spread_ms: u64,
    /// Crashes for another reason that are still to come: when, and which instance.
    planned: Vec<(u64, usize)>,
    /// When each of the deadly requests reached an instance, and when it crashed one.
    arrivals: BTreeMap<u64, Vec<u64>>,
    crashes: BTreeMap<u64, Vec<u64>>,
    condemned: BTreeSet<Fingerprint>,
}

impl World {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let phase = |random: &mut StdRng| random.random_range(0..300) * STEP_MS;
        Self {
            hosts: (0..hosts)
                .map(|_| Host { book: Book::default(), seen: 0, phase_ms: phase(&mut random) })
                .collect(),
            instances: vec![Instance { incarnation: 1, up_at_ms: 0 }; hosts * 3 / 2],
            runs: Vec::new(),
            trials: Vec::new(),
            messages: Vec::new(),
            store: Vec::new(),
            revisions: BTreeMap::new(),
            last_number: POPULAR,
            deadly: 1,
            batches: Vec::new(),
            batch_spread_ms: 0,
            planned: Vec::new(),
            arrivals: BTreeMap::new(),
            crashes: BTreeMap::new(),
            condemned: BTreeSet::new(),
            random,
        }
    }

    pub(super) fn run(&mut self, time: Duration) {
        for now_ms in (0..time.as_millis() as u64).step_by(STEP_MS as usize) {
            self.deliver(now_ms);
            self.end_runs(now_ms);
            self.start_trials(now_ms);
            if now_ms.is_multiple_of(1000) && self.batches.contains(&(now_ms / 1000)) {
                self.plan_batch(now_ms);
            }
            self.crash_planned(now_ms);
            if now_ms.is_multiple_of(HOST_RESTART_MS) {
                let host = self.random.random_range(0..self.hosts.len());
                self.hosts[host].book = Book::default();
                self.hosts[host].seen = 0;
            }
            (0..self.hosts.len()).for_each(|host| self.run_timers(now_ms, host));
            self.send_requests(now_ms);
        }
    }

    pub(super) fn check(&self) {
        let hosts = self.hosts.len();
        for (number, crashes) in &self.crashes {
            let from = crashes.get(2).copied().unwrap_or(u64::MAX).saturating_add(STABLE_MS);
            let late = self.arrivals[number].iter().filter(|arrived| **arrived > from).count();
            let all = crashes.len();
            assert!(late <= RETRIES, "{hosts} hosts: {late} retries later, {all} crashes");
        }
        let deadly: BTreeSet<Fingerprint> = (0..self.deadly as u64).map(request).collect();
        let innocent: Vec<&Fingerprint> = self.condemned.difference(&deadly).collect();
        assert!(innocent.is_empty(), "{hosts} hosts condemned {} others", innocent.len());
        assert_eq!(self.condemned.len(), self.deadly, "{hosts} hosts: not all are condemned");
    }

    fn send_requests(&mut self, now_ms: u64) {
        let mut count = |rate: f64| {
            let expected = rate * STEP_MS as f64 / 1000.0;
            expected.floor() as usize + usize::from(self.random.random_bool(expected.fract()))
        };
        let unique = count(LOAD * self.instances.len() as f64);
        let popular = count(POPULAR_RATE);
        let deadly: Vec<u64> =
            (0..self.deadly as u64).flat_map(|number| vec![number; count(DEADLY_RATE)]).collect();
        for _ in 0..unique {
            self.last_number += 1;
            self.try_at_host(now_ms, self.last_number, true);
        }
        (0..popular).for_each(|_| self.try_at_host(now_ms, POPULAR, true));
        deadly.into_iter().for_each(|number| self.try_at_host(now_ms, number, true));
    }

    fn try_at_host(&mut self, now_ms: u64, number: u64, is_first_try: bool) {
        let host = self.random.random_range(0..self.hosts.len());
        self.attempt(now_ms, host, number, ATTEMPTS, is_first_try);
    }

    fn attempt(&mut self, now_ms: u64, host: usize, number: u64, attempts: u32, is_first: bool) {
        match self.hosts[host].book.admit(at(now_ms), request(number), host as u64) {
            Admission::Free => {}
            Admission::Trial => {
                self.tell_all(now_ms, host, &Message::Trial(request(number), host as u64));
                let trial = Trial { number, host, attempts, is_first_try: is_first };
                self.trials.push((now_ms + CLAIM_TIME.as_millis() as u64, trial));
                return;
            }
            Admission::Refused { .. } => return,
        }
        self.run_at_instance(now_ms, host, number, attempts, is_first);
    }

    fn start_trials(&mut self, now_ms: u64) {
        let due: Vec<_> = self.trials.extract_if(.., |(at, _)| *at <= now_ms).collect();
        for (_, Trial { number, host, attempts, is_first_try }) in due {
            let book = &self.hosts[host].book;
            if book.admit_trial(at(now_ms), request(number), host as u64) == Admission::Trial {
                self.run_at_instance(now_ms, host, number, attempts, is_first_try);
            }
        }
    }

    fn run_at_instance(
        &mut self,
        now_ms: u64,
        host: usize,
        number: u64,
        attempts: u32,
        is_first: bool,
    ) {
        let up = |instance: &usize| self.instances[*instance].up_at_ms <= now_ms;
        let candidates: Vec<usize> = (0..self.instances.len()).filter(up).collect();
        if candidates.is_empty() {
            return;
        }
        let instance = candidates[self.random.random_range(0..candidates.len())];
        let is_deadly = number < self.deadly as u64;
        let time = if is_deadly { 10..150 } else { 60..900 };
        let ends_ms = now_ms + self.random.random_range(time);
        let (started_ms, attempts_left) = (now_ms, attempts - 1);
        if is_deadly {
            self.arrivals.entry(number).or_default().push(now_ms);
        }
        let is_first_try = is_first;
        self.runs.push(Run {
            number,
            host,
            instance,
            started_ms,
            ends_ms,
            attempts_left,
            is_first_try,
        });
    }

    fn end_runs(&mut self, now_ms: u64) {
        while let Some(index) = self.runs.iter().position(|run| run.ends_ms <= now_ms) {
            let run = self.runs[index];
            if run.number < self.deadly as u64 {
                self.crashes.entry(run.number).or_default().push(now_ms);
                self.crash(now_ms, run.instance);
                continue;
            }
            self.runs.swap_remove(index);
            let book = &mut self.hosts[run.host].book;
            let answered = book.record_answer(at(now_ms), request(run.number));
            if answered != Acquittal::Unknown {
                self.tell_all(now_ms, run.host, &Message::Answered(request(run.number)));
            }
        }
    }

    fn plan_batch(&mut self, now_ms: u64) {
        for instance in 0..self.instances.len() {
            if self.random.random_bool(0.3) {
                let delay_ms = self.random.random_range(0..=self.batch_spread_ms);
                self.planned.push((now_ms + delay_ms, instance));
            }
        }
    }

    fn crash_planned(&mut self, now_ms: u64) {
        let due: Vec<_> = self.planned.extract_if(.., |(at, _)| *at <= now_ms).collect();
        // No request may be sent to an instance that crashes at this moment.
        for (_, instance) in &due {
            self.instances[*instance].up_at_ms = now_ms + RESTART_MS;
        }
        due.into_iter().for_each(|(_, instance)| self.crash(now_ms, instance));
    }

    fn crash(&mut self, now_ms: u64, instance: usize) {
        let incarnation = self.instances[instance].incarnation;
        self.instances[instance] =
            Instance { incarnation: incarnation + 1, up_at_ms: now_ms + RESTART_MS };
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.instance == instance).collect();
        for run in lost {
            let crash = Crash {
                instance: name(&format!("i-{instance}")),
                incarnation,
                request: request(run.number),
                ran_for: Duration::from_millis(now_ms - run.started_ms),
                ended_ago: Duration::ZERO,
            };
            self.hosts[run.host].book.record_crash(at(now_ms), &crash, true);
            self.tell_all(now_ms, run.host, &Message::Crash(crash));
            if run.attempts_left > 0 {
                self.attempt(now_ms, run.host, run.number, run.attempts_left, run.is_first_try);
            } else if run.is_first_try {
                self.try_at_host(now_ms, run.number, false);
            }
        }
    }

    fn tell_all(&mut self, now_ms: u64, sender: usize, message: &Message) {
        for host in (0..self.hosts.len()).filter(|host| *host != sender) {
            if !self.random.random_bool(MESSAGE_LOSS) {
                let arrives_ms = now_ms + self.random.random_range(1..30);
                self.messages.push((arrives_ms, host, message.clone()));
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let due: Vec<_> =
            self.messages.extract_if(.., |(arrives, _, _)| *arrives <= now_ms).collect();
        for (_, host, message) in due {
            let book = &mut self.hosts[host].book;
            match message {
                Message::Crash(crash) => book.record_crash(at(now_ms), &crash, false),
                Message::Answered(request) => {
                    book.record_answer(at(now_ms), request);
                }
                Message::Trial(request, rank) => book.record_trial(at(now_ms), request, rank),
                Message::Verdict(request) => {
                    book.record_verdict(at(now_ms), request);
                }
            }
        }
    }

    fn run_timers(&mut self, now_ms: u64, index: usize) {
        let mut told = Vec::new();
        let host = &mut self.hosts[index];
        let is_due = |interval| (now_ms + host.phase_ms).is_multiple_of(interval);
        if is_due(JUDGING_MS) {
            for (request, is_own) in host.book.judge(at(now_ms)) {
                self.condemned.insert(request);
                if is_own {
                    told.push(request);
                }
            }
        }
        if host.seen == 0 || is_due(WATCH_INTERVAL_MS) {
            for (index, (request, is_condemned)) in self.store.iter().enumerate().skip(host.seen) {
                if *is_condemned {
                    host.book.apply_record(at(now_ms), *request, index as u64 + 1);
                } else {
                    host.book.remove_record(*request);
                }
            }
            host.seen = self.store.len();
        }
        if is_due(MAINTENANCE_MS) {
            host.book.remove_expired(at(now_ms));
            for publication in host.book.publications(at(now_ms), |_| index == 0) {
                let revision = self.revisions.get(&publication.request).copied().unwrap_or(0);
                if revision == publication.replaces_revision {
                    self.store.push((publication.request, publication.is_condemned));
                    let revision =
                        if publication.is_condemned { self.store.len() as u64 } else { 0 };
                    self.revisions.insert(publication.request, revision);
                }
            }
        }
        told.into_iter()
            .for_each(|request| self.tell_all(now_ms, index, &Message::Verdict(request)));
    }
}
