//! Tests what reported speeds do to the expected times and to what a host learns.

use std::{sync::Arc, time::Duration};

use super::{
    super::{
        fleet::{Choice, Criteria, Fleet},
        instance::Outcome,
        load::Report,
        speed::{Factor, Model, Reading},
    },
    support::{SLOTS, at, criteria, four_instances, name, send},
};

fn reading(milliseconds: u64, percent: f64) -> Reading {
    Reading { factor: Factor::from_percent(percent).unwrap(), at: at(milliseconds) }
}

fn answer(fleet: &mut Fleet, now: Duration, choice: &Choice, time: u64, percent: Option<f64>) {
    let factor = percent.and_then(Factor::from_percent);
    let report = Report { running: 0, waiting: 0, slots: SLOTS, factor };
    let outcome = Outcome::Answered(Duration::from_millis(time));
    fleet.end_request(now, choice, outcome, Some(report));
}

/// Every instance but the given one, so that a request can only go there.
fn all_but(id: &str) -> Vec<Arc<str>> {
    ["n1", "n2", "s1", "s2"].into_iter().filter(|other| *other != id).map(name).collect()
}

/// Cost of a request at the instance now.
fn cost(fleet: &mut Fleet, now: Duration, id: &str) -> f64 {
    let excluded = all_but(id);
    fleet.choose(now, &Criteria { excluded: &excluded, ..criteria() }).unwrap().cost_seconds
}

/// An old report must not keep requests away from an instance that has long been as fast as others.
#[test]
fn an_old_speed_says_nothing() {
    let mut fleet = four_instances();
    for step in 0..40 {
        let choice = send(&mut fleet, at(step * 100), &criteria()).unwrap();
        answer(&mut fleet, at(step * 100 + 50), &choice, 100, Some(100.0));
    }
    let excluded = all_but("n1");
    let to_n1 = Criteria { excluded: &excluded, ..criteria() };
    let choice = send(&mut fleet, at(4_000), &to_n1).unwrap();
    answer(&mut fleet, at(4_250), &choice, 250, Some(250.0));
    let fresh = cost(&mut fleet, at(4_260), "n1") / cost(&mut fleet, at(4_260), "n2");
    let old = cost(&mut fleet, at(9_000), "n1") / cost(&mut fleet, at(9_000), "n2");
    assert!(fresh > 1.8, "{fresh} times the cost of a request at the slow instance");
    assert!((0.9..1.1).contains(&old), "{old} times the cost 5 s later");
}

/// Answers of a slow machine taught that the work takes longer, that the instance had displaced the
/// object, and that the instance stays slow.
#[test]
fn a_slow_machine_teaches_nothing_about_the_work() {
    let mut fleet = four_instances();
    let read = Criteria { object_hash: Some(7), ..criteria() };
    for step in 0..60 {
        let now = at(step * 300);
        let choice = send(&mut fleet, now, &read).unwrap();
        let is_slow = step >= 30;
        let (time, percent) = if is_slow { (250, 250.0) } else { (100, 100.0) };
        answer(&mut fleet, now, &choice, time, Some(percent));
    }
    // The latest report is too old to say that the instance is slow.
    let choice = fleet.choose(at(25_000), &read).unwrap();
    assert!(choice.is_cached);
    let usual = 0.1 * 2.0;
    assert!(choice.cost_seconds < usual, "{} s for work of 0.1 s", choice.cost_seconds);
}

/// Factors that last must keep their weight for longer, and factors that change at once must lose it.
#[test]
fn the_weight_of_a_report_follows_how_fast_speeds_change() {
    let (mut lasting, mut changing) = (Model::default(), Model::default());
    for step in 0..200 {
        let percent = |is_slow| if is_slow { 250.0 } else { 100.0 };
        let now = step * 500;
        let is_slow = step % 20 < 10;
        let before = reading(now, percent(is_slow));
        lasting.record(Some(before), reading(now + 300, percent(is_slow)));
        changing.record(Some(before), reading(now + 300, percent(step % 2 == 0)));
    }
    let expected = |model: &Model| model.expected(at(300), Some(reading(0, 250.0)));
    let usual = lasting.expected(at(0), None);
    assert!(expected(&lasting) > 2.4, "{}", expected(&lasting));
    assert!(expected(&changing) < usual + 0.2, "{} of {usual}", expected(&changing));
}

/// A service that reports no speed must be served as before.
#[test]
fn without_reports_the_factor_is_one() {
    let mut model = Model::default();
    assert_eq!(model.expected(at(0), None), 1.0);
    model.record(None, reading(0, 200.0));
    assert_eq!(model.expected(at(0), None), 2.0);
}
