//! Tests that a host knows which services it reaches, and tells others in time but not too often.

use super::{
    super::{
        fleet::{ReachChange, Rejection},
        reach::{Reach, Report, Reporter},
    },
    support::{SERVICE, at, criteria, four_instances, name},
};

/// Failures of one instance, or of few among others that are reached, must not count as a lost service.
#[test]
fn a_service_is_lost_after_failures_of_different_instances() {
    let mut reach = Reach::default();
    assert!(!reach.record_failure(at(0), &name("a"), 12));
    assert!(!reach.record_failure(at(1), &name("a"), 12));
    assert!(!reach.record_failure(at(2), &name("b"), 12));
    assert_eq!(reach.record_opened(at(3)), None);
    assert!(!reach.record_failure(at(4), &name("c"), 12));
    assert!(!reach.record_failure(at(5), &name("a"), 12));
    assert!(reach.record_failure(at(1003), &name("b"), 12));
    assert!(reach.is_lost());
    assert!(reach.record_opened(at(1106)).is_some());
    assert!(!reach.is_lost());
    assert!(reach.record_failure(at(2200), &name("a"), 1), "the only instance");
}

/// Where one of many instances runs, the service was lost and regained ten times a second (soak with cuts, seed
/// 606), each time with connections and log lines.
#[test]
fn a_service_with_one_instance_is_not_lost_all_the_time() {
    let mut reach = Reach::default();
    let losses = (0..10_000).step_by(10).filter(|now| {
        if now % 100 == 0 {
            reach.record_opened(at(*now));
        }
        reach.record_failure(at(*now), &name(&format!("i-{}", now % 70)), 12)
    });
    assert_eq!(losses.count(), 0);
}

/// While a service is lost, requests must not wait for connections that fail; at its return each instance
/// gets a probe request at once, and no surge.
#[test]
fn a_lost_service_is_used_again_at_once() {
    let mut fleet = four_instances();
    let ids: Vec<_> = fleet.instance_ids();
    let lost = ids.iter().filter_map(|id| fleet.record_connection(at(0), id, false)).count();
    assert_eq!(lost, 1);
    assert!(fleet.is_lost(SERVICE));
    assert!(ids.iter().all(|id| !fleet.may_connect(at(10), SERVICE, id)));
    assert!(fleet.all_lost_at().is_some());
    assert_eq!(
        fleet.record_connection(at(500), &ids[0], true),
        Some(ReachChange::Regained(at(500) - at(0)))
    );
    assert!(ids.iter().all(|id| fleet.may_connect(at(510), SERVICE, id)));
    assert!(fleet.choose(at(510), &criteria()).is_ok());
}

/// A request that no reached instance takes must be told from one that finds them all full.
#[test]
fn a_request_without_a_reached_instance_is_unreached() {
    let mut fleet = four_instances();
    let ids = fleet.instance_ids();
    for id in &ids {
        fleet.record_connection(at(0), id, false);
    }
    let excluded = &ids[1..];
    let choice = fleet.choose(at(0), &super::super::fleet::Criteria { excluded, ..criteria() });
    assert!(!matches!(choice, Err(Rejection::NoCapacity { .. })), "{choice:?}");
}

fn reports(times: impl Iterator<Item = (u64, bool)>) -> Vec<(u64, Report)> {
    let mut reporter = Reporter::default();
    let reported = times.filter_map(|(now, is_lost)| {
        let services = [(name(SERVICE), is_lost), (name("other"), false)].into_iter();
        reporter.update(at(now), services, 8, 0.5).map(|report| (now, report))
    });
    reported.collect()
}

/// Others must hear of a loss within half a second, and of the return within two.
#[test]
fn a_loss_is_reported_and_withdrawn() {
    let reports = reports((0..20_000).step_by(100).map(|now| (now, (1000..9000).contains(&now))));
    let [(lost_at, lost), (regained_at, regained)] = &reports[..] else {
        panic!("{reports:?}");
    };
    assert!(*lost_at <= 1500 && *regained_at <= 11_000, "{reports:?}");
    assert!(lost.lost.contains(SERVICE) && !lost.is_cut_off, "{lost:?}");
    assert_eq!(*regained, Report::default());
}

/// A cut that comes and goes every second must not make callers and hosts change their ways each time.
#[test]
fn a_cut_that_comes_and_goes_is_reported_once() {
    let reports = reports((0..30_000).step_by(100).map(|now| (now, (now / 1000) % 2 == 0)));
    assert_eq!(reports.len(), 1, "{reports:?}");
    let slower = self::reports((0..40_000).step_by(100).map(|now| (now, (now / 2500) % 2 == 0)));
    assert!(slower.len() <= 3, "{slower:?}");
}
