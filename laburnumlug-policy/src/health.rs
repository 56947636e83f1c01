//! Passive health checking: ejects targets based on the outcomes of their requests.

use std::time::{Duration, Instant};

/// Number of consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection. It doubles with each consecutive ejection, up to [`MAX_EJECTION_TIME`].
const FIRST_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Interval in which a target receives a single trial request after an ejection, until one succeeds.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Period within which ejections by peer processes count towards [`PEER_EJECTIONS_TO_EJECT`].
const PEER_EJECTION_WINDOW: Duration = Duration::from_secs(2);

/// Number of peer processes that must have ejected a target for this process to eject it, too. A single peer may itself
/// be partitioned.
const PEER_EJECTIONS_TO_EJECT: usize = 2;

/// Time after which a suspicion expires if no probe succeeds before.
const MAX_SUSPICION_TIME: Duration = Duration::from_secs(10);

/// Time after the beginning of a suspicion within which nothing that the target has sent ends it, as it may have been sent
/// before.
const MIN_SUSPICION_TIME: Duration = Duration::from_millis(200);

/// Weight of the newest outcome in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Failure rate above which a target is ejected even if successes interrupt its failures.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Health of one target as seen by this process.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    failure_rate: f64,
    consecutive_ejections: u32,
    ejected_until: Option<Instant>,
    /// Peer processes that have recently ejected the target, and when.
    peer_ejections: Vec<(u64, Instant)>,
    /// When the suspicion expires if no probe succeeds before.
    suspected_until: Option<Instant>,
    /// Whether the target is suspected because it was silent.
    is_silent: bool,
}

