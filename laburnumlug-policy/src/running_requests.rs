//! Tracks how far the requests have got that a target runs.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::crash_attribution::{SAME_CRASH_TIME, Suspect};

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

/// Share of the progress at a crash, in thousandths, from which a target has got nearly as far.
const NEARLY_AS_FAR: u64 = 900;

/// Number of targets that must have got as far.
const MIN_AS_FAR: usize = 2;

/// Number of targets from which it matters how many have got nearly as far.
const MIN_COMPARED: usize = 4;

/// Returns whether requests with a suspect run at other targets that have got as far as a crashed one, so that the suspect has
/// nothing to do with the crash. `at_crash` is the progress of its furthest request there, and `elsewhere` that at each other
/// target which runs any.
///
/// What crashes targets crashes each one that gets as far. Progress is the time that has passed, so a single target may only be
/// slow, and is no evidence. If most have got nearly as far, the requests were sent at about the same time, and which was
/// first says nothing.
pub fn has_been_outlasted(at_crash: Progress, elsewhere: &[Progress]) -> bool {
    let count_from = |least: Progress| elsewhere.iter().filter(|p| **p >= least).count();
    let as_far = count_from(at_crash);
    let nearly_as_far = count_from(at_crash.saturating_mul(NEARLY_AS_FAR) / 1000);
    let are_most = 2 * nearly_as_far > elsewhere.len() && elsewhere.len() >= MIN_COMPARED;
    are_most || (as_far >= MIN_AS_FAR && 4 * as_far >= elsewhere.len())
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

    /// Records a crash of the target, which ends its requests, and returns whether it has not been reported before.
    pub fn record_crash(&mut self, at: Instant) -> bool {
        let known = self.crashed_at;
        self.crashed_at = known.max(Some(at));
        known.is_none_or(|known| known + SAME_CRASH_TIME <= at)
    }

    /// Returns how far the furthest request with each of some suspects has got, if there is any.
    pub fn furthest(
        &self,
        now: Instant,
        suspects: &HashSet<Suspect>,
    ) -> HashMap<Suspect, Progress> {
        let is_lost =
            |request: &RunningRequest| self.crashed_at.is_some_and(|at| request.sent_at <= at);
        let mut furthest: HashMap<Suspect, Progress> = HashMap::new();
        for request in self.requests.values().filter(|request| !is_lost(request)) {
            let progress = request.progress(now);
            for suspect in request.suspects.iter().filter(|s| suspects.contains(s)) {
                let furthest = furthest.entry(*suspect).or_default();
                *furthest = progress.max(*furthest);
            }
        }
        furthest
    }
}

#[cfg(test)]
#[path = "running_requests_tests.rs"]
mod tests;
