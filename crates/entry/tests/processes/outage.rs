//! Guards against a store outage that stops requests with API keys, on running or restarted hosts.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::{
    support::{Host, Platform, wait_until},
    traffic::{self, Call, KEY},
};

/// Bound within which a change is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Longer than any confirmation from before the outage is valid.
const OUTAGE: Duration = Duration::from_secs(10);

const GUEST_REQUESTS: usize = 5;

/// Longer than a host keeps borrowed slots that no request uses.
const LOAN_RETURN_TIME: Duration = Duration::from_millis(300);

/// API key of a second workspace; hosts divide slots only if there are several workspaces.
const OTHER_KEY: &str = "other-key";

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

#[test]
fn keyed_requests_are_served_while_the_store_is_away() {
    let platform = Platform::start(5, 3);
    let _backends = traffic::start_backends(&platform, 2, Duration::ZERO);
    let mut hosts = platform.start_hosts();
    let revision = traffic::publish_document(&platform, &hosts, &[KEY, OTHER_KEY]);

    platform.stop_store();
    let stopped = Instant::now();
    while stopped.elapsed() < OUTAGE {
        for host in &hosts {
            let response =
                traffic::send_blocking(&platform, host.caller_address(), &Call::status(KEY));
            let response = response.expect("a response");
            let after = stopped.elapsed();
            assert_eq!(response.status(), StatusCode::OK, "after {after:?}: {response:?}");
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }

    hosts[2].kill();
    hosts[2] = platform.start_host(2);
    wait_until(2 * IN_FORCE_BOUND, "the guest serves requests", || serves(&platform, &hosts[2]));
    let status = hosts[2].status();
    assert_eq!(status["member"], false, "{status}");
    // Each pause is long enough for the guest's borrowed slots to be returned before the next
    // request.
    for _ in 0..GUEST_REQUESTS {
        std::thread::sleep(LOAN_RETURN_TIME);
        for host in &hosts {
            assert!(serves(&platform, host), "requests are refused while a host is a guest");
        }
    }

    platform.start_store();
    wait_until(2 * IN_FORCE_BOUND, "the restarted host is a member", || {
        hosts[2].status()["member"] == true
    });
    let text = traffic::keyed_document(&[KEY, OTHER_KEY, "third"]);
    let mut edited = hosts[2].edit_document(revision, &text);
    // Edits are refused until the change of members is held by a majority.
    wait_until(IN_FORCE_BOUND, "edits are accepted again", || {
        if edited.is_err() {
            edited = hosts[2].edit_document(revision, &text);
        }
        edited.is_ok()
    });
    for host in &hosts {
        wait_until(IN_FORCE_BOUND, "the edit is in force", || {
            let response =
                traffic::send_blocking(&platform, host.caller_address(), &Call::status("third"));
            response.is_some_and(|response| response.status() == StatusCode::OK)
        });
    }
}

/// Whether the host serves requests of both workspaces.
fn serves(platform: &Platform, host: &Host<'_>) -> bool {
    [KEY, OTHER_KEY].iter().all(|key| {
        let response = traffic::send_blocking(platform, host.caller_address(), &Call::status(key));
        response.is_some_and(|response| response.status() == StatusCode::OK)
    })
}
