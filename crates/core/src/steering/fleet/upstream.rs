//! What is known of the instances of one service together.

use std::time::Duration;

use super::choice::Choice;
use crate::steering::{instance::Instance, load::Report, spill};

/// Work on an object that the instance handled lately, relative to the work on another one.
pub(super) const KNOWN_OBJECT_WORK: f64 = 0.35;

/// Work on an object, in seconds, until it is known.
const FIRST_WORK: f64 = 0.5;

/// Weight of the newest answer in a service's averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// Instances of one service.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) instances: Vec<Instance>,
    pub(super) spill: spill::Controller,
    pub(super) answer_seconds: Option<f64>,
    /// Load of the own region, relative to its slots.
    pub(super) own_load: f64,
    /// Seconds of work on an object that the instance knows.
    pub(super) known_work: Option<f64>,
    pub(super) warmup: Duration,
    pub(super) cold_rate: f64,
}

impl Upstream {
    /// No instances.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            instances: Vec::new(),
            spill: spill::Controller::new(now),
            answer_seconds: None,
            own_load: 0.0,
            known_work: None,
            warmup: Duration::ZERO,
            cold_rate: f64::INFINITY,
        }
    }

    pub(super) fn known_work(&self) -> f64 {
        self.known_work.unwrap_or(FIRST_WORK * KNOWN_OBJECT_WORK)
    }

    pub(super) fn new_work(&self) -> f64 {
        self.known_work() / KNOWN_OBJECT_WORK
    }

    /// Takes the time of an answer. Only answers of instances without a queue tell the work.
    pub(super) fn answered(&mut self, seconds: f64, choice: &Choice, report: Option<Report>) {
        average(&mut self.answer_seconds, seconds);
        if choice.is_cached && report.is_some_and(|report| report.waiting == 0) {
            average(&mut self.known_work, seconds);
        }
    }
}

/// Median of the instances' work on a known object; those that have not answered count as usual. A
/// slow instance that gets many requests does not change it.
pub(super) fn usual_seconds(group: &Upstream) -> f64 {
    let instances = group.instances.iter();
    let mut seconds: Vec<f64> = instances
        .map(|instance| instance.answer_seconds().unwrap_or_else(|| group.known_work()))
        .collect();
    let middle = seconds.len() / 2;
    if seconds.is_empty() {
        return group.known_work();
    }
    *seconds.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn average(mean: &mut Option<f64>, newest: f64) {
    let before = mean.unwrap_or(newest);
    *mean = Some(before + NEWEST_WEIGHT * (newest - before));
}
