//! Allowance for clocks that run at different speeds.

use std::time::Duration;

use crate::constants::CLOCK_DRIFT_PERCENT;

/// Time to wait on this host's clock so that at least `duration` has passed on every host's clock.
pub(super) fn with_drift_margin(duration: Duration) -> Duration {
    duration * 100 / (100 - CLOCK_DRIFT_PERCENT) + Duration::from_nanos(1)
}
