//! Retry budget over a sliding window of requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of buckets that the sliding window is divided into.
const BUCKETS: u32 = 10;

/// Limits retries to a ratio of the requests within a sliding window, plus a fixed slack.
///
/// Several processes share one limit, and each may spend only what its own requests have earned. A process that has
/// just started has counted no requests, so it is allowed hardly any retries.
///
/// The limit holds for every window of the configured length, wherever it begins: none contains more retries than
/// the requests in it allow.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    /// Retries allowed per window in addition to `ratio`.
    slack: f64,
    /// Start time, requests and retries of each bucket, oldest first.
    buckets: VecDeque<(Instant, u64, u64)>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request within `window`, plus `slack` retries.
    pub fn new(ratio: f64, window: Duration, slack: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            window,
            slack,
            buckets: VecDeque::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).1 += 1;
    }

    /// Spends one retry, or returns `false` if the budget is exhausted.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.current_bucket(now);
        let is_in_window = |begin: Instant| now.saturating_duration_since(begin) < self.window;
        let buckets_in_window = self.buckets.iter().filter(|bucket| is_in_window(bucket.0));
        let requests: u64 = buckets_in_window.map(|bucket| bucket.1).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.2).sum();
        let allowed = self.ratio * requests as f64 + self.slack;
        let is_allowed = (retries + 1) as f64 <= allowed;
        if is_allowed {
            self.current_bucket(now).2 += 1;
        }
        is_allowed
    }

    /// Sets the number of retries allowed per window in addition to the ratio.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Sets the ratio, the window and the slack, and keeps the requests and retries that were counted.
    pub fn set_limit(&mut self, ratio: f64, window: Duration, slack: f64) {
        (self.ratio, self.window, self.slack) = (ratio, window, slack);
    }

    /// Returns the current bucket and drops those that have left the window.
    ///
    /// A retry may have been made up to one bucket length after the bucket's start, so a bucket is kept for one bucket
    /// length beyond the window.
    fn current_bucket(&mut self, now: Instant) -> &mut (Instant, u64, u64) {
        let has_age = |begin: Instant, age| now.saturating_duration_since(begin) >= age;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| has_age(bucket.0, self.window + self.window / BUCKETS))
        {
            self.buckets.pop_front();
        }
        let is_new = match self.buckets.back() {
            Some(bucket) => has_age(bucket.0, self.window / BUCKETS),
            None => true,
        };
        if is_new {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was pushed above")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn try_acquire_share_of_requests() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 2.0);
        let acquired = |budget: &mut RetryBudget, now| {
            std::iter::repeat_with(|| budget.try_acquire(now))
                .take_while(|acquired| *acquired)
                .count()
        };
        assert_eq!(acquired(&mut budget, now), 2);
        for _ in 0..50 {
            budget.record_request(now);
        }
        assert_eq!(acquired(&mut budget, now), 10);
        assert_eq!(acquired(&mut budget, now + Duration::from_secs(20)), 2);
    }

    /// Guards against retries that are allowed once more because the limit changed.
    #[test]
    fn set_limit_keeps_counts() {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 2.0);
        assert!(budget.try_acquire(now) && budget.try_acquire(now));
        budget.set_limit(0.0, Duration::from_secs(20), 2.0);
        assert!(!budget.try_acquire(now + Duration::from_secs(15)));
        budget.set_limit(0.0, Duration::from_secs(20), 3.0);
        assert!(budget.try_acquire(now + Duration::from_secs(15)));
    }

    /// Failures that begin late in a bucket and persist must not exceed the limit in a window that spans the buckets.
    #[test]
    fn try_acquire_any_window() {
        let window = Duration::from_secs(10);
        let start = Instant::now();
        let mut budget = RetryBudget::new(0.2, window, 0.0);
        let mut retries = Vec::new();
        for step in 0..6_000 {
            let now = start + Duration::from_millis(10 * step);
            budget.record_request(now);
            while step >= 2_090 && budget.try_acquire(now) {
                retries.push(now);
            }
        }
        let max_in_window = retries
            .iter()
            .map(|begin| {
                let end = *begin + window;
                retries
                    .iter()
                    .filter(|at| (*begin..end).contains(at))
                    .count()
            })
            .max();
        // Each window has 1,000 requests, so a ratio of 0.2 allows 200 retries.
        assert!(max_in_window <= Some(200), "{max_in_window:?}");
    }
}
