//! The stream from the target that currently serves a request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumlug_http::{OverBudget, PooledResponse};

use crate::engine_request_guard::EngineRequestGuard;
use crate::events::{EventSplitter, MAX_EVENT_BYTES, contains_event};
use crate::registry::InFlightGuard;

/// Reason why a stream is broken whose body has ended without an error.
pub(super) const ENDED_INSIDE_EVENT: &str = "the stream ended inside an event";

/// Reason why a stream is broken whose event has no end.
pub(super) const EVENT_TOO_LONG: &str = "an event of the stream is too long";

/// Reason why a stream is broken whose incomplete event was the largest part of what exceeded the memory budget.
const OVER_BUDGET: &str = "an incomplete event of the stream exceeded the memory budget";

/// Reason why a stream is broken that has comments and blank lines without end.
const TOO_MUCH_BETWEEN_EVENTS: &str = "the stream has too many bytes without an event";

/// Maximum number of bytes between two events. A comment that keeps a connection open has some ten bytes.
const MAX_BYTES_BETWEEN_EVENTS: usize = 2 * MAX_EVENT_BYTES;

/// Shortest gap between two events after which a stream is resumed elsewhere; a healthy one may pause for 1.5 s.
const MIN_RESUMED_GAP: Duration = Duration::from_millis(1750);

/// Fraction of the gap that callers wait, after which a stream is resumed elsewhere. The rest is left for the prefill at
/// another engine.
const RESUMED_GAP_FRACTION: f64 = 0.5;

/// Returns the gap between two events after which a stream is resumed elsewhere, if callers abandon it after
/// `abandoned_gap`.
pub(super) fn resumed_gap(abandoned_gap: Duration) -> Duration {
    let gap = abandoned_gap.mul_f64(RESUMED_GAP_FRACTION);
    gap.max(MIN_RESUMED_GAP).min(abandoned_gap)
}

/// What arrived of a stream.
#[derive(Debug)]
pub(super) enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// Bytes that complete no event: a part of one, comments or blank lines.
    Other,
    /// The end of the whole stream, with the blank lines after the last event.
    End(Bytes),
    /// The stream broke, for this reason.
    Broken(String),
}

/// A stream whose first event has arrived.
pub(super) struct Upstream {
    pub(super) response: PooledResponse,
    pub(super) splitter: EventSplitter,
    pub(super) in_flight: InFlightGuard,
    pub(super) engine_request: EngineRequestGuard,
    /// When the last event was complete and passed on.
    pub(super) last_event_at: Instant,
    /// When the last event was complete, or the stream could last not be resumed elsewhere.
    pub(super) stalled_since: Instant,
    /// Whether bytes have arrived since, so that the target is not merely silent.
    pub(super) has_partial: bool,
    /// Set once the stream was ended by the memory budget.
    pub(super) over_budget: Option<OverBudget>,
    /// Number of bytes that have arrived since the last event.
    bytes_since_event: usize,
    /// Whether the answer is invalid, so that the stream is broken.
    pub(super) has_invalid_answer: bool,
}

impl Upstream {
    /// Creates the stream of a response whose head has arrived, which goes on after the event with the id `last_id`.
    pub(super) fn new(
        now: Instant,
        response: PooledResponse,
        last_id: Option<String>,
        in_flight: InFlightGuard,
        engine_request: EngineRequestGuard,
    ) -> Upstream {
        Upstream {
            response,
            splitter: EventSplitter::resume_after(last_id),
            in_flight,
            engine_request,
            last_event_at: now,
            stalled_since: now,
            has_partial: false,
            over_budget: None,
            bytes_since_event: 0,
            has_invalid_answer: false,
        }
    }

    /// Drops the incomplete event, as the process exceeds its memory budget; the stream is broken then.
    pub(super) fn end(&mut self, over: OverBudget) {
        self.over_budget = Some(over);
        self.splitter.drop_partial();
        self.response.held().release();
    }

    /// Measures the gap until the next event from now on.
    pub(super) fn restart_gap(&mut self, now: Instant) {
        self.last_event_at = now;
        self.stalled_since = now;
    }

    /// Leaves `time` out of the gap until the next event.
    pub(super) fn extend_gap(&mut self, time: Duration) {
        self.last_event_at += time;
        self.stalled_since += time;
    }

    /// Waits for the next part of the stream; nothing is lost if the returned future is dropped.
    pub(super) async fn next(&mut self) -> StreamStep {
        if let Some(fault) = self.splitter.fault() {
            return StreamStep::Broken(fault.to_string());
        }
        if self.over_budget.is_some() {
            return StreamStep::Broken(OVER_BUDGET.to_string());
        }
        let received = {
            let _waiting = self.engine_request.await_event();
            self.response.chunk().await
        };
        let chunk = match received {
            Ok(Some(chunk)) => chunk,
            Ok(None) if self.splitter.is_inside_event() => {
                return StreamStep::Broken(ENDED_INSIDE_EVENT.to_string());
            }
            Ok(None) => return StreamStep::End(self.splitter.take_partial()),
            Err(err) if let Some(over) = err.as_over_budget() => {
                self.end(over);
                return StreamStep::Broken(OVER_BUDGET.to_string());
            }
            Err(err) => {
                self.splitter.drop_partial();
                self.has_invalid_answer = err.is_invalid_answer();
                return StreamStep::Broken(err.to_string());
            }
        };
        self.engine_request.record_event(Instant::now());
        let events = self.splitter.push(&chunk);
        if let Err(over) = self.response.hold(self.splitter.partial_len()) {
            self.end(over);
        }
        match events {
            Some(events) if contains_event(&events) => {
                self.restart_gap(Instant::now());
                self.has_partial = false;
                self.bytes_since_event = 0;
                StreamStep::Events(events)
            }
            _ if let Some(fault) = self.splitter.fault() => StreamStep::Broken(fault.to_string()),
            _ if self.over_budget.is_some() => StreamStep::Broken(OVER_BUDGET.to_string()),
            _ if self.splitter.has_overflowed() => StreamStep::Broken(EVENT_TOO_LONG.to_string()),
            _ => {
                self.has_partial = true;
                self.bytes_since_event += chunk.len();
                if self.bytes_since_event > MAX_BYTES_BETWEEN_EVENTS {
                    self.has_invalid_answer = true;
                    return StreamStep::Broken(TOO_MUCH_BETWEEN_EVENTS.to_string());
                }
                StreamStep::Other
            }
        }
    }
}
