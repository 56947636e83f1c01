//! Latest requests that ended early at a target and may have crashed it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::crash_attribution::Suspect;
use crate::running_requests::{Progress, RunningRequest};

/// How long a request is kept; a crash is noticed within that time. Requests that ended earlier are not the cause, as targets
/// drop requests whose connections close.
const RETENTION: Duration = Duration::from_millis(200);

/// Maximum number of requests.
const MAX_REQUESTS: usize = 64;

/// Suspects of the latest requests that ended early at a target, and may have crashed it.
#[derive(Clone, Debug, Default)]
pub struct RecentSuspects {
    requests: VecDeque<(Instant, RunningRequest)>,
}

impl RecentSuspects {
    /// Adds a request that ends now.
    pub fn push(&mut self, now: Instant, request: RunningRequest) {
        self.evict(now);
        if self.requests.len() == MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((now, request));
    }

    /// Removes all requests and returns the suspects of those that are not older than the retention time, each with how far
    /// its requests had got at most. The parts of one prompt are in order.
    pub fn take(&mut self, now: Instant) -> Vec<(Suspect, Progress)> {
        self.evict(now);
        let mut taken: Vec<(Suspect, Progress)> = Vec::new();
        for (ended_at, request) in self.requests.drain(..) {
            let progress = request.progress(ended_at);
            for suspect in request.suspects() {
                match taken.iter_mut().find(|(known, _)| known == suspect) {
                    Some((_, furthest)) => *furthest = progress.max(*furthest),
                    None => taken.push((*suspect, progress)),
                }
            }
        }
        taken
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

    fn request(sent_at: Instant, suspect: Suspect) -> RunningRequest {
        RunningRequest::new(sent_at, vec![suspect], Duration::ZERO)
    }

    fn take(requests: &mut RecentSuspects, now: Instant) -> Vec<Suspect> {
        let taken = requests.take(now).into_iter();
        taken.map(|(suspect, _)| suspect).collect()
    }

    #[test]
    fn take_recent_only() {
        let now = Instant::now();
        let mut requests = RecentSuspects::default();
        requests.push(now, request(now, Suspect::Part(1)));
        requests.push(now + RETENTION / 2, request(now, Suspect::Part(2)));
        assert_eq!(take(&mut requests, now + RETENTION), [Suspect::Part(2)]);
        assert!(requests.take(now + RETENTION).is_empty());
    }

    /// The request that had got furthest counts, as it may be the one that crashed the target.
    #[test]
    fn take_furthest_progress() {
        let now = Instant::now();
        let later = now + Duration::from_millis(100);
        let mut requests = RecentSuspects::default();
        let furthest = request(now, Suspect::Part(1));
        let progress = furthest.progress(later);
        requests.push(later, furthest);
        requests.push(later, request(later, Suspect::Part(1)));
        assert_eq!(requests.take(later), [(Suspect::Part(1), progress)]);
    }

    #[test]
    fn push_is_bounded() {
        let now = Instant::now();
        let mut requests = RecentSuspects::default();
        for content in 0..1000 {
            requests.push(now, request(now, Suspect::Content(content)));
        }
        assert_eq!(requests.take(now).len(), MAX_REQUESTS);
    }
}
