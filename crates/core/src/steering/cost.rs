//! Cost of requests as distributions.
//!
//! Where a few requests take several times the work of their class, a mean does not tell when a
//! request that is running will end: one that has run for twice the usual time is probably one of
//! them. So the ratios of work to the usual time of the class ([`work::Times`]) are counted in
//! logarithmic buckets, for each route and belief about the cache, for each route, and for the
//! service. Nothing is kept for each object. See docs/design/request-cost.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::work;

/// Smallest ratio that has a bucket of its own. Smaller ones are counted in the first bucket.
const MIN_RATIO: f64 = 1.0 / 16.0;

/// Buckets for each doubling of the ratio.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets. The last one holds all ratios from 220.
const BUCKETS: usize = 48;

/// Weight at which all samples lose half of theirs, so that old samples decay.
const MAX_WEIGHT: f32 = 512.0;

/// Weight from which a distribution is used in place of the next more general one. It is required of
/// the samples above the time that a request has run, as the others say nothing about its end.
const MIN_WEIGHT: f32 = 4.0;

/// Weight from which a 99th percentile counts.
const MIN_TAIL_WEIGHT: f32 = 100.0;

/// Weight of a route from which its usual times have settled. With earlier ones, the ratios of the
/// same work differ by as much as a tail.
const MIN_SETTLED_WEIGHT: f32 = 64.0;

/// Ratio of the 99th percentile to the median from which a route has a tail.
const TAIL_RATIO: f64 = 3.0;

/// Ratio of a time to the work on an uncached object up to which loading explains the time.
const MAX_LOAD_RATIO: f64 = 1.8;

/// Requests of this host at one instance whose remaining work is estimated. Further ones count like
/// those of other hosts.
const MAX_ESTIMATED: usize = 16;

/// Weight of the newest answer in the mean errors of the predictions.
const ERROR_SMOOTHING: f64 = 0.005;

/// Answers before which the errors of the predictions are not compared.
const MIN_COMPARED: u32 = 200;

/// Error relative to that of the mean from which the prediction is not used, and from which it is used
/// again.
const ERROR_RATIOS: (f64, f64) = (1.1, 1.0);

/// Least work on an uncached object relative to a cached one, for the detection of tails. Short waits
/// that were not noticed lower the learned ratio, and loads would look like a tail.
const MIN_LOAD_WORK_RATIO: f64 = 3.0;

/// Routes of a service with distributions of their own. Further ones use that of the service.
const MAX_ROUTES: usize = 128;

/// Decaying counts of positive ratios.
#[derive(Clone, Debug)]
pub struct Distribution {
    /// Weight of the samples in each bucket and those after it.
    weights: [f32; BUCKETS],
    /// Sum of these samples.
    sums: [f32; BUCKETS],
}

impl Default for Distribution {
    fn default() -> Self {
        Self { weights: [0.0; BUCKETS], sums: [0.0; BUCKETS] }
    }
}

impl Distribution {
    /// Adds a sample.
    pub fn record(&mut self, ratio: f64) {
        let last = bucket(ratio);
        let ratio = ratio.clamp(0.0, bound(BUCKETS)) as f32;
        self.weights[..=last].iter_mut().for_each(|weight| *weight += 1.0);
        self.sums[..=last].iter_mut().for_each(|sum| *sum += ratio);
        if self.weights[0] >= MAX_WEIGHT {
            self.weights.iter_mut().chain(&mut self.sums).for_each(|value| *value *= 0.5);
        }
    }

    /// Weight of all samples.
    pub fn weight(&self) -> f32 {
        self.weights[0]
    }

    /// Mean residual life: what a sample is expected to have beyond `elapsed`, if it is larger. `None`
    /// if too few samples are.
    pub fn residual(&self, elapsed: f64) -> Option<f64> {
        let index = bucket(elapsed);
        let after = |values: &[f32]| values.get(index + 1).copied().unwrap_or(0.0);
        let (weight_after, sum_after) = (after(&self.weights), after(&self.sums));
        let within = self.weights[index] - weight_after;
        let (low, high) = (if index == 0 { 0.0 } else { bound(index) }, bound(index + 1));
        let left = ((high - elapsed) / (high - low)).clamp(0.0, 1.0);
        let weight = f64::from(within) * left + f64::from(weight_after);
        let sum = f64::from(within) * left * f64::midpoint(elapsed.max(low), high);
        (weight >= f64::from(MIN_WEIGHT))
            .then(|| ((sum + f64::from(sum_after)) / weight - elapsed).max(0.0))
    }

