//! Keeps the part of a host's requests that run in other regions from changing too fast.
//!
//! Load pattern: traffic grows at once, and the own region's instances, which are full, refuse what is
//! drawn to stay while the others take what is drawn to leave. The part that leaves would jump although
//! no weight has changed, and fall back as fast when the load ends. So the part in the last window may
//! differ from the part in the window before by a bounded step.

use std::{collections::VecDeque, time::Duration};

/// Window in which the parts are compared.
const WINDOW: Duration = Duration::from_secs(2);

/// Length of one step of the windows.
const STEP: Duration = Duration::from_millis(250);

/// Largest change of the part from one window to the next.
const LARGEST_CHANGE: f64 = 0.1;

/// Requests in a window below which its part says nothing.
const LEAST_REQUESTS: u32 = 20;

/// Requests by region in the last two windows.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    from: Duration,
    local: u32,
    remote: u32,
}

/// Where the next request may run without changing the part too fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Wherever it is drawn to.
    Either,
    /// Only in the own region.
    Local,
    /// Rather in another region.
    Remote,
}

impl Mix {
    /// Notes where a request runs.
    pub fn note(&mut self, now: Duration, is_remote: bool) {
        while self.steps.front().is_some_and(|step| step.from + WINDOW * 2 <= now) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.from + STEP <= now) {
            self.steps.push_back(Step { from: now, local: 0, remote: 0 });
        }
        if let Some(step) = self.steps.back_mut() {
            let count = if is_remote { &mut step.remote } else { &mut step.local };
            *count += 1;
        }
    }

    /// Where the next request may run.
    pub fn side(&self, now: Duration) -> Side {
        let recent = now.saturating_sub(WINDOW);
        let before = self.part(recent.saturating_sub(WINDOW), recent);
        let (Some(before), Some(part)) = (before, self.part(recent, now + STEP)) else {
            return Side::Either;
        };
        if part > before + LARGEST_CHANGE {
            Side::Local
        } else if part < before - LARGEST_CHANGE {
            Side::Remote
        } else {
            Side::Either
        }
    }

    /// Part of the requests between two times that ran in other regions, if there were enough.
    fn part(&self, from: Duration, until: Duration) -> Option<f64> {
        let steps = self.steps.iter().filter(|step| step.from >= from && step.from < until);
        let (local, remote) =
            steps.fold((0, 0), |(local, remote), step| (local + step.local, remote + step.remote));
        let all = local + remote;
        (all >= LEAST_REQUESTS).then(|| f64::from(remote) / f64::from(all))
    }
}
