//! Keeps the part of a host's requests that run in other regions from rising too fast.
//!
//! Load pattern: a workspace whose homes leave out the host's region sends many times its usual rate at
//! once. Its requests can only run elsewhere, so that the part that runs elsewhere would jump although
//! no weight has changed. So the part that is allowed follows the part that is asked for by a bounded
//! step per second, and requests that cannot stay are refused beyond it. See docs/platform.md.

use std::time::Duration;

use super::spill::MAX_SHARE_CHANGE_PER_SECOND;

/// Longest time that one step makes up for, so that a host with few requests does not jump.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the first request in which the part is only learned.
const LEARNING_PERIOD: Duration = Duration::from_secs(2);

/// Time in which what was asked for loses two thirds of its weight.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time in which the requests beyond the allowed part lose two thirds of their weight.
const EXCESS_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// Requests beyond the allowed part that pass when it is only chance.
const BASE_EXCESS_REQUESTS: f64 = 4.0;

/// Further requests that pass, relative to the requests within [`DEMAND_TIME_CONSTANT`].
const EXCESS_DEMAND_RATIO: f64 = 0.1;

/// How far the part that is asked for is above the allowed part in a surge.
const SURGE_SHARE_GAP: f64 = 0.2;

/// Requests beyond the allowed part that pass during a surge.
const SURGE_EXCESS_REQUESTS: f64 = 1.0;

/// Which part of a host's requests runs in other regions.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Part that may run in other regions.
    allowed_share: f64,
    /// When the first request came.
    first_request_at: Option<Duration>,
    /// Requests that asked for each side lately; old ones count less.
    demand: Counts,
    /// Requests run elsewhere beyond the part; negative when there were fewer.
    excess_requests: f64,
    updated_at: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    local: f64,
    remote: f64,
}

impl Limiter {
    /// Notes where a request would run if the part did not matter.
    pub fn record_demand(&mut self, now: Duration, is_remote: bool) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let remaining = decay(elapsed, DEMAND_TIME_CONSTANT);
        self.demand.local *= remaining;
        self.demand.remote *= remaining;
        self.excess_requests *= decay(elapsed, EXCESS_TIME_CONSTANT);
        let count = if is_remote { &mut self.demand.remote } else { &mut self.demand.local };
        *count += 1.0;
        let demanded_share = self.demanded_share();
        let step = MAX_SHARE_CHANGE_PER_SECOND * elapsed.min(MAX_STEP_INTERVAL).as_secs_f64();
        self.first_request_at.get_or_insert(now);
        self.allowed_share = if self.has_learned(now) {
            demanded_share.clamp(self.allowed_share - step, self.allowed_share + step)
        } else {
            demanded_share
        };
    }

    /// Whether one more request may run in another region.
    pub fn allows_remote(&self, now: Duration) -> bool {
        !self.has_learned(now)
            || self.excess_requests + self.excess_change(true) <= self.max_excess_requests()
    }

    /// Notes where a request runs.
    pub fn record_sent(&mut self, is_remote: bool) {
        let max = self.max_excess_requests();
        self.excess_requests =
            (self.excess_requests + self.excess_change(is_remote)).clamp(-max, max);
    }

    fn has_learned(&self, now: Duration) -> bool {
        self.first_request_at.is_some_and(|first| now >= first + LEARNING_PERIOD)
    }

    fn demanded_share(&self) -> f64 {
        self.demand.remote / self.total_demand().max(1.0)
    }

    fn total_demand(&self) -> f64 {
        self.demand.local + self.demand.remote
    }

    fn max_excess_requests(&self) -> f64 {
        let steady = BASE_EXCESS_REQUESTS + EXCESS_DEMAND_RATIO * self.total_demand();
        let surge = ((self.demanded_share() - self.allowed_share) / SURGE_SHARE_GAP).max(0.0);
        (steady * (1.0 - surge)).max(SURGE_EXCESS_REQUESTS)
    }

    fn excess_change(&self, is_remote: bool) -> f64 {
        if is_remote { 1.0 - self.allowed_share } else { -self.allowed_share }
    }
}

/// Weight that is left after a time.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
