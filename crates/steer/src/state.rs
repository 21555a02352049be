//! State of one entry host, owned by its only thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use marjorampick_core::steering::{
    fleet::{Fleet, Locality},
    grace, helper,
    lag::Lag,
    plan::Plan,
    quarantine, rate, reach, retry,
    seats::{CUT_OFF_TIME, SEAT_PROPAGATION_TIME, Seats},
    split,
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, mpsc},
    time::timeout,
};

use crate::{
    backend::{memory::Memory, pool::Pool},
    clock,
    codec::Codec,
    constants::{
        BEHIND_RATIO, FORMER_HOST_TIME, MAX_CARRIED_BODY_BYTES, MAX_CARRIED_REQUESTS,
        MAX_WAITING_ANNOUNCEMENTS, STARTUP_WAIT,
    },
    events::{Event, Log, Rank},
    intake::{self, budget::Budget, connections::Times, gate::Gate, machine, pace::Pace},
    peers::Message,
    reach::Silence,
    settings::Settings,
};

/// Largest request head until a configuration is in force, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 32 * 1024;

/// Time limits of connections until a configuration is in force.
const DEFAULT_TIMES: Times = Times { head: Duration::from_secs(5), idle: Duration::from_secs(30) };

/// Pieces of refused requests' bodies that are read per second. With 32 KiB each, they fill the largest link
/// of the deployments half; more would take the processor time of the ordinary callers.
const DISCARDED_PIECES_PER_SECOND: u32 = 400;

/// Such pieces that are read at once.
const DISCARDED_BURST: u32 = 100;

/// Registration of an entry host in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address on which it accepts callers.
    pub callers: SocketAddr,
    /// Address on which it receives messages of other hosts.
    pub peers: SocketAddr,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Bandwidth of its link in Mbit/s, if its settings tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<u32>,
    /// Services that it does not reach.
    #[serde(default, flatten)]
    pub reach: reach::Report,
}

/// An entry host that is registered, or was until an outage of the store.
#[derive(Clone, Debug)]
pub struct Host {
    /// Last known registration.
    pub registration: Registration,
    /// When the host is removed unless it registers again; `None` while it is registered.
    pub expires_at: Option<Duration>,
}

/// Host that may send messages.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the host.
    pub name: Arc<str>,
    /// When it was last registered. A host that stops, or has just started again, goes on sending.
    seen_at: Duration,
}

/// Data that the state publishes to the look-up and readiness listeners, whose handlers must be
/// `Send`.
#[derive(Debug)]
pub struct Snapshot {
    /// Whether the host is ready for requests.
    pub is_ready: AtomicBool,
    /// Registered hosts.
    pub hosts: ArcSwap<Vec<Registration>>,
    /// Host names of the routes with large answers.
    pub large_answer_names: ArcSwap<HashSet<Arc<str>>>,
}

/// Entries of this host in the store that it has to write again, as they were removed or say something else.
#[derive(Debug, Default)]
pub struct LostEntries {
    seat: Cell<bool>,
    registration: Cell<bool>,
    report: Cell<bool>,
    changed: Notify,
}

impl LostEntries {
    /// Records that the seat was removed.
    pub fn record_seat(&self) {
        self.seat.set(true);
        self.changed.notify_one();
    }

    /// Records that the registration was removed.
    pub fn record_registration(&self) {
        self.registration.set(true);
        self.changed.notify_one();
    }

    /// Records that the store has been restored, which may have lost the seat and has ended the lease.
    pub fn record_restore(&self) {
        self.record_seat();
        self.record_registration();
    }

    /// Records that the registration has to be written again as it says something else.
    pub fn record_report(&self) {
        self.report.set(true);
        self.changed.notify_one();
    }

    /// Whether the registration says something else since the last call.
    pub fn take_report(&self) -> bool {
        self.report.take()
    }

    /// Whether the seat was removed since the last call.
    pub fn take_seat(&self) -> bool {
        self.seat.take()
    }

    /// Whether the registration was removed since the last call.
    pub fn take_registration(&self) -> bool {
        self.registration.take()
    }

    /// Waits until an entry is removed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// Requests of other hosts that run here, and the memory of their bodies.
#[derive(Debug, Default)]
pub struct Carried {
    requests: Cell<usize>,
    body_bytes: Cell<usize>,
}

impl Carried {
    /// Takes room for one more request with a body of this size, until the returned value is dropped;
    /// `None` if there is none.
    pub fn reserve(&self, body_bytes: usize) -> Option<CarriedRequest<'_>> {
        let requests = self.requests.get() + 1;
        let total_bytes = self.body_bytes.get() + body_bytes;
        if requests > MAX_CARRIED_REQUESTS || total_bytes > MAX_CARRIED_BODY_BYTES {
            return None;
        }
        self.requests.set(requests);
        self.body_bytes.set(total_bytes);
        Some(CarriedRequest { carried: self, body_bytes })
    }
}

