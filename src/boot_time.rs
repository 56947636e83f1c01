//! Local time that goes on while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine was started, including the time for which it was suspended.
///
/// [`Instant`](std::time::Instant) stands still while a machine is suspended, so that it cannot tell how old something is
/// that others may have superseded meanwhile.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or(0))
}
