//! Limit of the requests that are sent more than once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts into which the window is divided.
const PARTS: u32 = 10;

/// Allows further sends of requests as a share of the requests within a sliding window.
///
/// A process that has just started has counted nothing and so is allowed next to nothing: several processes share
/// one limit, and each spends only what its own requests earn.
///
/// No window of the stated length, wherever it begins, has more sends than are allowed for the requests in it.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    ratio: f64,
    window: Duration,
    /// Sends that are allowed beyond that share.
    free: f64,
    /// Begin, requests and further sends of each part, oldest first.
    parts: VecDeque<(Instant, u64, u64)>,
}

impl RetryAllowance {
    /// Creates an allowance of `ratio` further sends for each request within `window`, and `free` more.
    pub fn new(ratio: f64, window: Duration, free: f64) -> RetryAllowance {
        RetryAllowance {
            ratio,
            window,
            free,
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
        let is_within = |begin: Instant| now.saturating_duration_since(begin) < self.window;
        let within = self.parts.iter().filter(|part| is_within(part.0));
        let requests: u64 = within.map(|part| part.1).sum();
        let sends: u64 = self.parts.iter().map(|part| part.2).sum();
        let allowed = self.ratio * requests as f64 + self.free;
        let is_allowed = (sends + 1) as f64 <= allowed;
        if is_allowed {
            self.part(now).2 += 1;
        }
        is_allowed
    }

    /// Changes how many sends are allowed beyond the share.
    pub fn set_free(&mut self, free: f64) {
        self.free = free;
    }

    /// Returns the present part and drops those that have left the window.
    ///
    /// The sends of a part were made up to a part's length after its begin, so it stays for that much longer.
    fn part(&mut self, now: Instant) -> &mut (Instant, u64, u64) {
        let is_old = |begin: Instant, age| now.saturating_duration_since(begin) >= age;
        while self
            .parts
            .front()
            .is_some_and(|part| is_old(part.0, self.window + self.window / PARTS))
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
        let mut allowance = RetryAllowance::new(0.2, Duration::from_secs(10), 2.0);
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

    /// Pattern: failures begin late in a part of the window and go on.
    #[test]
    fn try_take_any_window() {
        let window = Duration::from_secs(10);
        let start = Instant::now();
        let mut allowance = RetryAllowance::new(0.2, window, 0.0);
        let mut sends = Vec::new();
        for step in 0..6_000 {
            let now = start + Duration::from_millis(10 * step);
            allowance.note_request(now);
            while step >= 2_090 && allowance.try_take(now) {
                sends.push(now);
            }
        }
        let most = sends
            .iter()
            .map(|begin| {
                let end = *begin + window;
                sends.iter().filter(|at| (*begin..end).contains(at)).count()
            })
            .max();
        // A window has 1,000 requests.
        assert!(most <= Some(200), "{most:?}");
    }
}
