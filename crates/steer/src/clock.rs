//! Monotonic clock of the entry host.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the system booted. It includes the time during which the machine was
/// suspended, which `CLOCK_MONOTONIC` leaves out.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
