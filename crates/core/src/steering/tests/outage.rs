//! Tests of what a host concludes from a silence of the store.

use std::time::Duration;

use super::{
    super::outage::{OUTAGE_THRESHOLD, Others, REREGISTRATION_GRACE, Recovery},
    support::at,
};

fn recovery(silence: Duration, others: Others) -> Recovery {
    let mut recovery = Recovery::default();
    recovery.record(at(0), silence, others);
    recovery
}

/// On seed 110 of the incident DRAIN, hosts that the store refused took their silence for an outage and
/// went on sending to an instance that had left, though five of twelve hosts had been served.
#[test]
fn a_silence_in_which_another_host_was_served_is_no_outage() {
    let others = Others::count([false, false, true].into_iter());
    let refused = recovery(OUTAGE_THRESHOLD, others);
    assert_eq!(refused.reregistration_deadline(at(0)), None);
}

/// After an outage all leases have ended, and instances must be kept until they are registered again.
#[test]
fn entries_are_kept_after_an_outage() {
    for others in [Others::count([false, false].into_iter()), Others::default()] {
        let after_outage = recovery(OUTAGE_THRESHOLD, others);
        let deadline = at(0) + REREGISTRATION_GRACE;
        assert_eq!(after_outage.reregistration_deadline(at(100)), Some(deadline), "{others:?}");
        assert_eq!(after_outage.reregistration_deadline(deadline), None, "{others:?}");
    }
    let short = recovery(OUTAGE_THRESHOLD / 2, Others::default());
    assert_eq!(short.reregistration_deadline(at(0)), None, "no lease can have ended");
}

/// A silence of this host alone soon after an outage ends what the outage allowed.
#[test]
fn the_latest_silence_counts() {
    let mut recovery = recovery(OUTAGE_THRESHOLD, Others::default());
    recovery.record(at(1), OUTAGE_THRESHOLD, Others { known: 2, kept: 1 });
    assert_eq!(recovery.reregistration_deadline(at(2)), None);
}
