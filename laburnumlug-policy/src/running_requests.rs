//! Tracks how far the requests have got that a target runs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::crash_attribution::Suspect;

/// Time after its first event within which a stream still counts as beginning to be decoded.
pub const DECODE_START_TIME: Duration = Duration::from_millis(200);

/// Added to the expected time until an answer begins, which is zero where nothing has to be prefilled.
const START_OVERHEAD: Duration = Duration::from_millis(50);

/// Progress of a request at its first event, which is above that of all requests without one.
const FIRST_EVENT_PROGRESS: Progress = 1_000_000;

/// How far a target has got with a request, comparable between requests.
///
/// Until the first event, it is the time that the request has run, in thousandths of the time after which its answer was
/// expected to begin. From then on, it grows with the time since the first event.
pub type Progress = u64;

/// Share of the progress at a crash, in thousandths, from which a request has got nearly as far.
const NEARLY_AS_FAR: u64 = 900;

/// Number of running requests from which it matters how many have got nearly as far.
const MIN_COMPARED: usize = 4;

/// Returns whether requests with a suspect run at other targets although they have got as far as those of a crashed target,
/// whose progress was `at_crash`. Then they have nothing to do with the crash.
///
/// What crashes targets crashes each one that gets as far. If most requests have got nearly as far as the furthest of the crashed
/// target, they were sent at about the same time, and which of them was first says nothing.
pub fn has_been_outlasted(at_crash: Progress, running: &[Progress]) -> bool {
    let nearly = at_crash.saturating_mul(NEARLY_AS_FAR) / 1000;
    let nearly_as_far = running.iter().filter(|progress| **progress >= nearly);
    let are_most = 2 * nearly_as_far.count() > running.len() && running.len() >= MIN_COMPARED;
    are_most || running.iter().any(|progress| *progress >= at_crash)
}

/// Identifies a running request at its target.
pub type RunId = u64;

/// A request that a target runs.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    suspects: Vec<Suspect>,
    sent_at: Instant,
    expected: Duration,
    first_event_at: Option<Instant>,
}

impl RunningRequest {
    /// Creates a request that is sent now, and whose answer is expected to begin after `expected`.
    pub fn new(now: Instant, suspects: Vec<Suspect>, expected: Duration) -> RunningRequest {
        RunningRequest {
            suspects,
            sent_at: now,
            expected: expected.saturating_add(START_OVERHEAD),
            first_event_at: None,
        }
    }

    /// Returns what the request has that may crash its target.
    pub fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }

    /// Returns how far the target has got with the request.
    pub fn progress(&self, now: Instant) -> Progress {
        let since = |at: Instant| now.saturating_duration_since(at);
        match self.first_event_at {
            Some(at) => FIRST_EVENT_PROGRESS.saturating_add(since(at).as_millis() as u64),
            None => {
                let thousandths =
                    1000 * since(self.sent_at).as_micros() / self.expected.as_micros().max(1);
                FIRST_EVENT_PROGRESS.min(thousandths as u64)
            }
        }
    }

    /// Returns whether the target has begun to decode the request, and has gone on for long enough that the request does not
    /// crash it.
    pub fn has_outlasted_start(&self, now: Instant) -> bool {
        let outlasted = |at: Instant| now.saturating_duration_since(at) >= DECODE_START_TIME;
        self.first_event_at.is_some_and(outlasted)
    }
}

/// Requests that a target runs.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    last_id: RunId,
    requests: HashMap<RunId, RunningRequest>,
    /// When the target last crashed. The ends of requests that were sent before are not all known at once.
    crashed_at: Option<Instant>,
}

impl RunningRequests {
    /// Adds a request.
    pub fn begin(&mut self, request: RunningRequest) -> RunId {
        self.last_id += 1;
        self.requests.insert(self.last_id, request);
        self.last_id
    }

    /// Records the first event of a request.
    pub fn mark_decoding(&mut self, now: Instant, id: RunId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_event_at = Some(now);
        }
    }

    /// Returns a request, unless it has ended.
    pub fn get(&self, id: RunId) -> Option<&RunningRequest> {
        self.requests.get(&id)
    }

    /// Removes a request and returns it, unless it has ended before.
    pub fn end(&mut self, id: RunId) -> Option<RunningRequest> {
        self.requests.remove(&id)
    }

    /// Records a crash of the target, which ends its requests.
    pub fn record_crash(&mut self, at: Instant) {
        self.crashed_at = self.crashed_at.max(Some(at));
    }

    /// Adds the progress of each request to that of its suspects, of those that the map has.
    pub fn collect_progress(
        &self,
        now: Instant,
        progress_of: &mut HashMap<Suspect, Vec<Progress>>,
    ) {
        let is_lost =
            |request: &RunningRequest| self.crashed_at.is_some_and(|at| request.sent_at <= at);
        for request in self.requests.values().filter(|request| !is_lost(request)) {
            for suspect in &request.suspects {
                if let Some(progress) = progress_of.get_mut(suspect) {
                    progress.push(request.progress(now));
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "running_requests_tests.rs"]
mod tests;
