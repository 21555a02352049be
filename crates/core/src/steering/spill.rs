//! Share of a service's requests that runs in the host's own region.
//!
//! A region with few instances may get as much traffic as one with many, in waves. The load that
//! its instances cannot carry spills over to other regions, but traffic may shift between regions
//! only slowly. So the share changes by a bounded step per second, and small changes of load do
//! not move it.

use std::time::Duration;

/// Local load, relative to the slots, above which the local share may shrink.
const HIGH_LOAD_RATIO: f64 = 0.5;

/// Local load, relative to the slots, below which the local share grows.
const LOW_LOAD_RATIO: f64 = 0.4;

/// How much lower the load of the other regions must be for the local share to shrink.
const MIN_LOAD_DIFFERENCE: f64 = 0.15;

/// Largest change of a region's share of requests in one second.
pub(super) const MAX_SHARE_CHANGE_PER_SECOND: f64 = 0.04;

/// Longest time that one step accounts for, so that the share does not jump after a pause of the
/// process.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Lower bound of the local share.
const MIN_LOCAL_SHARE: f64 = 0.15;

/// Controller of the local share of one service's requests.
#[derive(Clone, Debug)]
pub struct Controller {
    local_share: f64,
    is_initialized: bool,
    updated_at: Duration,
}

impl Controller {
    /// Creates a controller with a local share of 1.
    pub fn new(now: Duration) -> Self {
        Self { local_share: 1.0, is_initialized: false, updated_at: now }
    }

    /// Share of the requests that runs in the host's own region, 0 to 1.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Sets the initial local share. Only the first call has an effect: later the share moves by
    /// bounded steps.
    pub fn initialize(&mut self, local_share: f64) {
        if !self.is_initialized {
            self.is_initialized = true;
            self.local_share = local_share.clamp(MIN_LOCAL_SHARE, 1.0);
        }
    }

    /// Moves the local share by the present load of the own region and of all others, each
    /// relative to its slots.
    pub fn update(&mut self, now: Duration, local_load: f64, remote_load: f64) {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_STEP_INTERVAL);
        self.updated_at = now;
        let step = MAX_SHARE_CHANGE_PER_SECOND * elapsed.as_secs_f64();
        if local_load > HIGH_LOAD_RATIO && remote_load + MIN_LOAD_DIFFERENCE < local_load {
            self.local_share = (self.local_share - step).max(MIN_LOCAL_SHARE);
        } else if local_load < LOW_LOAD_RATIO || local_load < remote_load {
            self.local_share = (self.local_share + step).min(1.0);
        }
    }
}