impl TargetHealth {
    /// Returns whether the target may receive requests.
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_over = |until: Instant| now >= until;
        self.ejected_until.is_none_or(is_over) && !self.is_suspected(now)
    }

    /// Returns whether the target is suspected to be unreachable and awaits a probe.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target is suspected and was marked so after `since`.
    pub fn is_suspected_since(&self, now: Instant, since: Instant) -> bool {
        let is_later = |until: Instant| now < until && until > since + MAX_SUSPICION_TIME;
        self.suspected_until.is_some_and(is_later)
    }

    /// Marks the target as suspected to be unreachable.
    pub fn mark_suspected(&mut self, now: Instant) {
        self.suspected_until = Some(now + MAX_SUSPICION_TIME);
        self.is_silent = false;
    }

    /// Marks the target as suspected to be unreachable because it neither answers requests nor a probe.
    pub fn mark_silent(&mut self, now: Instant) {
        self.mark_suspected(now);
        self.is_silent = true;
    }

    /// Returns whether something that the target sends now shows that it is reachable again.
    ///
    /// It does not if the target refused connections.
    pub fn is_cleared_by_sign(&self, now: Instant) -> bool {
        let min_left = MAX_SUSPICION_TIME - MIN_SUSPICION_TIME;
        let is_due = |until| now < until && until - now <= min_left;
        self.is_silent && self.suspected_until.is_some_and(is_due)
    }

    /// Ends the suspicion and resets the count of consecutive failures.
    pub fn clear_suspicion(&mut self) {
        self.suspected_until = None;
        self.consecutive_failures = 0;
    }

    /// Returns when the last ejection or suspicion ends, which may be in the past, or `None` if there was neither.
    pub fn usable_at(&self) -> Option<Instant> {
        self.ejected_until.max(self.suspected_until)
    }

    /// Returns the moving average of the failure rate, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records that a request succeeded, which ends any ejection but not a suspicion.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.peer_ejections.clear();
        self.consecutive_ejections = 0;
        self.ejected_until = None;
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
    }

    /// Records a failure and returns whether it ejected the target.
    ///
    /// `is_conclusive` ejects the target at once. It is set for failures that show that no request can succeed, such as
    /// a refused connection. A target that was ejected before is ejected again at its first failure until it succeeds.
    pub fn record_failure(&mut self, now: Instant, is_conclusive: bool) -> bool {
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        let is_ejected = is_conclusive
            || self.consecutive_ejections > 0
            || self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            || self.failure_rate > MAX_FAILURE_RATE;
        if is_ejected {
            self.eject(now);
        }
        is_ejected
    }

    /// Records that a peer process has ejected the target, and ejects it here, too, once enough peers recently have.
    pub fn record_peer_ejection(&mut self, now: Instant, peer: u64) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_EJECTION_WINDOW;
        self.peer_ejections
            .retain(|(other, at)| *other != peer && is_recent(*at));
        self.peer_ejections.push((peer, now));
        if self.peer_ejections.len() >= PEER_EJECTIONS_TO_EJECT && self.is_usable(now) {
            self.eject(now);
        }
    }

    /// Records that a request is sent to the target. After an ejection, this admits one trial request at a time.
    pub fn record_selection(&mut self, now: Instant) {
        if self.consecutive_ejections > 0 && self.is_usable(now) {
            self.ejected_until = Some(now + TRIAL_INTERVAL);
        }
    }

    fn eject(&mut self, now: Instant) {
        let time = FIRST_EJECTION_TIME * 2_u32.pow(self.consecutive_ejections.min(8));
        self.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_failure_refused_connection() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.record_failure(now, true);
        assert!(!health.is_usable(now));
        assert!(health.is_usable(now + FIRST_EJECTION_TIME));
    }

    /// A target stops responding and recovers seconds later: a probe ends the suspicion, or else it expires.
    #[test]
    fn mark_suspected_until_probe() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.mark_suspected(now);
        assert!(!health.is_usable(now + Duration::from_secs(5)));
        health.clear_suspicion();
        assert!(health.is_usable(now));
        health.mark_suspected(now);
        assert!(health.is_usable(now + MAX_SUSPICION_TIME));
    }

    /// A silent machine that answers again must be used at once; what it sent before it crashed must not hide the crash.
    #[test]
    fn is_cleared_by_sign_after_delay() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        assert!(!health.is_cleared_by_sign(now));
        health.mark_silent(now);
        assert!(!health.is_cleared_by_sign(now + MIN_SUSPICION_TIME / 2));
        assert!(health.is_cleared_by_sign(now + MIN_SUSPICION_TIME));
        assert!(!health.is_cleared_by_sign(now + MAX_SUSPICION_TIME));
        health.mark_suspected(now);
        assert!(!health.is_cleared_by_sign(now + MIN_SUSPICION_TIME));
    }

    #[test]
    fn record_failure_in_a_row() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        for _ in 1..CONSECUTIVE_FAILURES_TO_EJECT {
            health.record_failure(now, false);
            assert!(health.is_usable(now));
        }
        health.record_failure(now, false);
        assert!(!health.is_usable(now));
        health.record_success();
        assert!(health.is_usable(now));
    }

    /// A server that reports itself healthy but fails every request for many seconds must receive only a few requests.
    #[test]
    fn record_failure_after_ejection() {
        let mut now = Instant::now();
        let mut health = TargetHealth::default();
        let mut requests = 0;
        let end = now + Duration::from_secs(20);
        while now < end {
            // Three requests need a target in each step.
            for _ in 0..3 {
                if health.is_usable(now) {
                    health.record_selection(now);
                    health.record_failure(now, false);
                    requests += 1;
                }
            }
            now += Duration::from_millis(50);
        }
        assert!(requests <= 10, "{requests}");
    }

    #[test]
    fn record_selection_one_trial_at_a_time() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.record_failure(now, true);
        let later = now + FIRST_EJECTION_TIME;
        health.record_selection(later);
        assert!(!health.is_usable(later));
        assert!(health.is_usable(later + TRIAL_INTERVAL));
        health.record_success();
        health.record_selection(later);
        assert!(health.is_usable(later));
    }

    /// A single partitioned gateway must not eject a target for the others; two gateways that see it fail must.
    #[test]
    fn record_peer_ejection_two_processes() {
        let now = Instant::now();
        let mut health = TargetHealth::default();
        health.record_peer_ejection(now, 1);
        health.record_peer_ejection(now, 1);
        assert!(health.is_usable(now));
        health.record_peer_ejection(now + PEER_EJECTION_WINDOW, 2);
        assert!(health.is_usable(now + PEER_EJECTION_WINDOW));
        health.record_peer_ejection(now + PEER_EJECTION_WINDOW, 3);
        assert!(!health.is_usable(now + PEER_EJECTION_WINDOW));
    }
}
