//! Limits how fast the share of a host's requests that run in other regions may rise.
//!
//! When a workspace whose home regions exclude the host's region suddenly sends many times its
//! usual rate, its requests can only run remotely. The remote share would jump although no weight
//! has changed. So the allowed share follows the demanded share by a bounded step per second, and
//! requests beyond it that cannot run locally are refused. See docs/platform.md.

use std::time::Duration;

use super::spill::MAX_SHARE_CHANGE_PER_SECOND;

/// Longest time that one step accounts for, so that the share of a host with few requests does not
/// jump.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the first request during which the allowed share equals the demanded share.
const LEARNING_PERIOD: Duration = Duration::from_secs(2);

/// Time constant of the exponential decay of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time constant of the exponential decay of the excess.
const EXCESS_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// Tolerated excess without a surge, in requests, as requests arrive at random.
const BASE_EXCESS_REQUESTS: f64 = 4.0;

/// Further tolerated excess, relative to the demand.
const EXCESS_DEMAND_RATIO: f64 = 0.1;

/// Gap between the demanded and the allowed share at which the tolerated excess reaches its
/// minimum.
const SURGE_SHARE_GAP: f64 = 0.2;

/// Smallest tolerated excess, which applies during a surge, in requests.
const SURGE_EXCESS_REQUESTS: f64 = 1.0;

/// Limiter for the share of a host's requests that run in other regions.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Share of requests that may run in other regions, 0 to 1.
    allowed_share: f64,
    /// Arrival time of the first request.
    first_request_at: Option<Duration>,
    /// Requests by where they would run without the limit, decayed over [`DEMAND_TIME_CONSTANT`].
    demand: Counts,
    /// Remote requests beyond the allowed share; negative if there were fewer. Decays over
    /// [`EXCESS_TIME_CONSTANT`].
    excess_requests: f64,
    updated_at: Duration,
}

/// Requests in the host's own region and in all others.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    local: f64,
    remote: f64,
}

impl Limiter {
    /// Records where a request would run without the limit, and moves the allowed share.
    pub fn record_demand(&mut self, now: Duration, is_remote: bool) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let factor = decay(elapsed, DEMAND_TIME_CONSTANT);
        self.demand.local *= factor;
        self.demand.remote *= factor;
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

    /// Records the region to which a request was sent.
    pub fn record_sent(&mut self, is_remote: bool) {
        let max = self.max_excess_requests();
        self.excess_requests =
            (self.excess_requests + self.excess_change(is_remote)).clamp(-max, max);
    }

    /// Whether the learning period after the first request is over.
    fn has_learned(&self, now: Duration) -> bool {
        self.first_request_at.is_some_and(|first| now >= first + LEARNING_PERIOD)
    }

    /// Share of the demand that would run in other regions, 0 to 1.
    fn demanded_share(&self) -> f64 {
        self.demand.remote / self.total_demand().max(1.0)
    }

    fn total_demand(&self) -> f64 {
        self.demand.local + self.demand.remote
    }

    /// Tolerated excess, which shrinks as the demanded share exceeds the allowed share.
    fn max_excess_requests(&self) -> f64 {
        let steady = BASE_EXCESS_REQUESTS + EXCESS_DEMAND_RATIO * self.total_demand();
        let surge = ((self.demanded_share() - self.allowed_share) / SURGE_SHARE_GAP).max(0.0);
        (steady * (1.0 - surge)).max(SURGE_EXCESS_REQUESTS)
    }

    /// Change of the excess by one request.
    fn excess_change(&self, is_remote: bool) -> f64 {
        if is_remote { 1.0 - self.allowed_share } else { -self.allowed_share }
    }
}

/// Factor by which a value decays exponentially within `elapsed`.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
