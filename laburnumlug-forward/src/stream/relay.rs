//! Relay of an open stream to its caller, with resumption at another engine.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use laburnumlug_http::BodySender;

use super::upstream::{StreamStep, Upstream, resumed_gap};
use super::{OpenStream, StreamAttempt, StreamRequest};
use crate::forwarder::Forwarder;
use crate::memory::HeldPart;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;
use crate::unframed::ENDED_WITH_TARGET;

/// Reason why a stream is broken whose next event does not come in time.
const EVENT_OVERDUE: &str = "no event was complete in time";

/// Delay of a timer from which this process is taken to have been suspended or out of processor time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// What the relay does next.
enum RelayStep {
    Upstream(StreamStep),
    /// The caller has disconnected.
    CallerLeft,
    /// The time until which the next part was awaited has passed.
    TimedOut,
}

/// Outcome of the attempt to resume a stalled stream elsewhere.
enum StallOutcome {
    /// The stalled stream went on first.
    WentOn(StreamStep),
    /// Another target resumed the stream.
    Resumed(Box<OpenStream>),
    /// The stream cannot be resumed elsewhere now.
    Unresumed,
    CallerLeft,
}

impl Forwarder {
    /// Relays events like [`Forwarder::relay_events`], unless the request or the unread events end by the memory budget.
    pub(super) async fn relay(
        self: Rc<Self>,
        stream: StreamRequest,
        open: OpenStream,
        tx: BodySender,
    ) {
        let id = stream.request.metadata.id.clone();
        let (body, held) = (tx.handle(), stream.request.held.clone());
        let ended = {
            let relaying = pin!(self.clone().relay_events(stream, open, tx));
            match select(relaying, pin!(held.ended())).await {
                Either::Left(_) => body
                    .over_budget()
                    .map(|over| (HeldPart::UnreadEvents, over)),
                Either::Right((over, _)) => {
                    body.abort();
                    Some((HeldPart::RequestBody, over))
                }
            }
        };
        if let Some((part, over)) = ended {
            self.log_ended(&id, "", part, over);
            self.observe(|observer| observer.stream_aborted());
        }
    }

    /// Relays events until the stream ends, the caller disconnects or the deadline passes; resumes broken streams.
    ///
    /// A stream without a complete event for [`resumed_gap`] is resumed elsewhere if it may be, but kept until another
    /// target has continued it. One that may not ends once bytes have arrived without completing an event for as long as
    /// callers wait; one whose target is silent lasts until its deadline, as the target may have been frozen.
    async fn relay_events(
        self: Rc<Self>,
        mut stream: StreamRequest,
        open: OpenStream,
        mut tx: BodySender,
    ) {
        let OpenStream {
            mut upstream,
            first_events,
        } = open;
        if send_events(&mut upstream, &mut tx, first_events)
            .await
            .is_err()
        {
            return;
        }
        loop {
            let wait_until = next_check_at(&stream, &upstream);
            let mut step = match next_step(&mut upstream, &mut tx, wait_until).await {
                RelayStep::Upstream(step) => step,
                RelayStep::CallerLeft => return,
                RelayStep::TimedOut => {
                    let now = Instant::now();
                    let timer_delay = now.saturating_duration_since(wait_until);
                    match () {
                        () if stream.request.time_left(now).is_zero() => {
                            return self.abort_expired(&stream, tx);
                        }
                        // This process has not run, so events may have arrived that it has not read.
                        () if timer_delay > MAX_TIMER_DELAY => {
                            upstream.extend_gap(timer_delay + MAX_TIMER_DELAY);
                            StreamStep::Other
                        }
                        () if is_partial_overdue(now, &stream, &upstream) => {
                            StreamStep::Broken(EVENT_OVERDUE.to_string())
                        }
                        () => match self.handle_stall(&mut stream, &mut upstream, &mut tx).await {
                            StallOutcome::WentOn(step) => step,
                            StallOutcome::Resumed(next) => {
                                let target = upstream.in_flight.target.clone();
                                self.record_failure(Instant::now(), &target);
                                self.log_break(&stream, &target, EVENT_OVERDUE, true);
                                upstream = next.upstream;
                                StreamStep::Events(next.first_events)
                            }
                            StallOutcome::Unresumed => {
                                upstream.stalled_since = Instant::now();
                                StreamStep::Other
                            }
                            StallOutcome::CallerLeft => return,
                        },
                    }
                }
            };
            if let StreamStep::End(_) = step
                && self
                    .is_cut_by_crash(&upstream.response, &upstream.in_flight.target)
                    .await
            {
                step = StreamStep::Broken(ENDED_WITH_TARGET.to_string());
            }
            if let StreamStep::Broken(reason) = step {
                let Some(next) = self.replace_broken(&mut stream, upstream, &reason).await else {
                    self.observe(|observer| observer.stream_aborted());
                    return tx.abort();
                };
                upstream = next.upstream;
                step = StreamStep::Events(next.first_events);
            }
            match step {
                StreamStep::Events(events) => {
                    if send_events(&mut upstream, &mut tx, events).await.is_err() {
                        return;
                    }
                    // Nothing was read from the target while the caller did not read.
                    upstream.restart_gap(Instant::now());
                }
                StreamStep::End(blank_lines) => {
                    return self.complete_stream(upstream, blank_lines, tx).await;
                }
                StreamStep::Other | StreamStep::Broken(_) => {}
            }
        }
    }