/// Room of one request of another host.
#[derive(Debug)]
pub struct CarriedRequest<'a> {
    carried: &'a Carried,
    body_bytes: usize,
}

impl Drop for CarriedRequest<'_> {
    fn drop(&mut self) {
        let Carried { requests, body_bytes } = self.carried;
        requests.set(requests.get() - 1);
        body_bytes.set(body_bytes.get() - self.body_bytes);
    }
}

/// State of the process.
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Translation from and to the platform's wire formats.
    pub codec: Codec,
    /// Structured log.
    pub log: Log,
    /// Configuration in force; `None` until the first one is read.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// Known backend server instances.
    pub fleet: RefCell<Fleet>,
    /// Rate limiter of the workspaces.
    pub rate_limiter: RefCell<rate::Limiter>,
    /// Hosts that share the rate limits of the workspaces and the retry budgets.
    pub seats: RefCell<Seats>,
    /// Registered hosts by name.
    pub hosts: RefCell<BTreeMap<Arc<str>, Host>>,
    /// Requests that crash instances.
    pub quarantine: RefCell<quarantine::Book>,
    /// Wakes the task that judges them.
    pub crash_reported: Notify,
    /// Hosts that are registered, or were until a moment ago, by the address for messages of other hosts.
    pub peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    /// Idle connections to backend servers.
    pub pool: RefCell<Pool>,
    /// What this host tells the others of the services that it reaches.
    pub reach_report: RefCell<reach::Report>,
    /// Whether instances answer.
    pub silence: Silence,
    /// Idle connections to hosts to which requests are passed on.
    pub helper_pool: RefCell<Pool>,
    /// Hosts to which requests are passed on.
    pub helpers: RefCell<helper::Book>,
    /// Requests of other hosts that run here.
    pub carried: Carried,
    /// Resources of the machine that callers may use.
    pub(crate) budget: Budget,
    /// Memory for request bodies.
    pub(crate) body_memory: intake::Pool,
    /// Connections of callers.
    pub(crate) caller_gate: Rc<Gate>,
    /// Connections of other hosts.
    pub(crate) host_gate: Rc<Gate>,
    /// Connections for look-ups, readiness and metrics.
    pub(crate) service_gate: Rc<Gate>,
    /// Turns for reading pieces of them, and of bodies in tiny pieces.
    pub(crate) piece_pace: RefCell<Pace>,
    /// Bodies of refused requests that are being discarded.
    pub(crate) discarded_bodies: Cell<usize>,
    /// Memory for answers of backend servers.
    pub answer_memory: Memory,
    /// Data for the look-up and readiness listeners.
    pub snapshot: Arc<Snapshot>,
    /// Versions of the configuration that other hosts have in force, and this one does not.
    pub lag: RefCell<Lag>,
    /// When the store last responded.
    pub store_last_response_at: Cell<Duration>,
    /// Time from which this host's share of the rate limits counts; `None` until it has a seat.
    pub seat_valid_from: Cell<Option<Duration>>,
    /// When this host last registered; `None` until it has.
    pub registered_at: Cell<Option<Duration>>,
    /// Entries of this host that were removed from the store.
    pub lost_entries: LostEntries,
    /// When the process started.
    pub started_at: Duration,
    /// Wakes the requests that wait until the host is ready.
    pub became_ready: Notify,
    /// Number of requests that have not ended.
    pub in_flight: Cell<u32>,
    /// Number of open connections of callers.
    pub open_connections: Cell<u32>,
    /// Time in which the host ends what it has taken; `None` until the process was asked to stop.
    pub grace: Cell<Option<grace::Period>>,
    /// Announcements that wait until they are sent to the other hosts.
    announcements: mpsc::Sender<Message>,
    /// Retry budget of each service.
    retry_budgets: RefCell<HashMap<Arc<str>, retry::Budget>>,
    /// Balancer of each route, by the route's name.
    balancers: RefCell<HashMap<Arc<str>, split::Balancer>>,
}

