//! Rate limit on requests that a target states for all gateways together.

use std::time::{Duration, Instant};

/// Lowest rate at which requests are sent. A target that states a lower one, or zero, is tried now and then, as only its
/// responses tell when its limit ends.
const MIN_REQUESTS_PER_SECOND: f64 = 0.25;

/// Highest rate that is told from no limit.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;

/// Time by which requests may be ahead of an even spacing at the stated rate.
const MAX_BURST_TIME: Duration = Duration::from_millis(500);

/// Share of a request's latency objective for which it may wait until the limit of a target allows it. While the limits of
/// all targets are exceeded, each request that is not refused waits that long, and has to be on time all the same.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Returns how long a request with this latency objective may wait until the limit of a target allows it.
pub fn max_limit_wait(objective: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_SHARE)
}

/// Requests to a target that states how many per second it accepts from all gateways together.
///
/// Each gateway counts its own requests and those that its peers report, and spaces them evenly (GCRA). Reports arrive
/// within a fraction of a second; requests sent meanwhile delay the later ones, so that the mean rate is kept.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    /// Stated rate, or `None` without a limit.
    requests_per_second: Option<f64>,
    /// When the target made the newest statement.
    stated_at: Option<Instant>,
    /// Time of the next request in an even spacing of the requests so far.
    next_at: Option<Instant>,
}

impl RequestLimit {
    /// Records what a target stated at `stated_at` and returns whether the limit has changed. An older statement than the
    /// newest is ignored.
    pub fn record_statement(
        &mut self,
        stated_at: Instant,
        requests_per_second: Option<f64>,
    ) -> bool {
        if self.stated_at.is_some_and(|newest| stated_at < newest) {
            return false;
        }
        self.stated_at = Some(stated_at);
        let limit = requests_per_second.filter(|limit| *limit < MAX_REQUESTS_PER_SECOND);
        if limit == self.requests_per_second {
            return false;
        }
        if self.requests_per_second.is_none() {
            // The target has received more than its limit until now.
            self.next_at = Some(stated_at + MAX_BURST_TIME);
        }
        self.requests_per_second = limit;
        true
    }

    /// Returns the stated rate, or `None` without a limit.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.requests_per_second
    }

    /// Returns when the target made the newest statement.
    pub fn stated_at(&self) -> Option<Instant> {
        self.stated_at
    }

    /// Returns how long a request has to wait to keep within the limit.
    pub fn wait(&self, now: Instant) -> Duration {
        match (self.requests_per_second, self.next_at) {
            (Some(_), Some(next_at)) => next_at.saturating_duration_since(now + MAX_BURST_TIME),
            _ => Duration::ZERO,
        }
    }

    /// Counts a request, of this process or of another one, and returns when it may be sent.
    pub fn reserve(&mut self, now: Instant) -> Instant {
        let send_at = now + self.wait(now);
        if let Some(limit) = self.requests_per_second {
            let interval = Duration::from_secs_f64(1.0 / limit.max(MIN_REQUESTS_PER_SECOND));
            let next_at = self.next_at.map_or(now, |next_at| next_at.max(now));
            self.next_at = Some(next_at + interval);
        }
        send_at
    }
}

#[cfg(test)]
#[path = "request_limit_tests.rs"]
mod tests;
