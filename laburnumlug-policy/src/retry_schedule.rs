//! Schedules the retries of refused requests.

use std::time::{Duration, Instant};

/// Assigns retry times to refused requests in the order of their refusals.
///
/// If all callers of a burst retried after the same delay, most would be refused again. The retries are spaced by the
/// interval at which slots are expected to become free.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// Scheduled retry time of the most recently refused request.
    last_retry_at: Option<Instant>,
}

impl RetrySchedule {
    /// Returns the retry delay of a request that is refused now.
    ///
    /// It is at least `earliest`, and the retry is at least `interval` after that of the previously refused request.
    pub fn next_delay(&mut self, now: Instant, earliest: Duration, interval: Duration) -> Duration {
        let next_retry_at = self.last_retry_at.map(|last| last + interval);
        let retry_at = next_retry_at.max(Some(now + earliest)).unwrap_or(now);
        self.last_retry_at = Some(retry_at);
        retry_at.saturating_duration_since(now)
    }
}

#[cfg(test)]
#[path = "retry_schedule_tests.rs"]
mod tests;
