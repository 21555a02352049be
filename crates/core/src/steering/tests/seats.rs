//! Tests of the hosts that share the budgets.

use super::{
    super::seats::{SEAT_RETENTION, Seats},
    support::{at, name},
};

/// Guards against reassigning the share of a host that is only cut off from the store.
#[test]
fn a_seat_outlasts_the_registration() {
    let mut seats = Seats::default();
    seats.add(at(0), &name("a"));
    seats.add(at(0), &name("b"));
    seats.mark_registered("a");
    seats.mark_registered("b");
    seats.mark_unregistered(at(1000), "b");
    assert_eq!(seats.count(), 2);
    assert!(seats.expired(at(2000)).is_empty());
    assert_eq!(seats.expired(at(1000) + SEAT_RETENTION), vec![name("b")]);
    seats.remove("b");
    assert_eq!(seats.count(), 1);
}

/// Guards against removing the seat of a host that has registered again.
#[test]
fn a_host_that_registers_again_keeps_its_seat() {
    let mut seats = Seats::default();
    seats.add(at(0), &name("a"));
    seats.mark_unregistered(at(0), "a");
    seats.mark_registered("a");
    assert!(seats.expired(at(0) + SEAT_RETENTION * 2).is_empty());
}
