//! Hosts of the test and the chain of changes that they learn.

use std::{sync::Arc, time::Duration};

use marjorampick_core::budget::{Budget, Ledger, Limit};

/// One version of everything that the hosts agree on.
#[derive(Clone)]
pub(crate) struct Change {
    /// Names and incarnations.
    pub(crate) members: Vec<(Arc<str>, u64)>,
    pub(crate) rate: Limit,
    pub(crate) slots: Limit,
    pub(crate) published: Duration,
    pub(crate) in_force: Option<Duration>,
}

/// In which steps a host learns changes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Steps {
    All,
    Members,
    Last,
}

pub(crate) struct Node {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) ledger: Ledger,
    /// Speed of the host's clock in thousandths of the fastest clock.
    pub(crate) speed: u32,
    pub(crate) known: usize,
    pub(crate) current: bool,
    pub(crate) paused_until: Duration,
    /// Ends of the requests that occupy slots.
    pub(crate) running: Vec<Duration>,
}

pub(crate) fn tokens() -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: "anchor".into() }
}

pub(crate) fn slots() -> Budget {
    Budget::Region { service: "signing".into(), region: "ee-north".into() }
}

impl Node {
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        now * self.speed / 1_000
    }

    /// Learns the changes up to `revision`. A host that learns them one by one sees every limit, one
    /// that learns them in one step sees the newest limits and either every version of the members or
    /// only the last one.
    pub(crate) fn learn(&mut self, now: Duration, chain: &[Change], revision: usize, steps: Steps) {
        let clock = self.clock(now);
        let first = match steps {
            Steps::All | Steps::Members => self.known + 1,
            Steps::Last => revision,
        };
        if steps == Steps::Last {
            self.ledger.reset(clock, revision as u64);
        }
        for revision in first..=revision {
            let change = &chain[revision - 1];
            let members = self.listed(change);
            self.ledger.set_members(clock, &members, revision as u64);
            if steps == Steps::All {
                self.ledger.configure(clock, &change.limits(), revision as u64);
            }
        }
        let limits = chain[revision - 1].limits();
        self.ledger.configure(clock, &limits, revision as u64);
        self.known = revision;
        let later = &chain[revision..];
        self.current = later.iter().all(|change| change.in_force.is_none());
    }

    /// Names of the members; its own only with its own incarnation.
    pub(crate) fn listed(&self, change: &Change) -> Vec<Arc<str>> {
        let members = change.members.iter();
        let listed = members
            .filter(|(name, incarnation)| *name != self.name || *incarnation == self.incarnation);
        listed.map(|(name, _)| name.clone()).collect()
    }
}

impl Change {
    pub(crate) fn limits(&self) -> [(Budget, Limit); 2] {
        [(tokens(), self.rate), (slots(), self.slots)]
    }
}
