//! Time that the instances of a service work on a request, learned for each kind of request.
//!
//! A service runs kinds of requests that take very different times, and each kind takes a fraction
//! of its time if the instance has cached the request's object. With one average for all of them,
//! an instance that gets more of the longer kind seems slow, and a request seems late that would be
//! on time. So the times are learned for each route, and for cached and uncached objects apart. See
//! docs/steering-study.md.

use std::{collections::HashMap, sync::Arc};

use super::samples::Samples;

/// Work on a cached object relative to the work on an uncached one, until answers show it.
const DEFAULT_CACHED_WORK_RATIO: f64 = 0.35;

/// Assumed work on an uncached object until an answer shows it, in seconds.
const DEFAULT_UNCACHED_SECONDS: f64 = 0.5;

/// Answers from which the work on a cached object is estimated.
const CACHED_SAMPLES: usize = 32;

/// Answers from which the work on an uncached object is estimated.
const UNCACHED_SAMPLES: usize = 16;

/// Quantile that gives the work on a cached object. It is below the median, because the estimate
/// must hold while most of the objects have to be loaded.
const CACHED_QUANTILE: f64 = 0.25;

/// Smallest ratio of a time to the work on a cached object at which the object was probably not
/// cached.
const UNCACHED_RATIO: f64 = 1.8;

/// Largest such ratio. Longer times come from slow instances.
const MAX_UNCACHED_RATIO: f64 = 8.0;

/// Weight of the newest sample in the moving average over all kinds.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Expected work on a request, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Work if the instance has cached the request's object.
    pub cached: f64,
    /// Work if it has not.
    pub uncached: f64,
}

impl Times {
    /// Whether a request that took this time, in seconds, ran on an uncached object.
    pub fn is_uncached(&self, seconds: f64) -> bool {
        seconds > self.cached * UNCACHED_RATIO
    }
}

/// Learned times of one service.
#[derive(Clone, Debug, Default)]
pub struct Model {
    routes: HashMap<Arc<str>, Route>,
    mean_seconds: Option<f64>,
}

/// Learned times of one route, as computed from its latest answers.
#[derive(Clone, Debug)]
struct Route {
    cached_samples: Samples,
    uncached_samples: Samples,
    times: Times,
}

impl Model {
    /// Expected work on a request of the route.
    pub fn times(&self, route: &str) -> Times {
        self.routes.get(route).map_or_else(|| self.default_times(), |route| route.times)
    }

    /// Mean work on a request of any route, cached or not, in seconds.
    pub fn mean_seconds(&self) -> f64 {
        self.mean_seconds.unwrap_or(DEFAULT_UNCACHED_SECONDS * DEFAULT_CACHED_WORK_RATIO)
    }

    /// Records the work on a request, without the wait in the instance's queue. `is_cached` says
    /// that the instance was believed to have the request's object cached.
    pub fn record(&mut self, route: &Arc<str>, seconds: f64, is_cached: bool) {
        let mean = self.mean_seconds.unwrap_or(seconds);
        self.mean_seconds = Some(mean + SMOOTHING_FACTOR * (seconds - mean));
        let times = self.default_times();
        let route = self.routes.entry(route.clone()).or_insert_with(|| Route {
            cached_samples: Samples::new(CACHED_SAMPLES),
            uncached_samples: Samples::new(UNCACHED_SAMPLES),
            times,
        });
        route.record(seconds, is_cached);
    }

    fn default_times(&self) -> Times {
        let cached = self.mean_seconds();
        Times { cached, uncached: cached / DEFAULT_CACHED_WORK_RATIO }
    }
}

impl Route {
    fn record(&mut self, seconds: f64, is_cached: bool) {
        if is_cached || seconds < self.times.cached {
            self.cached_samples.record(seconds);
        }
        let cached = self.cached_samples.quantile(CACHED_QUANTILE).unwrap_or(self.times.cached);
        let ratio = seconds / cached;
        if (UNCACHED_RATIO..MAX_UNCACHED_RATIO).contains(&ratio) {
            self.uncached_samples.record(ratio);
        }
        let uncached_ratio =
            self.uncached_samples.quantile(0.5).unwrap_or(1.0 / DEFAULT_CACHED_WORK_RATIO);
        self.times = Times { cached, uncached: cached * uncached_ratio };
    }
}
