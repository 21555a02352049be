//! Max-min fairness between the workspaces that share a region's slots.
//!
//! A slot can't be taken from a running request. When few slots are free, they are therefore
//! reserved for workspaces below their fair share, so that a workspace that fills the region leaves
//! room for the others. See docs/design.md §7.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use marjorampick_core::budget::Budget;

use super::tokens::headroom_slots;

/// Share of all slots that is reserved for workspaces below their fair share, in percent.
const RESERVED_PERCENT: u64 = 10;

/// Time after its last request for which a workspace counts as active and has a fair share.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Running requests by region budget and workspace.
#[derive(Default)]
pub(crate) struct Usage {
    regions: RwLock<HashMap<Budget, Arc<Region>>>,
}

/// Running requests of one region by workspace.
#[derive(Default)]
struct Region {
    workspaces: Mutex<HashMap<Arc<str>, Activity>>,
}

/// Running requests of one workspace, and when it last sent one.
#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    running: u64,
    last_request_at: Duration,
}

/// Counts one running request in the [`Usage`] until it is dropped.
pub(crate) struct Share {
    region: Arc<Region>,
    workspace: Arc<str>,
}

impl Usage {
    /// Counts a request; `None` if free slots are scarce and its workspace has its fair share.
    ///
    /// `free` is the number of free slots. `headroom_percent` of all slots must stay free and are
    /// available to no workspace. Requests of open routes count as one workspace.
    pub(crate) fn take(
        &self,
        now: Duration,
        budget: &Budget,
        workspace: Option<&Arc<str>>,
        free: u64,
        headroom_percent: f64,
    ) -> Option<Share> {
        let workspace = workspace.cloned().unwrap_or_default();
        let region = self.region(budget);
        let mut workspaces = region.lock();
        workspaces.retain(|_, activity| {
            activity.running > 0 || now < activity.last_request_at + ACTIVE_PERIOD
        });
        let used: u64 = workspaces.values().map(|activity| activity.running).sum();
        let headroom = headroom_slots(used.saturating_add(free), headroom_percent);
        let free = free.saturating_sub(headroom);
        let own = workspaces.entry(workspace.clone()).or_default();
        own.last_request_at = now;
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

/// Whether a workspace with `running` requests may take one of the `free` slots.
///
/// `used` is the number of slots in use by all `active` workspaces together.
fn is_fair(running: u64, used: u64, active: u64, free: u64) -> bool {
    let slots = used.saturating_add(free);
    let is_scarce = free <= slots / 100 * RESERVED_PERCENT + slots % 100 * RESERVED_PERCENT / 100;
    active <= 1 || !is_scarce || running < slots / active
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
