//! Limits on requests that targets state, which all gateways keep together.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::EngineEvent;

use crate::forwarder::Forwarder;
use crate::header_codec::TargetStatements;
use crate::registry::TargetHandle;

/// Unit of rates in events: requests per 1,000 seconds, which are whole numbers.
const EVENT_RATE_SECONDS: f64 = 1000.0;

impl Forwarder {
    /// Records what a target states about itself, and reports a change to the other gateways.
    pub(crate) fn record_statements(
        &self,
        now: Instant,
        target: &TargetHandle,
        statements: TargetStatements,
    ) {
        let limit = statements.request_limit;
        if self.record_limit(now, target, limit) {
            self.engine_requests.publish(limit_event(now, target));
        }
    }

    /// Records a limit that a target stated at `stated_at`, and logs and returns whether it has changed.
    fn record_limit(&self, stated_at: Instant, target: &TargetHandle, limit: Option<f64>) -> bool {
        let mut request_limit = target.request_limit.borrow_mut();
        let is_changed = request_limit.record_statement(stated_at, limit);
        match (is_changed, request_limit.requests_per_second()) {
            (false, _) => {}
            (true, Some(limit)) => log::info!(
                target = target.instance.as_str(), request_limit = limit;
                "the target limits its requests per second"
            ),
            (true, None) => log::info!(
                target = target.instance.as_str();
                "the target no longer limits its requests"
            ),
        }
        is_changed
    }

    /// Applies a limit that another gateway reported.
    pub(crate) fn apply_limit(
        &self,
        stated_at: Instant,
        target: &TargetHandle,
        requests_per_1000_s: Option<u64>,
    ) {
        let limit = requests_per_1000_s.map(|requests| requests as f64 / EVENT_RATE_SECONDS);
        self.record_limit(stated_at, target, limit);
    }

    /// Counts a request against the limit of its target, if that has one, and returns when it may be sent.
    pub(crate) fn reserve_request(&self, now: Instant, target: &TargetHandle) -> Instant {
        let mut request_limit = target.request_limit.borrow_mut();
        if request_limit.requests_per_second().is_some() {
            let target = target.instance.clone();
            self.engine_requests
                .publish(EngineEvent::RequestReserved { target });
        }
        request_limit.reserve(now)
    }

    /// Returns the shortest time until a target of a service accepts a request, if all of them limit their requests and
    /// have reached the limit.
    pub(crate) fn shortest_limit_wait(&self, now: Instant, service: &str) -> Option<Duration> {
        let targets = self.available_targets(service);
        let waits = targets
            .iter()
            .map(|target| target.request_limit.borrow().wait(now));
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// Returns the events that describe the limits of all targets.
    pub(crate) fn limit_events(&self, now: Instant) -> Vec<EngineEvent> {
        let is_limited = |target: &Rc<TargetHandle>| {
            let request_limit = target.request_limit.borrow();
            request_limit.requests_per_second().is_some()
        };
        let targets = self.live_targets().into_iter().filter(is_limited);
        targets.map(|target| limit_event(now, &target)).collect()
    }
}

fn limit_event(now: Instant, target: &TargetHandle) -> EngineEvent {
    let request_limit = target.request_limit.borrow();
    let stated_at = request_limit.stated_at().unwrap_or(now);
    EngineEvent::RequestLimit {
        target: target.instance.clone(),
        requests_per_1000_s: request_limit
            .requests_per_second()
            .map(|limit| (limit * EVENT_RATE_SECONDS) as u64),
        age_ms: now.saturating_duration_since(stated_at).as_millis() as u64,
    }
}
