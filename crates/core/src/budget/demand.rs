//! How fast requests ask for a budget on this host.

use std::time::Duration;

/// Time over which the demand is averaged.
const AVERAGED_OVER: Duration = Duration::from_millis(500);

/// Demand of one account, averaged exponentially.
#[derive(Debug, Default)]
pub(super) struct Demand {
    asked: u64,
    /// Thousandths of a token per second.
    rate: u64,
    updated: Duration,
}

impl Demand {
    /// Counts whole tokens that a request asks for.
    pub(super) fn ask(&mut self, amount: u64) {
        self.asked = self.asked.saturating_add(amount);
    }

    /// Takes the tokens asked for since the last update into the average.
    pub(super) fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / AVERAGED_OVER.as_secs_f64()).exp();
        let latest = self.asked as f64 * 1_000.0 / elapsed;
        let rate = self.rate as f64;
        self.rate = (rate + weight * (latest - rate)) as u64;
        self.asked = 0;
        self.updated = now;
    }

    /// Average demand in thousandths of a token per second.
    pub(super) fn rate(&self) -> u64 {
        self.rate
    }
}
