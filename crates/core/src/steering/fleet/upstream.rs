//! Instances of one service, and the averages over them.

use std::time::Duration;

use super::{choice::Choice, side::Side};
use crate::steering::{
    cache, contention, cost,
    instance::{self, Instance, Outcome},
    load::{self, Report},
    reach::Reach,
    speed, spill, work,
};

/// Weight of the newest sample in the exponential moving averages of a service.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Fraction of busy slots from which a side has few free ones.
pub(super) const BUSY_RATIO: f64 = 0.7;

/// Variance of an instance's failure rate, which is a moving average, relative to the variance of
/// one sample: `a / (2 - a)` for the weight `a` of the newest sample.
const FAILURE_RATE_VARIANCE: f64 = instance::SMOOTHING_FACTOR / (2.0 - instance::SMOOTHING_FACTOR);

/// Standard deviations up to which a failure rate is put down to chance.
const CHANCE_DEVIATIONS: f64 = 2.0;

/// Instances of one service.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) instances: Vec<Instance>,
    pub(super) spill: spill::Controller,
    /// Moving average of the response time, in seconds.
    pub(super) response_seconds: Option<f64>,
    /// Usual utilization of the instances of the host's own region.
    pub(super) local_utilization: load::Utilization,
    /// Usual utilization of the instances of other regions.
    pub(super) remote_utilization: load::Utilization,
    /// Fraction of the requests that other hosts send.
    pub(super) others_share: f64,
    /// Load of the instances of the host's own region.
    pub(super) local_side: Side,
    /// Load of the instances of other regions.
    pub(super) remote_side: Side,
    /// Demand of each priority level.
    pub(super) demand: contention::Demand,
    /// Learned work on each kind of request.
    pub(super) work: work::Model,
    /// Distributions of the work on each kind of request.
    pub(super) cost: cost::Model,
    /// How well the remaining work predicts the time of answers.
    pub(super) accuracy: cost::Accuracy,
    /// How the reported speeds of the instances change.
    pub(super) speed: speed::Model,
    /// Median over the instances of the slowness.
    pub(super) usual_slowness: f64,
    /// How long the instances keep an object.
    pub(super) residence: cache::Residence,
    /// Median over the instances of the failure rate.
    pub(super) usual_failure_rate: f64,
    /// How long an instance is cold after its start.
    pub(super) warmup: Duration,
    /// Requests per second that a cold instance tolerates from all hosts together.
    pub(super) cold_rate: f64,
    /// Whether this host reaches the instances.
    pub(super) reach: Reach,
}