    /// Passes on the end of a whole stream.
    async fn complete_stream(
        &self,
        mut upstream: Upstream,
        blank_lines: Bytes,
        mut tx: BodySender,
    ) {
        upstream.engine_request.mark_complete(Instant::now());
        drop(upstream.engine_request);
        if blank_lines.is_empty() || tx.send(blank_lines).await.is_ok() {
            self.pool.recycle(Instant::now(), upstream.response);
        }
    }

    fn abort_expired(&self, stream: &StreamRequest, tx: BodySender) {
        log::info!(
            request_id = stream.request.metadata.id.as_str(), cause = FailureCause::TimedOut.as_str();
            "stream aborted: the deadline passed"
        );
        self.observe(|observer| observer.stream_aborted());
        tx.abort();
    }

    /// Tries to resume a stalled stream elsewhere, while the stalled one may still go on.
    async fn handle_stall(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        upstream: &mut Upstream,
        tx: &mut BodySender,
    ) -> StallOutcome {
        let last_id = upstream.splitter.last_id().cloned();
        let stalled = async {
            loop {
                match upstream.next().await {
                    StreamStep::Other => {}
                    step => return step,
                }
            }
        };
        let mut resumed = pin!(self.resume(stream, last_id));
        let (stalled, closed) = (pin!(stalled), pin!(tx.closed()));
        match select(select(stalled, closed), resumed.as_mut()).await {
            Either::Left((Either::Left((StreamStep::Broken(reason), closed)), _)) => {
                match select(resumed, closed).await {
                    Either::Left((Some(next), _)) => StallOutcome::Resumed(Box::new(next)),
                    Either::Left((None, _)) => StallOutcome::WentOn(StreamStep::Broken(reason)),
                    Either::Right(_) => StallOutcome::CallerLeft,
                }
            }
            Either::Left((Either::Left((step, _)), _)) => StallOutcome::WentOn(step),
            Either::Left((Either::Right(_), _)) => StallOutcome::CallerLeft,
            Either::Right((Some(next), _)) => StallOutcome::Resumed(Box::new(next)),
            Either::Right((None, _)) => StallOutcome::Unresumed,
        }
    }

