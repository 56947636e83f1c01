//! Detection of pauses of this process, in which signals were not delivered.

use std::time::{Duration, Instant};

/// Delay of a check from which the process is taken to have been paused or out of processor time.
const MAX_DELAY: Duration = Duration::from_millis(50);

/// Bounds how long ago a signal was sent that this process notices, by checks at a fixed interval.
///
/// A process that is paused, or gets no processor time, notices a signal when it runs again, and at the next check at the latest.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    interval: Duration,
    checked_at: Instant,
    /// Time before which no signal was pending.
    ran_until: Instant,
}

impl PauseDetector {
    /// Creates a detector whose first check is at `now`.
    pub fn new(now: Instant, interval: Duration) -> PauseDetector {
        PauseDetector {
            interval,
            checked_at: now,
            ran_until: now,
        }
    }

    /// Records a check at which no signal was noticed.
    ///
    /// Right after a pause, a signal may be pending that has not been noticed yet, so that a late check only proves that none was
    /// pending at the check before it.
    pub fn record_check(&mut self, now: Instant) {
        self.ran_until = match self.is_on_time(now, self.checked_at) {
            true => now,
            false => self.checked_at,
        };
        self.checked_at = now;
    }

    /// Returns the earliest time at which a signal may have been sent that is noticed at `now`: about `now`, or the beginning of
    /// the pause that ended just before.
    pub fn signalled_since(&self, now: Instant) -> Instant {
        match self.is_on_time(now, self.ran_until) {
            true => now,
            false => self.ran_until,
        }
    }

    fn is_on_time(&self, now: Instant, last: Instant) -> bool {
        now.saturating_duration_since(last) <= self.interval + MAX_DELAY
    }
}

#[cfg(test)]
#[path = "pause_detector_tests.rs"]
mod tests;
