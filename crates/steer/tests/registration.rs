//! Tests of the transactions with which hosts take and remove seats.

use marjorampick_steer::registration::{HOSTS_PREFIX, SEATS_PREFIX, seat_removal};

/// A host may register again while others remove its seat. The removal must then fail, or the host
/// would go on with a share that the others divide among themselves.
#[test]
fn the_seat_of_a_registered_host_is_not_removed() {
    let transaction = seat_removal("entry-1");
    assert_eq!(transaction.conditions, [(format!("{HOSTS_PREFIX}entry-1"), 0)]);
    assert_eq!(transaction.removals, [format!("{SEATS_PREFIX}entry-1")]);
}
