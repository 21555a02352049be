//! Clock of all decisions.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the start of the system, including the time that the machine was suspended, which the
/// usual steady clock leaves out.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
