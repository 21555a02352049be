//! Hosts, instances and callers in virtual time.
//!
//! An instance runs as many requests as it has slots, queues a few more and rejects the rest. It
//! keeps the objects that it handled last, and takes less time for those.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use marjorampick_core::steering::{
    fleet::{Choice, Criteria, Fleet, Locality, Rejection},
    instance::{Endpoint, Outcome},
    load::Report,
    retry,
    speed::Factor,
};

use super::{
    WINDOW,
    competition::{Class, Outcomes},
    noise::{self, Selection},
    pattern::{Fault, Kind, Pattern, Window},
};

const SERVICE: &str = "status";
const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Work on a cached object relative to the work on one that the instance must load.
pub(super) const CACHED_WORK_RATIO: f64 = 0.3;

/// Network latency of a response from another region, both ways.
pub(super) const REMOTE_LATENCY: Duration = Duration::from_millis(40);

/// Retries of the hosts per request.
const RETRY_RATIO: f64 = 0.14;

/// Virtual time at which the traffic starts, as hosts reserve zero for "never".
const START: Duration = Duration::from_secs(1000);

pub(super) struct Host {
    pub(super) region: usize,
    pub(super) fleet: Fleet,
    requests: f64,
    retries: f64,
    /// Requests of the host at each instance.
    pub(super) at_instances: Vec<u32>,
}

pub(super) struct Backend {
    pub(super) region: usize,
    pub(super) running: u32,
    /// When each running request will end.
    pub(super) ends: Vec<Duration>,
    pub(super) waiting: VecDeque<usize>,
    /// Objects that the instance has cached, the oldest one first.
    pub(super) cache: Vec<u64>,
}

pub(super) struct Request {
    pub(super) host: usize,
    pub(super) kind: usize,
    pub(super) object: u64,
    /// Work on it relative to the usual work on its kind.
    pub(super) work_ratio: f64,
    /// When the caller first sent it.
    asked_at: Duration,
    /// When this caller's attempt reached the host.
    arrived_at: Duration,
    /// When the present attempt was sent to an instance.
    sent_at: Duration,
    has_returned: bool,
    pub(super) tried: Vec<Arc<str>>,
    choice: Option<Choice>,
    backend: usize,
    answered_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Return(usize),
    Finish(usize),
    Answer(usize, bool, u32, u32, u32),
}

/// What the callers got.
pub(super) struct Results {
    pub(super) windows: Vec<Window>,
    pub(super) outcomes: Vec<noise::Outcome>,
    pub(super) classes: Outcomes,
}

pub(super) struct World {
    pub(super) pattern: Pattern,
    pub(super) selection: Selection,
    pub(super) now: Duration,
    random: u64,
    /// State of the random numbers for arrivals, so that they are the same for each selection.
    arrival_random: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) backends: Vec<Backend>,
    backend_by_id: HashMap<Arc<str>, usize>,
    pub(super) requests: Vec<Request>,
    windows: BTreeMap<u64, Window>,
    outcomes: Outcomes,
}

impl World {
    pub(super) fn new(pattern: Pattern, selection: Selection, seed: u64) -> Self {
        let mut world = Self {
            now: START,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            arrival_random: hash(seed.wrapping_add(1)),
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: Vec::new(),
            backends: Vec::new(),
            backend_by_id: HashMap::new(),
            requests: Vec::new(),
            windows: BTreeMap::new(),
            outcomes: Outcomes::new(pattern.kinds.len()),
            pattern,
            selection,
        };
        for (region, count) in world.pattern.instances.into_iter().enumerate() {
            for _ in 0..count {
                let backend = Backend {
                    region,
                    running: 0,
                    ends: Vec::new(),
                    waiting: VecDeque::new(),
                    cache: Vec::new(),
                };
                let id = instance_id(world.backends.len());
                world.backend_by_id.insert(id, world.backends.len());
                world.backends.push(backend);
            }
        }
        world.start_hosts();
        world.schedule(START, Event::Arrival);
        world
    }

    fn start_hosts(&mut self) {
        let regions = 0..REGIONS.len();
        let hosts = self.pattern.hosts;
        let places: Vec<(usize, u32)> =
            regions.flat_map(|region| (0..hosts[region]).map(move |n| (region, n))).collect();
        self.hosts = places
            .into_iter()
            .map(|(region, number)| Host {
                region,
                fleet: self.new_fleet(region, number),
                requests: 0.0,
                retries: 0.0,
                at_instances: vec![0; self.backends.len()],
            })
            .collect();
    }

