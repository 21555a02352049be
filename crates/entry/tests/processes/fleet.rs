//! Guards against edits that are accepted but unknown somewhere, and against a fleet that stops when
//! the store is away.

use std::time::{Duration, Instant};

use marjorampick_link::exit::Exit;

use crate::support::{Platform, document, eventually, name};

/// Bound within which a change is in force everywhere.
const BOUND: Duration = Duration::from_secs(4);

/// Longer than a confirmation of the store lasts.
const OUTAGE: Duration = Duration::from_millis(3500);

#[test]
fn an_accepted_edit_is_known_everywhere_and_a_store_outage_stops_only_edits() {
    let platform = Platform::start(0, 3);
    let mut hosts = platform.hosts();

    let started = Instant::now();
    let revision = hosts[1].edit(0, &document(1)).expect("an accepted edit");
    for host in &hosts {
        let left = BOUND.saturating_sub(started.elapsed());
        eventually(left, "the edit is known", || host.revision() >= revision);
    }
    let stale = hosts[2].edit(0, &document(2)).expect_err("a lost race");
    assert_eq!(stale.exit, Exit::Conflict);
    let invalid = hosts[2].edit(revision, "service = 1").expect_err("an invalid document");
    assert_eq!(invalid.exit, Exit::Invalid);
    assert!(invalid.text.contains("line 1: service"), "{invalid}");

    platform.stop_store();
    std::thread::sleep(OUTAGE);
    assert!(hosts.iter().all(|host| host.is_current()), "current by the members");
    let refused = hosts[0].edit(revision, &document(3)).expect_err("a refused edit");
    assert_eq!(refused.exit, Exit::Unavailable, "{refused}");
    let all: Vec<String> = (0..3).map(name).collect();
    assert!(hosts.iter().all(|host| host.look_up().as_ref() == Some(&all)));

    hosts[2].crash();
    hosts[2] = platform.host(2);
    eventually(BOUND, "the restarted host is a current guest", || {
        let status = hosts[2].status();
        let is_guest = status["member"] == false && status["current"] == true;
        is_guest && status["revision"] == revision && hosts[2].look_up().is_some()
    });

    platform.start_store();
    eventually(2 * BOUND, "the restarted host is a member again", || {
        hosts[2].status()["member"] == true
    });
}

#[test]
fn a_stopped_host_leaves_look_ups_at_once_and_then_the_members() {
    let platform = Platform::start(1, 3);
    let mut hosts = platform.hosts();
    hosts[0].edit(0, &document(1)).expect("an accepted edit");
    let others = [name(0), name(1)];
    eventually(BOUND, "look-ups are answered", || hosts[0].look_up().is_some());

    hosts[2].signal("-TERM");
    let left_out = eventually(BOUND, "look-ups leave the host out", || {
        hosts.iter().all(|host| host.look_up().as_deref() == Some(&others))
    });
    assert!(left_out < Duration::from_secs(1), "took {left_out:?}");
    let status = hosts[2].ended(Duration::from_secs(8));
    assert!(status.success(), "{status}");
    eventually(BOUND, "the host has left the members", || {
        let members = hosts[0].status()["members"].as_array().map(Vec::len);
        members == Some(2)
    });
}