impl State {
    /// State of a process that has read nothing from the store yet, and the announcements that are to be
    /// sent to the other hosts.
    pub fn new(settings: Settings, codec: Codec, log: Log) -> (Rc<Self>, mpsc::Receiver<Message>) {
        let (announcements, waiting) = mpsc::channel(MAX_WAITING_ANNOUNCEMENTS);
        let locality = Locality {
            host: settings.host.name.clone(),
            region: settings.host.region.clone(),
            domain: settings.host.failure_domain.clone(),
            domain_regions: settings.failure_domains.clone(),
        };
        let mut fleet = Fleet::new(locality);
        fleet.set_class_competition(settings.class_competition);
        let budget = Budget::new(machine::read(settings.limits));
        let snapshot = Snapshot {
            is_ready: AtomicBool::new(false),
            hosts: ArcSwap::default(),
            large_answer_names: ArcSwap::default(),
        };
        let state = Rc::new(Self {
            plan: RefCell::new(None),
            fleet: RefCell::new(fleet),
            rate_limiter: RefCell::new(rate::Limiter::new(
                settings.rate_tolerance,
                settings.host.name.clone(),
            )),
            seats: RefCell::default(),
            hosts: RefCell::default(),
            quarantine: RefCell::default(),
            crash_reported: Notify::new(),
            peers: RefCell::default(),
            pool: RefCell::default(),
            reach_report: RefCell::default(),
            silence: Silence::default(),
            helper_pool: RefCell::default(),
            helpers: RefCell::default(),
            carried: Carried::default(),
            budget,
            body_memory: intake::Pool::new(budget.body_bytes()),
            caller_gate: Gate::new("callers", budget.caller_share()),
            host_gate: Gate::new("hosts", budget.host_share()),
            service_gate: Gate::new("services", budget.service_share()),
            piece_pace: RefCell::new(Pace::new(DISCARDED_PIECES_PER_SECOND, DISCARDED_BURST)),
            discarded_bodies: Cell::new(0),
            answer_memory: Memory::new(budget.response_bytes()),
            snapshot: Arc::new(snapshot),
            lag: RefCell::default(),
            store_last_response_at: Cell::new(Duration::ZERO),
            seat_valid_from: Cell::new(None),
            registered_at: Cell::new(None),
            lost_entries: LostEntries::default(),
            started_at: clock::now(),
            became_ready: Notify::new(),
            in_flight: Cell::new(0),
            open_connections: Cell::new(0),
            grace: Cell::new(None),
            retry_budgets: RefCell::default(),
            balancers: RefCell::default(),
            announcements,
            settings,
            codec,
            log,
        });
        (state, waiting)
    }

    /// Largest request head, in bytes.
    pub(crate) fn max_header_bytes(&self) -> usize {
        let plan = self.plan.borrow();
        plan.as_ref().map_or(DEFAULT_MAX_HEADER_BYTES, |plan| plan.limits.max_header_bytes)
    }

    /// Time limits of connections.
    pub(crate) fn connection_times(&self) -> Times {
        let plan = self.plan.borrow();
        plan.as_ref().map_or(DEFAULT_TIMES, |plan| Times {
            head: plan.limits.header_timeout,
            idle: plan.limits.idle_timeout,
        })
    }

    /// Whether the process was asked to stop.
    pub fn is_draining(&self) -> bool {
        self.grace.get().is_some()
    }

    /// Sends a message to all other hosts. One too many is dropped, as if it were lost on the way.
    pub fn announce(&self, message: Message) {
        if self.announcements.try_send(message).is_err() {
            log::debug!("peers: dropped an announcement");
        }
    }

    /// Milliseconds since the store last responded.
    pub fn store_age_ms(&self) -> u128 {
        clock::now().saturating_sub(self.store_last_response_at.get()).as_millis()
    }

