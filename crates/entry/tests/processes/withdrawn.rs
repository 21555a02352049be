//! Guards against a withdrawn API key that still works on an open connection, during a store
//! outage, or on a host that was paused with SIGSTOP during the withdrawal.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use marjorampick_standin::backend::Backend;

use crate::{
    support::{Platform, wait_until},
    traffic::{self, Call, Connection, KEY},
};

const WITHDRAWN_KEY: &str = "withdrawn-key";

/// Header by which the backend server's record shows the requests with the withdrawn key.
const MARKER_HEADER: &str = "x-request-id";

/// Bound within which a withdrawal is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// How long a host is paused, from before the withdrawal on.
const PAUSE: Duration = Duration::from_secs(6);

/// Connections that callers open to the host while it is paused.
const WAITING_CONNECTIONS: usize = 24;

/// How long refusals are checked, once after the bound and once after the pause.
const CHECK_PERIOD: Duration = Duration::from_millis(1500);

fn withdrawn_key_call() -> Call {
    Call::status(WITHDRAWN_KEY).with_header(MARKER_HEADER, WITHDRAWN_KEY)
}

#[test]
fn a_withdrawn_key_stops_working_without_the_store_and_on_a_paused_host() {
    let platform = Platform::start(4, 4);
    let backends = traffic::start_backends(&platform, 1, Duration::ZERO);
    let hosts = platform.start_hosts();
    let revision = traffic::publish_document(&platform, &hosts, &[KEY, WITHDRAWN_KEY]);
    let running = &hosts[..3];
    let paused = &hosts[3];
    let mut connections: Vec<Connection> = hosts
        .iter()
        .map(|host| {
            let opened = platform.runtime.block_on(Connection::open(host.caller_address()));
            let mut connection = opened.expect("a connection");
            let response = platform.runtime.block_on(connection.send(&withdrawn_key_call()));
            assert_eq!(response.expect("a response").status(), StatusCode::OK);
            connection
        })
        .collect();
    let mut paused_connection = connections.pop().expect("the paused host's connection");

    paused.signal("-STOP");
    let paused_at = Instant::now();
    let text = traffic::keyed_document(&[KEY]);
    let edited = hosts[0].edit_document(revision, &text);
    edited.expect("an accepted withdrawal");
    let accepted = Instant::now();
    platform.stop_store();
    // These requests stay in the socket buffers of the paused host until it resumes.
    let address = paused.caller_address();
    let mut waiting = vec![
        platform.runtime.spawn(async move { wait_for_response(&mut paused_connection).await }),
    ];
    for _ in 0..WAITING_CONNECTIONS {
        waiting.push(platform.runtime.spawn(async move {
            let opened = Connection::open(address).await;
            wait_for_response(&mut opened.expect("a connection")).await
        }));
    }

    std::thread::sleep(IN_FORCE_BOUND.saturating_sub(accepted.elapsed()));
    let count_at_bound = withdrawn_key_requests(&backends[0]);
    let checking = Instant::now();
    while checking.elapsed() < CHECK_PERIOD {
        for (host, connection) in running.iter().zip(&mut connections) {
            let on_open = platform.runtime.block_on(connection.send(&withdrawn_key_call()));
            let on_open = on_open.expect("a response on the open connection");
            assert_refused(&on_open);
            let on_new =
                traffic::send_blocking(&platform, host.caller_address(), &withdrawn_key_call());
            assert_refused(&on_new.expect("a response"));
        }
    }
    for host in running {
        let other = traffic::send_blocking(&platform, host.caller_address(), &Call::status(KEY));
        let status = other.expect("a response").status();
        assert_eq!(status, StatusCode::OK, "the other key was refused");
    }

    std::thread::sleep(PAUSE.saturating_sub(paused_at.elapsed()));
    paused.signal("-CONT");
    let resumed = Instant::now();
    while resumed.elapsed() < CHECK_PERIOD {
        if let Some(response) = traffic::send_blocking(&platform, address, &withdrawn_key_call()) {
            assert_refused(&response);
        }
    }
    for request in waiting {
        let response = platform.runtime.block_on(request).expect("a caller");
        assert_refused(&response);
    }
    wait_until(IN_FORCE_BOUND, "the paused host serves the other key", || {
        let response = traffic::send_blocking(&platform, address, &Call::status(KEY));
        response.is_some_and(|response| response.status() == StatusCode::OK)
    });
    let response =
        traffic::send_blocking(&platform, address, &withdrawn_key_call()).expect("a response");
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(
        withdrawn_key_requests(&backends[0]),
        count_at_bound,
        "requests with the withdrawn key reached the backend server"
    );
}

/// Sends a request with the withdrawn key to the paused host, which responds after the pause.
async fn wait_for_response(connection: &mut Connection) -> Response<Bytes> {
    let response = connection.send_within(2 * PAUSE, &withdrawn_key_call()).await;
    response.expect("a response after the pause")
}

/// Checks that the key was refused, or not checked because the host is not current. A refusal with
/// any other code is given only after the key was accepted.
#[track_caller]
fn assert_refused(response: &Response<Bytes>) {
    let code = traffic::refusal_code(response);
    let expected = ["credential-unknown", "not-current"];
    assert!(expected.contains(&code.as_str()), "{response:?}");
}

/// Number of requests with the withdrawn key that reached the backend server.
fn withdrawn_key_requests(backend: &Arc<Backend>) -> usize {
    let is_marked =
        |(name, value): &(String, String)| name == MARKER_HEADER && value == WITHDRAWN_KEY;
    let seen = backend.record().seen;
    let marked = seen.iter().filter(|seen| seen.headers.iter().any(is_marked));
    marked.count()
}
