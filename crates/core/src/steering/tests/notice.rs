//! Tests where instances leave or want a pause while requests go on.

use std::time::Duration;

use super::{
    super::{
        fleet::Rejection,
        instance::Endpoint,
        notice::{MAX_PAUSE, PRESUMED_TIME},
    },
    support::{at, criteria, endpoint, four_instances, name, send},
};
use crate::steering::fleet::{Choice, Criteria, Fleet};

/// When requests were sent, in Unix milliseconds, unless a test says otherwise: after the first start of the
/// instances, and before any later one.
const SENT_AT_MS: u64 = 1;

/// Later start of `n1`, which began at this Unix millisecond.
fn later_n1(born_ms: u64) -> Endpoint {
    Endpoint { incarnation: born_ms, ..endpoint("n1", "north-a") }
}

/// A request whose choice is the instance `n1` and that may run only in the region north.
fn choose_n1(fleet: &mut Fleet, now: Duration) -> Option<Choice> {
    let criteria =
        Criteria { excluded: &[name("n2")], route_regions: &[name("north")], ..criteria() };
    fleet.choose(now, &criteria).ok().filter(|choice| *choice.id == *"n1")
}

/// The registration of an instance that leaves says that it is ready, and may end and return in an
/// outage of the store. It must not get requests again by that.
#[test]
fn a_leaving_instance_stays_away_when_its_registration_returns() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    assert!(fleet.record_leaving(at(0), &choice, SENT_AT_MS));
    assert!(!fleet.record_leaving(at(1), &choice, SENT_AT_MS), "told twice");
    assert!(!fleet.may_send(at(1), &choice), "a connection was being opened");
    fleet.register(at(1), endpoint("n1", "north-a"));
    assert_eq!(choose_n1(&mut fleet, at(1)), None);
    fleet.deregister("n1", None);
    fleet.register(at(5_000), endpoint("n1", "north-a"));
    assert_eq!(choose_n1(&mut fleet, at(60_000)), None);
    let earlier = Endpoint { incarnation: 0, ..endpoint("n1", "north-a") };
    fleet.register(at(6_000), earlier);
    assert_eq!(choose_n1(&mut fleet, at(60_000)), None, "an entry of an earlier start");
}

/// A later start under the same id has asked for nothing.
#[test]
fn a_later_start_is_a_new_instance() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    fleet.record_leaving(at(0), &choice, SENT_AT_MS);
    fleet.record_pause(at(0), &choice, Duration::from_secs(60), SENT_AT_MS);
    let later = Endpoint { incarnation: 2, ..endpoint("n1", "north-a") };
    fleet.register(at(10), later);
    let again = choose_n1(&mut fleet, at(20_000)).unwrap();
    assert_eq!(again.incarnation, 2);
    // A late answer of the earlier start says nothing about the later one.
    fleet.record_leaving(at(20_000), &choice, SENT_AT_MS);
    assert!(choose_n1(&mut fleet, at(20_001)).is_some());
}

/// A pause ends, a shorter one doesn't end it sooner, and it outlasts a registration that returns.
#[test]
fn a_pause_lasts_as_long_as_it_was_asked_for() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    let long = Duration::from_secs(5);
    assert_eq!(fleet.record_pause(at(0), &choice, long, SENT_AT_MS), Some(long));
    assert_eq!(fleet.record_pause(at(10), &choice, Duration::from_secs(1), SENT_AT_MS), None);
    fleet.deregister("n1", None);
    fleet.register(at(500), endpoint("n1", "north-a"));
    assert_eq!(choose_n1(&mut fleet, at(4_999)), None);
    assert!(!fleet.may_send(at(4_999), &choice));
    assert!(choose_n1(&mut fleet, at(5_000)).is_some());
    let applied = fleet.record_pause(at(5_000), &choice, Duration::MAX, SENT_AT_MS);
    assert_eq!(applied, Some(MAX_PAUSE));
}

