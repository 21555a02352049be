//! Replays of classes of different priority that share one service. See docs/steering-study.md.

use marjorampick_scenario::steering::{
    competition::{Class, Outcomes, urgent_beside_background},
    play_classes,
};

const URGENT: usize = 0;
const BACKGROUND: usize = 1;

/// Seconds in which the caches are filled.
const WARM: std::ops::Range<usize> = 6..18;

/// Largest amount by which the urgent class may be served less often than the background class.
const MAX_SERVED_DEFICIT: f64 = 0.05;

/// Smallest share of its worth that the urgent class may earn, relative to the background class.
const MIN_WORTH_RATIO: f64 = 0.85;

fn describe(class: &Class) -> String {
    let Class { asked, on_time, late, refused } = class;
    let (served, worth) = (class.served(), class.worth());
    format!("{asked:6} {on_time:6} {late:5} {refused:6}  {served:.2} {worth:.2}")
}

/// Plays the load and asserts that the urgent class is not served worse.
fn assert_order(hosts_per_region: u32, multiple: f64) -> Outcomes {
    let outcomes = play_classes(&urgent_beside_background(hosts_per_region, multiple), 1);
    let [urgent, background] = [URGENT, BACKGROUND].map(|kind| outcomes.sum(kind, WARM));
    let place = format!(
        "{hosts_per_region} hosts a region, {multiple} times the rate\n  urgent     {}\n  background {}",
        describe(&urgent),
        describe(&background)
    );
    assert!(urgent.served() >= background.served() - MAX_SERVED_DEFICIT, "{place}");
    assert!(urgent.worth() >= MIN_WORTH_RATIO * background.worth(), "{place}");
    outcomes
}

/// A background class with much work and a long target took the slots of an urgent class with a short
/// one, which was refused as it was always expected to be late.
#[test]
fn the_urgent_class_is_not_served_worse() {
    for hosts_per_region in [3, 25] {
        for multiple in [0.8, 1.0, 1.5, 2.0, 3.0] {
            assert_order(hosts_per_region, multiple);
        }
    }
}

/// With many hosts, each of them sees little of the demand and hears of an instance seldom.
#[test]
fn many_hosts_agree_on_the_urgent_class() {
    for (hosts_per_region, multiple) in [(38, 2.0), (100, 1.5)] {
        assert_order(hosts_per_region, multiple);
    }
}

/// Classes must not yield to each other while the slots suffice for both.
#[test]
fn both_classes_are_served_while_the_slots_suffice() {
    for hosts_per_region in [3, 25] {
        let outcomes = assert_order(hosts_per_region, 0.8);
        for kind in [URGENT, BACKGROUND] {
            let class = outcomes.sum(kind, WARM);
            assert!(class.served() >= 0.99, "class {kind}: {}", describe(&class));
        }
    }
}

/// Prints the table of docs/steering-study.md.
#[test]
#[ignore = "prints figures and asserts nothing"]
fn table() {
    println!("hosts multiple | class: asked, in target, late, refused, served, worth | busy");
    for hosts in [25, 3, 38, 100] {
        for multiple in [0.8, 1.0, 1.5, 2.0, 3.0] {
            let pattern = urgent_beside_background(hosts, multiple);
            let slots = f64::from(pattern.instances.iter().sum::<u32>() * pattern.slots);
            let outcomes = play_classes(&pattern, 1);
            for seconds in [0..3, WARM] {
                let [urgent, background] =
                    [URGENT, BACKGROUND].map(|kind| describe(&outcomes.sum(kind, seconds.clone())));
                let busy = outcomes.busy_slots(seconds) / slots;
                println!("{:3} {multiple} | {urgent} | {background} | {busy:.2}", 3 * hosts);
            }
        }
    }
}
