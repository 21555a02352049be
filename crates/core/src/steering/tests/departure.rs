//! Tests of announcements that instances leave, and replays of hosts that follow the store and tell each
//! other.

mod world;

use std::time::Duration;

use world::{BOUND, Fault, TICK, World};

use super::{
    super::{
        departure::{Departure, MAX_TIME, STANDING_TIME},
        fleet::{Choice, Criteria, Fleet},
        history::Era,
        instance::Endpoint,
    },
    support::{at, criteria, endpoint, four_instances, name},
};

/// Era of the store before any restore.
const ERA: Era = Era(1);

/// Time between two reads of the store, and more.
const SECOND: Duration = Duration::from_secs(1);

fn departure(incarnation: u64, revision: u64) -> Departure {
    Departure { id: name("n1"), incarnation, revision, era: ERA }
}

/// A host that the store refuses went on sending to an instance of whose leaving the others had heard.
#[test]
fn an_announced_departure_stops_requests_at_once() {
    let mut fleet = four_instances();
    fleet.reach_revision(ERA, 5);
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    let departure = Departure { id: choice.id.clone(), incarnation: 1, revision: 9, era: ERA };
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
    let departure = Departure { id: choice.id.clone(), incarnation: 1, revision: 9, era: ERA };
    fleet.reach_revision(ERA, 9);
    assert!(!fleet.record_departure(at(0), &departure), "this host has read further");
    let later = Departure { revision: 12, ..departure };
    assert!(fleet.record_departure(at(0), &later));
    fleet.reach_revision(ERA, 11);
    assert!(!fleet.may_send(at(1), &choice));
    fleet.reach_revision(ERA, 12);
    assert!(fleet.may_send(at(1), &choice));
    let wrong = Departure { revision: u64::MAX, ..later };
    assert!(fleet.record_departure(at(2), &wrong));
    assert!(!fleet.may_send(at(3), &choice));
    assert!(fleet.may_send(at(2) + MAX_TIME, &choice), "a wrong announcement never ends");
}

/// A restored store knows nothing of what it had accepted last, and counts its revisions anew: a departure
/// must neither be forgotten with the restore nor be held to be old news after it.
#[test]
fn a_departure_outlasts_a_restore_of_the_store() {
    let mut fleet = four_instances();
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    fleet.reach_revision(ERA, 300);
    let before = Departure { id: choice.id.clone(), incarnation: 1, revision: 308, era: ERA };
    assert!(fleet.record_departure(at(0), &before));
    fleet.reach_revision(Era(2), 310);
    assert!(!fleet.may_send(at(1), &choice), "forgotten with the restore");
    let mut other = four_instances();
    other.reach_revision(ERA, 308);
    let after = Departure { revision: 252, era: Era(2), ..before.clone() };
    assert!(other.record_departure(at(0), &after), "held to be old news");
    assert!(!other.may_send(at(1), &choice));
    let mut third = four_instances();
    third.reach_revision(Era(2), 400);
    assert!(third.record_departure(at(0), &before), "told late by a host that has not read anew");
    assert!(!third.may_send(at(1), &choice));
}

/// A later start under the same id is another instance.
#[test]
fn a_later_start_is_not_announced() {
    let mut fleet = four_instances();
    assert!(fleet.record_departure(at(0), &departure(1, 9)));
    fleet.register(at(0), Endpoint { incarnation: 2, ..endpoint("n1", "north-a") });
    let announced = fleet.unannounced_departure("n1", ERA, 10).unwrap();
    assert_eq!(announced, departure(2, 10));
    assert_eq!(fleet.unannounced_departure("n1", ERA, 9), None, "it was announced");
    assert_eq!(fleet.unannounced_departure("unknown", ERA, 10), None);
    // A start of which this host has not read yet.
    let others = [name("n2"), name("s1"), name("s2")];
    let criteria = Criteria { excluded: &others, ..criteria() };
    assert!(fleet.record_departure(at(0), &departure(3, 11)));
    fleet.register(at(0), Endpoint { incarnation: 3, ..endpoint("n1", "north-a") });
    fleet.reach_revision(ERA, 10);
    assert!(fleet.choose(at(10_000), &criteria).is_err(), "the announced start");
    fleet.register(at(0), Endpoint { incarnation: 4, ..endpoint("n1", "north-a") });
    assert!(fleet.choose(at(10_000), &criteria).is_ok(), "a later one");
}

