//! Tests of what a host that stops still takes.

use std::time::Duration;

use super::support::at;
use crate::steering::grace::Period;

const SHORT: Option<Duration> = Some(Duration::from_millis(800));

fn period() -> Period {
    Period::start(at(0), Duration::from_millis(5750))
}

/// Guards against a request that is cut when the process ends (review/5): 3.25 s after the stop began, it
/// may take 6 s, and 2.5 s are left.
#[test]
fn a_late_request_is_taken_only_if_its_time_limit_fits() {
    for usual in [None, SHORT] {
        assert!(!period().allows(at(3250), at(9250), usual), "usual: {usual:?}");
        assert!(period().allows(at(3250), at(5750), usual), "usual: {usual:?}");
    }
}

/// Guards against a host that refuses its callers as soon as it stops, although nearly all of their requests
/// would end in time.
#[test]
fn an_early_request_is_taken_if_such_requests_usually_end() {
    assert!(period().allows(at(500), at(6500), SHORT));
    let long = Some(Duration::from_secs(2));
    assert!(!period().allows(at(500), at(6500), long), "a third of the rest is not enough");
    assert!(!period().allows(at(500), at(6500), None), "nothing is known of such requests");
}
