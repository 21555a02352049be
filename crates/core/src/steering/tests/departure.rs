//! Tests of announcements that instances leave.

use super::{
    super::{
        departure::{Departure, MAX_TIME},
        instance::Endpoint,
    },
    support::{at, criteria, endpoint, four_instances, name},
};

fn departure(incarnation: u64, revision: u64) -> Departure {
    Departure { id: name("n1"), incarnation, revision }
}

/// A host that the store refuses went on sending to an instance of whose leaving the others had heard.
#[test]
fn an_announced_departure_stops_requests_at_once() {
    let mut fleet = four_instances();
    fleet.reach_revision(5);
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    let departure = Departure { id: choice.id.clone(), incarnation: 1, revision: 9 };
    assert!(fleet.record_departure(at(0), &departure));
    assert!(!fleet.record_departure(at(1), &departure), "told twice");
    assert!(!fleet.may_send(at(1), &choice), "a connection was being opened");
    assert_ne!(fleet.choose(at(1), &criteria()).unwrap().id, choice.id);
}

/// The store has the last word: what it says up to the announced revision counts, and a host that is
/// wrong or out of date must not keep an instance from its requests.
#[test]
fn an_announcement_counts_until_the_store_is_read() {
    let mut fleet = four_instances();
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    let departure = Departure { id: choice.id.clone(), incarnation: 1, revision: 9 };
    fleet.reach_revision(9);
    assert!(!fleet.record_departure(at(0), &departure), "this host has read further");
    let later = Departure { revision: 12, ..departure };
    assert!(fleet.record_departure(at(0), &later));
    fleet.reach_revision(11);
    assert!(!fleet.may_send(at(1), &choice));
    fleet.reach_revision(12);
    assert!(fleet.may_send(at(1), &choice));
    let wrong = Departure { revision: u64::MAX, ..later };
    assert!(fleet.record_departure(at(2), &wrong));
    assert!(!fleet.may_send(at(3), &choice));
    assert!(fleet.may_send(at(2) + MAX_TIME, &choice), "a wrong announcement never ends");
}

/// A later start under the same id is another instance.
#[test]
fn a_later_start_is_not_announced() {
    let mut fleet = four_instances();
    assert!(fleet.record_departure(at(0), &departure(1, 9)));
    fleet.register(at(0), Endpoint { incarnation: 2, ..endpoint("n1", "north-a") });
    let announced = fleet.unannounced_departure("n1", 10).unwrap();
    assert_eq!(announced, departure(2, 10));
    assert_eq!(fleet.unannounced_departure("n1", 9), None, "it was announced");
    assert_eq!(fleet.unannounced_departure("unknown", 10), None);
}
