//! Many hosts, one region's instances and a store, in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::super::{
    super::{
        fleet::{Choice, Fleet, Locality},
        instance::Outcome,
        limit::Statement,
        load::Report,
        seats::{CUT_OFF_TIME, SEAT_PROPAGATION_TIME, Seats},
    },
    support::{SLOTS, at, criteria, endpoint, name},
};

/// Instances, of which the first one states a limit.
const INSTANCES: usize = 20;

/// Requests per second for each instance.
const LOAD: f64 = 12.0;

/// Time that an instance takes for a request.
const PROCESSING_MS: u64 = 150;

/// Target latency of the requests.
const TARGET_MS: u64 = 600;

/// Pause of a host between two calls to the store.
const WATCH_INTERVAL_MS: u64 = 1500;

/// Interval of the maintenance of a host.
const MAINTENANCE_MS: u64 = 500;

/// Length of a step of virtual time.
const STEP_MS: u64 = 5;

/// Window in which requests are counted.
const WINDOW_MS: u64 = 4000;

/// Time after an answer from which a host counts as told.
const TOLD_MS: u64 = 500;

/// Time that a message takes to another host.
const MESSAGE_MS: u64 = 25;

/// Fraction of the messages that are lost.
const MESSAGE_LOSS: f64 = 0.02;

/// What happens to a random host.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A host that is new to the others starts.
    Start,
    /// A host ends for good.
    Stop,
    /// A host is killed and starts again at once.
    Restart,
    /// A host can't reach the store any more.
    CutOff,
}

/// Change in the store.
#[derive(Clone, Debug)]
enum Change {
    Seat(Arc<str>),
    Unregistered(Arc<str>),
    Limit { incarnation: u64, statement: Statement, revision: u64 },
}

struct Host {
    name: Arc<str>,
    fleet: Fleet,
    seats: Seats,
    /// Changes of the store that the host has seen.
    seen: usize,
    seat_valid_from_ms: u64,
    cut_off_at_ms: Option<u64>,
    /// Offset of the host's timers.
    phase_ms: u64,
    told_at_ms: Option<u64>,
}

struct InFlight {
    host: Arc<str>,
    choice: Choice,
    sent_at_ms: u64,
}

/// Announcement of a limit on its way to a host.
struct Message {
    to: Arc<str>,
    arrives_at_ms: u64,
    rate: f64,
}

/// The whole deployment.
pub(super) struct World {
    random: StdRng,
    hosts: Vec<Host>,
    started_hosts: usize,
    store: Vec<Change>,
    /// Revision of the record of the limit; 0 without one.
    record_revision: u64,
    events: Vec<(u64, Event)>,
    /// Limit from each time on, in milliseconds.
    limits: BTreeMap<u64, Option<f64>>,
    in_flight: Vec<InFlight>,
    messages: Vec<Message>,
    /// Arrivals at the first instance: when, and whether the host had been told.
    arrivals: Vec<(u64, bool)>,
    refused: usize,
    sent: usize,
    most_waiting: usize,
}