    /// Version of the configuration in force; 0 until the first one is read.
    pub fn version(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.version)
    }

    /// Records the version that the host with this name has in force; 0 if it did not tell.
    pub fn hear_version(&self, teller: &Arc<str>, version: u64) {
        self.lag.borrow_mut().hear(clock::now(), teller, version, self.version());
    }

    /// The same of the host that sends messages from this address.
    pub fn hear_version_at(&self, sender: SocketAddr, version: u64) {
        let peers = self.peers.borrow();
        if let Some(peer) = peers.get(&sender) {
            self.hear_version(&peer.name, version);
        }
    }

    /// The latest version that all hosts must have in force by now, as this host has known it for a while; 0
    /// without one.
    pub fn settled_version(&self) -> u64 {
        self.lag.borrow().known_for(clock::now(), self.propagation_allowance())
    }

    /// The same of the versions that this host has had in force itself.
    pub fn settled_own_version(&self) -> u64 {
        self.lag.borrow().reached_for(clock::now(), self.propagation_allowance())
    }

    /// Time in which a host that has heard of a later configuration has to put it in force.
    fn propagation_allowance(&self) -> Duration {
        self.settings.store.propagation.mul_f64(BEHIND_RATIO)
    }

    /// Whether other hosts have had a later configuration in force for so long that this host may no longer
    /// act on its own.
    pub fn is_behind(&self) -> bool {
        let time = self.lag.borrow().time(clock::now());
        time.is_some_and(|time| time >= self.propagation_allowance())
    }

    /// Whether this host and the others have had time to learn of each other, so that they hear what each
    /// other tells.
    pub fn is_known_to_others(&self) -> bool {
        let registered_at = self.registered_at.get();
        registered_at.is_some_and(|at| at + SEAT_PROPAGATION_TIME <= clock::now())
    }

    /// Counts a request towards the retry budget of `service`.
    pub fn count_request(&self, service: &Arc<str>) {
        let limit = self.retry_limit();
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().record_request(clock::now(), &limit);
    }

    /// Takes back the count of a request that another host runs and counts.
    pub fn uncount_request(&self, service: &str) {
        if let Some(budget) = self.retry_budgets.borrow_mut().get_mut(service) {
            budget.forget_request();
        }
    }

    /// Name of the host with this IP address for messages; `None` for a stranger.
    pub fn peer_at(&self, ip: IpAddr) -> Option<Arc<str>> {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|(address, _)| address.ip() == ip);
        found.map(|(_, peer)| peer.name.clone())
    }

    /// Uses one retry of the budget of `service`. Returns false if the budget is exhausted.
    pub fn try_retry(&self, service: &Arc<str>) -> bool {
        let limit = self.retry_limit();
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().try_retry(clock::now(), &limit)
    }

    /// Returns the index of the route's destination that gets the next request.
    pub fn next_destination(&self, route: &marjorampick_core::steering::plan::Route) -> usize {
        if route.destinations.len() <= 1 {
            return 0;
        }
        let mut balancers = self.balancers.borrow_mut();
        balancers.entry(route.name.clone()).or_default().next(&route.destinations)
    }

    /// Publishes the current hosts and seats to the fleet, the look-up listener and the rate
    /// limiter.
    pub fn publish_hosts(&self) {
        let hosts = self.hosts.borrow();
        let own = &self.settings.host;
        let same_region = hosts.iter().filter(|(_, host)| host.registration.region == own.region);
        let mut region_hosts: Vec<Arc<str>> = same_region.map(|(name, _)| name.clone()).collect();
        if !region_hosts.contains(&own.name) {
            region_hosts.push(own.name.clone());
        }
        self.fleet.borrow_mut().set_region_hosts(region_hosts);
        let now = clock::now();
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now < peer.seen_at + FORMER_HOST_TIME);
        peers.extend(hosts.iter().map(|(name, host)| {
            (host.registration.peers, Peer { name: name.clone(), seen_at: now })
        }));
        let registrations: Vec<Registration> =
            hosts.values().map(|host| host.registration.clone()).collect();
        let registered = registrations.len();
        self.snapshot.hosts.store(Arc::new(registrations));
        let valid_from = self.seat_valid_from.get().filter(|from| *from <= clock::now());
        let seats = valid_from.map_or_else(Vec::new, |_| self.seats.borrow().host_names());
        let mut members = self.seats.borrow().limit_members(clock::now());
        members.retain(|member| valid_from.is_some() || member.host != own.name);
        let store_age = clock::now().saturating_sub(self.store_last_response_at.get());
        let is_cut_off = store_age >= CUT_OFF_TIME;
        self.fleet.borrow_mut().set_limit_members(clock::now(), members, is_cut_off);
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        let seat_count = seats.len();
        if rate_limiter.set_seats(valid_from.unwrap_or_else(clock::now), seats) {
            let event = Event::Hosts { registered, seats: seat_count, part: rate_limiter.share() };
            self.log.write(Rank::Notice, event);
        }
    }

    /// Publishes whether the host is ready: it is not draining, has a configuration and knows at
    /// least one instance.
    pub fn publish_readiness(&self) {
        let is_ready =
            !self.is_draining() && self.plan.borrow().is_some() && !self.fleet.borrow().is_empty();
        self.snapshot.is_ready.store(is_ready, Ordering::Release);
        if is_ready {
            self.became_ready.notify_waiters();
        }
    }

    /// Waits until the host is ready if it has no configuration yet, up to `STARTUP_WAIT` after
    /// the start of the process.
    pub async fn wait_until_ready(&self) {
        let became_ready = self.became_ready.notified();
        let remaining = (self.started_at + STARTUP_WAIT).saturating_sub(clock::now());
        if self.plan.borrow().is_none() && !remaining.is_zero() {
            // After the timeout the request continues, and is refused without a configuration.
            let _ = timeout(remaining, became_ready).await;
        }
    }

    /// Retry limit with this host's share of the allowance.
    fn retry_limit(&self) -> retry::Limit {
        let limit = self.settings.retry_limit;
        let seats = self.seats.borrow().count() as f64;
        retry::Limit { allowance: limit.allowance / seats, ..limit }
    }
}
