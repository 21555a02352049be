//! Guards which hosts a look-up names.

use marjorampick_steer::{codec::Question, listeners::addresses, state::Registration};

fn host(number: u8, region: &str) -> Registration {
    Registration {
        callers: format!("10.0.0.{number}:8686").parse().unwrap(),
        peers: format!("10.0.0.{number}:7741").parse().unwrap(),
        region: region.into(),
        failure_domain: format!("{region}-a").into(),
    }
}

fn question(region: &str) -> Question {
    Question {
        name: "shop.example".to_owned(),
        region: region.to_owned(),
        domain: format!("{region}-a"),
    }
}

/// Guards against callers sent to another region while their own has hosts.
#[test]
fn hosts_of_the_own_region_are_named_and_else_all() {
    let hosts = [host(1, "north"), host(2, "north"), host(3, "south")];
    assert_eq!(addresses(&hosts, &question("north")).len(), 2);
    assert_eq!(addresses(&hosts, &question("south")), [hosts[2].callers]);
    assert_eq!(addresses(&hosts, &question("west")).len(), 3);
    assert!(addresses(&[], &question("north")).is_empty());
}

/// Guards against an answer that is too long, and against one that changes from question to question.
#[test]
fn at_most_64_hosts_are_named_and_always_the_same() {
    let hosts: Vec<Registration> = (1..=200).map(|number| host(number, "north")).collect();
    let named = addresses(&hosts, &question("north"));
    assert_eq!(named.len(), 64);
    assert_eq!(named, addresses(&hosts, &question("north")));
}
