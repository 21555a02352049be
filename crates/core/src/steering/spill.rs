//! Part of a service's requests that stays in the host's own region.
//!
//! Load pattern: a region with few instances gets as much traffic as one with many, in waves. What
//! its instances cannot carry goes to other regions, but a region's traffic may shift only slowly. So
//! the part changes by a bounded step per second, and small changes of load do not move it.

use std::time::Duration;

/// Load, relative to the slots, above which the part that stays may shrink.
const HIGH_LOAD: f64 = 0.5;

/// Load, relative to the slots, below which the part that stays grows.
const LOW_LOAD: f64 = 0.4;

/// How much less loaded the other regions must be for the part to shrink.
const LESS_LOAD: f64 = 0.15;

/// Largest change of the part in one second.
pub(super) const STEP_PER_SECOND: f64 = 0.04;

/// Longest time that one step makes up for, so that a paused host does not jump.
const LONGEST_STEP: Duration = Duration::from_millis(250);

/// Smallest part that stays.
const SMALLEST_PART: f64 = 0.15;

/// The part that stays, and when it last changed.
#[derive(Clone, Debug)]
pub struct Spill {
    stays: f64,
    has_started: bool,
    updated: Duration,
}

impl Spill {
    /// Everything stays.
    pub fn new(now: Duration) -> Self {
        Self { stays: 1.0, has_started: false, updated: now }
    }

    /// Part of the requests that stays, 0 to 1.
    pub fn stays(&self) -> f64 {
        self.stays
    }

    /// Sets the part at first, before any request; later it only moves by steps.
    pub fn start(&mut self, stays: f64) {
        if !self.has_started {
            self.has_started = true;
            self.stays = stays.clamp(SMALLEST_PART, 1.0);
        }
    }

    /// Takes the present load of the own region and of the others, relative to their slots.
    pub fn update(&mut self, now: Duration, own: f64, others: f64) {
        let elapsed = now.saturating_sub(self.updated).min(LONGEST_STEP);
        self.updated = now;
        let step = STEP_PER_SECOND * elapsed.as_secs_f64();
        if own > HIGH_LOAD && others + LESS_LOAD < own {
            self.stays = (self.stays - step).max(SMALLEST_PART);
        } else if own < LOW_LOAD || own < others {
            self.stays = (self.stays + step).min(1.0);
        }
    }
}
