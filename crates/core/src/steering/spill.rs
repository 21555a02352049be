//! Part of a service's requests that stays in the host's own region.
//!
//! Load pattern: a region with few instances gets as much traffic as one with many, in waves. What
//! its instances cannot carry goes to other regions, but a region's traffic may shift only slowly. So
//! the part changes by a bounded step per second, and small changes of load do not move it.

use std::time::Duration;

/// Load, relative to the slots, above which the part that stays may shrink.
const HIGH_LOAD_RATIO: f64 = 0.5;

/// Load, relative to the slots, below which the part that stays grows.
const LOW_LOAD_RATIO: f64 = 0.4;

/// How much less loaded the other regions must be for the part to shrink.
const MIN_LOAD_DIFFERENCE: f64 = 0.15;

/// Largest change of the part in one second.
pub(super) const MAX_SHARE_CHANGE_PER_SECOND: f64 = 0.04;

/// Longest time that one step makes up for, so that a paused host does not jump.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Smallest part that stays.
const MIN_LOCAL_SHARE: f64 = 0.15;

/// The part that stays, and when it last changed.
#[derive(Clone, Debug)]
pub struct Controller {
    local_share: f64,
    is_initialized: bool,
    updated_at: Duration,
}

impl Controller {
    /// Everything stays.
    pub fn new(now: Duration) -> Self {
        Self { local_share: 1.0, is_initialized: false, updated_at: now }
    }

    /// Part of the requests that stays, 0 to 1.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Sets the part at first, before any request; later it only moves by steps.
    pub fn initialize(&mut self, local_share: f64) {
        if !self.is_initialized {
            self.is_initialized = true;
            self.local_share = local_share.clamp(MIN_LOCAL_SHARE, 1.0);
        }
    }

    /// Takes the present load of the own region and of the others, relative to their slots.
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