/// A registration that a restore of the store or a late heartbeat had brought back counted at once (review/2).
/// It counts for a live instance that was cut off from the store, once it has stood without a gap.
#[test]
fn a_departed_instance_that_is_registered_again_must_stand_first() {
    let mut fleet = four_instances();
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    let registered = endpoint(&choice.id, "north-a");
    let learn_until = |fleet: &mut Fleet, from: u64, until: Duration| {
        let times = (1..).map(|second| at(from + second * 1_000));
        times.take_while(|now| *now <= until).for_each(|now| {
            fleet.register(now, registered.clone());
            fleet.learn_registrations(now, SECOND);
            assert!(!fleet.may_send(now, &choice), "at {now:?}");
        });
        fleet.learn_registrations(until, SECOND);
    };
    fleet.depart(at(0), &choice.id);
    fleet.remove_expired(at(2_000));
    fleet.register(at(2_700), registered.clone());
    learn_until(&mut fleet, 2_700, at(2_700) + STANDING_TIME - SECOND);
    // The instance, or the platform, has removed it again, also while entries may be missing by an outage.
    fleet.deregister(&choice.id, Some(at(10_000)));
    fleet.learn_registrations(at(9_700), SECOND);
    assert!(!fleet.may_send(at(9_700), &choice), "it is missing");
    fleet.register(at(9_800), registered.clone());
    learn_until(&mut fleet, 9_800, at(9_800) + STANDING_TIME - SECOND);
    fleet.depart(at(16_000), &choice.id);
    fleet.register(at(16_000), registered.clone());
    // The host does not hear whether it stands.
    fleet.learn_registrations(at(60_000), Duration::from_secs(44));
    assert!(!fleet.may_send(at(60_000), &choice), "after an outage");
    let counts_at = at(60_000) + STANDING_TIME;
    fleet.learn_registrations(counts_at - at(1), SECOND);
    assert!(!fleet.may_send(counts_at, &choice), "nothing was read");
    fleet.learn_registrations(counts_at, SECOND);
    assert!(fleet.may_send(counts_at, &choice), "a live instance");
}

/// Only the end of a registration while the store was there says that this start has left.
#[test]
fn an_instance_that_has_not_departed_counts_at_once() {
    let mut fleet = four_instances();
    let choice = fleet.choose(at(0), &criteria()).unwrap();
    for expires_at in [Some(at(2_300)), None] {
        fleet.deregister(&choice.id, expires_at);
        fleet.register(at(100), endpoint(&choice.id, "north-a"));
        assert!(fleet.may_send(at(100), &choice), "missing until {expires_at:?}");
    }
    fleet.depart(at(200), &choice.id);
    let later = Endpoint { incarnation: 2, ..endpoint(&choice.id, "north-a") };
    fleet.register(at(300), later);
    assert!(fleet.may_send(at(300), &Choice { incarnation: 2, ..choice.clone() }), "a later start");
    fleet.register(at(400), endpoint(&choice.id, "north-a"));
    assert!(!fleet.may_send(at(400), &choice), "an entry of the start that left");
}

/// What goes wrong in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// The store refuses a third of the hosts.
    Refused,
    /// The store does not answer a third of the hosts.
    Unanswered,
    /// The relay of a region is gone.
    RelayKilled,
    /// The relay of a region stands still.
    RelayFrozen,
    /// A third of all messages is lost.
    Lossy,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::Refused,
    Trouble::Unanswered,
    Trouble::RelayKilled,
    Trouble::RelayFrozen,
    Trouble::Lossy,
];

