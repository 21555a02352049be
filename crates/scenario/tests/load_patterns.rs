//! Replays of load patterns after which the hosts' decisions kept an overload going, or turned away
//! what could have been served. See docs/steering-study.md.

use std::time::Duration;

use marjorampick_scenario::steering::{
    mean_worth,
    noise::{Selection, Tail, summarize, uneven_costs},
    pattern::{Fault, Pattern, Window, sixty_hosts, twelve_hosts},
    play,
};

const SEEDS: std::ops::Range<u64> = 1..3;

/// Share of the worth before a fault that must be back soon after its end.
const RECOVERED_SHARE: f64 = 0.95;

/// All instances reject more than half of the requests from 8 s to 16 s.
fn rejecting() -> Option<Fault> {
    let time = Duration::from_secs(8)..Duration::from_secs(16);
    Some(Fault { time, one_in: 1, rejected: 0.55, slowness: 1.0 })
}

fn describe(windows: &[Window]) -> String {
    let row = |(second, window): (usize, &Window)| {
        let worth = window.worth();
        let Window { asked, run, loaded, .. } = window;
        format!("{second:3} s: worth {worth:.2}, {asked} asked, {run} run, {loaded} loaded")
    };
    windows.iter().enumerate().map(row).collect::<Vec<_>>().join("\n")
}

/// Asserts that the worth is back 3 s after the instances stop rejecting requests.
fn assert_recovery(pattern: Pattern) {
    let pattern = Pattern { fault: rejecting(), ..pattern };
    for seed in SEEDS {
        let windows = play(&pattern, seed);
        let (before, after) = (mean_worth(&windows, 6, 8), mean_worth(&windows, 19, 23));
        assert!(
            after >= RECOVERED_SHARE * before,
            "seed {seed}: worth {before:.2} before and {after:.2} after\n{}",
            describe(&windows)
        );
    }
}

/// The hosts took rejections that all instances gave alike for failures of single ones and scattered
/// the objects over all instances, so that most requests had to load their object. That kept the
/// overload going after its cause had ended.
#[test]
fn an_overload_ends_soon_after_its_cause() {
    assert_recovery(twelve_hosts());
}

/// Hosts that hear of an instance seldom believed in objects that others had displaced there since.
#[test]
fn an_overload_ends_soon_with_many_hosts_too() {
    assert_recovery(sixty_hosts());
}

/// Hosts of a large fleet took instances of which they had not heard for idle, and filled the slots
/// with requests that had to load their object, so that the fleet did not get over a cold start.
#[test]
fn many_hosts_get_over_a_cold_start() {
    for seed in SEEDS {
        let windows = play(&sixty_hosts(), seed);
        // All objects can be loaded within a second of the time of all slots.
        let worth = mean_worth(&windows, 5, 8);
        assert!(worth >= 0.6, "seed {seed}: worth {worth:.2}\n{}", describe(&windows));
    }
}

/// Callers whose request was rejected although there were free slots were told to return so late
/// that their answer missed its target.
#[test]
fn callers_rejected_with_free_slots_return_in_time() {
    let pattern = Pattern { fault: rejecting(), ..twelve_hosts() };
    for seed in SEEDS {
        let windows = play(&pattern, seed);
        // Two attempts of each caller leave 0.55 * 0.55 of the requests without an answer.
        let worth = mean_worth(&windows, 10, 16);
        assert!(worth >= 0.68, "seed {seed}: worth {worth:.2}\n{}", describe(&windows));
    }
}

/// More requests than the instances can run. The hosts learned of queues too late, admitted up to
/// the whole target in waits and then refused all at once, so that hardly any answer was in time.
#[test]
fn an_overload_is_refused_before_the_queues_fill() {
    // Cached work fits 88% and 87% of the requests into the slots.
    let overloads =
        [Pattern { rate: 600.0, ..twelve_hosts() }, Pattern { rate: 1400.0, ..sixty_hosts() }];
    for pattern in overloads {
        for seed in SEEDS {
            let windows = play(&pattern, seed);
            let worth = mean_worth(&windows, 14, 22);
            assert!(worth >= 0.44, "seed {seed}: worth {worth:.2}\n{}", describe(&windows));
        }
    }
}

/// A sixth of the instances behaves in another way from 8 s to 16 s.
fn sixth(rejected: f64, slowness: f64) -> Option<Fault> {
    let time = Duration::from_secs(8)..Duration::from_secs(16);
    Some(Fault { time, one_in: 6, rejected, slowness })
}

/// Instances that are slow while the others are not must be left, and get requests again afterwards.
#[test]
fn slow_instances_are_left_and_return() {
    for pattern in [twelve_hosts(), sixty_hosts()] {
        let windows = play(&Pattern { fault: sixth(0.0, 5.0), ..pattern }, 1);
        let (during, after) = (mean_worth(&windows, 11, 16), mean_worth(&windows, 19, 23));
        // Five sixths of the requests are not affected.
        assert!(during >= 0.8, "worth {during:.2}\n{}", describe(&windows));
        assert!(after >= RECOVERED_SHARE, "worth {after:.2}\n{}", describe(&windows));
    }
}

/// Instances that reject requests while the others do not must be left, and get requests again.
#[test]
fn rejecting_instances_are_left_and_return() {
    let windows = play(&Pattern { fault: sixth(0.5, 1.0), ..twelve_hosts() }, 1);
    for (from, to) in [(11, 16), (19, 23)] {
        let worth = mean_worth(&windows, from, to);
        assert!(worth >= RECOVERED_SHARE, "worth {worth:.2}\n{}", describe(&windows));
    }
}

/// Hosts that start anew know nothing of what the instances have cached, and must still find it.
#[test]
fn hosts_that_start_anew_find_cached_objects() {
    let restart = Pattern { hosts_restart_at: Some(Duration::from_secs(12)), ..twelve_hosts() };
    let windows = play(&restart, 1);
    let worth = mean_worth(&windows, 12, 16);
    assert!(worth >= RECOVERED_SHARE, "worth {worth:.2}\n{}", describe(&windows));
}

/// Without a tail and reported speeds, the remaining work of requests must change no choice. Displaced
/// objects and queues must not be taken for a tail.
#[test]
fn choices_are_the_same_without_a_tail() {
    let length = Duration::from_secs(20);
    let even = Pattern { noise: None, length, ..uneven_costs(8, 1.0, 0.0) };
    let tailed = Pattern { tail: Tail { share: 0.05, factor: 7.0 }, ..even.clone() };
    let play = |pattern, selection| summarize(pattern, selection, 1, Duration::ZERO);
    let both = |pattern| [Selection::Reported, Selection::Remaining].map(|s| play(pattern, s));
    let [without, with] = both(&even);
    assert_eq!(without, with);
    let [without, with] = both(&tailed);
    assert_ne!(without, with, "the tail is not noticed");
}