impl Upstream {
    /// A service without instances.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            instances: Vec::new(),
            spill: spill::Controller::new(now),
            response_seconds: None,
            local_utilization: load::Utilization::default(),
            remote_utilization: load::Utilization::default(),
            others_share: 0.0,
            local_side: Side::default(),
            remote_side: Side::default(),
            demand: contention::Demand::default(),
            work: work::Model::default(),
            cost: cost::Model::default(),
            accuracy: cost::Accuracy::default(),
            speed: speed::Model::default(),
            usual_slowness: 1.0,
            residence: cache::Residence::new(now),
            usual_failure_rate: 0.0,
            warmup: Duration::ZERO,
            cold_rate: f64::INFINITY,
            reach: Reach::default(),
        }
    }

    /// Failure rate of the instance beyond what most instances of the service have, and beyond what
    /// chance explains. A rate that all instances have alike says nothing about where to send a
    /// request; acting on it would move objects between instances, which then have to load them.
    pub(super) fn excess_failure_rate(&self, instance: &Instance) -> f64 {
        let usual = self.usual_failure_rate;
        let deviation = (usual * (1.0 - usual) * FAILURE_RATE_VARIANCE).sqrt();
        (instance.failure_rate() - usual - CHANCE_DEVIATIONS * deviation).max(0.0)
    }

    /// Updates what is usual among the instances, after the end of a request.
    pub(super) fn update_usual(&mut self) {
        let mut rates: Vec<f64> = self.instances.iter().map(Instance::failure_rate).collect();
        self.usual_failure_rate = median(&mut rates).unwrap_or(0.0);
        let slowness = self.instances.iter().map(|instance| instance.slowness().unwrap_or(1.0));
        self.usual_slowness = median(&mut slowness.collect::<Vec<_>>()).unwrap_or(1.0);
    }

    /// Whether the remaining work of requests says more than the mean: the service has a tail or
    /// reports its speed, and the prediction has not been worse than the mean.
    pub(super) fn knows_remaining(&self) -> bool {
        (self.cost.has_tail() || self.speed.is_reported()) && !self.accuracy.is_off()
    }

    /// Expected response time of the instance for a request with this work. `needs_remaining` says
    /// whether the remaining work of this host's requests there counts.
    pub(super) fn predict(
        &self,
        now: Duration,
        instance: &Instance,
        work: f64,
        needs_remaining: bool,
    ) -> cost::Prediction {
        let slots = f64::from(instance.endpoint.slots.max(1));
        let ends = (instance.requests + 1.0 - slots).max(0.0);
        let mean = self.work.mean_seconds();
        let factor = self.speed.expected(now, instance.speed);
        let slowdown = instance.slowdown(now, self.usual_slowness);
        let mean_wait = ends / slots * mean;
        let mut wait = mean_wait;
        if needs_remaining && ends > 0.0 && !instance.running.is_empty() {
            let mut slots = cost::Slots::new(instance.endpoint.slots, mean);
            for request in instance.running.iter().filter(|request| request.started_at <= now) {
                let times = self.work.times(&request.route);
                let is_cached = request.is_cached;
                let class = cost::Class { route: &request.route, is_cached, times };
                let elapsed = (now - request.started_at).div_f64(factor * slowdown);
                slots.add(self.cost.remaining_seconds(class, elapsed));
            }
            wait = slots.wait_seconds(ends);
        }
        cost::Prediction {
            by_remaining: (work + wait) * factor * slowdown,
            by_mean: (work + mean_wait) * factor * slowdown,
            wait: wait * factor * slowdown,
        }
    }

    /// Fraction of the slots that are busy on the instance's side.
    pub(super) fn busy_ratio(&self, instance: &Instance) -> f64 {
        self.side(instance).busy_ratio()
    }

    /// Load of the instances on the instance's side.
    pub(super) fn side(&self, instance: &Instance) -> &Side {
        if instance.is_local { &self.local_side } else { &self.remote_side }
    }

    /// Whether there are few free slots on the instance's side.
    pub(super) fn is_busy(&self, instance: &Instance) -> bool {
        self.busy_ratio(instance) >= BUSY_RATIO
    }

    /// Updates the estimated number of requests at each instance.
    pub(super) fn update_loads(&mut self, now: Duration) {
        let local_usual = self.local_utilization.per_slot(now);
        let remote_usual = self.remote_utilization.per_slot(now);
        for instance in &mut self.instances {
            let usual = if instance.is_local { local_usual } else { remote_usual };
            let slots_of_others = f64::from(instance.endpoint.slots) * self.others_share;
            instance.requests = instance.load.total(now, usual.times(slots_of_others));
        }
    }

    /// Records the load that the instance reported.
    pub(super) fn record_report(&mut self, now: Duration, choice: &Choice, report: Report) {
        let utilization = if choice.is_remote {
            &mut self.remote_utilization
        } else {
            &mut self.local_utilization
        };
        utilization.record(now, report);
    }

    /// Whether the instance is believed to have the object cached, because it answered this host
    /// about it not longer ago than objects stay.
    pub(super) fn has_cached(&self, now: Duration, instance: &Instance, object: u64) -> bool {
        instance.objects.age(now, object).is_some_and(|age| age < self.residence.time(now))
    }

    /// Records the end of a request in the state of its instance, with the work that was expected
    /// before.
    pub(super) fn end_request(
        &mut self,
        now: Duration,
        choice: &Choice,
        outcome: Outcome,
        report: Option<Report>,
        times: work::Times,
    ) {
        let is_chosen = |instance: &&mut Instance| {
            instance.endpoint.id == choice.id && instance.endpoint.incarnation == choice.incarnation
        };
        let Some(instance) = self.instances.iter_mut().find(is_chosen) else {
            return;
        };
        instance.running.retain(|request| request.number != choice.number);
        let factor = report.and_then(|report| report.factor);
        if let Some(reading) = factor.map(|factor| speed::Reading { factor, at: now }) {
            self.speed.record(instance.speed.replace(reading), reading);
        }
        if let (Outcome::Answered(time), Some(report)) = (outcome, report) {
            // A wait or a slow instance must not count as work. An instance with a free slot beside
            // the one of this request has probably made it wait for none.
            let had_free_slot =
                report.waiting == 0 && report.running.saturating_add(1) < report.slots;
            let has_waited = choice.prediction.wait > 0.0 || !had_free_slot;
            if !has_waited && instance.slowdown(now, self.usual_slowness) <= 1.0 {
                let (route, is_cached) = (&choice.route, choice.is_cached);
                // Without an object, a long time does not come from loading one.
                let has_object = choice.object_hash.is_some();
                let uncached = if has_object { times.uncached } else { times.cached };
                let times = work::Times { uncached, ..times };
                let class = cost::Class { route, is_cached, times };
                self.cost.record(route, class, report.work_seconds(time.as_secs_f64()));
            }
        }
        let mut expected_seconds = times.cached;
        if let (Outcome::Answered(time), Some(object)) = (outcome, choice.object_hash) {
            let factor = report.map_or(1.0, Report::factor);
            let is_uncached = times.is_uncached(time.as_secs_f64() / factor);
            let age = instance.objects.age(now, object);
            let is_known = age.is_some_and(|age| age < self.residence.time(now));
            let has_queue = report.is_some_and(|report| report.waiting > 0);
            if let (Some(age), false) = (age, has_queue) {
                self.residence.record(now, age, !is_uncached);
            }
            // Without an earlier answer about the object, a long time may come from loading it.
            if is_uncached && !is_known {
                expected_seconds = times.uncached;
            }
            instance.objects.record(now, object);
        }
        instance.end_request(now, outcome, report, expected_seconds);
    }

    /// Records the time of an answer.
    pub(super) fn record_answer(&mut self, seconds: f64, choice: &Choice, report: Option<Report>) {
        update_average(&mut self.response_seconds, seconds);
        let work_seconds = report.map_or(seconds, |report| report.work_seconds(seconds));
        self.demand.record_answer(&choice.route, work_seconds);
        self.work.record(&choice.route, work_seconds, choice.is_cached);
    }
}

/// Median of the values; `None` without values.
fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

fn update_average(mean: &mut Option<f64>, sample: f64) {
    let before = mean.unwrap_or(sample);
    *mean = Some(before + SMOOTHING_FACTOR * (sample - before));
}
