//! Guards against a host that is cut off and still honours keys, and against backend connections
//! that stay in use, or cause a second run, after they have gone silent for good.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use marjorampick_link::hosts::List;

use crate::{
    forwarder,
    support::{Host, Platform, eventually},
    traffic::{self, Ask, KEY},
};

const BOUND: Duration = Duration::from_secs(4);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn code(platform: &Platform, host: &Host<'_>) -> String {
    let Some(answer) = traffic::ask(platform, host.callers(), &Ask::status(KEY)) else {
        return "no answer".to_owned();
    };
    if answer.status() == StatusCode::OK {
        return "served".to_owned();
    }
    format!("{} {}", traffic::outcome(&answer), traffic::code(&answer))
}

#[test]
fn a_host_that_is_cut_off_refuses_keyed_requests_until_it_is_back() {
    let platform = Platform::start_forwarded(8, 3);
    let _backends = traffic::backends(&platform, 2, Duration::ZERO);
    let hosts = platform.hosts();
    traffic::serve(&platform, &hosts, &[KEY]);

    platform.cut_off(2, true);
    eventually(BOUND, "the host refuses keyed requests", || {
        code(&platform, &hosts[2]) == "not-run not-current"
    });
    for host in &hosts[..2] {
        assert_eq!(code(&platform, host), "served", "the others go on");
    }
    // It stays like that, while the others remove it from the members.
    for _ in 0..20 {
        assert_eq!(code(&platform, &hosts[2]), "not-run not-current");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(hosts[2].look_up().is_some(), "look-ups are still answered");

    platform.cut_off(2, false);
    eventually(2 * BOUND, "the host serves again", || code(&platform, &hosts[2]) == "served");
}

/// Connections to the backend server that are open when they go silent.
const OPEN_CONNECTIONS: usize = 8;

#[test]
fn requests_use_new_connections_when_the_open_ones_have_gone_silent() {
    let platform = Platform::start(9, 2);
    let backends = traffic::backends(&platform, 1, Duration::from_millis(50));
    let listed = platform.listed.visible().hosts;
    let (forwarder, address) =
        forwarder::Tcp::start(&platform.runtime, any_port(), listed[0].address);
    platform.listed.replace(List { hosts: vec![traffic::line(1, address)] });
    let hosts = platform.hosts();
    traffic::serve(&platform, &hosts, &[KEY]);
    let host = hosts[0].callers();
    let sign = |id: String| traffic::ask(&platform, host, &Ask::signing(&id));
    let running: Vec<_> = (0..OPEN_CONNECTIONS)
        .map(|number| {
            let id = format!("before-{number}");
            let request = async move { traffic::send(host, &Ask::signing(&id)).await };
            platform.runtime.spawn(request)
        })
        .collect();
    for request in running {
        let answer = platform.runtime.block_on(request).expect("a caller");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    }

    forwarder.silence_open();
    // Sent on a connection that answered just before; whether it ran is not known to the host.
    let first = sign("first".to_owned()).expect("an answer");
    assert_eq!(first.status(), StatusCode::GATEWAY_TIMEOUT, "{first:?}");
    assert_eq!(traffic::outcome(&first), "unknown");
    for number in 0..OPEN_CONNECTIONS {
        let answer = sign(format!("after-{number}")).expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{number}: {answer:?}");
        let answer = traffic::ask(&platform, host, &Ask::status(KEY)).expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{number}: {answer:?}");
    }
    let repeated = sign("first".to_owned()).expect("an answer");
    assert_eq!(traffic::outcome(&repeated), "unknown", "{repeated:?}");
    for (id, runs) in &backends[0].record().runs {
        let is_signing = id.starts_with("before") || id.starts_with("after") || id == "first";
        assert!(!is_signing || *runs == 1, "{id} ran {runs} times");
    }
    let record = backends[0].record();
    assert_eq!(record.runs_of("first"), 0, "the forwarder dropped it");
}
