//! Tests what a host learns about the work on each kind of request.

use std::sync::Arc;

use super::{
    super::{fleet::Criteria, work::Model},
    support::{answer_after, at, criteria, four_instances, name, send},
};

/// An instance that gets more of a kind of request with three times the work must not count as slow.
#[test]
fn an_instance_with_longer_requests_is_not_slow() {
    let mut fleet = four_instances();
    let (short, long) = (name("short"), name("long"));
    let not_n1 = [name("n1")];
    let not_n2 = [name("n2")];
    for step in 0..40 {
        let now = at(step * 50);
        let to_n1 = Criteria { route: &long, excluded: &not_n2, ..criteria() };
        let to_n2 = Criteria { route: &short, excluded: &not_n1, ..criteria() };
        let first = send(&mut fleet, now, &to_n1).unwrap();
        answer_after(&mut fleet, now, &first, 300);
        let second = send(&mut fleet, now, &to_n2).unwrap();
        answer_after(&mut fleet, now, &second, 100);
    }
    let only_n1 = Criteria { route: &short, excluded: &not_n2, ..criteria() };
    let choice = send(&mut fleet, at(3_000), &only_n1).unwrap();
    assert!(choice.cost_seconds < 0.15, "{} s are expected for work of 0.1 s", choice.cost_seconds);
}

/// The times must be learned also while most objects have to be loaded.
#[test]
fn times_are_learned_while_most_objects_are_loaded() {
    let mut model = Model::default();
    let route: Arc<str> = name("short");
    for step in 0..60 {
        model.record(&route, if step % 3 == 0 { 0.15 } else { 0.5 }, true);
    }
    let times = model.times(&route);
    assert!((0.14..0.16).contains(&times.cached), "{times:?}");
    assert!((0.45..0.55).contains(&times.uncached), "{times:?}");
}