/// While the only instances pause, requests are refused with the time after which one takes them again;
/// the pause of one instance changes nothing for the others.
#[test]
fn a_pause_concerns_only_its_instance() {
    let mut fleet = four_instances();
    let north = [name("north")];
    let criteria = Criteria { route_regions: &north, ..criteria() };
    let first = send(&mut fleet, at(0), &criteria).unwrap();
    fleet.record_pause(at(0), &first, Duration::from_secs(9), SENT_AT_MS);
    let second = send(&mut fleet, at(1), &criteria).unwrap();
    assert_ne!(first.id, second.id);
    fleet.record_pause(at(1), &second, Duration::from_secs(7), SENT_AT_MS);
    let refused = fleet.choose(at(1_001), &criteria);
    let retry_after = Duration::from_secs(6);
    assert_eq!(refused, Err(Rejection::NoCapacity { retry_after }));
}

/// An entry of an earlier start, or one that another writer had spoiled meanwhile, brought a draining
/// instance back.
#[test]
fn an_instance_that_drains_stays_away_when_its_entry_is_replaced() {
    let draining = Endpoint { incarnation: 2, is_draining: true, ..endpoint("n1", "north-a") };
    let mut fleet = four_instances();
    fleet.register(at(0), draining.clone());
    fleet.register(at(1), endpoint("n1", "north-a"));
    assert_eq!(choose_n1(&mut fleet, at(2)), None, "an entry of an earlier start");
    fleet.register(at(3), draining.clone());
    fleet.deregister("n1", None);
    fleet.register(at(4), Endpoint { is_draining: false, ..draining.clone() });
    assert_eq!(
        choose_n1(&mut fleet, at(60_000)),
        None,
        "an entry that was spoiled and written again"
    );
    fleet.register(at(60_001), Endpoint { incarnation: 3, is_draining: false, ..draining });
    assert!(choose_n1(&mut fleet, at(120_000)).is_some(), "a later start");
}

/// A host without the store took the notice of a later start for that of the earlier one, the only one that it knew,
/// and sent requests again when it read of the later one. The latest request that got the notice counts.
#[test]
fn a_notice_outlasts_a_restart_that_was_not_seen() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    fleet.record_leaving(at(0), &choice, 400);
    fleet.record_leaving(at(10), &choice, 500);
    fleet.register(at(1_000), later_n1(500));
    assert_eq!(choose_n1(&mut fleet, at(1_000)), None);
    fleet.deregister("n1", None);
    fleet.register(at(2_000), later_n1(500));
    assert_eq!(choose_n1(&mut fleet, at(3_500)), None, "the registration returned");
    // The earlier start may go on answering at its own address.
    let address = "127.0.0.1:9001".parse().unwrap();
    for other in [later_n1(501), Endpoint { address, ..later_n1(500) }] {
        fleet.register(at(4_000), other);
        assert!(choose_n1(&mut fleet, at(60_000)).is_some(), "not the start that leaves");
    }
}

/// The answer to a request that was sent before the host read of the later start may arrive after that.
#[test]
fn a_late_notice_binds_the_start_that_was_running() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    fleet.register(at(10), later_n1(500));
    assert!(choose_n1(&mut fleet, at(10_000)).is_some());
    fleet.record_pause(at(10_000), &choice, Duration::from_secs(2), 500);
    assert_eq!(choose_n1(&mut fleet, at(11_999)), None);
    assert!(choose_n1(&mut fleet, at(12_000)).is_some());
    fleet.record_leaving(at(12_000), &choice, 500);
    assert_eq!(choose_n1(&mut fleet, at(12_001)), None);
}

/// With a clock that is behind, a later start seems older than the notice of the earlier one. That must not keep it
/// from its requests for the 10 minutes of a notice, also if many answers gave it.
#[test]
fn a_notice_that_is_wrongly_taken_for_that_of_a_later_start_ends_soon() {
    let mut fleet = four_instances();
    let choice = choose_n1(&mut fleet, at(0)).unwrap();
    fleet.record_pause(at(0), &choice, MAX_PAUSE, 10_000);
    fleet.record_leaving(at(100), &choice, 10_100);
    fleet.register(at(2_000), later_n1(9_000));
    assert_eq!(choose_n1(&mut fleet, at(3_000)), None);
    // What the later start says itself counts as usual.
    let again = choose_n1(&mut fleet, at(100) + PRESUMED_TIME).unwrap();
    fleet.record_leaving(at(70_000), &again, 70_000);
    assert_eq!(choose_n1(&mut fleet, at(500_000)), None);
}
