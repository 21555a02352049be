//! Load on instances of which some are slow at any moment, and what the callers got of it.

use std::time::Duration;

use super::{
    pattern::{Kind, Pattern, Window},
    world::{CACHED_WORK_RATIO, Results, World},
};

/// Work that takes longer at some instances at any moment.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Part of the instances that are slow at a moment, 0 to 1.
    pub share: f64,
    /// Factor by which their work takes longer.
    pub factor: f64,
    /// Time after which others are slow.
    pub period: Duration,
}

/// How an instance is chosen in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The fleet's choice without what instances report of their speed.
    Usual,
    /// The fleet's choice with all that instances report.
    Reported,
    /// The same with the remaining work of the host's requests at each instance.
    Remaining,
    /// The instance with the fewest requests of the host.
    LeastRequests,
    /// Of two random instances, the one with fewer requests of the host.
    TwoChoices,
    /// Of the two instances that come first for the object by rendezvous hash, the one with fewer
    /// requests of the host.
    TwoHashed,
    /// The instance that will answer first, with perfect knowledge of all requests, caches and speeds.
    Perfect,
}

impl Selection {
    /// All selections, in the order of the tables.
    pub const ALL: [(&str, Self); 7] = [
        ("usual", Self::Usual),
        ("reported", Self::Reported),
        ("remaining", Self::Remaining),
        ("least", Self::LeastRequests),
        ("two", Self::TwoChoices),
        ("hashed", Self::TwoHashed),
        ("perfect", Self::Perfect),
    ];

    pub(super) fn uses_fleet(self) -> bool {
        matches!(self, Self::Usual | Self::Reported | Self::Remaining)
    }
}

/// Requests that take several times the work of their kind.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// Part of the requests, 0 to 1.
    pub share: f64,
    /// Factor of their work.
    pub factor: f64,
}

/// Outcome of one request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) region: usize,
    pub(super) target: Duration,
    /// When the caller sent it, since the start of the load.
    pub(super) asked_at: Duration,
    /// Time until the answer; `None` without one before the deadline.
    pub(super) latency: Option<Duration>,
}

/// What the callers of a whole replay got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Requests of callers.
    pub asked: usize,
    /// Median latency of the answers.
    pub p50: Duration,
    /// 99th percentile of the latency of the answers.
    pub p99: Duration,
    /// Part of the requests answered before their deadline.
    pub answered: f64,
    /// Part of the requests answered in time.
    pub in_time: f64,
    /// The same for the region where it is smallest.
    pub worst_region: f64,
    /// Part of the requests that ran which had to load their object.
    pub loaded: f64,
}

impl Summary {
    fn new(results: &Results, from: Duration) -> Self {
        let outcomes = results.outcomes.iter().filter(|outcome| outcome.asked_at >= from);
        let outcomes: Vec<Outcome> = outcomes.copied().collect();
        let sum = |count: fn(&Window) -> u32| -> f64 {
            results.windows.iter().map(count).map(f64::from).sum()
        };
        let mut latencies: Vec<Duration> = outcomes.iter().filter_map(|o| o.latency).collect();
        latencies.sort_unstable();
        let quantile = |fraction: f64| {
            let index = (latencies.len().saturating_sub(1) as f64 * fraction) as usize;
            latencies.get(index).copied().unwrap_or_default()
        };
        let is_in_time = |o: &&Outcome| o.latency.is_some_and(|latency| latency <= o.target);
        let in_time = |region: Option<usize>| {
            let asked = || outcomes.iter().filter(|o| region.is_none_or(|r| r == o.region));
            asked().filter(is_in_time).count() as f64 / asked().count().max(1) as f64
        };
        Self {
            asked: outcomes.len(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            answered: latencies.len() as f64 / outcomes.len().max(1) as f64,
            in_time: in_time(None),
            worst_region: (0..3).map(|region| in_time(Some(region))).fold(1.0, f64::min),
            loaded: sum(|window| window.loaded) / sum(|window| window.run).max(1.0),
        }
    }
}

/// 113 hosts and 54 instances of six slots, of which 15 in 100 are slow at any moment.
pub fn noisy_instances() -> Pattern {
    let read = Kind {
        name: "read",
        work: Duration::from_millis(370),
        target: Duration::from_millis(300),
        deadline: Duration::from_secs(2),
        priority: 1,
        objects: 350,
        share: 1.0,
    };
    Pattern {
        kinds: vec![read],
        patience: None,
        instances: [24, 15, 15],
        hosts: [38, 38, 37],
        slots: 6,
        cached_objects: 31,
        rate: 303.0,
        length: Duration::from_secs(20),
        fault: None,
        hosts_restart_at: None,
        tail: Tail { share: 0.0, factor: 7.0 },
        noise: Some(Noise { share: 0.15, factor: 2.5, period: Duration::from_millis(600) }),
    }
}

/// The same with so many hosts, requests with a tail, and a load relative to the capacity if a fifth
/// of the requests load their object.
pub fn uneven_costs(hosts: u32, load: f64, tail_share: f64) -> Pattern {
    const LOADED_SHARE: f64 = 0.2;
    let base = noisy_instances();
    let noise = base.noise.map_or(1.0, |noise| 1.0 + noise.share * (noise.factor - 1.0));
    let tail = Tail { share: tail_share, ..base.tail };
    let ratio = CACHED_WORK_RATIO * (1.0 - LOADED_SHARE) + LOADED_SHARE;
    let work = base.kinds[0].work.as_secs_f64() * ratio * noise;
    let work = work * (1.0 + tail.share * (tail.factor - 1.0));
    let slots = f64::from(base.instances.iter().sum::<u32>() * base.slots);
    Pattern {
        hosts: [hosts.div_ceil(3), (hosts + 1) / 3, hosts / 3],
        rate: load * slots / work / 3.0,
        tail,
        ..base
    }
}

/// Plays a pattern with this selection and returns what the callers got who asked after this time.
pub fn summarize(pattern: &Pattern, selection: Selection, seed: u64, from: Duration) -> Summary {
    Summary::new(&World::new(pattern.clone(), selection, seed).run(), from)
}
