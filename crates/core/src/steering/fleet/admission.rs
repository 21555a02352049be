//! Whether an instance takes one more request.
//!
//! Load pattern: more requests than the slots can serve. Free slots are for everybody; beyond them there
//! is room for what can still be answered in time, less for the less urgent. See docs/platform.md.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{Criteria, Fleet, upstream::Upstream};
use crate::steering::instance::Instance;

/// Part of the target time that the most urgent requests may be expected to take at an instance
/// whose slots are all taken. Beyond it they would be late and make others late.
const FULL_PART: f64 = 1.0;

/// Load of the own region, relative to its slots, above which [`SLOW_PART`] counts.
const BUSY_LOAD: f64 = 0.7;

/// Part of an instance's slots that requests may take which are expected to miss the target anyway.
/// Work on unknown objects would otherwise push out several times as much work on known ones.
const SLOW_PART: f64 = 0.6;

/// Requests that all hosts of a region may have at an instance that has not answered, relative to its
/// slots.
const UNKNOWN_LOAD: u32 = 2;

/// What each less urgent rank loses of [`FULL_PART`].
const PART_PER_RANK: f64 = 0.1;

/// Ranks that are told apart.
const RANKS: u8 = 4;

/// Target time of routes that name none, in seconds.
const DEFAULT_TARGET: f64 = 1.0;

impl Fleet {
    /// Whether a cold instance tolerates a request of this host now.
    pub(super) fn tolerates(&self, now: Duration, group: &Upstream, instance: &Instance) -> bool {
        if !instance.is_cold(now) {
            return true;
        }
        let part = self.cold_part(&instance.endpoint.id, group.cold_rate);
        self.is_local(instance) && part > 0.0 && instance.pace_is_open(now)
    }

    /// Whether the host may send one more request to an instance that has not answered it yet. The other
    /// hosts of the region know as little, so that each takes an equal part of what the instance holds.
    /// A host without others sees all requests itself.
    pub(super) fn has_part(&self, instance: &Instance) -> bool {
        let hosts = u32::try_from(self.peers.len()).unwrap_or(u32::MAX).max(1);
        let held = instance.endpoint.slots * UNKNOWN_LOAD;
        hosts == 1 || instance.load.is_known() || instance.load.own() < held.div_ceil(hosts)
    }
}

/// Whether the instance takes requests at all.
pub(super) fn is_usable(
    now: Duration,
    evacuated: &BTreeSet<Arc<str>>,
    instance: &Instance,
) -> bool {
    !instance.endpoint.is_draining
        && !evacuated.contains(&instance.endpoint.domain)
        && instance.is_trusted(now)
}

/// Whether the instance has room for one more request that is expected to take `time` seconds.
///
/// Free slots are for everybody, but in a busy region requests that will be late anyway may take only
/// a part of them. Beyond the slots there is room while the request is expected within its target.
pub(super) fn has_room(
    now: Duration,
    group: &Upstream,
    instance: &Instance,
    criteria: &Criteria<'_>,
    time: f64,
) -> bool {
    let target = criteria.target_latency.map_or(DEFAULT_TARGET, |target| target.as_secs_f64());
    let slots = f64::from(instance.endpoint.slots.max(1));
    let is_late_and_busy = time > target && group.own_load >= BUSY_LOAD;
    let open_slots = if is_late_and_busy { slots * SLOW_PART } else { slots };
    let has_slot = instance.load.total(now) + 1.0 <= open_slots.max(1.0);
    let rank = f64::from(criteria.priority.min(RANKS));
    has_slot || time <= target * (FULL_PART - rank * PART_PER_RANK)
}
