//! Runs one scenario under every budget policy and compares what the hosts admitted.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    run,
    script::{Policy, Script},
    world::World,
};

/// Policies in the order of the printed rows.
const POLICIES: [Policy; 3] = [Policy::Lending, Policy::Fixed, Policy::Leased];

/// Result of one policy over the whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Policy that the hosts used.
    pub policy: Policy,
    /// Admitted requests of all workspaces, in percent of what one omniscient limiter admits.
    pub total_percent: f64,
    /// Smallest percentage of a single workspace, and the name of the workspace.
    pub worst_workspace: (f64, Arc<str>),
    /// Whether every workspace stayed within its limit.
    pub within_limits: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = match self.policy {
            Policy::Lending => "lending",
            Policy::Fixed => "fixed",
            Policy::Leased => "leased",
        };
        let (percent, name) = &self.worst_workspace;
        let limits = if self.within_limits { "within" } else { "above" };
        write!(
            f,
            "{policy:<8} total {:>7.3}%  worst {percent:>7.3}% ({name})  {limits} limits",
            self.total_percent
        )
    }
}

/// Runs `script` with `seed` under each policy, instead of the policy that the script names.
///
/// The expectations of the script are not checked, as they are written for one policy.
pub fn compare(script: &Script, seed: u64) -> Vec<Row> {
    let row = |policy| {
        let script = Script { policy, ..script.clone() };
        let mut world = World::new(&script, seed);
        world.run();
        Row {
            policy,
            total_percent: run::share_percent(&world, None, Duration::ZERO, script.end),
            worst_workspace: run::worst_workspace(&world, Duration::ZERO, script.end),
            within_limits: run::check_limits(&world).is_ok(),
        }
    };
    POLICIES.into_iter().map(row).collect()
}
