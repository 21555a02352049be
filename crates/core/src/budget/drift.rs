//! Times that must have passed on all hosts, although their clocks run at different speeds.

use std::time::Duration;

use crate::constants::CLOCK_DRIFT_PERCENT;

/// Time on this host's clock in which `duration` passes on every other host's clock.
pub(super) fn with_drift(duration: Duration) -> Duration {
    duration * 100 / (100 - CLOCK_DRIFT_PERCENT) + Duration::from_nanos(1)
}
