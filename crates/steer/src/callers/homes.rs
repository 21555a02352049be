//! Regions in which a request may run, by the configuration in force when it is sent.
//!
//! A request keeps the route that it was found to have when it arrived. Until it is sent, its body may take
//! long to arrive, it may wait, and other instances may have failed it, while a later configuration moves
//! its homes to another region. A host that knows that it misses a later configuration cannot tell where such
//! a request may run, and another host sends it. See docs/incidents/inc-homes-in-force.md and
//! docs/incidents/inc-late-configuration.md.

use std::{rc::Rc, sync::Arc};

use marjorampick_core::steering::plan::{self, Plan, Route, Workspace};

use super::{refusal::Refusal, routing::Call};
use crate::{
    clock,
    events::{Event, Rank},
    state::State,
};

/// Where a request is sent.
pub(super) enum Target<'a> {
    /// The instance with this id.
    Instance(&'a str),
    /// The host with this name.
    Helper(&'a str),
}

/// The route and workspace of a request, by the configuration in force.
pub(super) struct Homes {
    plan: Rc<Plan>,
    route: Arc<Route>,
    workspace_name: Option<Arc<str>>,
    /// Region of this host if it misses a later configuration.
    only_region: Option<[Arc<str>; 1]>,
}

impl Homes {
    /// Those that bind a request which is sent now. A request with homes is refused if other hosts have had a
    /// later configuration for a while.
    pub(super) fn judge(state: &State, call: &Call) -> Result<Self, Refusal> {
        let homes = Self::in_force(state, call);
        match homes.bind() && homes.only_region.is_some() {
            true => Err(Refusal::behind()),
            false => Ok(homes),
        }
    }

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
            only_region: state.is_behind().then(|| [state.settings.host.region.clone()]),
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

    /// Regions of the hosts to which the route allows the request to be passed on; all if empty. A host that
    /// cannot know its homes lets no body leave the region.
    pub(super) fn of_helpers(&self) -> &[Arc<str>] {
        match &self.only_region {
            Some(region) if self.bind() => region,
            _ => self.of_route(),
        }
    }

    /// Whether the request may not run everywhere.
    pub(super) fn bind(&self) -> bool {
        !self.of_route().is_empty() || !self.of_workspace().is_empty()
    }

    /// Whether the request may run in this region.
    pub(super) fn allow(&self, region: Option<&Arc<str>>) -> bool {
        plan::is_home(self.of_route(), region) && plan::is_home(self.of_workspace(), region)
    }

    /// Writes to the log where a request with homes is sent.
    pub(super) fn record(&self, state: &State, call: &Call, target: &Target<'_>, region: &str) {
        if !self.bind() {
            return;
        }
        let (instance, helper) = match *target {
            Target::Instance(id) => (id, ""),
            Target::Helper(name) => ("", name),
        };
        let event = Event::Placement {
            id: call.id_text(),
            route: &self.route.name,
            workspace: self.workspace_name.as_deref().unwrap_or_default(),
            instance,
            helper,
            carried_for: call.carried_for(),
            region,
            route_homes: self.of_route(),
            workspace_homes: self.of_workspace(),
            plan: self.plan.version,
            plan_at_arrival: call.plan.version,
            elapsed_ms: clock::now().saturating_sub(call.arrived_at).as_millis(),
            store_age_ms: state.store_age_ms(),
        };
        state.log.write(Rank::Success, event);
    }

    fn workspace(&self) -> Option<&Workspace> {
        self.plan.workspaces.get(self.workspace_name.as_ref()?)
    }
}
