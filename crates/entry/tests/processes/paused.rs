//! Guards against a peer connection that stays broken after a host was paused with SIGSTOP, and
//! against a host that still counts as current when it resumes.

use std::time::Duration;

use crate::support::{Platform, document, wait_until};

/// Longer than the idle timeout of a peer connection, and than a host stays current without new
/// evidence.
const PAUSE: Duration = Duration::from_secs(4);

#[test]
fn a_paused_host_comes_back_and_hears_of_edits_again() {
    let platform = Platform::start(2, 2);
    let hosts = platform.start_hosts();
    let revision = hosts[0].edit_document(0, &document(1)).expect("an accepted edit");

    hosts[1].signal("-STOP");
    std::thread::sleep(PAUSE);
    assert!(hosts[0].is_current(), "not current although the store runs");
    hosts[1].signal("-CONT");
    let recovery =
        wait_until(Duration::from_secs(3), "the paused host is current", || hosts[1].is_current());
    println!("current again after {} ms", recovery.as_millis());

    // An edit is accepted only if both hosts hold it, so messages pass in both directions.
    let next = hosts[0].edit_document(revision, &document(2));
    let next = next.expect("an edit accepted by both");
    assert!(hosts[1].revision() >= next);
}
