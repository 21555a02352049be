//! Budget for sending a request to a further instance.
//!
//! Load pattern: a service fails or sheds much of its load, and every retry adds to it. Retries over
//! all hosts stay below a part of the requests, so each host keeps to that part of its own requests
//! plus an equal part of the fixed allowance.

use std::{collections::VecDeque, time::Duration};

/// Limits on the retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Retries for each request.
    pub ratio: f64,
    /// Window in which both are counted.
    pub window: Duration,
    /// Retries that this host may make beyond the ratio in a window.
    pub allowance: f64,
}

/// Part of the limit that is used, as the windows of the rule slide over those of this host.
const USED_LIMIT_RATIO: f64 = 0.7;

/// Steps in which a window moves.
const INTERVALS_PER_WINDOW: u32 = 10;

/// Requests and retries of one service in the last window.
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
    /// Notes a request.
    pub fn record_request(&mut self, now: Duration, limit: &Limit) {
        self.current_interval(now, limit).requests += 1;
    }

    /// Takes a retry out of the budget, if it allows one.
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

    /// The present step; steps that left the window are dropped.
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
