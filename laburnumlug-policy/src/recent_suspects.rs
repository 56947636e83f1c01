//! Latest requests that ended early at a target and may have crashed it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::crash_attribution::Suspect;

/// How long a request is kept; a crash is noticed within that time. Requests that ended earlier are not the cause, as targets
/// drop requests whose connections close.
const RETENTION: Duration = Duration::from_millis(200);

/// Maximum number of requests.
const MAX_REQUESTS: usize = 64;

/// Suspects of the latest requests that ended early at a target, and may have crashed it.
#[derive(Clone, Debug, Default)]
pub struct RecentSuspects {
    requests: VecDeque<(Instant, Vec<Suspect>)>,
}

impl RecentSuspects {
    /// Adds the suspects of a request that ends now.
    pub fn push(&mut self, now: Instant, suspects: Vec<Suspect>) {
        self.evict(now);
        if self.requests.len() == MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((now, suspects));
    }

    /// Removes all requests and returns the suspects of those that are not older than the retention time.
    pub fn take(&mut self, now: Instant) -> Vec<Suspect> {
        self.evict(now);
        let requests = self.requests.drain(..);
        requests.flat_map(|(_, suspects)| suspects).collect()
    }

    fn evict(&mut self, now: Instant) {
        let is_old = |ended_at: Instant| now.saturating_duration_since(ended_at) >= RETENTION;
        while self
            .requests
            .front()
            .is_some_and(|request| is_old(request.0))
        {
            self.requests.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn take_recent_only() {
        let now = Instant::now();
        let mut requests = RecentSuspects::default();
        requests.push(now, vec![Suspect::Part(1)]);
        requests.push(now + RETENTION / 2, vec![Suspect::Part(2)]);
        assert_eq!(requests.take(now + RETENTION), [Suspect::Part(2)]);
        assert!(requests.take(now + RETENTION).is_empty());
    }

    #[test]
    fn push_is_bounded() {
        let now = Instant::now();
        let mut requests = RecentSuspects::default();
        for content in 0..1000 {
            requests.push(now, vec![Suspect::Content(content)]);
        }
        assert_eq!(requests.take(now).len(), MAX_REQUESTS);
    }
}
