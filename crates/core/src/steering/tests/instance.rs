//! Tests how a host reacts to an instance's failures.

use std::time::Duration;

use super::{
    super::instance::{Instance, Outcome},
    support::{at, endpoint, name},
};

fn instance() -> Instance {
    Instance::new(at(0), endpoint("n1", "north-a"), Some(name("north")))
}

fn fail(instance: &mut Instance, now: Duration, outcome: Outcome) {
    instance.start_request(now, 1.0);
    instance.end_request(now, outcome, None, 1.0);
}

/// A failed instance must get no traffic but probe requests, and must be able to return.
#[test]
fn two_consecutive_failures_leave_only_probes() {
    let mut instance = instance();
    fail(&mut instance, at(0), Outcome::TransportError);
    assert!(instance.is_available(at(0)));
    fail(&mut instance, at(10), Outcome::TransportError);
    assert!(!instance.is_available(at(20)));
    assert!(instance.is_available(at(2_000)));
    instance.start_request(at(2_000), 1.0);
    assert!(!instance.is_available(at(2_001)), "a second probe at the same time");
    instance.end_request(at(2_100), Outcome::Answered(Duration::from_millis(100)), None, 1.0);
    assert!(instance.is_available(at(2_100)));
}

/// Timeouts must eject an instance that has stopped answering.
#[test]
fn timeouts_count_without_a_recent_answer() {
    let mut instance = instance();
    for step in 0..2 {
        fail(&mut instance, at(step * 3_000), Outcome::TimedOut);
    }
    assert!(!instance.is_available(at(3_010)));
}

/// An instance that refuses requests although it has free slots must count as failing.
#[test]
fn refusals_count_as_failures_only_with_free_slots() {
    let mut idle = instance();
    fail(&mut idle, at(0), Outcome::Shed);
    assert!(idle.failure_rate() > 0.0);
    let mut full = instance();
    for _ in 0..10 {
        full.start_request(at(0), 1.0);
    }
    full.end_request(at(0), Outcome::Shed, None, 1.0);
    assert!(full.failure_rate() <= 0.0);
}
