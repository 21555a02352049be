//! Tests that instances that leave or fail get no new requests and that working ones stay in use.

use super::*;
use crate::testing::check;

const WARMUP: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A late report, a response or a probe must not bring a leaving instance back.
#[test]
fn leaving_is_never_unlearned() {
    check(500, 256, |u| {
        let mut status = Status::new(Duration::ZERO, WARMUP);
        let mut now = Duration::ZERO;
        let mut leaving = false;
        while !u.is_empty() {
            let sent = now;
            now += at(u.int_in_range(0..=3000)?);
            match u.int_in_range(0..=30)? {
                0 => (leaving, _) = (true, status.record_shutdown()),
                1 => (leaving, _) = (true, status.set_listed_state(None)),
                2 => (leaving, _) = (true, status.set_listed_state(Some(ListedState::Leaving))),
                3 => (leaving, _) = (true, status.record_health(now, at(900), Health::Draining)),
                4..=8 => status.set_listed_state(Some(ListedState::Live)),
                9..=14 => status.record_health(now, at(0), Health::Serving),
                15..=19 => status.record_failure(now, sent),
                20 => status.record_probe(now),
                _ => status.record_success(now, sent),
            }
            assert_eq!(status.is_leaving(), leaving);
            assert!(!leaving || status.availability(now) == Availability::Unavailable);
            assert!(!leaving || !status.is_probe_due(now));
        }
        Ok(())
    });
}

/// The delay between probes of a dead instance must grow, and a response to a request from before
/// the ejection must not readmit the instance.
#[test]
fn ejected_instances_are_probed_with_growing_delays() {
    let mut status = Status::new(at(0), WARMUP);
    (0..2).for_each(|_| status.record_failure(at(20_000), at(19_000)));
    assert!(status.is_eligible(at(20_000)));
    status.record_failure(at(20_000), at(19_000));
    let mut now = at(20_000);
    for delay in [1, 2, 4, 8, 16, 32, 32] {
        status.record_success(now, at(19_900));
        assert_eq!(status.availability(now), Availability::Unavailable);
        assert!(!status.is_probe_due(now + at(1000 * delay - 1)));
        now += at(1000 * delay);
        assert!(status.is_probe_due(now));
        status.record_probe(now);
        assert!(!status.is_probe_due(now + at(500)) && status.is_probe_due(now + PROBE_TIMEOUT));
        status.record_failure(now, now);
    }
    now += MAX_PROBE_DELAY;
    status.record_success(now, now);
    assert_eq!(status.availability(now), Availability::Eligible(MIN_WARMUP_FRACTION));
    assert_eq!(status.availability(now + WARMUP / 2), Availability::Eligible(0.55));
    assert_eq!(status.availability(now + WARMUP), Availability::Eligible(1.0));
}

/// Newer responses to the host's own requests must override a health report, and a report must
/// expire if the health endpoint hangs.
#[test]
fn own_responses_override_health_reports() {
    let mut status = Status::new(at(0), Duration::ZERO);
    status.record_health(at(5000), at(2000), Health::Failing);
    status.record_health(at(5100), at(3000), Health::Serving);
    assert_eq!(status.availability(at(5100)), Availability::Degraded(1.0));
    assert!(status.is_eligible(at(3000) + HEALTH_REPORT_VALIDITY));
    status.record_success(at(5200), at(5100));
    assert!(status.is_eligible(at(5200)));
    (0..3).for_each(|_| status.record_failure(at(6000), at(5300)));
    status.record_health(at(6100), at(0), Health::Serving);
    assert_eq!(status.availability(at(6100)), Availability::Unavailable);
}

/// Timeouts on reused connections must not eject a working instance, and idle connections from
/// before such a timeout must not be reused.
#[test]
fn connections_that_may_hang_are_not_reused() {
    let mut status = Status::new(at(0), Duration::ZERO);
    (0..9).for_each(|_| status.record_timeout(at(5000), at(1000), false));
    assert!(status.is_eligible(at(5000)));
    assert!(!status.is_connection_reusable(at(4999)) && status.is_connection_reusable(at(5001)));
    (0..3).for_each(|_| status.record_timeout(at(6000), at(5500), true));
    assert!(!status.is_eligible(at(6000)));
}
