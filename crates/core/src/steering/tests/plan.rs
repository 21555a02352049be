//! Tests of the route lookup.

use std::{collections::HashMap, time::Duration};

use super::{
    super::plan::{Destination, Idempotency, Limits, Plan, Route},
    support::name,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: name(prefix),
        host: name(host),
        prefix: name(prefix),
        idempotency: Idempotency::Idempotent,
        timeout: None,
        target_latency: None,
        priority: 0,
        destinations: vec![Destination { service: name("status"), weight: 1.0 }],
        max_attempts: 2,
        is_public: true,
        is_sticky: false,
        has_large_answers: false,
        home_regions: Vec::new(),
    }
}

fn plan(routes: Vec<Route>) -> Plan {
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Plan::new(1, routes, HashMap::new(), HashMap::new(), HashMap::new(), limits)
}

/// Guards against matching a shorter prefix, another host's route, or a prefix that ends within a
/// path segment.
#[test]
fn the_longest_prefix_of_the_host_matches() {
    let plan = plan(vec![route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/z/")]);
    let found = |host, path| plan.route(host, path).map(|route| route.prefix.to_string());
    assert_eq!(found("a", "/x/y/1"), Some("/x/y/".to_owned()));
    assert_eq!(found("a", "/x/z/1"), Some("/x/".to_owned()));
    assert_eq!(found("a", "/xy/1"), None);
    assert_eq!(found("c", "/x/1"), None);
    assert_eq!(plan.route_count(), 3);
}
