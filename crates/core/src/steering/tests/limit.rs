//! Tests that the limit of an instance holds over all hosts together.

mod world;

use std::time::Duration;

use world::{Event, World};

use super::{
    super::{
        fleet::{Fleet, Locality},
        instance::Endpoint,
        limit::{Group, Member, Statement},
        seats::{LIMIT_RETENTION, Seats},
    },
    support::{answer_after, at, criteria, endpoint, fleet, locality, name, send},
};

/// Hosts of a small, a larger and a large deployment.
const HOST_COUNTS: [usize; 3] = [8, 60, 300];

/// The parts of all hosts must not add up to more than the limit, with room for one request of each
/// that is not aligned with the window, and also if all hosts that share it are cut off from the store
/// and go on beside their successors.
#[test]
fn the_parts_of_all_hosts_stay_within_the_limit() {
    const WINDOW_SECONDS: f64 = 4.0;
    for count in [1, 2, 3, 8, 60, 300] {
        let members: Vec<Member> =
            (0..count).map(|index| member(&format!("host-{index}"), "north")).collect();
        for limit in [0.0, 0.1, 0.5, 0.83, 0.9, 1.0, 1.9, 2.5, 3.8, 5.9, 10.0, 200.0] {
            let in_window = |is_cut_off| {
                let rates = members.iter().map(|member| {
                    let host = member.host.clone();
                    let group = Group { host, members: members.clone(), is_cut_off };
                    group.host_rate(limit, "i-1", None)
                });
                let senders: Vec<f64> = rates.filter(|rate| *rate > 0.0).collect();
                assert!(limit == 0.0 || senders.iter().sum::<f64>() >= limit * 0.39);
                senders.iter().map(|rate| (rate * WINDOW_SECONDS).floor() + 1.0).sum::<f64>()
            };
            let requests = in_window(false) + in_window(true);
            let allowed = 1.5 * limit * WINDOW_SECONDS + 5.0;
            assert!(requests <= allowed, "{count} hosts, {limit}/s: {requests} of {allowed}");
        }
    }
}

/// Hosts of other regions share a limit only where the region of the instance has no host.
#[test]
fn the_hosts_of_the_region_share_a_limit() {
    let members = vec![member("n1", "north"), member("s1", "south"), member("s2", "south")];
    let rate = |host: &str, region: &str| {
        let group = Group { host: name(host), members: members.clone(), is_cut_off: false };
        group.host_rate(2.0, "i-1", Some(&name(region)))
    };
    assert!(rate("n1", "north") > 0.0);
    assert!(rate("s1", "north") == 0.0 && rate("s2", "north") == 0.0);
    assert!(rate("n1", "west") > 0.0 && rate("s1", "west") > 0.0);
}

/// A host that is cut off from the store for a moment must not be replaced while it still sends, and
/// one that is gone must not hold a part for good.
#[test]
fn a_host_shares_limits_until_some_time_after_its_registration() {
    let mut seats = Seats::default();
    for host in ["a", "b"] {
        seats.add(at(0), &name(host));
        seats.mark_registered(host);
    }
    seats.mark_unregistered(at(0), "b");
    let count = |now| seats.limit_members(now).len();
    assert_eq!(count(at(0) + LIMIT_RETENTION - Duration::from_millis(1)), 2);
    assert_eq!(count(at(0) + LIMIT_RETENTION), 1);
}

/// A request that no instance can take within its limit is refused at once, and the first request
/// after the limit was learned waits for its turn as well.
#[test]
fn requests_beyond_the_limit_are_refused() {
    let mut fleet = fleet_with(vec![member("host-1", "north")]);
    hear(&mut fleet, at(100), Statement::Limited(1.25));
    // 80% of the limit are one request in a second.
    let sent = (1..=60).filter(|step| {
        let now = at(100 + step * 50);
        let choice = send(&mut fleet, now, &criteria());
        if let Ok(choice) = &choice {
            answer_after(&mut fleet, now + Duration::from_millis(10), choice, 10);
        }
        choice.is_ok()
    });
    assert_eq!(sent.count(), 3);
}

/// An answer that was under way when the instance stated its limit must not end the limit; a later
/// one without a limit does.
#[test]
fn only_a_later_answer_ends_a_limit() {
    let mut fleet = fleet();
    fleet.register(at(0), endpoint("n1", "north-a"));
    let choice = send(&mut fleet, at(0), &criteria()).unwrap();
    let limited = Statement::Limited(2.0);
    assert_eq!(fleet.record_limit(at(100), &choice, at(0), limited).unwrap().statement, limited);
    assert!(fleet.record_limit(at(110), &choice, at(50), Statement::Unlimited).is_none());
    let ended = fleet.record_limit(at(900), &choice, at(500), Statement::Unlimited).unwrap();
    assert_eq!(ended.statement, Statement::Unlimited);
}

