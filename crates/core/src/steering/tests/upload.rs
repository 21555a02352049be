//! Tests the limit on the request bodies of one host at one instance.

use std::time::Duration;

use super::{
    super::{
        fleet::{Criteria, Fleet, Rejection},
        instance::Outcome,
        upload::MAX_INSTANCE_BYTES,
    },
    support::{at, criteria, endpoint, four_instances, name, send},
};

const MIB: u64 = 1024 * 1024;

/// Time that an answer takes.
const TIME: Duration = Duration::from_millis(10);

/// Criteria of a request with a body that may run at the instances n1 and n2 only.
fn with_body(bytes: u64) -> Criteria<'static> {
    static NORTH: std::sync::LazyLock<[std::sync::Arc<str>; 1]> =
        std::sync::LazyLock::new(|| [name("north")]);
    Criteria { body_bytes: bytes, route_regions: &*NORTH, ..criteria() }
}

/// Sends requests until one is refused. Returns the ids of their instances.
fn fill(fleet: &mut Fleet, bytes: u64) -> Vec<String> {
    let mut ids = Vec::new();
    loop {
        match send(fleet, at(100), &with_body(bytes)) {
            Ok(choice) => ids.push(choice.id.to_string()),
            Err(Rejection::NoCapacity { .. }) => return ids,
            Err(rejection) => panic!("{rejection:?}"),
        }
        assert!(ids.len() < 100, "bodies are not limited");
    }
}

/// Bodies of several requests at one instance exceeded its memory, and it crashed.
#[test]
fn bodies_go_to_other_instances_or_are_refused() {
    let mut fleet = four_instances();
    let first = send(&mut fleet, at(100), &with_body(5 * MIB)).unwrap();
    let second = send(&mut fleet, at(100), &with_body(4 * MIB)).unwrap();
    assert_ne!(first.id, second.id);
    let third = send(&mut fleet, at(100), &with_body(4 * MIB)).unwrap();
    assert_eq!(third.id, second.id, "there is no room at the first one");
    let refused = send(&mut fleet, at(100), &with_body(4 * MIB));
    assert!(matches!(refused, Err(Rejection::NoCapacity { .. })), "{refused:?}");
    let small = send(&mut fleet, at(100), &with_body(3 * MIB)).unwrap();
    assert_eq!(small.id, first.id);
    assert!(send(&mut fleet, at(100), &with_body(0)).is_ok(), "it has no body");
}

/// A request that is larger than the limit must not be refused for ever.
#[test]
fn the_first_body_may_have_any_size() {
    let mut fleet = four_instances();
    let mut ids = fill(&mut fleet, MAX_INSTANCE_BYTES * 2);
    ids.sort();
    assert_eq!(ids, ["n1", "n2"]);
}

/// The count must follow the requests: an end that is not counted, because the instance has gone or
/// started again, would keep requests from it, and one that counts for a later start would let too many
/// through.
#[test]
fn the_count_follows_ends_and_restarts() {
    let mut fleet = four_instances();
    for outcome in [Outcome::Cancelled, Outcome::Shed, Outcome::Answered(TIME)] {
        let choice = send(&mut fleet, at(100), &with_body(8 * MIB)).unwrap();
        fleet.end_request(at(110), &choice, outcome, None);
    }
    let old = send(&mut fleet, at(200), &with_body(8 * MIB)).unwrap();
    let other = if &*old.id == "n1" { "n2" } else { "n1" };
    fleet.deregister(&old.id, None);
    let mut restarted = endpoint(&old.id, "north-a");
    restarted.incarnation = 2;
    fleet.register(at(210), restarted);
    // The restarted instance is warm again after 3 s.
    let excluded = [name(other)];
    let only = Criteria { excluded: &excluded, ..with_body(8 * MIB) };
    let new = send(&mut fleet, at(5_220), &only).unwrap();
    assert_eq!((&new.id, new.incarnation), (&old.id, 2));
    fleet.end_request(at(5_230), &old, Outcome::TransportError, None);
    assert!(
        send(&mut fleet, at(5_240), &only).is_err(),
        "the earlier end counts for the later start"
    );
    fleet.end_request(at(5_250), &new, Outcome::Answered(TIME), None);
    let next = send(&mut fleet, at(5_260), &only);
    assert!(next.is_ok(), "{next:?}");
}
