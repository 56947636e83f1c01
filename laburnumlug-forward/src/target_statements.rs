//! Statements of targets about the requests that they accept, and their exchange between gateways.

use std::time::{Duration, Instant};

use laburnumlug::{EngineEvent, TargetName};

use crate::forwarder::Forwarder;
use crate::header_codec::TargetStatements;
use crate::registry::TargetHandle;

/// Unit of rates in events: requests per 1,000 seconds, which are whole numbers.
const EVENT_RATE_SECONDS: f64 = 1000.0;

impl Forwarder {
    /// Records what a target states about itself in the answer to a request, and reports a change to the other gateways.
    ///
    /// How long a target wants no requests concerns only the gateway that it has told.
    pub(crate) fn record_statements(
        &self,
        now: Instant,
        target: &TargetHandle,
        statements: TargetStatements,
    ) {
        if self.record_limit(now, target, statements.request_limit) {
            self.engine_requests.publish(limit_event(now, target));
        }
        self.record_decline(now, target, statements);
    }

    /// Records whether a target states that it is leaving, or that it wants no requests for a while.
    pub(crate) fn record_decline(
        &self,
        now: Instant,
        target: &TargetHandle,
        statements: TargetStatements,
    ) {
        if statements.leaving && self.record_leaving(now, target) {
            log::info!(
                target = target.instance.as_str();
                "the target states that it is leaving: it gets no new requests"
            );
            self.engine_requests
                .publish(leaving_event(target.instance.clone()));
        }
        if let Some(time) = statements.retry_after.filter(|time| !time.is_zero()) {
            log::info!(
                target = target.instance.as_str(), retry_after_ms = time.as_millis() as u64;
                "the target wants no requests of this gateway"
            );
            target.status.borrow_mut().record_retry_after(now, time);
        }
    }

    /// Records that a target is leaving, by its own statement or as another gateway reports, and returns whether that is new.
    pub(crate) fn record_leaving(&self, now: Instant, target: &TargetHandle) -> bool {
        let is_new = target.status.borrow_mut().record_leaving(now);
        if is_new {
            self.record_departed(now, &target.instance);
        }
        is_new
    }

    /// Records a limit that a target stated at `stated_at`, and logs and returns whether it has changed.
    fn record_limit(&self, stated_at: Instant, target: &TargetHandle, limit: Option<f64>) -> bool {
        let limit_state = &mut target.status.borrow_mut().limit;
        let is_changed = limit_state.record_statement(stated_at, limit);
        match (is_changed, limit_state.requests_per_second()) {
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
        let limit = &mut target.status.borrow_mut().limit;
        if limit.requests_per_second().is_some() {
            let target = target.instance.clone();
            self.engine_requests
                .publish(EngineEvent::RequestReserved { target });
        }
        limit.reserve(now)
    }

    /// Returns the shortest time until a target of a service accepts a request, or `None` if one does now or all are
    /// leaving.
    pub(crate) fn shortest_wait(&self, now: Instant, service: &str) -> Option<Duration> {
        let targets = self.staying_targets(service);
        let waits = targets
            .iter()
            .filter_map(|target| target.status.borrow().wait(now));
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// Describes how many targets of a service decline or limit requests, for the text of a refusal; empty if none does.
    pub(crate) fn describe_statements(&self, now: Instant, service: &str) -> String {
        let targets = self.staying_targets(service);
        let statuses = targets.iter().map(|target| *target.status.borrow());
        let (mut declining, mut limiting) = (0, 0);
        for status in statuses {
            declining += usize::from(status.decline(now).is_some());
            limiting += usize::from(!status.limit.wait(now).is_zero());
        }
        match (declining, limiting) {
            (0, 0) => String::new(),
            _ => format!(
                ": of {} engines, {declining} decline requests and {limiting} have reached their limits",
                targets.len()
            ),
        }
    }

    /// Returns the events that describe the statements of all targets, also of those that have left.
    pub(crate) fn statement_events(&self, now: Instant) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        for target in self.live_targets() {
            let status = *target.status.borrow();
            if status.limit.requests_per_second().is_some() {
                events.push(limit_event(now, &target));
            }
        }
        events.extend(self.departed_targets().into_iter().map(leaving_event));
        events
    }
}

fn leaving_event(target: TargetName) -> EngineEvent {
    EngineEvent::TargetLeaving { target }
}

fn limit_event(now: Instant, target: &TargetHandle) -> EngineEvent {
    let limit = target.status.borrow().limit;
    let stated_at = limit.stated_at().unwrap_or(now);
    EngineEvent::RequestLimit {
        target: target.instance.clone(),
        requests_per_1000_s: limit
            .requests_per_second()
            .map(|limit| (limit * EVENT_RATE_SECONDS) as u64),
        age_ms: now.saturating_duration_since(stated_at).as_millis() as u64,
    }
}