/// A message of another host lowers the limit for a while: a late one must not keep an instance limited
/// for good, and none may end a limit or overrule a later answer.
#[test]
fn a_message_about_a_limit_counts_for_a_while() {
    let id = name("n1");
    let mut fleet = fleet_with(vec![member("host-1", "north")]);
    let low = Statement::Limited(1.0);
    let change = fleet.record_limit_message(at(0), &id, 1, low).unwrap();
    assert_eq!(change.statement, low);
    assert!(fleet.record_limit_message(at(100), &id, 1, Statement::Unlimited).is_none());
    assert!(fleet.update_limits(at(3900)).is_empty());
    assert_eq!(fleet.update_limits(at(4000))[0].statement, Statement::Unlimited);
    assert!(fleet.limit_publications(at(10_000)).is_empty(), "written without an answer");
    fleet.record_limit_message(at(20_000), &id, 1, low);
    let choice = send(&mut fleet, at(22_000), &criteria()).unwrap();
    let answered = fleet.record_limit(at(22_100), &choice, at(22_000), Statement::Unlimited);
    assert_eq!(answered.unwrap().statement, Statement::Unlimited);
}

/// The first hosts to hear of a limit announce it, once: at 300 hosts an announcement for each answer
/// would be thousands of messages a second.
#[test]
fn a_limit_is_announced_once() {
    let mut fleet = fleet_with(vec![member("host-1", "north")]);
    hear(&mut fleet, at(0), Statement::Limited(2.0));
    assert_eq!(fleet.take_limit_announcement(at(0), "n1"), Some(2.0));
    let mut hear_and_announce = |milliseconds, statement| {
        let now = at(milliseconds);
        let choice = send(&mut fleet, now, &criteria()).unwrap();
        answer_after(&mut fleet, now, &choice, 1);
        fleet.record_limit(now, &choice, now, statement);
        fleet.take_limit_announcement(now, "n1")
    };
    assert_eq!(hear_and_announce(5000, Statement::Limited(2.0)), None);
    assert_eq!(hear_and_announce(10_000, Statement::Limited(4.0)), None);
    assert_eq!(hear_and_announce(15_000, Statement::Limited(1.0)), Some(1.0));
    assert_eq!(hear_and_announce(20_000, Statement::Unlimited), None);
    assert_eq!(hear_and_announce(25_000, Statement::Limited(1.0)), Some(1.0));
}

/// A host that lost an instance's registration for a moment, or that has just started, must know the
/// limit when the instance is back; a new incarnation has none.
#[test]
fn a_limit_outlasts_the_registration_but_not_the_incarnation() {
    let mut fleet = fleet();
    let id = name("n1");
    fleet.apply_limit_record(at(0), &id, 1, Statement::Limited(0.5), 7);
    fleet.register(at(0), endpoint("n1", "north-a"));
    fleet.finish_initial_sync();
    assert!(send(&mut fleet, at(100), &criteria()).is_err());
    fleet.deregister("n1", None);
    fleet.register(at(200), endpoint("n1", "north-a"));
    assert!(send(&mut fleet, at(300), &criteria()).is_err());
    let restarted = Endpoint { incarnation: 2, ..endpoint("n1", "north-a") };
    fleet.register(at(400), restarted);
    fleet.apply_limit_record(at(500), &id, 1, Statement::Limited(0.5), 7);
    assert!(send(&mut fleet, at(60_000), &criteria()).is_ok());
}

fn member(host: &str, region: &str) -> Member {
    Member { host: name(host), region: Some(name(region)) }
}

/// A fleet of `host-1` in the north with one instance, that shares limits with the given hosts.
fn fleet_with(members: Vec<Member>) -> Fleet {
    let mut fleet = fleet();
    fleet.register(at(0), endpoint("n1", "north-a"));
    fleet.finish_initial_sync();
    fleet.set_limit_members(at(0), members, false);
    fleet
}

/// Records an answer that states a limit, to a request at `now`.
fn hear(fleet: &mut Fleet, now: Duration, statement: Statement) {
    let choice = send(fleet, now, &criteria()).unwrap();
    answer_after(fleet, now, &choice, 1);
    fleet.record_limit(now, &choice, now, statement);
}

/// The hosts that share a limit publish it at once and once; another host only if none of them does,
/// as at 300 hosts all writes at the same time would be as many calls.
#[test]
fn a_limit_is_published_by_the_hosts_that_share_it() {
    let limited = Statement::Limited(1.0);
    let mut sender = fleet_with(vec![member("host-1", "north")]);
    hear(&mut sender, at(0), limited);
    let published = sender.limit_publications(at(0));
    assert_eq!(published.len(), 1);
    assert_eq!((published[0].statement, published[0].replaces_revision), (limited, 0));
    assert!(sender.limit_publications(at(500)).is_empty(), "written again at once");
    sender.apply_limit_record(at(600), &name("n1"), 1, limited, 5);
    assert!(sender.limit_publications(at(10_000)).is_empty(), "written although it is recorded");
    let mut other = fleet_with(vec![member("host-2", "north")]);
    hear(&mut other, at(0), limited);
    assert!(other.limit_publications(at(2900)).is_empty());
    assert_eq!(other.limit_publications(at(3000)).len(), 1);
}

