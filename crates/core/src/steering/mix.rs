//! Keeps the part of a host's requests that run in other regions from rising too fast.
//!
//! Load pattern: a workspace whose homes leave out the host's region sends many times its usual rate at
//! once. Its requests can only run elsewhere, so that the part that runs elsewhere would jump although
//! no weight has changed. So the part that is allowed follows the part that is asked for by a bounded
//! step per second, and requests that cannot stay are refused beyond it. See docs/platform.md.

use std::time::Duration;

use super::spill::STEP_PER_SECOND;

/// Longest time that one step makes up for, so that a host with few requests does not jump.
const LONGEST_STEP: Duration = Duration::from_millis(500);

/// Time after the first request in which the part is only learned.
const FIRST_TIME: Duration = Duration::from_secs(2);

/// Time in which what was asked for loses two thirds of its weight.
const MEMORY: Duration = Duration::from_secs(1);

/// Time in which the requests beyond the allowed part lose two thirds of their weight.
const EXCESS_MEMORY: Duration = Duration::from_secs(6);

/// Requests beyond the allowed part that pass when it is only chance.
const LEAST_EXCESS: f64 = 4.0;

/// Further requests that pass, relative to the requests within [`MEMORY`].
const EXCESS_PART: f64 = 0.1;

/// How far the part that is asked for is above the allowed part in a surge.
const SURGE: f64 = 0.2;

/// Requests beyond the allowed part that pass during a surge.
const SURGE_EXCESS: f64 = 1.0;

/// Which part of a host's requests runs in other regions.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    /// Part that may run in other regions.
    part: f64,
    /// When the first request came.
    started: Option<Duration>,
    /// Requests that asked for each side lately; old ones count less.
    asked: Sides,
    /// Requests run elsewhere beyond the part; negative when there were fewer.
    excess: f64,
    updated: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sides {
    local: f64,
    remote: f64,
}

impl Mix {
    /// Notes where a request would run if the part did not matter.
    pub fn ask(&mut self, now: Duration, is_remote: bool) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        let kept = kept_after(elapsed, MEMORY);
        self.asked.local *= kept;
        self.asked.remote *= kept;
        self.excess *= kept_after(elapsed, EXCESS_MEMORY);
        let side = if is_remote { &mut self.asked.remote } else { &mut self.asked.local };
        *side += 1.0;
        let asked = self.asked_part();
        let step = STEP_PER_SECOND * elapsed.min(LONGEST_STEP).as_secs_f64();
        self.started.get_or_insert(now);
        self.part = if self.is_settled(now) {
            asked.clamp(self.part - step, self.part + step)
        } else {
            asked
        };
    }

    /// Whether one more request may run in another region.
    pub fn allows_remote(&self, now: Duration) -> bool {
        !self.is_settled(now) || self.excess + self.change(true) <= self.most_excess()
    }

    /// Notes where a request runs.
    pub fn run(&mut self, is_remote: bool) {
        let most = self.most_excess();
        self.excess = (self.excess + self.change(is_remote)).clamp(-most, most);
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.started.is_some_and(|started| now >= started + FIRST_TIME)
    }

    fn asked_part(&self) -> f64 {
        self.asked.remote / self.all().max(1.0)
    }

    fn all(&self) -> f64 {
        self.asked.local + self.asked.remote
    }

    fn most_excess(&self) -> f64 {
        let chance = LEAST_EXCESS + EXCESS_PART * self.all();
        let surge = ((self.asked_part() - self.part) / SURGE).max(0.0);
        (chance * (1.0 - surge)).max(SURGE_EXCESS)
    }

    fn change(&self, is_remote: bool) -> f64 {
        if is_remote { 1.0 - self.part } else { -self.part }
    }
}

/// Weight that is left after a time.
fn kept_after(elapsed: Duration, memory: Duration) -> f64 {
    (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
}