    /// Lower bound of the bucket that holds the sample below which this fraction of the samples lies.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let above = f64::from(self.weight()) * (1.0 - fraction);
        let index = self.weights.iter().rposition(|weight| f64::from(*weight) > above);
        bound(index.unwrap_or(0))
    }

    fn has_tail(&self) -> bool {
        self.weight() >= MIN_TAIL_WEIGHT && self.quantile(0.99) >= TAIL_RATIO * self.quantile(0.5)
    }
}

/// Kind of a request, as far as its cost depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Class<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Whether the instance was believed to have the request's object cached.
    pub is_cached: bool,
    /// Usual work on requests of the route, cached and not.
    pub times: work::Times,
}

impl Class<'_> {
    fn usual_seconds(&self) -> f64 {
        let seconds = if self.is_cached { self.times.cached } else { self.times.uncached };
        seconds.max(f64::MIN_POSITIVE)
    }

    /// Ratio of the work to the usual time of what it was probably spent on. An object that was
    /// displaced must not count as a tail of the work on cached ones.
    fn tail_ratio(&self, seconds: f64) -> f64 {
        let work::Times { cached, uncached } = self.times;
        let has_loads = uncached > cached;
        let load = if has_loads { uncached.max(cached * MIN_LOAD_WORK_RATIO) } else { cached };
        let is_load = seconds < load * MAX_LOAD_RATIO;
        let usual = match (self.times.is_uncached(seconds), is_load) {
            (false, _) => cached,
            (true, true) => load,
            (true, false) => self.usual_seconds(),
        };
        seconds / usual.max(f64::MIN_POSITIVE)
    }
}

/// Learned distributions of one service.
#[derive(Clone, Debug, Default)]
pub struct Model {
    routes: HashMap<Arc<str>, Route>,
    all: Distribution,
    tailed_routes: usize,
}

#[derive(Clone, Debug, Default)]
struct Route {
    cached: Distribution,
    uncached: Distribution,
    all: Distribution,
    /// Ratios without the effect of displaced objects.
    tail: Distribution,
    has_tail: bool,
}

impl Model {
    /// Records the work on a request that did not wait at its instance.
    pub fn record(&mut self, route: &Arc<str>, class: Class<'_>, seconds: f64) {
        let ratio = seconds / class.usual_seconds();
        if !ratio.is_finite() {
            return;
        }
        self.all.record(ratio);
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let costs = self.routes.entry(route.clone()).or_default();
        costs.all.record(ratio);
        if class.is_cached { &mut costs.cached } else { &mut costs.uncached }.record(ratio);
        if costs.all.weight() >= MIN_SETTLED_WEIGHT {
            costs.tail.record(class.tail_ratio(seconds));
        }
        self.tailed_routes -= usize::from(costs.has_tail);
        costs.has_tail = costs.tail.has_tail();
        self.tailed_routes += usize::from(costs.has_tail);
    }

    /// Whether some route has a tail: its 99th percentile is at least three times its median.
    pub fn has_tail(&self) -> bool {
        self.tailed_routes > 0
    }

    /// Bytes of the distributions and the keys of their table.
    pub fn bytes(&self) -> usize {
        size_of_val(&self.all) + self.routes.len() * size_of::<(Arc<str>, Route)>()
    }

    /// Expected work that is left of a request which has run for this time. Without any evidence, it
    /// is the usual time, or as long as it has run already.
    pub fn remaining_seconds(&self, class: Class<'_>, elapsed: Duration) -> f64 {
        let usual = class.usual_seconds();
        let elapsed = elapsed.as_secs_f64() / usual;
        let costs = self.routes.get(class.route);
        let own = |costs: &Route| {
            let distribution = if class.is_cached { &costs.cached } else { &costs.uncached };
            distribution.residual(elapsed).or_else(|| costs.all.residual(elapsed))
        };
        let residual = costs.and_then(own).or_else(|| self.all.residual(elapsed));
        usual * residual.unwrap_or_else(|| elapsed.max(1.0))
    }
}

