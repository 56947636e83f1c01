//! Decides which requests test whether a blocked suspect does crash targets.
//!
//! A suspect that few requests have is blocked for its time. The block of one that most requests of a service have would end
//! the service, and nothing could complete and clear the suspect. So one request with it is let through at a time, the
//! trial, while the others are refused for a moment. If the trial is answered, the suspect is cleared. If its target crashes, the
//! suspect stays blocked for its time, and then until another trial is answered, as all requests that follow would otherwise
//! crash targets at once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use laburnumlug::ServiceName;

use crate::crash_attribution::{BlockedSuspect, Suspect};

/// Number of the latest requests of a service that are remembered.
const RECENT_REQUESTS: usize = 64;

/// Number of requests of a service from which it is known which suspects most of them have.
const MIN_RECENT_REQUESTS: usize = 8;

/// Maximum number of services whose requests are remembered, and of suspects whose trials are.
const MAX_ENTRIES: usize = 1024;

/// Time for which a trial of another gateway may last, which does not report how it ended unless the suspect is cleared.
const REMOTE_TRIAL_TIME: Duration = Duration::from_secs(3);

/// Time after the end of a trial until the next, in which a crash of its target is noticed.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// `retry-after` of the requests that are refused during a trial; about the time until its answer begins.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a trial of this process.
pub type TrialId = u64;

/// Latest trial of a suspect.
#[derive(Clone, Debug)]
struct Trial {
    /// The trial, if it is of this process and has not ended.
    running: Option<TrialId>,
    /// Until when no other trial may begin, unless `running` ends earlier.
    until: Instant,
    /// Crashes that the suspect explained when the trial began.
    crashes: usize,
}

/// Trials of suspects, and the latest requests of each service.
#[derive(Clone, Debug)]
pub(crate) struct SuspectTrials {
    /// Time after a crash, and after the end of a block, before which no trial begins.
    delay: Duration,
    last_id: TrialId,
    recent: HashMap<ServiceName, VecDeque<Vec<Suspect>>>,
    trials: HashMap<Suspect, Trial>,
}

impl SuspectTrials {
    /// Creates an empty set of trials, which begin at the earliest `delay` after a crash.
    pub(crate) fn new(delay: Duration) -> SuspectTrials {
        SuspectTrials {
            delay,
            last_id: 0,
            recent: HashMap::new(),
            trials: HashMap::new(),
        }
    }

    /// Records that a request for a service has arrived.
    pub(crate) fn record_request(&mut self, service: &str, suspects: &[Suspect]) {
        if !self.recent.contains_key(service) {
            if self.recent.len() >= MAX_ENTRIES {
                self.recent.clear();
            }
            self.recent.insert(service.to_string(), VecDeque::new());
        }
        if let Some(recent) = self.recent.get_mut(service) {
            if recent.len() == RECENT_REQUESTS {
                recent.pop_front();
            }
            recent.push_back(suspects.to_vec());
        }
    }

    /// Begins a trial of blocked suspects by a request for a service, or returns `None` if the request has to be refused.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        service: &str,
        blocked: &[BlockedSuspect],
    ) -> Option<TrialId> {
        let is_due = |blocked: &BlockedSuspect| self.is_due(now, service, blocked);
        if blocked.is_empty() || !blocked.iter().all(is_due) {
            return None;
        }
        if self.trials.len() + blocked.len() > MAX_ENTRIES {
            self.trials.retain(|_, trial| now < trial.until);
        }
        self.last_id += 1;
        for blocked in blocked {
            let trial = Trial {
                running: Some(self.last_id),
                until: now,
                crashes: blocked.crashes,
            };
            self.trials.insert(blocked.suspect, trial);
        }
        Some(self.last_id)
    }

    /// Records that another gateway has begun a trial of a suspect that explains this number of crashes.
    pub(crate) fn record_remote(&mut self, now: Instant, suspect: Suspect, crashes: usize) {
        if self.trials.len() >= MAX_ENTRIES {
            return;
        }
        let trial = Trial {
            running: None,
            until: now + REMOTE_TRIAL_TIME,
            crashes,
        };
        self.trials.entry(suspect).or_insert(trial).until = now + REMOTE_TRIAL_TIME;
    }

    /// Records that the request of a trial has ended.
    pub(crate) fn end(&mut self, now: Instant, id: TrialId) {
        for trial in self.trials.values_mut() {
            if trial.running == Some(id) {
                trial.running = None;
                trial.until = now + TRIAL_PAUSE;
            }
        }
    }

    /// Forgets the trials of suspects that no longer explain any crash.
    pub(crate) fn retain<F>(&mut self, is_suspected: F)
    where
        F: Fn(&Suspect) -> bool,
    {
        self.trials.retain(|suspect, _| is_suspected(suspect));
    }

    /// Returns whether this trial tests a suspect.
    pub(crate) fn is_tested_by(&self, suspect: &Suspect, id: Option<TrialId>) -> bool {
        let trial = self.trials.get(suspect);
        id.is_some() && trial.is_some_and(|trial| trial.running == id)
    }

    /// Returns how long a suspect is blocked, or `None` if its block has ended.
    pub(crate) fn time_blocked(&self, now: Instant, blocked: &BlockedSuspect) -> Option<Duration> {
        let left = blocked.until.saturating_duration_since(now);
        match self.trials.get(&blocked.suspect) {
            None if left.is_zero() => None,
            None => Some(left),
            Some(trial) if self.has_failed(trial, blocked) && !left.is_zero() => Some(left),
            Some(_) => Some(TRIAL_RETRY_AFTER),
        }
    }

    /// Returns whether a trial of a blocked suspect may begin with a request for a service.
    fn is_due(&self, now: Instant, service: &str, blocked: &BlockedSuspect) -> bool {
        match self.trials.get(&blocked.suspect) {
            _ if now < blocked.latest_at + self.delay => false,
            None => self.is_common(service, &blocked.suspect),
            Some(trial) if trial.running.is_some() || now < trial.until => false,
            Some(trial) => !self.has_failed(trial, blocked) || blocked.until + self.delay <= now,
        }
    }

    /// Returns whether the suspect has explained a further crash since a trial began.
    fn has_failed(&self, trial: &Trial, blocked: &BlockedSuspect) -> bool {
        blocked.crashes > trial.crashes
    }

    /// Returns whether three quarters of the latest requests for a service have a suspect.
    fn is_common(&self, service: &str, suspect: &Suspect) -> bool {
        let Some(recent) = self.recent.get(service) else {
            return false;
        };
        let with_suspect = recent.iter().filter(|request| request.contains(suspect));
        recent.len() >= MIN_RECENT_REQUESTS && 4 * with_suspect.count() >= 3 * recent.len()
    }
}

#[cfg(test)]
#[path = "suspect_trial_tests.rs"]
mod tests;
