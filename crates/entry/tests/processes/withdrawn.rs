//! Guards against a withdrawn key that still works somewhere: on an open connection, without the
//! store, or on a host that was paused during the withdrawal.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use marjorampick_standin::backend::Backend;

use crate::{
    support::{Platform, eventually},
    traffic::{self, Ask, Connection, KEY},
};

const WITHDRAWN: &str = "withdrawn-key";

/// Header that shows at the backend servers which requests came with the withdrawn key.
const MARK: &str = "x-request-id";

/// Bound within which a withdrawal is in force everywhere.
const BOUND: Duration = Duration::from_secs(4);

/// How long a host is paused from before the withdrawal.
const PAUSE: Duration = Duration::from_secs(6);

/// Connections that are opened to the paused host.
const WAITING_CONNECTIONS: usize = 24;

/// How long refusals are checked after the bound and after the pause.
const CHECKED: Duration = Duration::from_millis(1500);

fn withdrawn() -> Ask {
    Ask::status(WITHDRAWN).with(MARK, WITHDRAWN)
}

#[test]
fn a_withdrawn_key_stops_working_without_the_store_and_on_a_paused_host() {
    let platform = Platform::start(4, 4);
    let backends = traffic::backends(&platform, 1, Duration::ZERO);
    let hosts = platform.hosts();
    let revision = traffic::serve(&platform, &hosts, &[KEY, WITHDRAWN]);
    let running = &hosts[..3];
    let paused = &hosts[3];
    let mut connections: Vec<Connection> = hosts
        .iter()
        .map(|host| {
            let opened = platform.runtime.block_on(Connection::open(host.callers()));
            let mut connection = opened.expect("a connection");
            let answer = platform.runtime.block_on(connection.ask(&withdrawn()));
            assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
            connection
        })
        .collect();
    let mut last = connections.pop().expect("the paused host's connection");

    paused.signal("-STOP");
    let paused_at = Instant::now();
    let text = traffic::keyed_document(&[KEY]);
    let edited = hosts[0].edit(revision, &text);
    edited.expect("an accepted withdrawal");
    let accepted = Instant::now();
    platform.stop_store();
    // These wait in the paused host's sockets until it goes on.
    let address = paused.callers();
    let mut waiting = vec![platform.runtime.spawn(async move { wait(&mut last).await })];
    for _ in 0..WAITING_CONNECTIONS {
        waiting.push(platform.runtime.spawn(async move {
            let opened = Connection::open(address).await;
            wait(&mut opened.expect("a connection")).await
        }));
    }

    std::thread::sleep(BOUND.saturating_sub(accepted.elapsed()));
    let reached = marked(&backends[0]);
    let checking = Instant::now();
    while checking.elapsed() < CHECKED {
        for (host, connection) in running.iter().zip(&mut connections) {
            let open = platform.runtime.block_on(connection.ask(&withdrawn()));
            let open = open.expect("an answer on the open connection");
            assert_refused(&open);
            let new = traffic::ask(&platform, host.callers(), &withdrawn());
            assert_refused(&new.expect("an answer"));
        }
    }
    for host in running {
        let other = traffic::ask(&platform, host.callers(), &Ask::status(KEY));
        let status = other.expect("an answer").status();
        assert_eq!(status, StatusCode::OK, "the other key still works");
    }

    std::thread::sleep(PAUSE.saturating_sub(paused_at.elapsed()));
    paused.signal("-CONT");
    let going_on = Instant::now();
    while going_on.elapsed() < CHECKED {
        if let Some(answer) = traffic::ask(&platform, address, &withdrawn()) {
            assert_refused(&answer);
        }
    }
    for waited in waiting {
        let answer = platform.runtime.block_on(waited).expect("a caller");
        assert_refused(&answer);
    }
    eventually(BOUND, "the paused host serves the other key", || {
        let answer = traffic::ask(&platform, address, &Ask::status(KEY));
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    });
    let answer = traffic::ask(&platform, address, &withdrawn()).expect("an answer");
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(marked(&backends[0]), reached, "requests reached a backend server");
}

/// Sends a request that is answered after the pause.
async fn wait(connection: &mut Connection) -> Response<Bytes> {
    let answer = connection.ask_within(2 * PAUSE, &withdrawn()).await;
    answer.expect("an answer after the pause")
}

/// The key is unknown, or the host does not know whether it is. Other refusals follow after the key
/// was accepted.
#[track_caller]
fn assert_refused(answer: &Response<Bytes>) {
    let code = traffic::code(answer);
    let expected = ["credential-unknown", "not-current"];
    assert!(expected.contains(&code.as_str()), "{answer:?}");
}

/// Number of requests with the withdrawn key that reached the backend server.
fn marked(backend: &Arc<Backend>) -> usize {
    let is_marked = |(name, value): &(String, String)| name == MARK && value == WITHDRAWN;
    let seen = backend.record().seen;
    let marked = seen.iter().filter(|seen| seen.headers.iter().any(is_marked));
    marked.count()
}
