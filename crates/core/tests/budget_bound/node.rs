//! Simulated hosts and the changes of members and limits that they apply.

use std::{sync::Arc, time::Duration};

use marjorampick_core::budget::{Budget, Ledger, Limit};

/// One version of the members and limits; its revision is its position in the list, from 1.
#[derive(Clone)]
pub(crate) struct Change {
    /// Names and incarnations of the members.
    pub(crate) members: Vec<(Arc<str>, u64)>,
    pub(crate) rate: Limit,
    pub(crate) slots: Limit,
    pub(crate) published_at: Duration,
    /// `None` while the change is not in force.
    pub(crate) in_force_at: Option<Duration>,
}

/// Which of the changes that it missed a host passes to its ledger.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Replay {
    /// Members and limits of every change.
    All,
    /// Members of every change, limits of the newest one only.
    Members,
    /// Members and limits of the newest change only, after a reset of the ledger.
    Newest,
}

/// One start of a host.
pub(crate) struct Node {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) ledger: Ledger,
    /// Speed of the host's clock relative to the simulated time.
    pub(crate) speed_per_mille: u32,
    /// Revision of the newest change that the host has applied.
    pub(crate) known_revision: usize,
    /// Whether the host may spend and lend: it knows every change in force.
    pub(crate) current: bool,
    pub(crate) paused_until: Duration,
    /// When the requests that occupy slots end, in simulated time.
    pub(crate) running: Vec<Duration>,
}

pub(crate) fn tokens() -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: "anchor".into() }
}

pub(crate) fn slots() -> Budget {
    Budget::Region { service: "signing".into(), region: "ee-north".into() }
}

impl Node {
    /// Time on the host's clock.
    pub(crate) fn local_time(&self, now: Duration) -> Duration {
        now * self.speed_per_mille / 1_000
    }

    /// Applies the changes after the known one up to `revision`, those that `replay` selects.
    pub(crate) fn apply_changes(
        &mut self,
        now: Duration,
        changes: &[Change],
        revision: usize,
        replay: Replay,
    ) {
        let local_now = self.local_time(now);
        let first = match replay {
            Replay::All | Replay::Members => self.known_revision + 1,
            Replay::Newest => revision,
        };
        if replay == Replay::Newest {
            self.ledger.reset(local_now, revision as u64);
        }
        for revision in first..=revision {
            let change = &changes[revision - 1];
            let members = self.member_names(change);
            self.ledger.set_members(local_now, &members, revision as u64);
            if replay == Replay::All {
                self.ledger.configure(local_now, &change.limits(), revision as u64);
            }
        }
        let limits = changes[revision - 1].limits();
        self.ledger.configure(local_now, &limits, revision as u64);
        self.known_revision = revision;
        let later = &changes[revision..];
        self.current = later.iter().all(|change| change.in_force_at.is_none());
    }

    /// Names of the members of `change`, without this host's own name if another incarnation is
    /// listed.
    pub(crate) fn member_names(&self, change: &Change) -> Vec<Arc<str>> {
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
