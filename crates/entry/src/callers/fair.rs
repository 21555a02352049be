//! Max-min fairness between the workspaces that share a region's slots.
//!
//! Slots that run can't be taken back. When few are free, they are therefore kept for workspaces
//! below their fair part, so that a workspace that fills the region leaves room for the others. See
//! docs/design.md §7.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use marjorampick_core::budget::Budget;

use super::tokens::spared;

/// Part of the slots that is kept for workspaces below their fair part, in percent.
const RESERVED_PERCENT: u64 = 10;

/// How long a workspace without requests keeps its claim to a fair part.
const ACTIVE_TIME: Duration = Duration::from_secs(10);

/// Requests that run, by region budget and workspace.
#[derive(Default)]
pub(crate) struct Usage {
    regions: RwLock<HashMap<Budget, Arc<Region>>>,
}

/// Requests that run in one region, by workspace.
#[derive(Default)]
struct Region {
    workspaces: Mutex<HashMap<Arc<str>, Activity>>,
}

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    running: u64,
    seen: Duration,
}

/// One request in the [`Usage`], until it is dropped.
pub(crate) struct Share {
    region: Arc<Region>,
    workspace: Arc<str>,
}

impl Usage {
    /// Counts a request; `None` if it would take a scarce slot beyond its workspace's fair part.
    ///
    /// `free` is the number of free slots, of which the part `spared_percent` of all slots is for
    /// none of the workspaces. Requests of open routes share one part.
    pub(crate) fn take(
        &self,
        now: Duration,
        budget: &Budget,
        workspace: Option<&Arc<str>>,
        free: u64,
        spared_percent: f64,
    ) -> Option<Share> {
        let workspace = workspace.cloned().unwrap_or_default();
        let region = self.region(budget);
        let mut workspaces = region.lock();
        workspaces.retain(|_, other| other.running > 0 || now < other.seen + ACTIVE_TIME);
        let used: u64 = workspaces.values().map(|other| other.running).sum();
        let spared = spared(used.saturating_add(free), spared_percent);
        let free = free.saturating_sub(spared);
        let own = workspaces.entry(workspace.clone()).or_default();
        own.seen = now;
        let running = own.running;
        if !is_fair(running, used, workspaces.len() as u64, free) {
            return None;
        }
        if let Some(own) = workspaces.get_mut(&workspace) {
            own.running += 1;
        }
        drop(workspaces);
        Some(Share { region, workspace })
    }

    fn region(&self, budget: &Budget) -> Arc<Region> {
        let regions = self.regions.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(region) = regions.get(budget) {
            return region.clone();
        }
        drop(regions);
        let mut regions = self.regions.write().unwrap_or_else(PoisonError::into_inner);
        regions.entry(budget.clone()).or_default().clone()
    }
}

/// Whether one of `active` workspaces may take one of the `free` slots in addition to its `own`.
fn is_fair(own: u64, used: u64, active: u64, free: u64) -> bool {
    let slots = used.saturating_add(free);
    let scarce = free <= slots / 100 * RESERVED_PERCENT + slots % 100 * RESERVED_PERCENT / 100;
    active <= 1 || !scarce || own < slots / active
}

impl Region {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Activity>> {
        self.workspaces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if let Some(own) = self.region.lock().get_mut(&self.workspace) {
            own.running -= 1;
        }
    }
}
