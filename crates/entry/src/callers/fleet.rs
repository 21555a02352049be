//! Backend servers as the request path sees them: connections, own in-flight counts, state.

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

/// One backend server.
pub struct Instance {
    /// Name of the instance.
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

    /// Requests of this host that run there.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Idle connections to the instance.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// What is known of the instance; probes add to it.
    pub fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether and to which part the instance may get new requests.
    pub(crate) fn availability(&self, now: Duration) -> Availability {
        self.status().availability(now)
    }
}

/// Counts one request that runs at an instance, until it is dropped.
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

/// Backend servers of all services, following the newest snapshot.
pub struct Fleet {
    shared: Arc<Shared>,
    table: ArcSwapOption<Table>,
    updating: Mutex<()>,
    warmup: Duration,
}

struct Table {
    snapshot: Arc<Snapshot>,
    services: HashMap<Arc<str>, Instances>,
}

/// Instances of one service.
#[derive(Clone, Default)]
struct Instances {
    listed: Arc<[Arc<Instance>]>,
    /// Instances that are no longer listed, the newest last: leaving is never revoked.
    departed: Arc<[Arc<Instance>]>,
}

impl Fleet {
    /// An empty fleet whose new instances get a rising part of the traffic for `warmup`.
    pub fn new(shared: Arc<Shared>, warmup: Duration) -> Self {
        Self { shared, table: ArcSwapOption::empty(), updating: Mutex::default(), warmup }
    }

    /// The instances of a service in `snapshot`, or in a newer one.
    pub fn instances(
        &self,
        now: Duration,
        snapshot: &Arc<Snapshot>,
        service: &str,
    ) -> Arc<[Arc<Instance>]> {
        let table = self.table.load();
        match table.as_deref() {
            Some(table) if Arc::ptr_eq(&table.snapshot, snapshot) => table.of(service).listed,
            _ => self.update(now).of(service).listed,
        }
    }

    /// Closes idle connections that are too old.
    pub(crate) fn close_idle_connections(&self, now: Instant) {
        let table = self.table.load();
        let services = table.iter().flat_map(|table| table.services.values());
        services
            .flat_map(|instances| instances.listed.iter())
            .for_each(|instance| instance.pool.sweep(now));
    }

    /// Builds the table of the newest snapshot, keeping the state of instances that were there before.
    ///
    /// The snapshot is read under the lock: a thread with an older one would otherwise go back to it
    /// and take the instances that came since for departed ones.
    fn update(&self, now: Duration) -> Arc<Table> {
        let _updating = self.updating.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.shared.snapshot.load_full();
        let old = self.table.load_full();
        if let Some(old) = old.as_ref().filter(|old| Arc::ptr_eq(&old.snapshot, &snapshot)) {
            return old.clone();
        }
        let services = snapshot.services.iter().map(|(name, service)| {
            let known = old.as_ref().map(|old| old.of(name)).unwrap_or_default();
            let instances = known.follow(&service.backends, now, self.warmup);
            (name.clone(), instances)
        });
        let table = Arc::new(Table { services: services.collect(), snapshot });
        self.table.store(Some(table.clone()));
        table
    }
}

impl Table {
    fn of(&self, service: &str) -> Instances {
        self.services.get(service).cloned().unwrap_or_default()
    }
}

impl Instances {
    /// The instances of a newer list. An empty list is taken for one that could not be read.
    fn follow(self, list: &[ListedHost], now: Duration, warmup: Duration) -> Self {
        if list.is_empty() {
            return self;
        }
        let adopt = |line: &ListedHost| {
            let instance = self.find(line);
            let instance = instance.unwrap_or_else(|| Arc::new(Instance::new(line, now, warmup)));
            instance.status().set_listed_state(Some(line.state));
            instance
        };
        let listed: Arc<[_]> = list.iter().map(adopt).collect();
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

    /// The known instance of a line of the list.
    fn find(&self, line: &ListedHost) -> Option<Arc<Instance>> {
        let mut known = self.listed.iter().chain(self.departed.iter());
        known.find(|known| known.name == line.name && known.address == line.address).cloned()
    }
}
