//! Tests which hosts a look-up names.

use std::{net::SocketAddr, sync::Arc};

use marjorampick_core::steering::reach;
use marjorampick_steer::{codec::Query, directory::addresses, state::Registration};

fn host(number: u16, region: &str, link_mbps: Option<u32>) -> Registration {
    Registration {
        callers: SocketAddr::from(([127, 0, 0, 1], number)),
        peers: SocketAddr::from(([127, 0, 0, 1], number + 1000)),
        region: Arc::from(region),
        failure_domain: Arc::from("north-a"),
        link_mbps,
        reach: reach::Report::default(),
    }
}

fn ports(hosts: &[Registration], has_large_answers: bool) -> Vec<u16> {
    let query = Query {
        name: "shop.example".to_owned(),
        region: "north".to_owned(),
        domain: "north-a".to_owned(),
    };
    let addresses = addresses(hosts, &query, has_large_answers);
    addresses.iter().map(SocketAddr::port).collect()
}

/// A large answer that passes through a slow link takes longer on it than the backend server works, so
/// callers of such names must not be sent there while there are enough fast links.
#[test]
fn names_with_large_answers_get_the_hosts_with_fast_links() {
    let mut hosts: Vec<Registration> =
        (1..=4).map(|number| host(number, "north", Some(200))).collect();
    hosts.extend((5..=20).map(|number| host(number, "north", Some(10))));
    hosts.push(host(21, "south", Some(1000)));
    assert_eq!(ports(&hosts, true), [1, 2, 3, 4]);
    assert_eq!(ports(&hosts, false).len(), 20);
}

/// Narrowed down to one or two hosts, callers would have no other one when those fail.
#[test]
fn too_few_fast_links_narrow_nothing_down() {
    let mut hosts: Vec<Registration> =
        (1..=2).map(|number| host(number, "north", Some(200))).collect();
    hosts.extend((3..=9).map(|number| host(number, "north", Some(10))));
    assert_eq!(ports(&hosts, true).len(), 9);
    // A host that reaches no instance does not count.
    hosts.push(host(10, "north", Some(200)));
    hosts[2].link_mbps = Some(200);
    hosts[0].reach.is_cut_off = true;
    assert_eq!(ports(&hosts, true), [2, 3, 10]);
}

/// A few hosts with faster links must not get the load of many whose links carried it.
#[test]
fn fast_links_with_little_of_the_bandwidth_narrow_nothing_down() {
    let mut hosts: Vec<Registration> =
        (1..=3).map(|number| host(number, "north", Some(200))).collect();
    hosts.extend((4..=20).map(|number| host(number, "north", Some(90))));
    assert_eq!(ports(&hosts, true).len(), 20);
}

/// Hosts of an earlier version do not tell the bandwidth, and must stay reachable while no host does.
#[test]
fn hosts_that_tell_no_bandwidth_are_all_named() {
    let hosts: Vec<Registration> = (1..=9).map(|number| host(number, "north", None)).collect();
    assert_eq!(ports(&hosts, true).len(), 9);
}
