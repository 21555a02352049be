//! What a host believes of an instance's load between answers.

use std::time::Duration;

use super::{
    super::load::{Load, Report},
    support::at,
};

const SLOTS: u32 = 4;
const QUEUE: u32 = 20;

/// Work on one request of the queue.
const WORK: Duration = Duration::from_millis(300);

/// Load pattern: a burst fills an instance's queue, and then all hosts keep away from it. Found with the
/// logs of Lothian, deploy/days/store-refuses-some.toml with seed 723261085233: the hosts refused for two
/// seconds what the instances could have taken.
#[test]
fn a_queue_that_has_been_worked_off_is_forgotten() {
    let mut load = Load::default();
    load.report(at(0), Report { running: SLOTS, waiting: QUEUE, slots: SLOTS });
    assert_eq!(load.total(at(0)), f64::from(SLOTS + QUEUE));
    let turns = QUEUE.div_ceil(SLOTS) + 1;
    let empty = at(0) + WORK * turns;
    assert!(load.total(empty) + 1.0 <= f64::from(SLOTS), "{}", load.total(empty));
}

/// Guards against forgetting the requests that the other hosts keep at work.
#[test]
fn running_requests_of_others_are_remembered() {
    let mut load = Load::default();
    load.report(at(0), Report { running: SLOTS, waiting: 0, slots: SLOTS });
    assert!(load.total(at(600)) >= f64::from(SLOTS) * 0.75, "{}", load.total(at(600)));
}