/// Times from the ack of a departure until no host sends any more, of departures while these troubles begin
/// and last, and the largest number of calls of the store and announcements.
fn replay(count: usize, troubles: &[Trouble], seed: u64) -> Vec<Duration> {
    const DEPARTURES: u32 = 12;
    let regions = if count < 8 { 1 } else { 3 };
    let mut random = seed;
    let mut draw = move || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random >> 33) as usize
    };
    let mut world = World::new(count, regions);
    let mut now = Duration::from_secs(100);
    let mut last = Vec::new();
    for step in 0..1_600_u32 {
        if step == 300 {
            start(&mut world, troubles);
        }
        if step >= 310 && step.is_multiple_of(100) && last.len() < DEPARTURES as usize {
            world.departures.push(now);
            last.push(now);
        }
        let is_lossy = troubles.contains(&Trouble::Lossy) && step >= 300;
        world.step(now, &mut || is_lossy && draw().is_multiple_of(3));
        for (departure, last) in last.iter_mut().enumerate() {
            if (0..count).any(|host| world.may_send(host, departure)) {
                *last = now;
            }
        }
        now += TICK + Duration::from_micros(draw() as u64 % 500);
    }
    last.iter().zip(&world.departures).map(|(last, acked)| *last - *acked).collect()
}

fn start(world: &mut World, troubles: &[Trouble]) {
    let relay = world.relay(0);
    let is_relay_gone = troubles.contains(&Trouble::RelayKilled);
    for trouble in troubles {
        let fault = match trouble {
            Trouble::Refused => Fault::Refused,
            Trouble::Unanswered => Fault::Unanswered,
            Trouble::RelayKilled => Fault::Killed,
            Trouble::RelayFrozen => Fault::Frozen,
            Trouble::Lossy => continue,
        };
        match trouble {
            Trouble::RelayKilled => world.set_fault(relay, fault),
            Trouble::RelayFrozen if !is_relay_gone => world.set_fault(relay, fault),
            Trouble::RelayFrozen => world.set_fault(world.relay(1), fault),
            // Two kinds of faults of hosts hit different ones.
            _ => (0..world.len())
                .skip(usize::from(fault == Fault::Unanswered))
                .step_by(3)
                .filter(|host| *host != relay || troubles.len() == 1)
                .for_each(|host| world.set_fault(host, fault)),
        }
    }
}

/// Prints the distribution, and returns the longest time.
fn longest(count: usize, troubles: &[Trouble]) -> Duration {
    let mut times: Vec<Duration> = (0..4).flat_map(|seed| replay(count, troubles, seed)).collect();
    times.sort();
    let median = times[times.len() / 2];
    let longest = *times.last().unwrap();
    println!("{count} hosts, {troubles:?}: median {median:?}, longest {longest:?}");
    longest
}

/// From the word of an instance to the last request: half of the bound without a fault and under each single
/// one. Before hosts told each other, it was 1.5 s without a fault, and without end for refused hosts.
#[test]
fn departures_are_known_within_half_of_the_bound_under_each_fault() {
    for count in [1, 2, 8, 60] {
        assert!(longest(count, &[]) <= BOUND / 2, "{count} hosts");
        for trouble in TROUBLES.into_iter().filter(|_| count > 2) {
            assert!(longest(count, &[trouble]) <= BOUND / 2, "{count} hosts, {trouble:?}");
        }
    }
}

/// The bound must hold under each pair of faults.
#[test]
fn departures_are_known_within_the_bound_under_each_pair_of_faults() {
    for count in [8, 60] {
        for (index, first) in TROUBLES.into_iter().enumerate() {
            for second in TROUBLES.into_iter().skip(index + 1) {
                let pair = [first, second];
                assert!(longest(count, &pair) <= BOUND, "{count} hosts, {pair:?}");
            }
        }
    }
}

/// The same at 195 and 300 hosts, which takes a minute.
#[test]
#[ignore = "takes a minute; run in release"]
fn departures_are_known_in_time_at_any_size() {
    for count in [195, 300] {
        assert!(longest(count, &[]) <= BOUND / 2, "{count} hosts");
        for (index, first) in TROUBLES.into_iter().enumerate() {
            assert!(longest(count, &[first]) <= BOUND / 2, "{count} hosts, {first:?}");
            for second in TROUBLES.into_iter().skip(index + 1) {
                assert!(
                    longest(count, &[first, second]) <= BOUND,
                    "{count} hosts, {first:?} {second:?}"
                );
            }
        }
    }
}
