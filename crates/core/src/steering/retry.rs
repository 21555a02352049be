//! Retry budget: limits how often requests are sent to a further instance.
//!
//! When a service fails or sheds much of its load, every retry adds to it. The retries of all
//! hosts must stay below a ratio of their requests plus a fixed allowance. So each host keeps to
//! that ratio of its own requests plus an equal share of the allowance.

use std::{collections::VecDeque, time::Duration};

use super::load::Report;

/// Limit on the retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in a window beyond the ratio. [`Budget`] expects this host's share of them.
    pub allowance: f64,
}

/// Share of the limit that is used, as the windows in which the limit must hold need not align
/// with the intervals counted here.
const USED_LIMIT_RATIO: f64 = 0.7;

/// Delay after which a caller may return when its request was rejected although there are free
/// slots.
const DELAY_WITH_FREE_SLOTS: Duration = Duration::from_millis(30);

/// Delay after which a caller may return when its request was rejected for another reason, or
/// nothing is known about the load.
const DEFAULT_DELAY: Duration = Duration::from_millis(700);

/// Intervals into which the sliding window is divided.
const INTERVALS_PER_WINDOW: u32 = 10;

/// Retry budget of one service, from its requests and retries in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    intervals: VecDeque<Interval>,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Duration,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Records a request.
    pub fn record_request(&mut self, now: Duration, limit: &Limit) {
        self.current_interval(now, limit).requests += 1;
    }

    /// Takes back the record of a request that another host runs and counts.
    pub fn forget_request(&mut self) {
        if let Some(interval) = self.intervals.back_mut() {
            interval.requests = interval.requests.saturating_sub(1);
        }
    }

    /// Records a retry and returns true, or returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: Duration, limit: &Limit) -> bool {
        self.current_interval(now, limit);
        let requests: u32 = self.intervals.iter().map(|interval| interval.requests).sum();
        let retries: u32 = self.intervals.iter().map(|interval| interval.retries).sum();
        let allowed = (limit.ratio * f64::from(requests) + limit.allowance) * USED_LIMIT_RATIO;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_interval(now, limit).retries += 1;
        true
    }

    /// Returns the interval that contains `now`, and drops those that left the window.
    fn current_interval(&mut self, now: Duration, limit: &Limit) -> &mut Interval {
        while self.intervals.front().is_some_and(|interval| interval.start + limit.window <= now) {
            self.intervals.pop_front();
        }
        let length = limit.window / INTERVALS_PER_WINDOW;
        let is_due = self.intervals.back().is_none_or(|interval| interval.start + length <= now);
        if is_due {
            self.intervals.push_back(Interval { start: now, requests: 0, retries: 0 });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}

/// Suggested delay before the caller repeats a request that an instance rejected with this load
/// report, while the host may not retry it any more.
///
/// Instances may reject a fraction of all requests although they have free slots. Another attempt is
/// then as likely to succeed at once as later, and only at once is its answer in time.
pub fn delay_after_rejection(report: Option<Report>) -> Duration {
    let has_free_slots = report.is_some_and(|report| report.running < report.slots);
    if has_free_slots { DELAY_WITH_FREE_SLOTS } else { DEFAULT_DELAY }
}
