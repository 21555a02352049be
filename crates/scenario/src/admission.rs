//! Records offered and admitted requests, and compares them with the limits and with an omniscient
//! limiter.
//!
//! The omniscient limiter is a single token bucket that sees every request of the fleet without
//! delay. It is the reference that the admissions of the hosts are measured against.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use marjorampick_core::constants::IN_FORCE_BOUND;

use crate::script::Workspace;

/// Tolerance for budgets that are rounded to thousandths of a token.
const ROUNDING_TOLERANCE_TOKENS: f64 = 0.01;

/// Largest deviation of the rate of a host's clock from true time, as a fraction.
///
/// Limits are checked on the fastest clock, as a host can measure time only with its own clock.
pub const CLOCK_DRIFT_FRACTION: f64 = 0.009;

/// Rate limit of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// When the edit that set the limit was accepted; zero for the first limit.
    pub accepted_at: Duration,
    /// Requests per second, over all hosts.
    pub rate: f64,
    /// Requests at the same moment, over all hosts.
    pub burst: f64,
}

/// Requests of one workspace: arrivals, admissions and the limits that apply.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Limits in the order in which they were accepted.
    pub limits: Vec<Limit>,
    /// Arrival times of requests at running hosts.
    pub offered: Vec<Duration>,
    /// Times of admission.
    pub admitted: Vec<Duration>,
}

/// Traffic by workspace.
pub type TrafficMap = BTreeMap<Arc<str>, Traffic>;

impl Traffic {
    /// Empty record of a workspace with its first limit.
    pub fn new(workspace: &Workspace) -> Self {
        let limit = Limit {
            accepted_at: Duration::ZERO,
            rate: workspace.rate,
            burst: workspace.burst as f64,
        };
        Self { limits: vec![limit], ..Self::default() }
    }

    /// End of the first time window in which more requests were admitted than the limit allows,
    /// with the excess in requests.
    ///
    /// A new limit is enforced from [`IN_FORCE_BOUND`] after its acceptance.
    pub fn find_excess(&self) -> Option<(Duration, f64)> {
        let mut admitted = self.admitted.clone();
        admitted.sort_unstable();
        for (index, limit) in self.limits.iter().enumerate() {
            let start =
                if index == 0 { Duration::ZERO } else { limit.accepted_at + IN_FORCE_BOUND };
            let next = self.limits.get(index + 1);
            let end = next.map_or(Duration::MAX, |next| next.accepted_at + IN_FORCE_BOUND);
            // The window includes the time in which the next limit reaches the hosts, so that the
            // larger of both limits is allowed in it.
            let rate = next.map_or(limit.rate, |next| next.rate.max(limit.rate));
            let burst = next.map_or(limit.burst, |next| next.burst.max(limit.burst));
            let window = admitted.iter().filter(|at| (start..end).contains(*at));
            if let Some(excess) = find_overflow(window, rate, burst) {
                return Some(excess);
            }
        }
        None
    }

    /// Numbers of requests that the hosts and the omniscient limiter admitted from `from` until
    /// `to`.
    pub fn count_admitted(&self, from: Duration, to: Duration) -> (usize, usize) {
        let count = |times: &[Duration]| times.iter().filter(|at| (from..to).contains(*at)).count();
        (count(&self.admitted), count(&self.omniscient_admissions()))
    }

    /// Times of the requests that the omniscient limiter admits.
    fn omniscient_admissions(&self) -> Vec<Duration> {
        let mut offered = self.offered.clone();
        offered.sort_unstable();
        let mut level = self.limits[0].burst;
        let mut last_at = Duration::ZERO;
        let mut admitted = Vec::new();
        for at in offered {
            let limit = self.limit_at(at);
            level = (level + limit.rate * (at - last_at).as_secs_f64()).min(limit.burst);
            last_at = at;
            if level >= 1.0 {
                level -= 1.0;
                admitted.push(at);
            }
        }
        admitted
    }

    fn limit_at(&self, at: Duration) -> &Limit {
        let latest = self.limits.iter().rev().find(|limit| limit.accepted_at <= at);
        latest.unwrap_or(&self.limits[0])
    }
}

/// Meters admissions with a leaky bucket of size `burst` and drain rate `rate`, and returns the
/// first overflow: its time and the excess in requests. The bucket overflows exactly when some time
/// window has more admissions than `burst` and `rate` allow.
fn find_overflow<'a>(
    times: impl Iterator<Item = &'a Duration>,
    rate: f64,
    burst: f64,
) -> Option<(Duration, f64)> {
    let rate = rate * (1.0 + CLOCK_DRIFT_FRACTION);
    let mut level: f64 = 0.0;
    let mut last_at = Duration::ZERO;
    for &at in times {
        level = (level - rate * at.saturating_sub(last_at).as_secs_f64()).max(0.0) + 1.0;
        last_at = at;
        if level > burst + ROUNDING_TOLERANCE_TOKENS {
            return Some((at, level - burst));
        }
    }
    None
}
