//! Runs one scenario under every policy and compares what the hosts admitted.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    run,
    script::{Policy, Script},
    world::World,
};

/// Policies in the order in which they are shown.
const POLICIES: [Policy; 3] = [Policy::Lending, Policy::Fixed, Policy::Leased];

/// What the hosts admitted under one policy, over the whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// Admitted requests in percent of what one omniscient limiter admits, over all workspaces.
    pub total: f64,
    /// The same for the workspace that got least, and its name.
    pub worst: (f64, Arc<str>),
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
        let (share, name) = &self.worst;
        let limits = if self.within_limits { "within" } else { "above" };
        write!(
            f,
            "{policy:<8} total {:>7.3}%  worst {share:>7.3}% ({name})  {limits} limits",
            self.total
        )
    }
}

/// Runs `script` with `seed` under each policy; the policy of the script itself is left out of account.
///
/// The expectations of the script are not checked: they are written for one policy.
pub fn compare(script: &Script, seed: u64) -> Vec<Row> {
    let row = |policy| {
        let script = Script { policy, ..script.clone() };
        let mut world = World::new(&script, seed);
        world.run();
        Row {
            policy,
            total: run::share(&world, None, Duration::ZERO, script.end),
            worst: run::worst(&world, Duration::ZERO, script.end),
            within_limits: run::within_limits(&world).is_ok(),
        }
    };
    POLICIES.into_iter().map(row).collect()
}
