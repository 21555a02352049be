//! Guards the number of hosts that share the budgets.

use super::{
    super::seats::{SEAT_TIME, Seats},
    support::{at, name},
};

/// Guards against giving away the part of a host that is only cut off from the store.
#[test]
fn a_seat_outlasts_the_registration() {
    let mut seats = Seats::default();
    seats.hold(at(0), &name("a"));
    seats.hold(at(0), &name("b"));
    seats.registered("a");
    seats.registered("b");
    seats.ended(at(1000), "b");
    assert_eq!(seats.count(), 2);
    assert!(seats.due(at(2000)).is_empty());
    assert_eq!(seats.due(at(1000) + SEAT_TIME), vec![name("b")]);
    seats.release("b");
    assert_eq!(seats.count(), 1);
}

/// Guards against taking the seat of a host that has come back.
#[test]
fn a_returning_host_keeps_its_seat() {
    let mut seats = Seats::default();
    seats.hold(at(0), &name("a"));
    seats.ended(at(0), "a");
    seats.registered("a");
    assert!(seats.due(at(0) + SEAT_TIME * 2).is_empty());
}
