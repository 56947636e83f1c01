//! Limit of the requests that are sent more than once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts into which the window is divided.
const PARTS: u32 = 10;

/// Sends that are allowed before the first request was counted.
const FREE_SENDS: f64 = 2.0;

/// Allows further sends of requests as a share of the requests within a sliding window.
///
/// A process that has just started has counted nothing and so is allowed next to nothing: several processes share
/// one limit, and each spends only what its own requests earn.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    ratio: f64,
    window: Duration,
    /// Begin, requests and further sends of each part, oldest first.
    parts: VecDeque<(Instant, u64, u64)>,
}

impl RetryAllowance {
    /// Creates an allowance of `ratio` further sends for each request within `window`.
    pub fn new(ratio: f64, window: Duration) -> RetryAllowance {
        RetryAllowance {
            ratio,
            window,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request that was sent for the first time.
    pub fn note_request(&mut self, now: Instant) {
        self.part(now).1 += 1;
    }

    /// Takes one further send; returns `false` where none is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.part(now);
        let requests: u64 = self.parts.iter().map(|part| part.1).sum();
        let sends: u64 = self.parts.iter().map(|part| part.2).sum();
        let allowed = self.ratio * requests as f64 + FREE_SENDS;
        let is_allowed = (sends + 1) as f64 <= allowed;
        if is_allowed {
            self.part(now).2 += 1;
        }
        is_allowed
    }

    /// Returns the present part and drops those that have left the window.
    fn part(&mut self, now: Instant) -> &mut (Instant, u64, u64) {
        let is_old = |begin: Instant, age| now.saturating_duration_since(begin) >= age;
        while self
            .parts
            .front()
            .is_some_and(|part| is_old(part.0, self.window))
        {
            self.parts.pop_front();
        }
        let is_new = match self.parts.back() {
            Some(part) => is_old(part.0, self.window / PARTS),
            None => true,
        };
        if is_new {
            self.parts.push_back((now, 0, 0));
        }
        self.parts.back_mut().expect("a part was pushed above")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn try_take_share_of_requests() {
        let now = Instant::now();
        let mut allowance = RetryAllowance::new(0.2, Duration::from_secs(10));
        let taken = |allowance: &mut RetryAllowance, now| {
            std::iter::repeat_with(|| allowance.try_take(now))
                .take_while(|taken| *taken)
                .count()
        };
        assert_eq!(taken(&mut allowance, now), 2);
        for _ in 0..50 {
            allowance.note_request(now);
        }
        assert_eq!(taken(&mut allowance, now), 10);
        assert_eq!(taken(&mut allowance, now + Duration::from_secs(20)), 2);
    }
}
