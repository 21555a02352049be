//! Tests the learned distributions of the cost of requests.

use std::time::Duration;

use super::{
    super::{
        cost::{Accuracy, Class, Distribution, Model, Prediction, Slots},
        fleet::{Criteria, Fleet},
        work::Times,
    },
    support::{
        SLOTS, answer, answer_after, at, criteria, endpoint, fleet, four_instances, name, send,
    },
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

/// The wait behind requests of which only the mean is known must stay the one that it was. A request
/// with long to go must count for hardly any end, and one with little to go for one.
#[test]
fn the_wait_follows_the_remaining_work_in_the_slots() {
    let wait = |left: &[f64], ends: f64| {
        let mut slots = Slots::new(4, 0.2);
        left.iter().for_each(|left| slots.add(*left));
        slots.wait_seconds(ends)
    };
    assert!((wait(&[], 3.0) - 3.0 * 0.2 / 4.0).abs() < 1e-9);
    assert!((wait(&[0.2; 4], 1.0) - 0.05).abs() < 1e-9);
    assert!((wait(&[10.0, 10.0], 1.0) - 0.098).abs() < 0.001, "{}", wait(&[10.0, 10.0], 1.0));
    assert!(wait(&[0.001], 1.0) <= 0.001);
    let three = wait(&[0.001], 3.0);
    assert!((0.08..0.15).contains(&three), "a request that ends soon counts once: {three}");
}

/// A fleet of two instances of one region with a learned tail. Returns it with the time. Both are
/// full, and one of them runs requests of this host that were sent `elapsed` ms before.
fn full_instances(uses_remaining_work: bool, elapsed: u64) -> (Fleet, u64) {
    let mut fleet = fleet();
    fleet.register(at(0), endpoint("n1", "north-a"));
    fleet.register(at(0), endpoint("n2", "north-a"));
    fleet.finish_initial_sync();
    fleet.set_uses_remaining_work(uses_remaining_work);
    let mut now = 0;
    for step in 0..400 {
        let choice = send(&mut fleet, at(now), &criteria()).unwrap();
        now += 100;
        answer_after(&mut fleet, at(now), &choice, if step % 30 == 0 { 700 } else { 100 });
    }
    let not_n2 = [name("n2")];
    for _ in 0..3 {
        send(&mut fleet, at(now), &Criteria { excluded: &not_n2, ..criteria() }).unwrap();
    }
    now += elapsed;
    for (id, running) in [("n1", SLOTS), ("n2", SLOTS)] {
        let excluded = if id == "n1" { [name("n2")] } else { [name("n1")] };
        let probe = send(&mut fleet, at(now), &Criteria { excluded: &excluded, ..criteria() });
        answer(&mut fleet, at(now), &probe.unwrap(), running, 0);
    }
    (fleet, now)
}

fn costs(fleet: &mut Fleet, now: u64) -> [f64; 2] {
    ["n2", "n1"].map(|other| {
        let excluded = [name(other)];
        fleet.choose(at(now), &Criteria { excluded: &excluded, ..criteria() }).unwrap().cost_seconds
    })
}

/// A request that has run for twice its usual time must not have others queued behind it.
#[test]
fn requests_are_not_sent_behind_long_ones() {
    let (mut fleet, now) = full_instances(true, 220);
    let [behind, elsewhere] = costs(&mut fleet, now);
    assert!(behind > elsewhere + 0.02, "{behind} s and {elsewhere} s");
    assert_eq!(&*fleet.choose(at(now), &criteria()).unwrap().id, "n2");
    let (mut without, now) = full_instances(false, 220);
    let [behind, elsewhere] = costs(&mut without, now);
    assert!((behind - elsewhere).abs() < 0.01, "{behind} s and {elsewhere} s");
}

/// The requests at an instance must be forgotten with its incarnation.
#[test]
fn a_restarted_instance_has_no_old_requests() {
    let (mut fleet, now) = full_instances(true, 220);
    let mut restarted = endpoint("n1", "north-a");
    restarted.incarnation = 2;
    fleet.register(at(now), restarted);
    let not_n2 = [name("n2")];
    let to_n1 = Criteria { excluded: &not_n2, ..criteria() };
    let choice = fleet.choose(at(now + 5_000), &to_n1).unwrap();
    assert_eq!(choice.prediction.by_remaining, choice.prediction.by_mean);
}

/// Without a tail and without reported speeds, choices must be those made without this part.
#[test]
fn choices_are_unchanged_without_a_tail() {
    let play = |uses_remaining_work| {
        let mut fleet = four_instances();
        fleet.set_uses_remaining_work(uses_remaining_work);
        let mut open = Vec::new();
        let mut choices = Vec::new();
        for step in 0..3000_u64 {
            let now = at(step * 10);
            let object = step * 7919 % 50;
            let read = Criteria {
                object_hash: Some(object),
                locality_draw: (step * 31 % 100) as f64 / 100.0,
                ..criteria()
            };
            if let Ok(choice) = send(&mut fleet, now, &read) {
                choices.push((choice.id.clone(), choice.cost_seconds.to_bits()));
                open.push((now, choice));
            }
            if open.len() > 12 {
                let (sent_at, choice) = open.remove((step * 13 % 12) as usize);
                let waiting = u32::from(step % 5 == 0);
                let time = (now - sent_at).as_millis() as u64;
                if waiting > 0 {
                    answer(&mut fleet, now, &choice, SLOTS, waiting);
                } else {
                    answer_after(&mut fleet, now, &choice, time.min(140));
                }
            }
        }
        choices
    };
    assert_eq!(play(false), play(true));
}

/// A prediction that is worse than the mean for long must be put out of use, and used again after.
#[test]
fn a_wrong_prediction_is_not_used() {
    let mut accuracy = Accuracy::default();
    let wrong = Prediction { by_remaining: 0.5, by_mean: 0.12, wait: 0.0 };
    let right = Prediction { by_remaining: 0.1, by_mean: 0.12, wait: 0.0 };
    let changes = |accuracy: &mut Accuracy, prediction| -> Vec<bool> {
        (0..2000).filter_map(|_| accuracy.record(prediction, 0.1)).collect()
    };
    assert_eq!(changes(&mut accuracy, right), []);
    assert_eq!(changes(&mut accuracy, wrong), [false]);
    assert!(accuracy.is_off());
    assert_eq!(changes(&mut accuracy, right), [true]);
}
