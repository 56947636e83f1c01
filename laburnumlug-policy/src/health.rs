//! Passive health of a target, from the outcomes of its requests.

use std::time::{Duration, Instant};

/// Failures in a row after which a target gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;

/// First time for which a target gets no requests; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which a target gets no requests.
const MAX_EJECTION: Duration = Duration::from_secs(4);

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
        self.ejections = 0;
        self.ejected_until = None;
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Notes a failure; `certain` where no request can get through, such as a refused connection.
    pub fn note_failure(&mut self, now: Instant, certain: bool) {
        self.failures += 1;
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let ejects =
            certain || self.failures >= FAILURES_TO_EJECT || self.failure_share > FAILURE_SHARE;
        if ejects {
            let time = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
            self.ejected_until = Some(now + time.min(MAX_EJECTION));
            self.ejections += 1;
            self.failures = 0;
        }
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
}