    /// Resumes a broken stream elsewhere, or returns `None` if that is not possible.
    async fn replace_broken(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        upstream: Upstream,
        reason: &str,
    ) -> Option<OpenStream> {
        let target = upstream.in_flight.target.clone();
        let last_id = upstream.splitter.last_id().cloned();
        let is_over_budget = upstream.over_budget.is_some();
        self.record_break(Instant::now(), &stream.request, &upstream);
        drop(upstream);
        if !is_over_budget {
            self.check_for_crash(&target);
        }
        let resumed = self.resume(stream, last_id).await;
        self.log_break(stream, &target, reason, resumed.is_some());
        resumed
    }

    fn log_break(
        &self,
        stream: &StreamRequest,
        target: &TargetHandle,
        reason: &str,
        is_resumed: bool,
    ) {
        log::info!(
            request_id = stream.request.metadata.id.as_str(), target = target.instance.as_str(),
            content = format!("{:x}", stream.request.content).as_str(),
            prompt_parts = stream.shareable_parts().as_str(), resumed = is_resumed,
            software = target.listing.borrow().software.as_deref();
            "the stream from the target broke: {reason}"
        );
    }

    /// Resumes a stream at another target, after the event with this id.
    async fn resume(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        last_id: Option<String>,
    ) -> Option<OpenStream> {
        let last_id = last_id?;
        if !stream.request.route.is_repeatable() {
            return None;
        }
        while self.try_acquire_attempt(stream).await {
            match self.attempt_stream(stream, Some(last_id.clone())).await {
                Ok(StreamAttempt::Stream(open)) => return Some(*open),
                // A response that is not a stream cannot continue one, but another target may.
                Ok(StreamAttempt::Buffered(_)) => {}
                Err(failure) if failure.is_final() => return None,
                Err(_) => {}
            }
        }
        None
    }
}

/// Returns whether a stream may be resumed at another target.
fn may_resume(stream: &StreamRequest, upstream: &Upstream) -> bool {
    stream.request.route.is_repeatable() && upstream.splitter.last_id().is_some()
}

/// Returns whether bytes have arrived without completing an event for as long as callers wait.
fn is_partial_overdue(now: Instant, stream: &StreamRequest, upstream: &Upstream) -> bool {
    let gap = now.saturating_duration_since(upstream.last_event_at);
    upstream.has_partial && gap >= stream.request.route.abandoned_gap
}

/// Returns when the relay has to look at a stream again if no further part of it arrives.
fn next_check_at(stream: &StreamRequest, upstream: &Upstream) -> Instant {
    let abandoned_gap = stream.request.route.abandoned_gap;
    let mut check_at = stream.request.deadline;
    if may_resume(stream, upstream) {
        check_at = check_at.min(upstream.stalled_since + resumed_gap(abandoned_gap));
    }
    if upstream.has_partial {
        check_at = check_at.min(upstream.last_event_at + abandoned_gap);
    }
    check_at
}

/// Sends events to the caller; the incomplete event after them may have to end while the caller does not read.
async fn send_events(
    upstream: &mut Upstream,
    tx: &mut BodySender,
    events: Bytes,
) -> Result<(), Bytes> {
    let mut sending = pin!(tx.send(events));
    let over = match select(sending.as_mut(), pin!(upstream.response.held().ended())).await {
        Either::Left((sent, _)) => return sent,
        Either::Right((over, _)) => over,
    };
    upstream.end(over);
    sending.await
}

/// Waits for the next part of a stream, at most until `wait_until`.
async fn next_step(upstream: &mut Upstream, tx: &mut BodySender, wait_until: Instant) -> RelayStep {
    let timeout = pin!(compio::time::sleep_until(wait_until));
    let closed = pin!(tx.closed());
    match select(pin!(upstream.next()), select(closed, timeout)).await {
        Either::Left((step, _)) => RelayStep::Upstream(step),
        Either::Right((Either::Left(_), _)) => RelayStep::CallerLeft,
        Either::Right((Either::Right(_), _)) => RelayStep::TimedOut,
    }
}
