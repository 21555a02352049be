//! Tests the learned distributions of the cost of requests.

use std::time::Duration;

use super::{
    super::{
        cost::{Class, Distribution, Model},
        work::Times,
    },
    support::name,
};

const TIMES: Times = Times { cached: 0.1, uncached: 0.33 };

fn class(route: &str, is_cached: bool) -> Class<'_> {
    Class { route, is_cached, times: TIMES }
}

/// A model of one route, in which one of `period` requests takes 7 times the work.
fn model(period: usize) -> Model {
    let mut model = Model::default();
    for step in 0..1000 {
        let spread = 0.9 + 0.2 * (step % 10) as f64 / 10.0;
        let seconds = 0.1 * spread * if step % period == 0 { 7.0 } else { 1.0 };
        model.record(&name("read"), class("read", true), seconds);
    }
    model
}

/// A request that has run for twice its usual time must not count like a new one.
#[test]
fn a_request_that_has_run_long_has_long_to_go() {
    let model = model(33);
    let left =
        |elapsed| model.remaining_seconds(class("read", true), Duration::from_millis(elapsed));
    assert!((0.10..0.14).contains(&left(0)), "{}", left(0));
    assert!(left(80) < 0.06, "{}", left(80));
    assert!((0.4..0.6).contains(&left(200)), "{}", left(200));
}

/// A class of which nothing is known takes what is known of its route, then of the service.
#[test]
fn an_unknown_class_uses_the_next_more_general_level() {
    let model = model(33);
    let after = Duration::from_millis(660);
    for unknown in [class("read", false), class("other", false)] {
        let left = model.remaining_seconds(unknown, after);
        assert!((1.2..1.8).contains(&left), "{left} s left of 7 times 0.33 s");
    }
    let left = Model::default().remaining_seconds(class("read", true), after);
    assert!((left - 0.66).abs() < 1e-9, "{left}");
}

/// Only requests that take several times the work are a tail. Displaced objects, which take the time
/// of a load, are none, and a tail that has ended is forgotten.
#[test]
fn a_tail_is_told_from_displaced_objects() {
    assert!(model(33).has_tail());
    assert!(!model(2000).has_tail());
    let mut displaced = Model::default();
    for step in 0..1000 {
        let seconds = if step % 10 == 0 { 0.36 } else { 0.1 };
        displaced.record(&name("read"), class("read", true), seconds);
    }
    assert!(!displaced.has_tail());
    let mut ended = model(33);
    (0..4000).for_each(|_| ended.record(&name("read"), class("read", true), 0.1));
    assert!(!ended.has_tail());
}

/// The state must not grow with the objects, and only up to a bound with the routes: at 10,000 objects
/// it is 4 distributions of 384 bytes for the route and one for the service.
#[test]
fn the_state_is_bounded() {
    assert_eq!(size_of::<Distribution>(), 384);
    let mut model = Model::default();
    for object in 0..10_000 {
        let seconds = 0.1 + 0.000_01 * f64::from(object);
        model.record(&name("read"), class("read", object % 2 == 0), seconds);
    }
    assert_eq!(model.bytes(), 5 * 384 + 8 + 16);
    for route in 0..1000 {
        let route = name(&format!("route-{route}"));
        model.record(&route, class(&route, true), 0.1);
    }
    assert!(model.bytes() < 256 * 1024, "{} bytes", model.bytes());
}
