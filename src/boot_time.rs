//! Clock that includes the time for which the machine was suspended.

use std::ops::Add;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine was started, including the time for which it was suspended.
///
/// [`std::time::Instant`] stops while a Linux machine is suspended. Information from before a suspension would look recent
/// when the machine resumes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use laburnumlug::BootTime;
///
/// let confirmed_at = BootTime::from_reading(Duration::from_secs(60));
/// let now = BootTime::from_reading(Duration::from_secs(65));
/// assert_eq!(now.saturating_duration_since(confirmed_at), Duration::from_secs(5));
/// assert_eq!(confirmed_at.saturating_duration_since(now), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the present time.
    pub fn now() -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        // The clock counts up from 0, and its nanoseconds are below 10^9.
        BootTime(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Returns the time of a given reading of the clock.
    pub const fn from_reading(since_boot: Duration) -> BootTime {
        BootTime(since_boot)
    }

    /// Returns the time since the machine was started.
    pub const fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the time that has passed since `earlier`, or zero if that is later.
    pub fn saturating_duration_since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `duration` before this one, but not before the machine was started.
    pub fn saturating_sub(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, duration: Duration) -> BootTime {
        BootTime(self.0 + duration)
    }
}

#[cfg(test)]
#[path = "boot_time_tests.rs"]
mod tests;
