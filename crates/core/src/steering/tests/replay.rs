//! Replays of load patterns after which the hosts' decisions kept an overload going, or turned away
//! what could have been served.

mod world;

use world::{Condition, Kind, SOUND, Scenario, Window, mean_worth, play};

const SEEDS: std::ops::Range<u64> = 1..3;

/// Share of the worth before a fault that must be back soon after its end.
const RECOVERED_SHARE: f64 = 0.95;

/// Two kinds of request on one service, one of them with more work.
const KINDS: [Kind; 2] = [
    Kind {
        name: "short",
        work_ms: 480,
        target_ms: 400,
        deadline_ms: 1200,
        priority: 2,
        objects: 108,
        share: 0.7,
    },
    Kind {
        name: "long",
        work_ms: 640,
        target_ms: 400,
        deadline_ms: 1500,
        priority: 1,
        objects: 47,
        share: 0.3,
    },
];

/// 12 hosts and 28 instances, of which one region has only two. Cached work fills half of the slots.
fn twelve_hosts() -> Scenario {
    Scenario {
        kinds: KINDS.to_vec(),
        instances: [2, 12, 14],
        hosts_per_region: 4,
        slots: 9,
        cache_objects: 60,
        rate: 280.0,
        seconds: 24,
        condition: |_, _| SOUND,
        hosts_restart_at_ms: None,
    }
}

/// 60 hosts and 138 instances, so that a host hears of an instance seldom.
fn sixty_hosts() -> Scenario {
    let mut kinds = KINDS;
    for (kind, objects) in kinds.iter_mut().zip([241, 105]) {
        kind.work_ms = kind.work_ms * 13 / 6;
        kind.target_ms = 800;
        kind.deadline_ms = 2500;
        kind.objects = objects;
    }
    Scenario {
        kinds: kinds.to_vec(),
        instances: [14, 56, 68],
        hosts_per_region: 20,
        cache_objects: 31,
        rate: 600.0,
        ..twelve_hosts()
    }
}

fn describe(windows: &[Window]) -> String {
    let rows = windows.iter().enumerate().map(|(second, window)| {
        format!(
            "{second:3} s: worth {:.2}, {} asked, {} run, {} loaded",
            window.worth(),
            window.asked,
            window.run,
            window.loaded
        )
    });
    rows.collect::<Vec<_>>().join("\n")
}

/// All instances reject more than half of the requests from 8 s to 16 s.
fn rejecting(at_ms: u64, _: usize) -> Condition {
    Condition { rejected: if (8_000..16_000).contains(&at_ms) { 0.55 } else { 0.0 }, ..SOUND }
}

/// Asserts that the worth is back 3 s after the instances stop rejecting requests.
fn assert_recovery(scenario: &Scenario) {
    let scenario = Scenario { condition: rejecting, ..scenario.clone() };
    for seed in SEEDS {
        let windows = play(&scenario, seed);
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
    assert_recovery(&twelve_hosts());
}

/// Hosts that hear of an instance seldom believed in objects that others had displaced there since.
#[test]
fn an_overload_ends_soon_with_many_hosts_too() {
    assert_recovery(&sixty_hosts());
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
    let scenario = Scenario { condition: rejecting, ..twelve_hosts() };
    for seed in SEEDS {
        let windows = play(&scenario, seed);
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
        [Scenario { rate: 600.0, ..twelve_hosts() }, Scenario { rate: 1400.0, ..sixty_hosts() }];
    for scenario in overloads {
        for seed in SEEDS {
            let windows = play(&scenario, seed);
            let worth = mean_worth(&windows, 14, 22);
            assert!(worth >= 0.44, "seed {seed}: worth {worth:.2}\n{}", describe(&windows));
        }
    }
}

/// A sixth of the instances.
fn is_affected(at_ms: u64, index: usize) -> bool {
    (8_000..16_000).contains(&at_ms) && index % 6 == 3
}

/// Instances that are slow while the others are not must be left, and get requests again afterwards.
#[test]
fn slow_instances_are_left_and_return() {
    let slow = |at_ms, index| {
        let slowness = if is_affected(at_ms, index) { 5.0 } else { 1.0 };
        Condition { slowness, ..SOUND }
    };
    for scenario in [twelve_hosts(), sixty_hosts()] {
        let scenario = Scenario { condition: slow, ..scenario };
        let windows = play(&scenario, 1);
        let (during, after) = (mean_worth(&windows, 11, 16), mean_worth(&windows, 19, 23));
        // Five sixths of the requests are not affected.
        assert!(during >= 0.8, "worth {during:.2}\n{}", describe(&windows));
        assert!(after >= RECOVERED_SHARE, "worth {after:.2}\n{}", describe(&windows));
    }
}

/// Instances that reject requests while the others do not must be left, and get requests again.
#[test]
fn rejecting_instances_are_left_and_return() {
    let rejects = |at_ms, index| {
        let rejected = if is_affected(at_ms, index) { 0.5 } else { 0.0 };
        Condition { rejected, ..SOUND }
    };
    let scenario = Scenario { condition: rejects, ..twelve_hosts() };
    let windows = play(&scenario, 1);
    for (from, to) in [(11, 16), (19, 23)] {
        let worth = mean_worth(&windows, from, to);
        assert!(worth >= RECOVERED_SHARE, "worth {worth:.2}\n{}", describe(&windows));
    }
}

/// Hosts that start anew know nothing of what the instances have cached, and must still find it.
#[test]
fn hosts_that_start_anew_find_cached_objects() {
    let restart = Scenario { hosts_restart_at_ms: Some(12_000), ..twelve_hosts() };
    let windows = play(&restart, 1);
    let worth = mean_worth(&windows, 12, 16);
    assert!(worth >= RECOVERED_SHARE, "worth {worth:.2}\n{}", describe(&windows));
}
