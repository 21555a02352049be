//! Rate at which requests on this host ask for a budget.

use std::time::Duration;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Demand for one account as an exponentially weighted moving average.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Whole tokens requested since the last update.
    requested: u64,
    /// Average demand in thousandths of a token per second.
    rate: u64,
    updated_at: Duration,
}

impl Demand {
    /// Counts whole tokens that a request asks for.
    pub(super) fn record(&mut self, amount: u64) {
        self.requested = self.requested.saturating_add(amount);
    }

    /// Adds the tokens requested since the last update to the average.
    pub(super) fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        let latest = self.requested as f64 * 1_000.0 / elapsed;
        let rate = self.rate as f64;
        self.rate = (rate + weight * (latest - rate)) as u64;
        self.requested = 0;
        self.updated_at = now;
    }

    /// Average demand in thousandths of a token per second.
    pub(super) fn rate(&self) -> u64 {
        self.rate
    }
}
