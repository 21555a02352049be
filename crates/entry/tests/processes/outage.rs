//! Guards against a store outage that stops keyed requests, on running or on restarted hosts.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::{
    support::{Host, Platform, eventually},
    traffic::{self, Ask, KEY},
};

const BOUND: Duration = Duration::from_secs(4);

/// Longer than any confirmation that was made before the outage.
const OUTAGE: Duration = Duration::from_secs(10);

const GUEST_REQUESTS: usize = 5;

/// Longer than a host keeps borrowed slots that no request needs.
const GIVE_BACK_TIME: Duration = Duration::from_millis(300);

/// Key of a second workspace: hosts divide slots only between several ones.
const OTHER_KEY: &str = "other-key";

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

#[test]
fn keyed_requests_are_served_while_the_store_is_away() {
    let platform = Platform::start(5, 3);
    let _backends = traffic::backends(&platform, 2, Duration::ZERO);
    let mut hosts = platform.hosts();
    let revision = traffic::serve(&platform, &hosts, &[KEY, OTHER_KEY]);

    platform.stop_store();
    let away = Instant::now();
    while away.elapsed() < OUTAGE {
        for host in &hosts {
            let answer = traffic::ask(&platform, host.callers(), &Ask::status(KEY));
            let answer = answer.expect("an answer");
            let after = away.elapsed();
            assert_eq!(answer.status(), StatusCode::OK, "after {after:?}: {answer:?}");
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }

    hosts[2].crash();
    hosts[2] = platform.host(2);
    eventually(2 * BOUND, "the guest serves requests", || serves(&platform, &hosts[2]));
    let status = hosts[2].status();
    assert_eq!(status["member"], false, "{status}");
    // Slots that the guest borrowed have gone back by the next request.
    for _ in 0..GUEST_REQUESTS {
        std::thread::sleep(GIVE_BACK_TIME);
        for host in &hosts {
            assert!(serves(&platform, host), "with a guest");
        }
    }

    platform.start_store();
    eventually(2 * BOUND, "the restarted host is a member", || hosts[2].status()["member"] == true);
    let text = traffic::keyed_document(&[KEY, OTHER_KEY, "third"]);
    let mut edited = hosts[2].edit(revision, &text);
    // Accepting an edit has to wait until the change of members is held.
    eventually(BOUND, "edits are accepted again", || {
        if edited.is_err() {
            edited = hosts[2].edit(revision, &text);
        }
        edited.is_ok()
    });
    for host in &hosts {
        eventually(BOUND, "the edit is in force", || {
            let answer = traffic::ask(&platform, host.callers(), &Ask::status("third"));
            answer.is_some_and(|answer| answer.status() == StatusCode::OK)
        });
    }
}

/// Whether the host serves both workspaces.
fn serves(platform: &Platform, host: &Host<'_>) -> bool {
    [KEY, OTHER_KEY].iter().all(|key| {
        let answer = traffic::ask(platform, host.callers(), &Ask::status(key));
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    })
}
