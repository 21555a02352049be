//! Guards what a host makes of an instance's failures.

use std::time::Duration;

use super::{
    super::instance::{Instance, Outcome},
    support::{at, endpoint, name},
};

fn instance() -> Instance {
    Instance::new(at(0), endpoint("n1", "north-a"), Some(name("north")))
}

fn fail(instance: &mut Instance, now: Duration, outcome: Outcome) {
    instance.start_request(now, None, 1.0);
    instance.end_request(now, outcome, None, 1.0);
}

/// Guards against traffic to a dead instance, and against leaving one out for good.
#[test]
fn two_lost_requests_in_a_row_leave_only_trials() {
    let mut instance = instance();
    fail(&mut instance, at(0), Outcome::TransportError);
    assert!(instance.is_trusted(at(0)));
    fail(&mut instance, at(10), Outcome::TransportError);
    assert!(!instance.is_trusted(at(20)));
    assert!(instance.is_trusted(at(2_000)));
    instance.start_request(at(2_000), None, 1.0);
    assert!(!instance.is_trusted(at(2_001)), "a second trial at the same time");
    instance.end_request(at(2_100), Outcome::Answered(Duration::from_millis(100)), None, 1.0);
    assert!(instance.is_trusted(at(2_100)));
}

/// Guards against an instance that has gone silent and is never noticed.
#[test]
fn late_answers_count_when_nothing_else_came() {
    let mut instance = instance();
    for step in 0..2 {
        fail(&mut instance, at(step * 3_000), Outcome::TimedOut);
    }
    assert!(!instance.is_trusted(at(3_010)));
}

/// Guards against trust in an instance that refuses requests although it has free slots.
#[test]
fn refusals_count_as_failures_only_with_free_slots() {
    let mut idle = instance();
    fail(&mut idle, at(0), Outcome::Shed);
    assert!(idle.failure_part() > 0.0);
    let mut full = instance();
    for _ in 0..10 {
        full.start_request(at(0), None, 1.0);
    }
    full.end_request(at(0), Outcome::Shed, None, 1.0);
    assert!(full.failure_part() <= 0.0);
}

/// Guards against a memory that grows with the number of objects.
#[test]
fn the_oldest_objects_are_forgotten() {
    let mut instance = instance();
    for object in 0..500 {
        instance.start_request(at(object), Some(object), 1.0);
    }
    assert!(!instance.knows(at(500), 0));
    assert!(instance.knows(at(500), 499));
    assert!(!instance.knows(at(100_000), 499));
}
