//! Guards against accepted edits that some host does not know, and against a fleet that stops
//! working during a store outage.

use std::time::{Duration, Instant};

use marjorampick_link::exit::Exit;

use crate::support::{Platform, document, host_name, wait_until};

/// Bound within which a change is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Longer than a confirmation by the store is valid.
const OUTAGE: Duration = Duration::from_millis(3500);

#[test]
fn an_accepted_edit_is_known_everywhere_and_a_store_outage_stops_only_edits() {
    let platform = Platform::start(0, 3);
    let mut hosts = platform.start_hosts();

    let started = Instant::now();
    let revision = hosts[1].edit_document(0, &document(1)).expect("an accepted edit");
    for host in &hosts {
        let remaining = IN_FORCE_BOUND.saturating_sub(started.elapsed());
        wait_until(remaining, "the edit is known", || host.revision() >= revision);
    }
    let stale =
        hosts[2].edit_document(0, &document(2)).expect_err("an edit of an outdated revision");
    assert_eq!(stale.exit, Exit::Conflict);
    let invalid = hosts[2].edit_document(revision, "service = 1").expect_err("an invalid document");
    assert_eq!(invalid.exit, Exit::Invalid);
    assert!(invalid.text.contains("line 1: service"), "{invalid}");

    platform.stop_store();
    std::thread::sleep(OUTAGE);
    assert!(
        hosts.iter().all(|host| host.is_current()),
        "a host is not current during the store outage"
    );
    let refused = hosts[0].edit_document(revision, &document(3)).expect_err("a refused edit");
    assert_eq!(refused.exit, Exit::Unavailable, "{refused}");
    let all: Vec<String> = (0..3).map(host_name).collect();
    assert!(hosts.iter().all(|host| host.looked_up_names().as_ref() == Some(&all)));

    hosts[2].kill();
    hosts[2] = platform.start_host(2);
    wait_until(IN_FORCE_BOUND, "the restarted host is a current guest", || {
        let status = hosts[2].status();
        let is_guest = status["member"] == false && status["current"] == true;
        is_guest && status["revision"] == revision && hosts[2].looked_up_names().is_some()
    });

    platform.start_store();
    wait_until(2 * IN_FORCE_BOUND, "the restarted host is a member again", || {
        hosts[2].status()["member"] == true
    });
}

#[test]
fn a_stopped_host_leaves_look_ups_at_once_and_then_the_members() {
    let platform = Platform::start(1, 3);
    let mut hosts = platform.start_hosts();
    hosts[0].edit_document(0, &document(1)).expect("an accepted edit");
    let others = [host_name(0), host_name(1)];
    wait_until(IN_FORCE_BOUND, "look-ups are answered", || hosts[0].looked_up_names().is_some());

    hosts[2].signal("-TERM");
    let removal = wait_until(IN_FORCE_BOUND, "look-ups no longer return the host", || {
        hosts.iter().all(|host| host.looked_up_names().as_deref() == Some(&others))
    });
    assert!(removal < Duration::from_secs(1), "removal from look-ups took {removal:?}");
    let status = hosts[2].wait_for_exit(Duration::from_secs(8));
    assert!(status.success(), "{status}");
    wait_until(IN_FORCE_BOUND, "the host has left the members", || {
        let members = hosts[0].status()["members"].as_array().map(Vec::len);
        members == Some(2)
    });
}
