//! Tells a host that others have a later configuration in force than it has itself.
//!
//! The load pattern is some of many hosts that the store does not serve, or whose links are too slow for
//! what they have missed, while configurations follow each other. Such a host answers as before, and its
//! own clock does not tell it whether it has missed anything: in an outage of the store nobody can. But
//! other hosts say in their messages which version they have in force. A later one that does not arrive
//! within a moment means that this host is behind. A version that is far ahead counts once a second host
//! tells it or a later one: a single host that is wrong must not hold back all that hear it while the store
//! is away. See docs/incidents/inc-late-configuration.md.

use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Most versions that are remembered.
const MAX_VERSIONS: usize = 32;

/// Most versions by which a single host is believed to be ahead: those of ten minutes, as they rise by one each
/// and come three a second at most.
const MAX_LEAD: u64 = 1800;

/// Version that another host has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    version: u64,
    /// When this host first heard of it or a later one, or put it in force. For the last one of a full list, when
    /// it first heard of an earlier one.
    at: Duration,
}

/// Version far ahead that a single host has told.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Claim {
    teller: Arc<str>,
    version: u64,
}

/// Versions that are later than the one in force, in their order, and the latest ones that were put in force.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    later: VecDeque<Heard>,
    reached: VecDeque<Heard>,
    /// The latest version that does not count yet.
    claim: Option<Claim>,
}

impl Lag {
    /// Records a version that the host `teller` has in force, while this one has `in_force`.
    pub fn hear(&mut self, now: Duration, teller: &Arc<str>, version: u64, in_force: u64) {
        if version <= in_force.saturating_add(MAX_LEAD) {
            self.count(now, version, in_force);
        } else if let Some(confirmed) = self.confirm(teller, version) {
            self.count(now, confirmed, in_force);
        }
    }

    /// Records a version far ahead. Returns the latest one that two hosts have told, or such that are later.
    fn confirm(&mut self, teller: &Arc<str>, version: u64) -> Option<u64> {
        let earlier = self.claim.take();
        let confirmed = earlier.as_ref().filter(|claim| claim.teller != *teller);
        let confirmed = confirmed.map(|claim| claim.version.min(version));
        let told = Claim { teller: teller.clone(), version };
        self.claim = earlier.filter(|claim| claim.version >= version).or(Some(told));
        confirmed
    }

    /// Records a version that counts.
    fn count(&mut self, now: Duration, version: u64, in_force: u64) {
        let newest = self.newest().unwrap_or(in_force).max(in_force);
        if version <= newest {
            return;
        }
        let is_full = self.later.len() >= MAX_VERSIONS;
        match self.later.back_mut().filter(|_| is_full) {
            Some(last) => last.version = version,
            None => self.later.push_back(Heard { version, at: now }),
        }
    }

    /// Records that this host has put a version in force.
    pub fn reach(&mut self, now: Duration, in_force: u64) {
        let heard = self.later.iter().find(|heard| heard.version >= in_force);
        let at = heard.map_or(now, |heard| heard.at);
        self.later.retain(|heard| heard.version > in_force);
        self.reached.push_back(Heard { version: in_force, at });
        if self.reached.len() > MAX_VERSIONS {
            self.reached.pop_front();
        }
    }

    /// The latest version that this host has known for `time`, so that others must have it by now; 0 if there is
    /// none.
    pub fn known_for(&self, now: Duration, time: Duration) -> u64 {
        latest(self.reached.iter().chain(&self.later), now, time)
    }

    /// The same of the versions that this host has, or has had, in force.
    pub fn reached_for(&self, now: Duration, time: Duration) -> u64 {
        latest(self.reached.iter(), now, time)
    }

    /// Records that this host knows all that the store held at `at`. What it heard before and does not have
    /// is not in the store, which was restored to an earlier copy.
    pub fn forget_before(&mut self, at: Duration) {
        self.later.retain(|heard| heard.at >= at);
        self.claim = None;
    }

    /// The latest version that is missing; `None` if there is none.
    pub fn newest(&self) -> Option<u64> {
        self.later.back().map(|heard| heard.version)
    }

    /// Time since this host first heard of a version that it still misses; `None` if it misses none.
    pub fn time(&self, now: Duration) -> Option<Duration> {
        self.later.front().map(|heard| now.saturating_sub(heard.at))
    }
}

/// The latest of the versions that have been known for `time`; 0 if there is none.
fn latest<'a>(known: impl Iterator<Item = &'a Heard>, now: Duration, time: Duration) -> u64 {
    let settled = known.filter(|heard| now >= heard.at + time);
    settled.map(|heard| heard.version).max().unwrap_or_default()
}
