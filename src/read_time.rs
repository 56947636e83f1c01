//! Time at which information was requested.

use std::time::{Duration, Instant};

use crate::boot_time::BootTime;

/// Time at which information was requested, by a clock that stops while the machine is suspended and by one that does not.
///
/// What was received is at least as new as that. Its age by the second clock is its true one, while intervals between
/// actions of the process follow the first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadTime {
    /// Time that includes suspensions of the machine.
    pub boot: BootTime,
    /// Time without suspensions of the machine.
    pub monotonic: Instant,
}

impl ReadTime {
    /// Returns the present time.
    pub fn now() -> ReadTime {
        ReadTime {
            boot: BootTime::now(),
            monotonic: Instant::now(),
        }
    }

    /// Returns the time `age` before this one, or `None` if that is before the clock of the process began.
    pub fn checked_sub(self, age: Duration) -> Option<ReadTime> {
        Some(ReadTime {
            boot: self.boot.saturating_sub(age),
            monotonic: self.monotonic.checked_sub(age)?,
        })
    }
}
