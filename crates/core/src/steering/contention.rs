//! Competition of priority levels for the slots of one service.
//!
//! There is no central queue: each host decides alone, from the demand of each priority level that it
//! sees itself and from the load of the instances. Slots that the more urgent levels need are kept
//! free of less urgent requests (trunk reservation; Key, "Optimal control and trunk reservation in
//! loss networks", 1990). A less urgent request may only wait where more urgent ones could wait and
//! meet their target, so that the queue at an instance decides which levels it admits (as in DAGOR;
//! Zhou et al., "Overload control for scaling WeChat microservices", SoCC 2018). See
//! docs/design/competition-for-slots.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Least urgent priority level; larger numbers are treated as this one.
pub const MAX_PRIORITY: u8 = 4;

const LEVELS: usize = MAX_PRIORITY as usize + 1;

/// Time constant of the moving average of the demand.
const DEMAND_TIME: Duration = Duration::from_secs(3);

/// Demand below which a level does not take part, in slots of this host's requests.
const MIN_DEMAND: f64 = 0.01;

/// Weight of the newest sample in the moving average of the work.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Largest part of the slots that is kept free of less urgent requests.
const MAX_RESERVE: f64 = 0.15;

/// Longest wait of a less urgent request, relative to the wait with which more urgent ones can still
/// meet their target.
const YIELD_WAIT: f64 = 0.5;

/// Demand of each priority level of one service at this host.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    levels: [Level; LEVELS],
    updated_at: Duration,
    /// Mean work on a request of each route, in seconds.
    work_seconds: HashMap<Arc<str>, f64>,
}

/// Demand of one priority level.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Slots that the requests need, refused ones included.
    slots: f64,
    /// Time that a request can wait without missing its target, as a moving average, in seconds.
    slack_seconds: f64,
}

impl Demand {
    /// Records a request. `work_seconds` is the expected work on it if its object is cached.
    pub fn record_request(
        &mut self,
        now: Duration,
        priority: u8,
        route: &str,
        work_seconds: f64,
        target_seconds: f64,
    ) {
        let decay = self.decay(now);
        self.levels.iter_mut().for_each(|level| level.slots *= decay);
        self.updated_at = now;
        let mean_work = self.work_seconds.get(route).copied().unwrap_or(work_seconds);
        let level = &mut self.levels[index(priority)];
        let slack = (target_seconds - work_seconds).max(0.0);
        let is_first = level.slots <= MIN_DEMAND;
        let weight = if is_first { 1.0 } else { SMOOTHING_FACTOR };
        level.slack_seconds += weight * (slack - level.slack_seconds);
        level.slots += mean_work / DEMAND_TIME.as_secs_f64();
    }

    /// Records the work on a request that was answered.
    pub fn record_answer(&mut self, route: &Arc<str>, seconds: f64) {
        let mean = self.work_seconds.entry(route.clone()).or_insert(seconds);
        *mean += SMOOTHING_FACTOR * (seconds - *mean);
    }

    /// How a request of this priority stands to the other levels, where `fleet_scale` times the demand
    /// at this host is the demand at all hosts, for `slots` slots.
    pub fn standing(&self, now: Duration, priority: u8, fleet_scale: f64, slots: f64) -> Standing {
        let decay = self.decay(now);
        let is_present = |level: &&Level| level.slots * decay > MIN_DEMAND;
        let (more_urgent, rest) = self.levels.split_at(index(priority));
        let has_less_urgent = rest[1..].iter().any(|level| is_present(&level));
        let more_urgent: Vec<&Level> = more_urgent.iter().filter(is_present).collect();
        let wanted = fleet_scale * decay * more_urgent.iter().map(|level| level.slots).sum::<f64>();
        let slack = more_urgent.iter().map(|level| level.slack_seconds).min_by(f64::total_cmp);
        let reserve = (wanted.sqrt() / slots.max(1.0)).min(MAX_RESERVE);
        Standing { longest_wait: slack, reserve, has_less_urgent }
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / DEMAND_TIME.as_secs_f64()).exp()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority.min(MAX_PRIORITY))
}

/// How a request stands to the requests of other priority levels.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Wait at an instance up to which more urgent requests can still meet their target, in seconds;
    /// `None` without more urgent requests.
    longest_wait: Option<f64>,
    /// Part of the slots that is kept free for the variation of the more urgent demand: a standard
    /// deviation of the number of requests.
    reserve: f64,
    /// Whether less urgent requests use the same slots.
    has_less_urgent: bool,
}

impl Standing {
    /// Whether the request goes before others, so that it is not refused because it is late by its
    /// own work.
    pub fn is_preferred(self) -> bool {
        self.has_less_urgent && self.longest_wait.is_none()
    }

    /// The time that the request may wait at an instance, if `seconds` is the limit without others.
    pub fn limit_wait(self, seconds: f64) -> f64 {
        self.longest_wait.map_or(seconds, |longest| seconds.min(longest * YIELD_WAIT))
    }

    /// Whether the request may take a slot if this fraction of the slots is busy then.
    pub fn allows(self, busy_ratio: f64) -> bool {
        self.longest_wait.is_none() || busy_ratio <= 1.0 - self.reserve
    }
}
