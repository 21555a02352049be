//! Quantiles of the latest samples of a measurement.
//!
//! Times of answers come in groups: an object was cached or had to be loaded, an instance is sound
//! or slow. An average lies between the groups and moves with their mix, whereas a quantile stays
//! within one group until the mix has really changed.

use std::collections::VecDeque;

/// The latest samples, up to a fixed number.
#[derive(Clone, Debug)]
pub struct Samples {
    latest: VecDeque<f64>,
    capacity: usize,
}

impl Samples {
    /// Keeps up to `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        Self { latest: VecDeque::new(), capacity }
    }

    /// Adds a sample, and drops the oldest one if there are too many.
    pub fn record(&mut self, sample: f64) {
        if self.latest.len() >= self.capacity {
            self.latest.pop_front();
        }
        self.latest.push_back(sample);
    }

    /// Number of samples.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// The sample below which the given fraction of the samples lies; `None` without samples.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        let last = self.latest.len().checked_sub(1)?;
        let mut sorted: Vec<f64> = self.latest.iter().copied().collect();
        let index = (last as f64 * fraction).floor() as usize;
        Some(*sorted.select_nth_unstable_by(index, f64::total_cmp).1)
    }
}
