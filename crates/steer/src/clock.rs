//! Clocks of the entry host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the system booted. It includes the time during which the machine was
/// suspended, which `CLOCK_MONOTONIC` leaves out.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Unix time in milliseconds of an earlier value of [`now`].
pub fn unix_milliseconds(at: Duration) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix_time = since_epoch.saturating_sub(now().saturating_sub(at));
    u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX)
}