/// Request of this host that an instance runs.
#[derive(Clone, Debug)]
pub struct Running {
    /// Number of the choice that sent it there.
    pub number: u64,
    /// When it is expected to have got a slot.
    pub started_at: Duration,
    /// Name of its route.
    pub route: Arc<str>,
    /// Whether the instance was believed to have its object cached.
    pub is_cached: bool,
}

/// Work in the slots of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    count: f64,
    mean_seconds: f64,
    /// Remaining work of requests of this host, in seconds.
    left: [f64; MAX_ESTIMATED],
    left_count: usize,
}

impl Slots {
    /// Slots that run requests with this mean work.
    pub fn new(count: u32, mean_seconds: f64) -> Self {
        let mean_seconds = mean_seconds.max(f64::EPSILON);
        Self {
            count: f64::from(count.max(1)),
            mean_seconds,
            left: [0.0; MAX_ESTIMATED],
            left_count: 0,
        }
    }

    /// Adds a running request whose remaining work is known better than the mean.
    pub fn add(&mut self, left_seconds: f64) {
        if self.left_count < MAX_ESTIMATED && (self.left_count as f64) < self.count {
            self.left[self.left_count] = left_seconds.max(f64::EPSILON);
            self.left_count += 1;
        }
    }

    /// Time until this many requests have ended, if a slot takes the next request as soon as it is
    /// free. Requests of which only the mean is known end evenly over time.
    pub fn wait_seconds(mut self, ends: f64) -> f64 {
        let left = &mut self.left[..self.left_count];
        left.sort_unstable_by(f64::total_cmp);
        let mean_rate = 1.0 / self.mean_seconds;
        let others = (self.count - left.len() as f64) * mean_rate;
        let mut rate = others + left.iter().map(|left| 1.0 / left).sum::<f64>();
        let (mut ended, mut time) = (0.0, 0.0);
        for (index, end) in left.iter().enumerate() {
            let ended_then = ended + (end - time) * rate;
            if ended_then >= ends {
                break;
            }
            (ended, time) = (ended_then, *end);
            let later: f64 = left[index + 1..].iter().map(|left| 1.0 / left).sum();
            rate = others + (index + 1) as f64 * mean_rate + later;
        }
        time + (ends - ended) / rate
    }
}

/// Expected response time of a request, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// With the remaining work of this host's requests at the instance.
    pub by_remaining: f64,
    /// With the mean work of all requests there.
    pub by_mean: f64,
    /// Part of the one in use that is spent in the instance's queue.
    pub wait: f64,
}

/// Errors of the predictions, as moving averages over the answers.
#[derive(Clone, Debug, Default)]
pub struct Accuracy {
    by_remaining: f64,
    by_mean: f64,
    answers: u32,
    is_off: bool,
}

impl Accuracy {
    /// Records an answer after this time. Returns whether the remaining work may be used from now on,
    /// if that is a change.
    pub fn record(&mut self, prediction: Prediction, seconds: f64) -> Option<bool> {
        self.answers = self.answers.saturating_add(1);
        let smooth = |mean: &mut f64, predicted: f64| {
            *mean += ERROR_SMOOTHING * ((seconds - predicted).abs() - *mean);
        };
        smooth(&mut self.by_remaining, prediction.by_remaining);
        smooth(&mut self.by_mean, prediction.by_mean);
        let (off, on) = ERROR_RATIOS;
        let limit = self.by_mean * if self.is_off { on } else { off };
        let is_off = self.answers >= MIN_COMPARED && self.by_remaining > limit;
        let is_changed = is_off != self.is_off;
        self.is_off = is_off;
        is_changed.then_some(!is_off)
    }

    /// Whether the remaining work predicts worse than the mean, and is not used.
    pub fn is_off(&self) -> bool {
        self.is_off
    }
}

/// Lower bound of the ratios in a bucket.
fn bound(index: usize) -> f64 {
    MIN_RATIO * (index as f64 / BUCKETS_PER_DOUBLING).exp2()
}

fn bucket(ratio: f64) -> usize {
    let index = (ratio / MIN_RATIO).log2() * BUCKETS_PER_DOUBLING;
    (index.max(0.0) as usize).min(BUCKETS - 1)
}
