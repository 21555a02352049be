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
const USED_PART: f64 = 0.7;

/// Steps in which a window moves.
const STEPS: u32 = 10;

/// Requests and retries of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    from: Duration,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Notes a request.
    pub fn request(&mut self, now: Duration, limit: &Limit) {
        self.step(now, limit).requests += 1;
    }

    /// Takes a retry out of the budget, if it allows one.
    pub fn retry(&mut self, now: Duration, limit: &Limit) -> bool {
        self.step(now, limit);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let allowed = (limit.ratio * f64::from(requests) + limit.allowance) * USED_PART;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now, limit).retries += 1;
        true
    }

    /// The present step; steps that left the window are dropped.
    fn step(&mut self, now: Duration, limit: &Limit) -> &mut Step {
        while self.steps.front().is_some_and(|step| step.from + limit.window <= now) {
            self.steps.pop_front();
        }
        let length = limit.window / STEPS;
        let is_due = self.steps.back().is_none_or(|step| step.from + length <= now);
        if is_due {
            self.steps.push_back(Step { from: now, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
