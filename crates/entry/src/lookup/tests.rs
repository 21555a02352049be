//! Tests that look-ups don't send callers to other regions while hosts of their own are serving.

use super::*;

fn host(name: &str, region: &str) -> EntryHost {
    EntryHost {
        host: name.into(),
        region: region.into(),
        domain: format!("{region}-a").into(),
        caller_address: "127.0.0.1:80".parse().expect("an address"),
    }
}

#[test]
fn local_hosts_come_first_and_have_all_the_weight() {
    let hosts = [host("a", "north"), host("b", "south"), host("c", "south")];
    let caller = "10.0.0.1".parse().ok();
    let ranked = rank(&hosts, "south", caller);
    let regions: Vec<&str> = ranked.iter().map(|host| &*host.region).collect();
    assert_eq!(regions, ["south", "south", "north"]);
    let weights: Vec<f64> = ranked.iter().map(|host| host.weight).collect();
    assert_eq!(weights, [0.5, 0.5, 0.0]);
    let without_local = rank(&hosts, "west", caller);
    assert!(without_local.iter().all(|host| host.weight > 0.3));
}

#[test]
fn region_is_that_of_the_smallest_block_with_the_address() {
    let block = |prefix: &str, region: &str| Block {
        prefix: prefix.parse().expect("a prefix"),
        region: region.into(),
    };
    let blocks = [block("10.0.0.0/8", "south"), block("10.1.0.0/16", "north")];
    let regions = Regions::new(&blocks).expect("regions");
    let region = |address: &str| {
        let address = address.parse().expect("an address");
        regions.region_of(address).map(|region| region.to_string())
    };
    assert_eq!(region("9.255.255.255"), None);
    assert_eq!(region("10.0.255.255").as_deref(), Some("south"));
    assert_eq!(region("10.1.0.0").as_deref(), Some("north"));
    assert_eq!(region("::1"), None);
}

/// Parses an arbitrary request target and checks the service that was found.
fn check_query(target: &[u8]) {
    let Ok(uri) = Uri::try_from(target) else {
        return;
    };
    if let Some(service) = requested_service(&uri) {
        assert!(!service.is_empty() && !service.contains('&'));
        assert!(uri.query().is_some_and(|query| query.contains(service)));
    }
}

/// Guards against panics on arbitrary request targets, which would end the look-up thread.
#[test]
fn arbitrary_queries_are_parsed_or_rejected() {
    const PIECES: [&str; 8] =
        ["/lookup", "?", "service=", "service=signing", "&", "%", "%00=%ff", "//[::1]:0"];
    for run in 1..=3_000_u64 {
        arbtest::arbtest(|u| {
            let mut target = Vec::new();
            for _ in 0..u.int_in_range(0..=8)? {
                target.extend_from_slice(u.choose(&PIECES)?.as_bytes());
                if u.ratio(1, 4)? {
                    target.push(u.arbitrary()?);
                }
            }
            check_query(&target);
            check_query(u.arbitrary()?);
            Ok(())
        })
        .seed(run << 32 | 256)
        .run();
    }
}
