//! Tests that callers of hosts which reach no instance are served by other hosts.

mod world;

use std::{
    sync::{Arc, LazyLock},
    time::Duration,
};

use world::{Cut, World};

use super::{
    super::helper::{Book, Candidate, Criteria, Outcome},
    support::{at, locality, name},
};

/// Hosts of the deployments.
const HOST_COUNTS: [usize; 4] = [8, 60, 195, 300];

/// First tries at cut hosts must be served at least so often, relative to the others.
const MIN_RATIO: f64 = 0.9;

fn choose(book: &Book, now: u64, criteria: &Criteria<'_>) -> Option<String> {
    let names = ["host-1", "near", "zone", "far", "lost"].map(name);
    let places = [
        ("north", "north-a"),
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
        ("north", "north-a"),
    ];
    let places = places.map(|(region, domain)| (name(region), name(domain)));
    let hosts = names.iter().zip(&places);
    let candidates = hosts.map(|(name, (region, domain))| Candidate {
        name,
        region,
        domain,
        is_lost: name.as_ref() == "lost",
    });
    book.choose(at(now), &locality(), candidates, criteria).map(|name| name.to_string())
}

static SERVICE: LazyLock<Arc<str>> = LazyLock::new(|| name("status"));

fn criteria() -> Criteria<'static> {
    Criteria {
        id: "1",
        service: &SERVICE,
        route_regions: &[],
        workspace_regions: &[],
        excluded: &[],
    }
}

/// Requests must neither come back to the host itself nor go to one that has lost the service too, and bytes
/// between failure domains and regions cost money.
#[test]
fn the_nearest_other_host_helps() {
    let mut book = Book::default();
    assert_eq!(choose(&book, 0, &criteria()).unwrap(), "near");
    book.start(&name("near"));
    assert_eq!(choose(&book, 0, &criteria()).unwrap(), "zone");
    let excluded = ["near", "zone"].map(name);
    let others_asked = Criteria { excluded: &excluded, ..criteria() };
    assert_eq!(choose(&book, 0, &others_asked).unwrap(), "far");
}

/// A body must not go to a host outside the home regions.
#[test]
fn a_helper_is_in_the_home_regions() {
    let (north, south) = ([name("north")], [name("south")]);
    let book = Book::default();
    let remote = Criteria { workspace_regions: &south, ..criteria() };
    assert_eq!(choose(&book, 0, &remote).unwrap(), "far");
    let nowhere = Criteria { route_regions: &north, workspace_regions: &south, ..criteria() };
    assert_eq!(choose(&book, 0, &nowhere), None);
    assert!(remote.allow(&south[0]) && !remote.allow(&north[0]) && !nowhere.allow(&south[0]));
}

/// Links of a failure domain fail together, so that hundreds of its hosts must not be asked one by one.
#[test]
fn few_are_asked_in_a_failure_domain_that_is_cut() {
    let mut book = Book::default();
    for helper in 0..4 {
        let helper = name(&format!("helper-{helper}"));
        assert_eq!(choose(&book, 0, &criteria()).unwrap(), "near");
        book.start(&helper);
        book.end(at(0), &helper, &name("north-a"), &SERVICE, Outcome::Unreached);
    }
    assert_eq!(choose(&book, 400, &criteria()).unwrap(), "zone");
    assert_eq!(choose(&book, 600, &criteria()).unwrap(), "near");
}

/// A host that could not help must not be asked for each request, and must be asked again later.
#[test]
fn a_host_that_could_not_help_is_left_alone_for_a_while() {
    for (outcome, time) in [
        (Outcome::Unreached, 900),
        (Outcome::Busy, 200),
        (Outcome::Behind, 200),
        (Outcome::Failed, 1900),
    ] {
        let mut book = Book::default();
        book.start(&name("near"));
        book.end(at(0), &name("near"), &name("north-a"), &SERVICE, outcome);
        assert_eq!(choose(&book, time, &criteria()).unwrap(), "zone", "{outcome:?}");
        assert_eq!(choose(&book, 2100, &criteria()).unwrap(), "near", "{outcome:?}");
        let other_service = name("other");
        let other = Criteria { service: &other_service, ..criteria() };
        let is_asked = choose(&book, 0, &other).unwrap() == "near";
        assert_eq!(is_asked, outcome == Outcome::Unreached, "{outcome:?}");
    }
}

/// Callers at cut hosts were served 0 of 72 first tries in the incident RECOVER. However many hosts there are,
/// and whichever of them are cut, they must be served as at the others, by hosts that share the work.
#[test]
fn callers_of_cut_hosts_are_served_at_all_sizes() {
    for hosts in HOST_COUNTS {
        for cut in [Cut::One, Cut::Quarter, Cut::Third, Cut::Domain, Cut::Region] {
            let counts = World::new(hosts, cut, 1).run();
            println!("{hosts} hosts, {cut:?}: {counts:?}");
            let ratio = counts.cut_ratio();
            assert!(
                ratio >= MIN_RATIO * counts.other_ratio(),
                "{hosts} hosts, {cut:?}: {counts:?}"
            );
            assert!(counts.asked_per_request() < 1.1, "{hosts} hosts, {cut:?}: {counts:?}");
            let is_shared = f64::from(counts.most_carried) <= 3.0 * counts.mean_carried + 10.0;
            assert!(is_shared, "{hosts} hosts, {cut:?}: {counts:?}");
        }
    }
}

/// One host can serve the callers of seven others, and must not be asked for more than it can carry by
/// hundreds of them.
#[test]
fn one_host_helps_as_many_as_it_can() {
    let small = World::new(8, Cut::AllButOne, 1).run();
    assert!(small.cut_ratio() >= MIN_RATIO, "{small:?}");
    for hosts in [60, 195, 300] {
        let counts = World::new(hosts, Cut::AllButOne, 1).run();
        println!("{hosts} hosts, all but one: {counts:?}");
        assert!(counts.other_ratio() > MIN_RATIO, "{hosts} hosts: {counts:?}");
        assert!(counts.asked_per_request() < 1.1, "{hosts} hosts: {counts:?}");
    }
}

/// Where all hosts are cut, nobody gains from asking others.
#[test]
fn nobody_is_asked_when_all_are_cut() {
    for hosts in HOST_COUNTS {
        let counts = World::new(hosts, Cut::All, 1).run();
        println!("{hosts} hosts, all: {counts:?}");
        assert!(counts.asked_per_request() < 0.1, "{hosts} hosts: {counts:?}");
        assert!(counts.slowest_refusal < Duration::from_millis(200), "{hosts} hosts: {counts:?}");
    }
}
