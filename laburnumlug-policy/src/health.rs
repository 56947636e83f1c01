//! Passive health of a target, from the outcomes of its requests.

use std::time::{Duration, Instant};

/// Failures in a row after which a target gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;

/// First time for which a target gets no requests; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which a target gets no requests.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time in which a target that was ejected gets one request, which shows whether it serves again.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Time within which other processes must have ejected a target for this one to follow.
const FOREIGN_TIME: Duration = Duration::from_secs(2);

/// Other processes that must have done so; one alone may be cut off.
const FOREIGN_EJECTIONS: usize = 2;

/// Longest time for which a target is suspected where no probe is heard of.
const MAX_SUSPICION: Duration = Duration::from_secs(10);

/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Share of failures above which a target is ejected, though it also succeeds.
const FAILURE_SHARE: f64 = 0.5;

/// What the outcomes of a target's requests tell of it.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    failure_share: f64,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Other processes that have ejected the target lately, and when.
    foreign: Vec<(u64, Instant)>,
    /// Until when the target gets nothing unless a probe shows that it serves.
    suspected_until: Option<Instant>,
}

impl TargetHealth {
    /// Returns whether the target may get requests.
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_over = |until: Instant| now >= until;
        self.ejected_until.is_none_or(is_over) && !self.is_suspected(now)
    }

    /// Returns whether the target waits for a probe.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Notes that nothing gets through to the target.
    pub fn suspect(&mut self, now: Instant) {
        self.suspected_until = Some(now + MAX_SUSPICION);
    }

    /// Notes that the target serves.
    pub fn clear_suspicion(&mut self) {
        self.suspected_until = None;
        self.failures = 0;
    }

    /// Returns when the target may get requests again.
    pub fn usable_at(&self) -> Option<Instant> {
        self.ejected_until.max(self.suspected_until)
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Notes a whole answer.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.foreign.clear();
        self.ejections = 0;
        self.ejected_until = None;
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Notes a failure; `certain` where no request can get through, such as a refused connection.
    ///
    /// Returns whether the target gets no requests for a while because of it. One that was ejected before has no
    /// further failures to spare until it succeeds.
    pub fn note_failure(&mut self, now: Instant, certain: bool) -> bool {
        self.failures += 1;
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let ejects = certain
            || self.ejections > 0
            || self.failures >= FAILURES_TO_EJECT
            || self.failure_share > FAILURE_SHARE;
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Notes that another process gives the target no requests for a while.
    pub fn note_foreign_ejection(&mut self, now: Instant, process: u64) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FOREIGN_TIME;
        self.foreign
            .retain(|(other, at)| *other != process && is_recent(*at));
        self.foreign.push((process, now));
        if self.foreign.len() >= FOREIGN_EJECTIONS && self.is_usable(now) {
            self.eject(now);
        }
    }

    /// Notes that the target is given a request; after an ejection it gets one at a time.
    pub fn note_chosen(&mut self, now: Instant) {
        if self.ejections > 0 && self.is_usable(now) {
            self.ejected_until = Some(now + TRIAL_TIME);
        }
    }

    fn eject(&mut self, now: Instant) {
        let time = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn note_failure_refused_connection() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.note_failure(now, true);
        assert!(!health.is_usable(now));
        assert!(health.is_usable(now + FIRST_EJECTION));
    }

    /// Pattern: a target falls silent and is back seconds later.
    #[test]
    fn suspect_until_probe() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.suspect(now);
        assert!(!health.is_usable(now + Duration::from_secs(5)));
        health.clear_suspicion();
        assert!(health.is_usable(now));
        health.suspect(now);
        assert!(health.is_usable(now + MAX_SUSPICION));
    }

    #[test]
    fn note_failure_in_a_row() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        for _ in 1..FAILURES_TO_EJECT {
            health.note_failure(now, false);
            assert!(health.is_usable(now));
        }
        health.note_failure(now, false);
        assert!(!health.is_usable(now));
        health.note_success();
        assert!(health.is_usable(now));
    }

    /// Pattern: a server says that it is well and fails all, for many seconds.
    #[test]
    fn note_failure_after_ejection() {
        let mut now = Instant::now();
        let mut health = TargetHealth::default();
        let mut failures = 0;
        let end = now + Duration::from_secs(20);
        while now < end {
            // Each turn three requests look for a target.
            for _ in 0..3 {
                if health.is_usable(now) {
                    health.note_chosen(now);
                    health.note_failure(now, false);
                    failures += 1;
                }
            }
            now += Duration::from_millis(50);
        }
        assert!(failures <= 10, "{failures}");
    }

    #[test]
    fn note_chosen_one_trial_at_a_time() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.note_failure(now, true);
        let later = now + FIRST_EJECTION;
        health.note_chosen(later);
        assert!(!health.is_usable(later));
        assert!(health.is_usable(later + TRIAL_TIME));
        health.note_success();
        health.note_chosen(later);
        assert!(health.is_usable(later));
    }

    /// Pattern: one of many gateways is cut off from a target, or two see that it fails.
    #[test]
    fn note_foreign_ejection_two_processes() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.note_foreign_ejection(now, 1);
        health.note_foreign_ejection(now, 1);
        assert!(health.is_usable(now));
        health.note_foreign_ejection(now + FOREIGN_TIME, 2);
        assert!(health.is_usable(now + FOREIGN_TIME));
        health.note_foreign_ejection(now + FOREIGN_TIME, 3);
        assert!(!health.is_usable(now + FOREIGN_TIME));
    }
}
