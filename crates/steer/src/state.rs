//! What one host believes and has decided, on its only thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
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
    plan::Plan,
    rate, retry,
    seats::Seats,
    split,
};
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::timeout};

use crate::{
    backend::pool::Pool,
    clock,
    codec::Codec,
    constants::STARTING_WAIT,
    events::{Event, Log, Rank},
    settings::Settings,
};

/// A host that takes callers, as it registers in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Address for messages of other hosts.
    pub peers: SocketAddr,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// A host as this one knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it registered.
    pub registration: Registration,
    /// When it is dropped although its entry may come back, after an outage of the store.
    pub missing_until: Option<Duration>,
}

/// What the listeners of look-ups and readiness read.
#[derive(Debug)]
pub struct Board {
    /// Whether the host takes requests.
    pub is_ready: AtomicBool,
    /// Registered hosts.
    pub hosts: ArcSwap<Vec<Registration>>,
}

/// State of the process.
pub struct State {
    /// Settings.
    pub settings: Settings,
    /// Translation to the platform's wire formats.
    pub codec: Codec,
    /// Log.
    pub log: Log,
    /// Configuration in force, once one is known.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Limits of workspaces.
    pub rates: RefCell<rate::Limiter>,
    /// Hosts that share budgets.
    pub seats: RefCell<Seats>,
    /// Registered hosts by name.
    pub hosts: RefCell<BTreeMap<Arc<str>, Known>>,
    /// Connections to backend servers.
    pub pool: RefCell<Pool>,
    /// What other listeners read.
    pub board: Arc<Board>,
    /// When the store last answered.
    pub store_answered: Cell<Duration>,
    /// When this host may spend its part of the budgets.
    pub seated_from: Cell<Option<Duration>>,
    /// When the process started.
    pub started: Duration,
    /// Tells the requests that wait that the host is ready.
    pub readiness: Notify,
    /// Requests that have not ended.
    pub in_flight: Cell<u32>,
    /// Whether the process was asked to stop.
    pub is_draining: Cell<bool>,
    retries: RefCell<HashMap<Arc<str>, retry::Budget>>,
    rounds: RefCell<HashMap<Arc<str>, split::Balancer>>,
}

impl State {
    /// State of a process that knows nothing yet.
    pub fn new(settings: Settings, codec: Codec, log: Log) -> Rc<Self> {
        let place = Locality {
            host: settings.host.name.clone(),
            region: settings.host.region.clone(),
            domain: settings.host.failure_domain.clone(),
            domain_regions: settings.failure_domains.clone(),
        };
        let board = Board { is_ready: AtomicBool::new(false), hosts: ArcSwap::default() };
        Rc::new(Self {
            plan: RefCell::new(None),
            fleet: RefCell::new(Fleet::new(place)),
            rates: RefCell::new(rate::Limiter::new(settings.rates, settings.host.name.clone())),
            seats: RefCell::default(),
            hosts: RefCell::default(),
            pool: RefCell::default(),
            board: Arc::new(board),
            store_answered: Cell::new(Duration::ZERO),
            seated_from: Cell::new(None),
            started: clock::now(),
            readiness: Notify::new(),
            in_flight: Cell::new(0),
            is_draining: Cell::new(false),
            retries: RefCell::default(),
            rounds: RefCell::default(),
            settings,
            codec,
            log,
        })
    }

    /// Milliseconds since the store last answered.
    pub fn store_age_ms(&self) -> u128 {
        clock::now().saturating_sub(self.store_answered.get()).as_millis()
    }

    /// Counts a request for the retry budget of `service`.
    pub fn count_request(&self, service: &Arc<str>) {
        let limit = self.retry_limit();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().record_request(clock::now(), &limit);
    }

    /// Takes one retry out of the budget of `service`, if it allows one.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let limit = self.retry_limit();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().try_retry(clock::now(), &limit)
    }

    /// Index of the part of a route that gets the next request.
    pub fn next_part(&self, route: &marjorampick_core::steering::plan::Route) -> usize {
        if route.destinations.len() <= 1 {
            return 0;
        }
        let mut rounds = self.rounds.borrow_mut();
        rounds.entry(route.name.clone()).or_default().next(&route.destinations)
    }

    /// Publishes the hosts for look-ups, this host's part of the budgets, and the peers of its region.
    pub fn publish_hosts(&self) {
        let hosts = self.hosts.borrow();
        let own = &self.settings.host;
        let near = hosts.iter().filter(|(_, host)| host.registration.region == own.region);
        let mut peers: Vec<Arc<str>> = near.map(|(name, _)| name.clone()).collect();
        if !peers.contains(&own.name) {
            peers.push(own.name.clone());
        }
        self.fleet.borrow_mut().set_region_hosts(peers);
        let listed: Vec<Registration> =
            hosts.values().map(|host| host.registration.clone()).collect();
        let registered = listed.len();
        self.board.hosts.store(Arc::new(listed));
        let seated_from = self.seated_from.get().filter(|from| *from <= clock::now());
        let seats = seated_from.map_or_else(Vec::new, |_| self.seats.borrow().host_names());
        let mut rates = self.rates.borrow_mut();
        let count = seats.len();
        if rates.set_seats(seated_from.unwrap_or_else(clock::now), seats) {
            let event = Event::Hosts { registered, seats: count, part: rates.share() };
            self.log.write(Rank::Notice, event);
        }
    }

    /// Sets whether the host says that it is ready, from what it knows.
    pub fn publish_readiness(&self) {
        let is_ready = !self.is_draining.get()
            && self.plan.borrow().is_some()
            && !self.fleet.borrow().is_empty();
        self.board.is_ready.store(is_ready, Ordering::Release);
        if is_ready {
            self.readiness.notify_waiters();
        }
    }

    /// Waits until the host knows where requests may go, for a short time after its start.
    pub async fn wait_until_ready(&self) {
        let ready = self.readiness.notified();
        let left = (self.started + STARTING_WAIT).saturating_sub(clock::now());
        if self.plan.borrow().is_none() && !left.is_zero() {
            // Without a plan in time, the request is refused.
            let _ = timeout(left, ready).await;
        }
    }

    fn retry_limit(&self) -> retry::Limit {
        let fleet_limit = self.settings.retries;
        let seats = self.seats.borrow().count() as f64;
        retry::Limit { allowance: fleet_limit.allowance / seats, ..fleet_limit }
    }
}