/// A record that was written before an answer, or is never replaced because the store is away, must not
/// undo what the answer said. Once the record has said the same, the host follows it.
#[test]
fn a_record_follows_only_an_answer_that_it_knew() {
    let mut fleet = fleet_with(vec![member("host-1", "north")]);
    let id = name("n1");
    let (low, high) = (Statement::Limited(1.0), Statement::Limited(5.0));
    hear(&mut fleet, at(0), low);
    assert!(fleet.apply_limit_record(at(1000), &id, 1, high, 3).is_none());
    assert!(fleet.update_limits(at(10_000)).is_empty());
    assert!(fleet.remove_limit_record(at(11_000), &id).is_none());
    assert_eq!(fleet.limit_publications(at(11_000))[0].statement, low);
    assert!(fleet.apply_limit_record(at(12_000), &id, 1, low, 4).is_none());
    assert!(fleet.limit_publications(at(20_000)).is_empty());
    assert_eq!(fleet.apply_limit_record(at(20_000), &id, 1, high, 5).unwrap().statement, high);
    let ended = fleet.remove_limit_record(at(21_000), &id).unwrap();
    assert_eq!(ended.statement, Statement::Unlimited);
}

/// The record of an instance that is gone must not stay in the store for good, and not every host
/// should remove it.
#[test]
fn one_host_removes_the_record_of_an_instance_that_is_gone() {
    let members: Vec<Member> = ["host-1", "host-2", "host-3"].map(|h| member(h, "north")).into();
    let mut removals = 0;
    for host in &members {
        let locality = Locality { host: host.host.clone(), ..locality() };
        let mut fleet = Fleet::new(locality);
        fleet.set_limit_members(at(0), members.clone(), false);
        fleet.apply_limit_record(at(0), &name("gone"), 1, Statement::Limited(1.0), 9);
        assert!(fleet.limit_publications(at(0)).is_empty());
        let published = fleet.limit_publications(at(60_000));
        assert!(published.iter().all(|p| p.statement == Statement::Unlimited));
        removals += published.len();
        fleet.remove_limit_record(at(61_000), &name("gone"));
        fleet.limit_publications(at(61_000));
        assert!(fleet.recorded_limits().is_empty());
    }
    assert_eq!(removals, 1);
}

/// Replays the incident LIMIT with as many hosts as the deployments have: an instance states a limit
/// of a third of its load. Hosts start, stop, are killed and cut off from the store all the while.
#[test]
fn the_limit_of_an_instance_holds_over_all_hosts() {
    for hosts in HOST_COUNTS {
        for seed in 1..=3 {
            let mut world = World::new(hosts, seed);
            world.limit_at(5, Some(3.8));
            for second in [8, 11, 14, 17, 20, 23] {
                world.event_at(second, Event::Restart);
                world.event_at(second + 1, Event::Start);
                world.event_at(second + 1, Event::CutOff);
                world.event_at(second + 2, Event::Stop);
            }
            // Those that were cut off first are replaced from second 39 on.
            world.run(75);
            world.check_limit();
            world.check_others();
            for from in [10, 40] {
                let used = world.arrivals_between(from, from + 30);
                assert!(used >= 15, "{hosts} hosts: {used} requests in 30 s from second {from}");
            }
        }
    }
}

/// After the instance raises, lowers and ends its limit, the hosts that send nothing must neither
/// return too early nor stay away for good.
#[test]
fn a_limit_that_changes_holds_over_all_hosts() {
    for hosts in HOST_COUNTS {
        for seed in 1..=3 {
            let mut world = World::new(hosts, seed);
            world.limit_at(5, Some(6.0));
            world.limit_at(15, Some(2.0));
            world.limit_at(25, Some(9.0));
            world.limit_at(40, Some(1.0));
            world.limit_at(50, None);
            world.run(75);
            world.check_limit();
            world.check_others();
            let back = world.arrivals_between(65, 75);
            assert!(
                back >= 50,
                "{hosts} hosts: {back} requests in 10 s after the end of the limit"
            );
        }
    }
}

/// An instance that ends its limit and states one again must not get the usual load of the hosts that
/// knew the first limit until each of them has an answer of its own.
#[test]
fn a_limit_that_is_stated_again_holds_over_all_hosts() {
    for hosts in HOST_COUNTS {
        for seed in 1..=3 {
            let mut world = World::new(hosts, seed);
            for second in [5, 20, 35, 50] {
                world.limit_at(second, Some(1.5));
                world.limit_at(second + 8, None);
            }
            world.run(75);
            world.check_restated_limit();
            world.check_others();
        }
    }
}
