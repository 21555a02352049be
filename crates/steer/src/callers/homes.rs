//! Regions in which a request may run, by the configuration in force when it is sent.
//!
//! A request keeps the route that it was found to have when it arrived. Until it is sent, its body may take
//! long to arrive, it may wait, and other instances may have failed it, while a later configuration moves
//! its homes to another region. See docs/incidents/inc-homes-in-force.md.

use std::{rc::Rc, sync::Arc};

use marjorampick_core::steering::plan::{self, Plan, Route, Workspace};

use super::routing::Call;
use crate::state::State;

/// The route and workspace of a request, by the configuration in force.
pub(super) struct Homes {
    plan: Rc<Plan>,
    route: Arc<Route>,
    workspace_name: Option<Arc<str>>,
}

impl Homes {
    /// Those in force now. A route or workspace that has been dropped since the request arrived keeps the
    /// homes that it had then.
    pub(super) fn in_force(state: &State, call: &Call) -> Self {
        let current = state.plan.borrow();
        let current = current.as_ref().unwrap_or(&call.plan);
        let route = current.route(&call.route.host, call.uri.path()).unwrap_or(&call.route);
        let has_workspace = |plan: &&Rc<Plan>| {
            let name = call.workspace_name.as_ref();
            name.is_none_or(|name| plan.workspaces.contains_key(name))
        };
        Self {
            plan: Some(current).filter(has_workspace).unwrap_or(&call.plan).clone(),
            route: route.clone(),
            workspace_name: call.workspace_name.clone(),
        }
    }

    /// Regions that the route allows; all if empty.
    pub(super) fn of_route(&self) -> &[Arc<str>] {
        &self.route.home_regions
    }

    /// Regions that the workspace allows; all if empty.
    pub(super) fn of_workspace(&self) -> &[Arc<str>] {
        self.workspace().map_or(&[], |workspace| &workspace.home_regions)
    }

    /// Whether the request may run in this region.
    pub(super) fn allow(&self, region: Option<&Arc<str>>) -> bool {
        plan::is_home(self.of_route(), region) && plan::is_home(self.of_workspace(), region)
    }

    fn workspace(&self) -> Option<&Workspace> {
        self.plan.workspaces.get(self.workspace_name.as_ref()?)
    }
}