impl World {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            started_hosts: 0,
            store: Vec::new(),
            record_revision: 0,
            events: Vec::new(),
            limits: BTreeMap::from([(0, None)]),
            in_flight: Vec::new(),
            messages: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
            sent: 0,
            most_waiting: 0,
        };
        for _ in 0..hosts {
            world.start_host(0);
        }
        world
    }

    pub(super) fn limit_at(&mut self, second: u64, limit: Option<f64>) {
        self.limits.insert(second * 1000, limit);
    }

    pub(super) fn event_at(&mut self, second: u64, event: Event) {
        self.events.push((second * 1000, event));
    }

    pub(super) fn run(&mut self, seconds: u64) {
        for now_ms in (0..seconds * 1000).step_by(STEP_MS as usize) {
            self.handle_events(now_ms);
            self.answer_requests(now_ms);
            self.deliver_messages(now_ms);
            for index in 0..self.hosts.len() {
                self.run_timers(now_ms, index);
            }
            let expected = LOAD * INSTANCES as f64 * STEP_MS as f64 / 1000.0;
            let count =
                expected.floor() as usize + usize::from(self.random.random_bool(expected.fract()));
            for _ in 0..count {
                self.send_request(now_ms);
            }
        }
    }

    /// Checks the limit in every window that begins when the instance has just stated its first limit
    /// or later, over the hosts that had been told. What the window allows is the largest limit in it.
    pub(super) fn check_limit(&self) {
        let told: Vec<u64> =
            self.arrivals.iter().filter(|(_, is_told)| *is_told).map(|(at, _)| *at).collect();
        for (index, from) in told.iter().enumerate() {
            let until = from + WINDOW_MS;
            let count = told[index..].iter().take_while(|arrived| **arrived < until).count();
            let Some(limit) = self.largest_limit(*from, until) else {
                continue;
            };
            let allowed = limit * WINDOW_MS as f64 / 1000.0 * 1.5 + 5.0;
            assert!(
                count as f64 <= allowed,
                "{} hosts: {count} requests from {from} to {until} ms, {allowed} are allowed",
                self.hosts.len()
            );
        }
    }

    /// Checks the limit over the hosts that had ever been told of one, in every window, counting the
    /// requests that arrived while the instance stated a limit.
    pub(super) fn check_restated_limit(&self) {
        let counted: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|(at, is_told)| *is_told && self.limit(*at).is_some())
            .map(|(at, _)| *at)
            .collect();
        for (index, from) in counted.iter().enumerate() {
            let until = from + WINDOW_MS;
            let count = counted[index..].iter().take_while(|arrived| **arrived < until).count();
            let stated = self.limits.range(..until).filter_map(|(at, limit)| {
                let is_in_window =
                    self.limits.range(at + 1..).next().is_none_or(|(end, _)| end > from);
                limit.filter(|_| is_in_window)
            });
            let allowed = stated.fold(0.0, f64::max) * WINDOW_MS as f64 / 1000.0 * 1.5 + 5.0;
            assert!(
                count as f64 <= allowed,
                "{} hosts: {count} requests from {from} to {until} ms, {allowed} are allowed",
                self.hosts.len()
            );
        }
    }

    /// Checks that no instance had a longer queue than can be answered within the target, and that
    /// nearly all requests were served.
    pub(super) fn check_others(&self) {
        let slots = SLOTS as usize;
        let longest = slots * (TARGET_MS / PROCESSING_MS - 1) as usize;
        assert!(self.most_waiting <= longest, "{} requests in a queue", self.most_waiting);
        assert!(self.refused * 50 <= self.sent, "{} of {} refused", self.refused, self.sent);
    }

    pub(super) fn arrivals_between(&self, from: u64, until: u64) -> usize {
        let window = from * 1000..until * 1000;
        self.arrivals.iter().filter(|(at, _)| window.contains(at)).count()
    }

    /// Largest limit in a window; `None` if there is none at some time.
    fn largest_limit(&self, from: u64, until: u64) -> Option<f64> {
        let at_start = self.limits.range(..=from).next_back().map(|(_, limit)| *limit);
        let later = self.limits.range(from + 1..until).map(|(_, limit)| *limit);
        at_start
            .into_iter()
            .chain(later)
            .try_fold(0.0, |largest: f64, limit| Some(largest.max(limit?)))
    }

    fn limit(&self, now_ms: u64) -> Option<f64> {
        self.limits.range(..=now_ms).next_back().and_then(|(_, limit)| *limit)
    }

    fn handle_events(&mut self, now_ms: u64) {
        let due: Vec<Event> =
            self.events.iter().filter(|(at, _)| *at == now_ms).map(|(_, event)| *event).collect();
        for event in due {
            let index = self.random.random_range(0..self.hosts.len());
            match event {
                Event::Start => self.start_host(now_ms),
                Event::Stop => {
                    let host = self.hosts.swap_remove(index);
                    self.store.push(Change::Unregistered(host.name));
                }
                Event::Restart => {
                    let host = &self.hosts[index];
                    let (host_name, phase, told) =
                        (host.name.clone(), host.phase_ms, host.told_at_ms);
                    self.hosts[index] = Host::new(now_ms, host_name, phase, now_ms);
                    self.hosts[index].told_at_ms = told;
                }
                Event::CutOff => {
                    let host = &mut self.hosts[index];
                    host.cut_off_at_ms.get_or_insert(now_ms);
                    self.store.push(Change::Unregistered(host.name.clone()));
                }
            }
        }
    }

    fn start_host(&mut self, now_ms: u64) {
        let host_name = name(&format!("host-{}", self.started_hosts));
        self.started_hosts += 1;
        self.store.push(Change::Seat(host_name.clone()));
        let valid_from =
            if now_ms == 0 { 0 } else { now_ms + SEAT_PROPAGATION_TIME.as_millis() as u64 };
        let phase = self.random.random_range(0..WATCH_INTERVAL_MS / STEP_MS) * STEP_MS;
        self.hosts.push(Host::new(now_ms, host_name, phase, valid_from));
    }

    fn run_timers(&mut self, now_ms: u64, index: usize) {
        let host = &mut self.hosts[index];
        let timer_ms = now_ms + host.phase_ms;
        let is_due = |interval| timer_ms.is_multiple_of(interval);
        if host.seen == 0 || (is_due(WATCH_INTERVAL_MS) && host.cut_off_at_ms.is_none()) {
            host.apply(now_ms, &self.store);
        }
        if !is_due(MAINTENANCE_MS) {
            return;
        }
        host.publish_members(now_ms);
        host.fleet.update_limits(at(now_ms));
        for publication in host.fleet.limit_publications(at(now_ms)) {
            if host.cut_off_at_ms.is_some() || publication.replaces_revision != self.record_revision
            {
                continue;
            }
            let (incarnation, statement) = (publication.incarnation, publication.statement);
            let revision = self.store.len() as u64 + 1;
            self.record_revision = if statement == Statement::Unlimited { 0 } else { revision };
            self.store.push(Change::Limit { incarnation, statement, revision });
        }
    }

    fn send_request(&mut self, now_ms: u64) {
        let index = self.random.random_range(0..self.hosts.len());
        let object = self.random.random_range(0..200);
        let draw = self.random.random_range(0.0..1.0);
        let host = &mut self.hosts[index];
        let mut wanted = criteria();
        wanted.object_hash = Some(object);
        wanted.admission_draw = draw;
        wanted.target_latency = Some(Duration::from_millis(TARGET_MS));
        self.sent += 1;
        let Ok(choice) = host.fleet.choose(at(now_ms), &wanted) else {
            self.refused += 1;
            return;
        };
        host.fleet.start_request(at(now_ms), &choice);
        if *choice.id == *"i-0" {
            let is_told = host.told_at_ms.is_some_and(|told| told + TOLD_MS <= now_ms);
            self.arrivals.push((now_ms, is_told));
        }
        self.in_flight.push(InFlight { host: host.name.clone(), choice, sent_at_ms: now_ms });
    }

    fn answer_requests(&mut self, now_ms: u64) {
        let mut running: HashMap<Arc<str>, usize> = HashMap::new();
        for request in &self.in_flight {
            *running.entry(request.choice.id.clone()).or_default() += 1;
        }
        let waiting = running.values().map(|count| count.saturating_sub(SLOTS as usize)).max();
        self.most_waiting = self.most_waiting.max(waiting.unwrap_or_default());
        let limit = self.limit(now_ms);
        let hosts = &mut self.hosts;
        let mut announced = Vec::new();
        self.in_flight.retain(|request| {
            if request.sent_at_ms + PROCESSING_MS > now_ms {
                return true;
            }
            let Some(host) = hosts.iter_mut().find(|host| host.name == request.host) else {
                return false;
            };
            let choice = &request.choice;
            let requests = running.get(&choice.id).copied().unwrap_or_default() as u32;
            let report = Report {
                running: requests.min(SLOTS),
                waiting: requests.saturating_sub(SLOTS),
                slots: SLOTS,
                factor: None,
            };
            let outcome = Outcome::Answered(Duration::from_millis(PROCESSING_MS));
            host.fleet.end_request(at(now_ms), choice, outcome, Some(report));
            let limit = limit.filter(|_| *choice.id == *"i-0");
            let statement = limit.map_or(Statement::Unlimited, Statement::Limited);
            host.fleet.record_limit(at(now_ms), choice, at(request.sent_at_ms), statement);
            announced.extend(host.fleet.take_limit_announcement(at(now_ms), &choice.id));
            if limit.is_some() {
                host.told_at_ms.get_or_insert(now_ms);
            }
            false
        });
        for rate in announced {
            self.announce(now_ms, rate);
        }
    }

    fn announce(&mut self, now_ms: u64, rate: f64) {
        for host in &self.hosts {
            if !self.random.random_bool(MESSAGE_LOSS) {
                let (to, arrives_at_ms) = (host.name.clone(), now_ms + MESSAGE_MS);
                self.messages.push(Message { to, arrives_at_ms, rate });
            }
        }
    }

    fn deliver_messages(&mut self, now_ms: u64) {
        let hosts = &mut self.hosts;
        self.messages.retain(|message| {
            let is_due = message.arrives_at_ms <= now_ms;
            let host = hosts.iter_mut().find(|host| host.name == message.to);
            if let Some(host) = host.filter(|_| is_due) {
                let statement = Statement::Limited(message.rate);
                host.fleet.record_limit_message(at(now_ms), &name("i-0"), 1, statement);
            }
            !is_due
        });
    }
}

