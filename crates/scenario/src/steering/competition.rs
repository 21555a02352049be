//! Competition of classes of different priority for the slots of one service.
//!
//! A class with little work and a short target shares the instances with one that has much work and
//! a long target. See docs/hard-load.md, part D.

use std::{ops::Range, time::Duration};

use super::{
    noise::Tail,
    pattern::{Kind, Pattern},
};

/// Worth of an answer after the target latency, relative to one in time.
const LATE_WORTH: f64 = 0.2;

/// Part of its remaining time up to which a caller honours a `Retry-After`.
const PATIENCE: f64 = 1.0 / 3.0;

/// Requests per second of the urgent class at a multiple of 1, with 75 hosts.
const URGENT_RATE: f64 = 157.0;

/// Requests per second of the background class at a multiple of 1, with 75 hosts.
const BACKGROUND_RATE: f64 = 199.0;

/// Hosts to which [`INSTANCES`] and the rates belong.
const HOSTS_PER_REGION: u32 = 25;

/// Instances in each region: two of six failure domains have a fifth of the instances of the others.
const INSTANCES: [u32; 3] = [7, 33, 34];

/// What callers of one class got for the requests that they sent in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Class {
    /// Requests, without their repeats.
    pub asked: u32,
    /// Requests answered in time.
    pub on_time: u32,
    /// Requests answered after the target latency and before the deadline.
    pub late: u32,
    /// Requests refused twice.
    pub refused: u32,
}

impl Class {
    /// Share of the requests that were answered before the deadline.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Worth of the answers, relative to what was asked.
    pub fn worth(&self) -> f64 {
        (f64::from(self.on_time) + LATE_WORTH * f64::from(self.late)) / f64::from(self.asked.max(1))
    }
}

/// What the callers got by class and second, and the work that the instances started.
#[derive(Clone, Debug)]
pub struct Outcomes {
    classes: Vec<Vec<Class>>,
    work_seconds: Vec<f64>,
}

impl Outcomes {
    pub(super) fn new(classes: usize) -> Self {
        Self { classes: vec![Vec::new(); classes], work_seconds: Vec::new() }
    }

    pub(super) fn class(&mut self, kind: usize, since_start: Duration) -> &mut Class {
        entry(&mut self.classes[kind], since_start)
    }

    pub(super) fn record_work(&mut self, since_start: Duration, seconds: f64) {
        *entry(&mut self.work_seconds, since_start) += seconds;
    }

    /// What the class with this index got for the requests of these seconds.
    pub fn sum(&self, kind: usize, seconds: Range<usize>) -> Class {
        let sum = |total: Class, class: &Class| Class {
            asked: total.asked + class.asked,
            on_time: total.on_time + class.on_time,
            late: total.late + class.late,
            refused: total.refused + class.refused,
        };
        self.classes[kind][seconds].iter().fold(Class::default(), sum)
    }

    /// Work that started in these seconds, in slots.
    pub fn busy_slots(&self, seconds: Range<usize>) -> f64 {
        let count = seconds.len() as f64;
        self.work_seconds[seconds].iter().sum::<f64>() / count
    }
}

fn entry<T: Clone + Default>(values: &mut Vec<T>, since_start: Duration) -> &mut T {
    let index = since_start.as_secs() as usize;
    if values.len() <= index {
        values.resize(index + 1, T::default());
    }
    &mut values[index]
}

/// An urgent class (index 0) beside a background class on instances of 3 slots, at a multiple of the
/// usual rate. The instances and the rates grow with the hosts.
pub fn urgent_beside_background(hosts_per_region: u32, multiple: f64) -> Pattern {
    let size = f64::from(hosts_per_region) / f64::from(HOSTS_PER_REGION);
    let urgent = Kind {
        name: "urgent",
        work: Duration::from_millis(236),
        target: Duration::from_millis(200),
        deadline: Duration::from_millis(1200),
        priority: 0,
        objects: scaled(39, size),
        share: URGENT_RATE / (URGENT_RATE + BACKGROUND_RATE),
    };
    let background = Kind {
        name: "background",
        work: Duration::from_millis(1200),
        target: Duration::from_millis(1500),
        deadline: Duration::from_secs(6),
        priority: 2,
        objects: scaled(49, size),
        share: BACKGROUND_RATE / (URGENT_RATE + BACKGROUND_RATE),
    };
    Pattern {
        kinds: vec![urgent, background],
        instances: INSTANCES.map(|count| scaled(u64::from(count), size) as u32),
        hosts: [hosts_per_region; 3],
        noise: None,
        tail: Tail { share: 0.0, factor: 1.0 },
        slots: 3,
        cached_objects: 15,
        rate: (URGENT_RATE + BACKGROUND_RATE) / 3.0 * size * multiple,
        length: Duration::from_secs(20),
        fault: None,
        hosts_restart_at: None,
        patience: Some(PATIENCE),
    }
}

fn scaled(count: u64, size: f64) -> u64 {
    ((count as f64 * size).round() as u64).max(1)
}