    fn new_fleet(&self, region: usize, number: u32) -> Fleet {
        let domains = REGIONS.iter().map(|region| (domain(region), Arc::from(*region)));
        let host_name = |number| Arc::from(format!("host-{}-{number}", REGIONS[region]).as_str());
        let mut fleet = Fleet::new(Locality {
            host: host_name(number),
            region: Arc::from(REGIONS[region]),
            domain: domain(REGIONS[region]),
            domain_regions: domains.collect(),
        });
        fleet.set_warmup(self.now, &Arc::from(SERVICE), Duration::from_secs(3), 16.0);
        fleet.set_uses_remaining_work(self.selection == Selection::Remaining);
        fleet.set_class_competition(true);
        fleet.set_region_hosts((0..self.pattern.hosts[region]).map(host_name).collect());
        for (index, backend) in self.backends.iter().enumerate() {
            fleet.register(
                self.now,
                Endpoint {
                    id: instance_id(index),
                    service: Arc::from(SERVICE),
                    address: "127.0.0.1:9000".parse().unwrap(),
                    domain: domain(REGIONS[backend.region]),
                    slots: self.pattern.slots,
                    incarnation: 1,
                    is_draining: false,
                    warmup_left: Duration::ZERO,
                },
            );
        }
        fleet.finish_initial_sync();
        fleet
    }

