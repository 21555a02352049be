//! Limits the rate of work that is done for callers out of control, so that the only thread of the host has
//! time for the others.

use std::time::Duration;

/// Rate limit that grants turns in the order of the requests for them.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    interval: Duration,
    burst: Duration,
    next_at: Duration,
}

impl Pace {
    /// Grants this many turns per second, and `burst` of them at once.
    pub fn new(turns_per_second: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / turns_per_second.max(1);
        Self { interval, burst: interval * burst, next_at: Duration::ZERO }
    }

    /// Takes the next turn and returns the time until then.
    pub fn take(&mut self, now: Duration) -> Duration {
        let turn = self.next_at.max(now.saturating_sub(self.burst));
        self.next_at = turn + self.interval;
        turn.saturating_sub(now)
    }
}
