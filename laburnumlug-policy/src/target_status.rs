//! What a target states about the requests that it accepts.

use std::time::{Duration, Instant};

use crate::request_limit::RequestLimit;

/// Maximum time for which a target may ask for no requests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 3600);

/// Reason why a target gets no requests, by its own statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decline {
    /// It is leaving.
    Leaving,
    /// It has refused a request and asked this process for no further ones until later.
    RetryAfter,
}

impl Decline {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Decline::Leaving => "leaving",
            Decline::RetryAfter => "retry-after",
        }
    }
}

/// Statements of one target about the requests that it accepts.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetStatus {
    /// When the target stated that it is leaving, which is final.
    leaving_since: Option<Instant>,
    /// When the target made the newest statement on how long it wants no requests, and when that time ends.
    retry_after: Option<(Instant, Instant)>,
    /// Limit on the requests of all gateways together.
    pub limit: RequestLimit,
}

impl TargetStatus {
    /// Records that the target is leaving, and returns whether that is new.
    pub fn record_leaving(&mut self, now: Instant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that the target wants no requests of this process for some time. A shorter time does not end a longer one
    /// that it stated before.
    pub fn record_retry_after(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(MAX_RETRY_AFTER);
        if self.retry_after.is_none_or(|(_, before)| before < until) {
            self.retry_after = Some((now, until));
        }
    }

    /// Returns why the target gets no requests and the age of that statement, or `None` if it accepts them.
    pub fn decline(&self, now: Instant) -> Option<(Decline, Duration)> {
        let age = |stated_at| now.saturating_duration_since(stated_at);
        match (self.leaving_since, self.retry_after) {
            (Some(since), _) => Some((Decline::Leaving, age(since))),
            (None, Some((stated_at, until))) if now < until => {
                Some((Decline::RetryAfter, age(stated_at)))
            }
            _ => None,
        }
    }

    /// Returns whether the target has stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns the time until the target accepts a request, or `None` if it is leaving.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        if self.is_leaving() {
            return None;
        }
        let until = self.retry_after.map_or(now, |(_, until)| until);
        Some(
            until
                .saturating_duration_since(now)
                .max(self.limit.wait(now)),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn decline_until_retry_after() {
        let now = Instant::now();
        let mut status = TargetStatus::default();
        assert_eq!(status.decline(now), None);
        status.record_retry_after(now, 3 * SECOND);
        status.record_retry_after(now + SECOND, SECOND);
        let declined = status.decline(now + 2 * SECOND);
        assert_eq!(declined, Some((Decline::RetryAfter, 2 * SECOND)));
        assert_eq!(status.wait(now + 2 * SECOND), Some(SECOND));
        assert_eq!(status.decline(now + 3 * SECOND), None);
        assert_eq!(status.wait(now + 3 * SECOND), Some(Duration::ZERO));
    }

    #[test]
    fn record_retry_after_huge_is_bounded() {
        let now = Instant::now();
        let mut status = TargetStatus::default();
        status.record_retry_after(now, Duration::MAX);
        assert!(status.decline(now + MAX_RETRY_AFTER - SECOND).is_some());
        assert_eq!(status.decline(now + MAX_RETRY_AFTER), None);
    }

    #[test]
    fn record_leaving_is_final() {
        let now = Instant::now();
        let mut status = TargetStatus::default();
        assert!(status.record_leaving(now));
        assert!(!status.record_leaving(now + SECOND));
        let declined = status.decline(now + 3600 * SECOND);
        assert_eq!(declined, Some((Decline::Leaving, 3600 * SECOND)));
        assert_eq!(status.wait(now), None);
    }
}