impl Host {
    fn new(now_ms: u64, host_name: Arc<str>, phase_ms: u64, seat_valid_from_ms: u64) -> Self {
        let locality = Locality {
            host: host_name.clone(),
            region: name("north"),
            domain: name("north-a"),
            domain_regions: HashMap::from([(name("north-a"), name("north"))]),
        };
        let mut fleet = Fleet::new(locality);
        for index in 0..INSTANCES {
            fleet.register(at(now_ms), endpoint(&format!("i-{index}"), "north-a"));
        }
        fleet.finish_initial_sync();
        Self {
            name: host_name,
            fleet,
            seats: Seats::default(),
            seen: 0,
            seat_valid_from_ms,
            cut_off_at_ms: None,
            phase_ms,
            told_at_ms: None,
        }
    }

    fn apply(&mut self, now_ms: u64, changes: &[Change]) {
        let now = at(now_ms);
        for change in &changes[self.seen..] {
            match change {
                Change::Seat(host) => {
                    self.seats.add(now, host);
                    self.seats.mark_registered(host);
                    self.seats.set_region(host, name("north"));
                }
                Change::Unregistered(host) => self.seats.mark_unregistered(now, host),
                Change::Limit { statement: Statement::Unlimited, .. } => {
                    self.fleet.remove_limit_record(now, &name("i-0"));
                }
                Change::Limit { incarnation, statement, revision } => {
                    let id = name("i-0");
                    self.fleet.apply_limit_record(now, &id, *incarnation, *statement, *revision);
                }
            }
        }
        self.seen = changes.len();
        self.publish_members(now_ms);
    }

    fn publish_members(&mut self, now_ms: u64) {
        let mut members = self.seats.limit_members(at(now_ms));
        if now_ms < self.seat_valid_from_ms {
            members.retain(|member| member.host != self.name);
        }
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        self.fleet.set_region_hosts(hosts);
        let is_cut_off =
            self.cut_off_at_ms.is_some_and(|since| at(now_ms) >= at(since) + CUT_OFF_TIME);
        self.fleet.set_limit_members(at(now_ms), members, is_cut_off);
    }
}
