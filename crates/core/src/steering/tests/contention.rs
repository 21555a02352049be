//! Tests of which priority level gets the slots of a service when there are fewer than are asked for.

use std::time::Duration;

use super::{
    super::fleet::{Criteria, Fleet},
    support::{SLOTS, answer, at, criteria, endpoint, fleet, name, send},
};

/// One instance, and an average demand of the urgent class for some of its slots.
fn fleet_with_urgent_demand() -> Fleet {
    let mut fleet = fleet();
    fleet.set_class_competition(true);
    fleet.register(at(0), endpoint("n1", "north-a"));
    fleet.finish_initial_sync();
    for step in 0..60 {
        let choice = send(&mut fleet, at(100 * step), &urgent()).unwrap();
        answer(&mut fleet, at(100 * step + 90), &choice, 0, 0);
    }
    fleet
}

fn urgent() -> Criteria<'static> {
    Criteria {
        priority: 0,
        route_priority: 0,
        target_latency: Some(Duration::from_millis(80)),
        ..criteria()
    }
}

fn background() -> Criteria<'static> {
    Criteria {
        priority: 2,
        route_priority: 2,
        target_latency: Some(Duration::from_secs(2)),
        ..criteria()
    }
}

fn admitted(fleet: &mut Fleet, now: Duration, criteria: &Criteria<'_>) -> usize {
    (0..50).take_while(|_| send(fleet, now, criteria).is_ok()).count()
}

/// A background class with a long target filled the slots and the queue, so that each request of the
/// urgent class was expected to be late and refused.
#[test]
fn a_less_urgent_class_leaves_slots_to_a_more_urgent_one() {
    let mut fleet = fleet_with_urgent_demand();
    let admitted = admitted(&mut fleet, at(6_000), &background());
    assert!((1..SLOTS as usize).contains(&admitted), "{admitted} background requests admitted");
    assert!(send(&mut fleet, at(6_000), &urgent()).is_ok());
}

/// Without more urgent requests, all slots and the queue are open to any class.
#[test]
fn a_class_alone_uses_all_slots() {
    let mut fleet = fleet_with_urgent_demand();
    let later = at(6_000) + Duration::from_secs(60);
    let admitted = admitted(&mut fleet, later, &background());
    assert!(admitted > SLOTS as usize, "{admitted} background requests admitted");
}

/// Requests of the urgent class that are late by their own work were shut out of a busy service, but
/// they must not build a queue either.
#[test]
fn an_urgent_class_that_is_late_by_its_own_work_gets_a_slot() {
    let mut fleet = fleet_with_urgent_demand();
    while send(&mut fleet, at(6_000), &background()).is_ok() {}
    let admitted = admitted(&mut fleet, at(6_000), &urgent());
    assert!((1..=SLOTS as usize).contains(&admitted), "{admitted} urgent requests admitted");
}

/// Instances of another service must not lose slots to this one's urgent class.
#[test]
fn services_do_not_compete() {
    let mut fleet = fleet_with_urgent_demand();
    let other =
        super::super::instance::Endpoint { service: name("other"), ..endpoint("o1", "north-a") };
    fleet.register(at(0), other);
    let background = Criteria { service: "other", ..background() };
    assert!(admitted(&mut fleet, at(6_000), &background) >= SLOTS as usize);
}

/// Deployments whose settings do not ask for it are served as before: a class may fill the slots whatever a more
/// urgent one needs.
#[test]
fn without_the_setting_classes_do_not_compete() {
    let mut fleet = fleet_with_urgent_demand();
    fleet.set_class_competition(false);
    assert!(admitted(&mut fleet, at(6_000), &background()) >= SLOTS as usize);
}
