//! Guards against an isolated host that still accepts API keys, and against backend connections
//! that stay in use, or cause a second run, after the network silently drops their traffic.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use marjorampick_link::hosts::List;

use crate::{
    forwarder,
    support::{Host, Platform, wait_until},
    traffic::{self, Call, KEY},
};

/// Bound within which an isolated host stops accepting API keys.
const ISOLATION_BOUND: Duration = Duration::from_secs(4);

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends a request with a valid API key; returns `served`, or outcome and code of the refusal.
fn request_result(platform: &Platform, host: &Host<'_>) -> String {
    let Some(response) =
        traffic::send_blocking(platform, host.caller_address(), &Call::status(KEY))
    else {
        return "no response".to_owned();
    };
    if response.status() == StatusCode::OK {
        return "served".to_owned();
    }
    format!("{} {}", traffic::outcome(&response), traffic::refusal_code(&response))
}

#[test]
fn a_host_that_is_cut_off_refuses_keyed_requests_until_it_is_back() {
    let platform = Platform::start_forwarded(8, 3);
    let _backends = traffic::start_backends(&platform, 2, Duration::ZERO);
    let hosts = platform.start_hosts();
    traffic::publish_document(&platform, &hosts, &[KEY]);

    platform.set_isolated(2, true);
    wait_until(ISOLATION_BOUND, "the host refuses keyed requests", || {
        request_result(&platform, &hosts[2]) == "not-run not-current"
    });
    for host in &hosts[..2] {
        assert_eq!(request_result(&platform, host), "served", "host that is not isolated");
    }
    // It keeps refusing while the others remove it from the members.
    for _ in 0..20 {
        assert_eq!(request_result(&platform, &hosts[2]), "not-run not-current");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(hosts[2].looked_up_names().is_some(), "the isolated host did not respond to a look-up");

    platform.set_isolated(2, false);
    wait_until(2 * ISOLATION_BOUND, "the host serves again", || {
        request_result(&platform, &hosts[2]) == "served"
    });
}

/// Connections to the backend server that are open when their traffic is dropped.
const OPEN_CONNECTIONS: usize = 8;

#[test]
fn requests_use_new_connections_when_the_open_ones_have_gone_silent() {
    let platform = Platform::start(9, 2);
    let backends = traffic::start_backends(&platform, 1, Duration::from_millis(50));
    let listed = platform.host_list.visible().hosts;
    let (forwarder, address) =
        forwarder::Tcp::start(&platform.runtime, any_loopback_port(), listed[0].address);
    platform.host_list.replace(List { hosts: vec![traffic::listed_backend(1, address)] });
    let hosts = platform.start_hosts();
    traffic::publish_document(&platform, &hosts, &[KEY]);
    let host = hosts[0].caller_address();
    let sign = |id: String| traffic::send_blocking(&platform, host, &Call::signing(&id));
    let requests: Vec<_> = (0..OPEN_CONNECTIONS)
        .map(|number| {
            let id = format!("before-{number}");
            let request = async move { traffic::send(host, &Call::signing(&id)).await };
            platform.runtime.spawn(request)
        })
        .collect();
    for request in requests {
        let response = platform.runtime.block_on(request).expect("a caller");
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::OK, "{response:?}");
    }

    forwarder.silence_open_connections();
    // Sent over a connection that was in use just before, so the host can't know whether it ran.
    let first = sign("first".to_owned()).expect("a response");
    assert_eq!(first.status(), StatusCode::GATEWAY_TIMEOUT, "{first:?}");
    assert_eq!(traffic::outcome(&first), "unknown");
    for number in 0..OPEN_CONNECTIONS {
        let response = sign(format!("after-{number}")).expect("a response");
        assert_eq!(response.status(), StatusCode::OK, "{number}: {response:?}");
        let response =
            traffic::send_blocking(&platform, host, &Call::status(KEY)).expect("a response");
        assert_eq!(response.status(), StatusCode::OK, "{number}: {response:?}");
    }
    let repeated = sign("first".to_owned()).expect("a response");
    assert_eq!(traffic::outcome(&repeated), "unknown", "{repeated:?}");
    for (id, runs) in &backends[0].record().runs {
        let is_signing = id.starts_with("before") || id.starts_with("after") || id == "first";
        assert!(!is_signing || *runs == 1, "{id} ran {runs} times");
    }
    let record = backends[0].record();
    assert_eq!(record.runs_of("first"), 0, "the forwarder passed on a request that it should drop");
}