    /// Plays the whole pattern and returns what the callers got.
    pub(super) fn run(mut self) -> Results {
        let end = START + self.pattern.length;
        let mut restart_at = self.pattern.hosts_restart_at.map(|at| START + at);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if restart_at.is_some_and(|restart_at| restart_at <= at) {
                restart_at = None;
                self.start_hosts();
            }
            match event {
                Event::Arrival if at < end => self.arrive(),
                Event::Arrival => {}
                Event::Return(request) => self.attempt(request),
                Event::Finish(request) => self.finish(request),
                Event::Answer(request, is_shed, running, waiting, percent) => {
                    let slots = self.pattern.slots;
                    let factor = Factor::from_percent(f64::from(percent));
                    let report = Report { running, waiting, slots, factor };
                    self.answer(request, is_shed, report);
                }
            }
        }
        let outcome = |request: &Request| {
            let kind = self.pattern.kinds[request.kind];
            let latency = request.answered_at.map(|at| at - request.asked_at);
            noise::Outcome {
                region: self.hosts[request.host].region,
                target: kind.target,
                asked_at: request.asked_at - START,
                latency: latency.filter(|latency| *latency <= kind.deadline),
            }
        };
        let outcomes = self.requests.iter().map(outcome).collect();
        let windows = self.windows.into_values().collect();
        Results { windows, outcomes, classes: self.outcomes }
    }

    fn arrive(&mut self) {
        let total = self.pattern.rate * REGIONS.len() as f64;
        let wait = -(1.0 - self.arrival_draw()).ln() / total;
        self.schedule(self.now + Duration::from_secs_f64(wait), Event::Arrival);
        let host = (self.arrival_draw() * self.hosts.len() as f64) as usize;
        let mut draw = self.arrival_draw();
        let is_kind = |kind: &Kind| {
            draw -= kind.share;
            draw < 0.0
        };
        let kind = self.pattern.kinds.iter().position(is_kind).unwrap_or(0);
        let number = (self.arrival_draw() * self.pattern.kinds[kind].objects as f64) as u64;
        let object = hash(number + 1000 * (kind as u64 + 10 * self.hosts[host].region as u64));
        let spread = 0.85 + 0.3 * self.arrival_draw();
        let is_long = self.arrival_draw() < self.pattern.tail.share;
        let work_ratio = spread * if is_long { self.pattern.tail.factor } else { 1.0 };
        self.requests.push(Request {
            host,
            kind,
            object,
            work_ratio,
            asked_at: self.now,
            arrived_at: self.now,
            sent_at: self.now,
            has_returned: false,
            tried: Vec::new(),
            choice: None,
            backend: 0,
            answered_at: None,
        });
        self.window(self.now).asked += 1;
        self.class(kind, self.now).asked += 1;
        self.attempt(self.requests.len() - 1);
    }

    /// Lets the host choose an instance for the request, and sends it there.
    fn attempt(&mut self, id: usize) {
        let admission_draw = self.draw();
        let request = &mut self.requests[id];
        let kind = self.pattern.kinds[request.kind];
        let host = &mut self.hosts[request.host];
        if request.tried.is_empty() {
            host.requests += 1.0;
            request.arrived_at = self.now;
        }
        let route = Arc::from(kind.name);
        let criteria = Criteria {
            service: SERVICE,
            route: &route,
            route_regions: &[],
            workspace_regions: &[],
            object_hash: Some(request.object),
            excluded: &request.tried,
            priority: kind.priority,
            route_priority: kind.priority,
            target_latency: Some(kind.target),
            locality_draw: (request.object >> 11) as f64 / (1_u64 << 53) as f64,
            admission_draw,
            body_bytes: 0,
        };
        let chosen = if self.selection.uses_fleet() {
            host.fleet.choose(self.now, &criteria)
        } else {
            self.choose_directly(id)
        };
        let request = &mut self.requests[id];
        let host = &mut self.hosts[request.host];
        match chosen {
            Ok(choice) => {
                if self.selection.uses_fleet() {
                    host.fleet.start_request(self.now, &choice);
                }
                host.at_instances[self.backend_by_id[&choice.id]] += 1;
                request.sent_at = self.now;
                request.tried.push(choice.id.clone());
                request.backend = self.backend_by_id[&choice.id];
                request.choice = Some(choice);
                self.reach(id);
            }
            Err(rejection) => self.refuse(id, rejection),
        }
    }

    /// Handles a request that has reached its instance.
    fn reach(&mut self, id: usize) {
        let index = self.requests[id].backend;
        let is_rejected = self.draw() < self.rejected_share(index);
        let slots = self.pattern.slots;
        let backend = &mut self.backends[index];
        if is_rejected || backend.waiting.len() >= 3 * slots as usize {
            self.respond(id, true);
        } else if backend.running < slots {
            backend.running += 1;
            self.start(id);
        } else {
            backend.waiting.push_back(id);
        }
    }

    /// Starts to run a request at its instance.
    fn start(&mut self, id: usize) {
        let request = &self.requests[id];
        let kind = self.pattern.kinds[request.kind];
        let slowness = self.slowness(request.backend);
        let (object, asked_at) = (request.object, request.asked_at);
        let backend = &mut self.backends[request.backend];
        let position = backend.cache.iter().position(|cached| *cached == object);
        let ratio = if position.is_some() { CACHED_WORK_RATIO } else { 1.0 };
        let window = self.window(asked_at);
        window.run += 1;
        window.loaded += u32::from(position.is_none());
        let work = kind.work.as_secs_f64() * ratio * slowness * self.requests[id].work_ratio;
        self.outcomes.record_work(self.now - START, work);
        let end = self.now + Duration::from_secs_f64(work);
        self.backends[self.requests[id].backend].ends.push(end);
        self.schedule(end, Event::Finish(id));
    }

    fn finish(&mut self, id: usize) {
        let object = self.requests[id].object;
        let limit = self.pattern.cached_objects;
        let backend = &mut self.backends[self.requests[id].backend];
        backend.cache.retain(|cached| *cached != object);
        backend.cache.push(object);
        if backend.cache.len() > limit {
            backend.cache.remove(0);
        }
        backend.running -= 1;
        let now = self.now;
        if let Some(index) = backend.ends.iter().position(|end| *end == now) {
            backend.ends.swap_remove(index);
        }
        self.respond(id, false);
        self.start_next(self.requests[id].backend);
    }

    /// Starts the next waiting request whose deadline has not passed.
    fn start_next(&mut self, index: usize) {
        while let Some(next) = self.backends[index].waiting.pop_front() {
            let request = &self.requests[next];
            let deadline = self.pattern.kinds[request.kind].deadline;
            if request.arrived_at + deadline <= self.now {
                self.respond(next, true);
                continue;
            }
            self.backends[index].running += 1;
            self.start(next);
            return;
        }
    }

    fn respond(&mut self, id: usize, is_shed: bool) {
        let request = &self.requests[id];
        let backend = &self.backends[request.backend];
        let is_remote = backend.region != self.hosts[request.host].region;
        let latency = if is_remote { REMOTE_LATENCY } else { Duration::from_millis(2) };
        let is_reported = self.pattern.noise.is_some() && self.selection != Selection::Usual;
        let percent = if is_reported { 100.0 * self.slowness(request.backend) } else { 0.0 };
        let (running, waiting) = (backend.running, backend.waiting.len() as u32);
        let event = Event::Answer(id, is_shed, running, waiting, percent as u32);
        self.schedule(self.now + latency, event);
    }

    fn answer(&mut self, id: usize, is_shed: bool, report: Report) {
        let request = &self.requests[id];
        let host = &mut self.hosts[request.host];
        let Some(choice) = &request.choice else {
            return;
        };
        let elapsed = self.now - request.sent_at;
        let outcome = if is_shed { Outcome::Shed } else { Outcome::Answered(elapsed) };
        let at_instance = &mut host.at_instances[request.backend];
        *at_instance = at_instance.saturating_sub(1);
        if self.selection.uses_fleet() {
            host.fleet.end_request(self.now, choice, outcome, Some(report));
        }
        if is_shed {
            if request.tried.len() < 2 && host.retries < host.requests * RETRY_RATIO {
                host.retries += 1.0;
                self.attempt(id);
            } else {
                let retry_after = retry::delay_after_rejection(Some(report));
                self.refuse(id, Rejection::NoCapacity { retry_after });
            }
            return;
        }
        let kind = self.pattern.kinds[request.kind];
        let asked_at = request.asked_at;
        self.requests[id].answered_at = Some(self.now);
        let total = self.now - asked_at;
        let window = self.window(asked_at);
        if total <= kind.target {
            window.on_time += 1;
        } else if total <= kind.deadline {
            window.late += 1;
        }
        let class = self.class(self.requests[id].kind, asked_at);
        if total <= kind.target {
            class.on_time += 1;
        } else if total <= kind.deadline {
            class.late += 1;
        }
    }

    /// Refuses a request, which the caller sends once more after the suggested delay.
    fn refuse(&mut self, id: usize, rejection: Rejection) {
        let retry_after = match rejection {
            Rejection::NoInstance => Duration::from_millis(700),
            Rejection::NoCapacity { retry_after }
            | Rejection::Unreached { retry_after }
            | Rejection::ShiftLimited { retry_after } => retry_after,
        };
        let region = self.hosts[self.requests[id].host].region;
        let first: u32 = self.pattern.hosts[..region].iter().sum();
        let other = self.below(u64::from(self.pattern.hosts[region])) as usize;
        let request = &mut self.requests[id];
        let kind = request.kind;
        let time_left =
            (request.asked_at + self.pattern.kinds[kind].deadline).saturating_sub(self.now);
        let longest = self.pattern.patience.map(|part| time_left.mul_f64(part));
        let retry_after = longest.map_or(retry_after, |longest| retry_after.min(longest));
        if request.has_returned {
            let asked_at = request.asked_at;
            self.class(kind, asked_at).refused += 1;
        } else {
            request.has_returned = true;
            request.tried.clear();
            request.host = first as usize + other;
            self.schedule(self.now + retry_after, Event::Return(id));
        }
    }

    fn window(&mut self, at: Duration) -> &mut Window {
        let index = ((at - START).as_nanos() / WINDOW.as_nanos()) as u64;
        self.windows.entry(index).or_default()
    }

    fn class(&mut self, kind: usize, at: Duration) -> &mut Class {
        self.outcomes.class(kind, at - START)
    }

    /// Fraction of the requests that the instance rejects now although it has free slots.
    fn rejected_share(&self, index: usize) -> f64 {
        self.active_fault(index).map_or(0.0, |fault| fault.rejected)
    }

    /// Factor by which the instance's work takes longer now.
    pub(super) fn slowness(&self, index: usize) -> f64 {
        let fault = self.active_fault(index).map_or(1.0, |fault| fault.slowness);
        fault * self.noise(index)
    }

    /// Factor of the noise at the instance now. The instances change at different times.
    fn noise(&self, index: usize) -> f64 {
        let Some(noise) = self.pattern.noise else {
            return 1.0;
        };
        let phase = hash(index as u64 + 1) % noise.period.as_nanos() as u64;
        let step = (self.now.as_nanos() as u64 + phase) / noise.period.as_nanos() as u64;
        let draw = hash(step.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ hash(index as u64 + 1));
        if (draw >> 11) as f64 / (1_u64 << 53) as f64 >= noise.share { 1.0 } else { noise.factor }
    }

    fn active_fault(&self, index: usize) -> Option<&Fault> {
        let fault = self.pattern.fault.as_ref()?;
        fault.affects(self.now - START, index).then_some(fault)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    pub(super) fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        hash(self.random) % limit.max(1)
    }

    fn arrival_draw(&mut self) -> f64 {
        self.arrival_random = self.arrival_random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        (hash(self.arrival_random) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn draw(&mut self) -> f64 {
        self.below(1 << 53) as f64 / (1_u64 << 53) as f64
    }
}

/// Spreads the bits of a number (SplitMix64).
fn hash(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

pub(super) fn instance_id(index: usize) -> Arc<str> {
    Arc::from(format!("i-{:08x}", hash(index as u64 + 7) >> 32).as_str())
}

fn domain(region: &str) -> Arc<str> {
    Arc::from(format!("{region}-a").as_str())
}
