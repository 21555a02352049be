//! Guards which route a request belongs to.

use std::{collections::HashMap, time::Duration};

use super::{
    super::plan::{Limits, Part, Plan, Repeat, Route},
    support::name,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: name(prefix),
        host: name(host),
        prefix: name(prefix),
        repeat: Repeat::Idempotent,
        timeout: None,
        target: None,
        priority: 0,
        parts: vec![Part { service: name("status"), weight: 1.0 }],
        attempts: 2,
        is_open: true,
        is_sticky: false,
        homes: Vec::new(),
    }
}

fn plan(routes: Vec<Route>) -> Plan {
    let limits =
        Limits { header_bytes: 16_384, body_bytes: 1 << 20, idle_time: Duration::from_secs(15) };
    Plan::new(1, routes, HashMap::new(), HashMap::new(), HashMap::new(), limits)
}

/// Guards against a request on the route of a shorter prefix, another host, or part of a segment.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let plan = plan(vec![route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/z/")]);
    let found = |host, path| plan.route(host, path).map(|route| route.prefix.to_string());
    assert_eq!(found("a", "/x/y/1"), Some("/x/y/".to_owned()));
    assert_eq!(found("a", "/x/z/1"), Some("/x/".to_owned()));
    assert_eq!(found("a", "/xy/1"), None);
    assert_eq!(found("c", "/x/1"), None);
    assert_eq!(plan.route_count(), 3);
}
