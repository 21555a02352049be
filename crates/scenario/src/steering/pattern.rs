//! Load patterns: how many hosts and instances there are, what is asked of them, and what goes
//! wrong.

use std::{ops::Range, time::Duration};

use super::noise::{Noise, Tail};

/// Worth of an answer after the target latency, relative to one in time.
const LATE_WORTH: f64 = 0.2;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of its route.
    pub name: &'static str,
    /// Work on an object that the instance must load.
    pub work: Duration,
    /// Latency up to which an answer is on time.
    pub target: Duration,
    /// Time after which an answer is worth nothing.
    pub deadline: Duration,
    /// Priority level, where 0 is the most urgent.
    pub priority: u8,
    /// Number of objects in each region.
    pub objects: u64,
    /// Share of the requests, 0 to 1.
    pub share: f64,
}

/// What goes wrong at instances for a while.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it lasts, since the start of the load.
    pub time: Range<Duration>,
    /// Affects one instance in this many; 1 for all.
    pub one_in: usize,
    /// Fraction of the requests that are rejected although there are free slots.
    pub rejected: f64,
    /// Factor by which the work takes longer.
    pub slowness: f64,
}

impl Fault {
    /// Whether the instance with this index is affected.
    pub(super) fn affects(&self, since_start: Duration, index: usize) -> bool {
        self.time.contains(&since_start) && index % self.one_in == self.one_in / 2
    }
}

/// A load on a fleet of hosts and instances in three regions.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Number of instances in each region.
    pub instances: [u32; 3],
    /// Number of hosts in each region.
    pub hosts: [u32; 3],
    /// Number of requests that an instance can run at the same time.
    pub slots: u32,
    /// Number of objects that an instance keeps cached.
    pub cached_objects: usize,
    /// Requests per second in each region.
    pub rate: f64,
    /// How long the load lasts.
    pub length: Duration,
    /// What goes wrong, if anything.
    pub fault: Option<Fault>,
    /// When all hosts start anew, since the start of the load.
    pub hosts_restart_at: Option<Duration>,
    /// Requests that take several times the work.
    pub tail: Tail,
    /// Slow instances that change all the time, if any.
    pub noise: Option<Noise>,
    /// Part of its remaining time up to which a caller waits for as long as a refusal says. Without
    /// it, callers wait as long as they are told.
    pub patience: Option<f64>,
}

/// What the callers got in one window, by the time at which they sent the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// Requests of callers, without their repeats.
    pub asked: u32,
    /// Requests answered in time.
    pub on_time: u32,
    /// Requests answered after the target latency and before the deadline.
    pub late: u32,
    /// Requests that an instance started to run.
    pub run: u32,
    /// Requests that ran at an instance which had to load their object.
    pub loaded: u32,
}

impl Window {
    /// Worth of the answers, relative to what was asked.
    pub fn worth(&self) -> f64 {
        (f64::from(self.on_time) + LATE_WORTH * f64::from(self.late)) / f64::from(self.asked.max(1))
    }
}

const fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// 12 hosts and 28 instances, of which one region has only two. Work on cached objects fills half of
/// the slots.
pub fn twelve_hosts() -> Pattern {
    let short = Kind {
        name: "short",
        work: millis(480),
        target: millis(400),
        deadline: millis(1200),
        priority: 2,
        objects: 108,
        share: 0.7,
    };
    let long = Kind {
        name: "long",
        work: millis(640),
        deadline: millis(1500),
        priority: 1,
        objects: 47,
        share: 0.3,
        ..short
    };
    Pattern {
        kinds: vec![short, long],
        instances: [2, 12, 14],
        hosts: [4; 3],
        slots: 9,
        cached_objects: 60,
        rate: 280.0,
        length: Duration::from_secs(24),
        fault: None,
        hosts_restart_at: None,
        tail: Tail { share: 0.0, factor: 1.0 },
        noise: None,
        patience: None,
    }
}

/// 60 hosts and 138 instances, so that a host hears of an instance seldom.
pub fn sixty_hosts() -> Pattern {
    let mut pattern = twelve_hosts();
    for (kind, (work, objects)) in pattern.kinds.iter_mut().zip([(1040, 241), (1386, 105)]) {
        kind.work = millis(work);
        kind.target = millis(800);
        kind.deadline = millis(2500);
        kind.objects = objects;
    }
    Pattern { instances: [14, 56, 68], hosts: [20; 3], cached_objects: 31, rate: 600.0, ..pattern }
}
