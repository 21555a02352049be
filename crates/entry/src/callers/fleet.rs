//! Backend servers as this host sees them: idle connections, its own in-flight requests, state.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use marjorampick_core::{
    backend::{Availability, Status},
    host::event::ListedHost,
};

use super::{constants::DEPARTED_INSTANCES_LIMIT, pool::Pool};
use crate::shared::{Shared, Snapshot};

/// One instance of a backend server.
pub struct Instance {
    /// Name of the instance in the platform's list of hosts.
    pub name: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Address of the instance.
    pub address: SocketAddr,
    pub(crate) pool: Pool,
    in_flight: AtomicU64,
    status: Mutex<Status>,
}

impl Instance {
    fn new(listed: &ListedHost, now: Duration, warmup: Duration) -> Self {
        Self {
            name: listed.name.clone(),
            region: listed.region.clone(),
            address: listed.address,
            pool: Pool::default(),
            in_flight: AtomicU64::new(0),
            status: Mutex::new(Status::new(now, warmup)),
        }
    }

    /// Number of requests of this host that run at the instance.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of idle connections to the instance.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// State of the instance, updated from responses and from probes. Locked until the guard is
    /// dropped.
    pub fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the instance may get new requests, and which share of the traffic of a warm one.
    pub(crate) fn availability(&self, now: Duration) -> Availability {
        self.status().availability(now)
    }
}

/// Counts one request as in flight at an instance until it is dropped.
pub(crate) struct Running(pub(crate) Arc<Instance>);

impl Running {
    pub(crate) fn start(instance: Arc<Instance>) -> Self {
        instance.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(instance)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Backend servers of all services, updated from the newest snapshot.
pub struct Fleet {
    shared: Arc<Shared>,
    table: ArcSwapOption<Table>,
    /// Held while the table is updated.
    update_lock: Mutex<()>,
    warmup: Duration,
}

/// Backend servers as of one snapshot.
struct Table {
    snapshot: Arc<Snapshot>,
    services: HashMap<Arc<str>, Instances>,
}

/// Instances of one service.
#[derive(Clone, Default)]
struct Instances {
    /// Instances in the platform's list of hosts.
    listed: Arc<[Arc<Instance>]>,
    /// Instances that are no longer listed, the last departed one last. They are kept since leaving
    /// is never revoked: an instance that is listed again stays out of use.
    departed: Arc<[Arc<Instance>]>,
}

impl Fleet {
    /// An empty fleet. New instances get a rising share of the traffic during `warmup`.
    pub fn new(shared: Arc<Shared>, warmup: Duration) -> Self {
        Self { shared, table: ArcSwapOption::empty(), update_lock: Mutex::default(), warmup }
    }

    /// The listed instances of a service in `snapshot` or in a newer one.
    pub fn instances(
        &self,
        now: Duration,
        snapshot: &Arc<Snapshot>,
        service: &str,
    ) -> Arc<[Arc<Instance>]> {
        let table = self.table.load();
        match table.as_deref() {
            Some(table) if Arc::ptr_eq(&table.snapshot, snapshot) => {
                table.instances(service).listed
            }
            _ => self.update(now).instances(service).listed,
        }
    }

    /// Closes connections that were idle for too long or were closed by the backend server.
    pub(crate) fn close_idle_connections(&self, now: Instant) {
        let table = self.table.load();
        let services = table.iter().flat_map(|table| table.services.values());
        services
            .flat_map(|instances| instances.listed.iter())
            .for_each(|instance| instance.pool.remove_expired(now));
    }

    /// Builds the table of the newest snapshot. Instances that are already known keep their state.
    ///
    /// The snapshot is read under the lock. Otherwise a thread could replace the table by one of an
    /// older snapshot and mark the instances that were added since as departed.
    fn update(&self, now: Duration) -> Arc<Table> {
        let _guard = self.update_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.shared.snapshot.load_full();
        let current = self.table.load_full();
        if let Some(table) =
            current.as_ref().filter(|table| Arc::ptr_eq(&table.snapshot, &snapshot))
        {
            return table.clone();
        }
        let services = snapshot.services.iter().map(|(name, service)| {
            let known = current.as_ref().map(|table| table.instances(name)).unwrap_or_default();
            let instances = known.update(&service.backends, now, self.warmup);
            (name.clone(), instances)
        });
        let table = Arc::new(Table { services: services.collect(), snapshot });
        self.table.store(Some(table.clone()));
        table
    }
}

impl Table {
    fn instances(&self, service: &str) -> Instances {
        self.services.get(service).cloned().unwrap_or_default()
    }
}

impl Instances {
    /// Instances of a newer list of hosts. An empty list is treated as one that could not be read,
    /// so it changes nothing.
    fn update(self, list: &[ListedHost], now: Duration, warmup: Duration) -> Self {
        if list.is_empty() {
            return self;
        }
        let find_or_add = |host: &ListedHost| {
            let instance = self.find(host);
            let instance = instance.unwrap_or_else(|| Arc::new(Instance::new(host, now, warmup)));
            instance.status().set_listed_state(Some(host.state));
            instance
        };
        let listed: Arc<[_]> = list.iter().map(find_or_add).collect();
        let is_listed =
            |instance: &Arc<Instance>| listed.iter().any(|listed| Arc::ptr_eq(listed, instance));
        let known = self.departed.iter().chain(self.listed.iter());
        let mut departed: Vec<_> = known.filter(|known| !is_listed(known)).cloned().collect();
        for instance in &departed {
            instance.status().set_listed_state(None);
            instance.pool.clear();
        }
        departed.drain(..departed.len().saturating_sub(DEPARTED_INSTANCES_LIMIT));
        Self { listed, departed: departed.into() }
    }

    /// The known instance with the name and address of a listed host.
    fn find(&self, host: &ListedHost) -> Option<Arc<Instance>> {
        let mut known = self.listed.iter().chain(self.departed.iter());
        known.find(|known| known.name == host.name && known.address == host.address).cloned()
    }
}
