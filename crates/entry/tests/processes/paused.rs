//! Guards against a peer connection that stays dead after a pause, and against a paused host that
//! still takes itself for current when it goes on.

use std::time::Duration;

use crate::support::{Platform, document, eventually};

/// Longer than the idle timeout of a connection and than a host stays current.
const PAUSE: Duration = Duration::from_secs(4);

#[test]
fn a_paused_host_comes_back_and_hears_of_edits_again() {
    let platform = Platform::start(2, 2);
    let hosts = platform.hosts();
    let revision = hosts[0].edit(0, &document(1)).expect("an accepted edit");

    hosts[1].signal("-STOP");
    std::thread::sleep(PAUSE);
    assert!(hosts[0].is_current(), "current by the store");
    hosts[1].signal("-CONT");
    let back =
        eventually(Duration::from_secs(3), "the paused host is current", || hosts[1].is_current());
    println!("current again after {} ms", back.as_millis());

    // Accepted means that both have it, so that the edit shows messages in both directions.
    let next = hosts[0].edit(revision, &document(2));
    let next = next.expect("an edit accepted by both");
    assert!(hosts[1].revision() >= next);
}
