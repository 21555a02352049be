//! Backend servers as the request path sees them: connections, own in-flight counts, state.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use marjorampick_core::host::event::{Listed, ListedState};

use super::pool::Pool;
use crate::shared::Snapshot;

/// One backend server.
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Pool,
    in_flight: AtomicU64,
    leaving: AtomicBool,
}

impl Instance {
    fn new(listed: &Listed) -> Self {
        Self {
            name: listed.name.clone(),
            region: listed.region.clone(),
            address: listed.address,
            pool: Pool::default(),
            in_flight: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
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

    /// Whether the instance may get new work.
    pub fn is_eligible(&self) -> bool {
        !self.leaving.load(Ordering::Acquire)
    }

    /// Notes that the instance is leaving; there is no way back for the same instance.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
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
#[derive(Default)]
pub struct Fleet {
    table: ArcSwapOption<Table>,
    updating: Mutex<()>,
}

struct Table {
    snapshot: Arc<Snapshot>,
    services: HashMap<Arc<str>, Arc<[Arc<Instance>]>>,
}

impl Fleet {
    /// The instances of a service in a snapshot.
    pub fn instances(&self, snapshot: &Arc<Snapshot>, service: &str) -> Arc<[Arc<Instance>]> {
        let table = self.table.load();
        match table.as_deref() {
            Some(table) if Arc::ptr_eq(&table.snapshot, snapshot) => table.of(service),
            _ => self.update(snapshot).of(service),
        }
    }

    /// Closes idle connections that are too old.
    pub(crate) fn sweep(&self, now: Instant) {
        let table = self.table.load();
        let services = table.iter().flat_map(|table| table.services.values());
        services
            .flat_map(|instances| instances.iter())
            .for_each(|instance| instance.pool.sweep(now));
    }

    /// Builds the table of a snapshot, keeping the state of instances that were there before.
    fn update(&self, snapshot: &Arc<Snapshot>) -> Arc<Table> {
        let _updating = self
            .updating
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let old = self.table.load_full();
        if let Some(old) = old
            .as_ref()
            .filter(|old| Arc::ptr_eq(&old.snapshot, snapshot))
        {
            return old.clone();
        }
        let services = snapshot.services.iter().map(|(name, service)| {
            let known = old.as_ref().map(|old| old.of(name)).unwrap_or_default();
            let instances = service.backends.iter().map(|listed| adopt(&known, listed));
            (name.clone(), instances.collect())
        });
        let table = Arc::new(Table {
            snapshot: snapshot.clone(),
            services: services.collect(),
        });
        self.table.store(Some(table.clone()));
        table
    }
}

impl Table {
    fn of(&self, service: &str) -> Arc<[Arc<Instance>]> {
        self.services.get(service).cloned().unwrap_or_default()
    }
}

/// The known instance of a line of the host list, or a new one.
fn adopt(known: &[Arc<Instance>], listed: &Listed) -> Arc<Instance> {
    let same = |instance: &&Arc<Instance>| {
        instance.name == listed.name && instance.address == listed.address
    };
    let instance = known.iter().find(same).cloned();
    let instance = instance.unwrap_or_else(|| Arc::new(Instance::new(listed)));
    if listed.state != ListedState::Live {
        instance.leave();
    }
    instance
}
