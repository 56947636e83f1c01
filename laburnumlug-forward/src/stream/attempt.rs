//! A single attempt to open a stream at the selected engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::Verdict;
use laburnumlug_http::{PooledResponse, Response};
use laburnumlug_policy::place_decode;

use super::upstream::{ENDED_INSIDE_EVENT, EVENT_TOO_LONG, StreamStep, Upstream};
use super::{OpenStream, StreamAttempt, StreamRequest};
use crate::attempt::{AttemptOptions, CallerRequest};
use crate::attempt_failure::AttemptFailure;
use crate::engine_request_guard::EngineRequestGuard;
use crate::engine_selection::{EngineSelection, decode_share, prompt_view};
use crate::forwarder::Forwarder;
use crate::header_codec::AttemptStage;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;
use crate::unframed::ENDED_WITH_TARGET;

/// Maximum size, in bytes, of a response body that is not an event stream.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Multiple of the predicted time to first token after which a silent engine is probed.
const PROBE_TIME_MULTIPLE: u32 = 2;

/// Margin added to the multiple of [`PROBE_TIME_MULTIPLE`], as predictions are off by a few hundred milliseconds.
const PROBE_MARGIN: Duration = Duration::from_millis(500);

/// Returns the time without a response after which an engine is probed.
pub(super) fn probe_delay(expected: Duration) -> Duration {
    expected * PROBE_TIME_MULTIPLE + PROBE_MARGIN
}

/// Failure rate of a decode engine from which a refusal is attributed to the engine, not to a prompt that another engine no
/// longer holds.
const MAX_RESEND_FAILURE_RATE: f64 = 0.05;

/// Reason why a stream is given up whose first event has begun and was not complete in time.
const EVENT_STALLED: &str = "the first event of the stream was not complete in time";

/// Returns whether a response is an event stream, as engines send unless they state another type.
fn is_event_stream(response: &PooledResponse) -> bool {
    let content_type = response.headers().get(hyper::header::CONTENT_TYPE);
    content_type.is_none_or(|value| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|t| t.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
    })
}

impl Forwarder {
    /// Makes one attempt at the selected engines until its first event arrives.
    pub(super) async fn attempt_stream_at(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        selection: &mut EngineSelection,
        last_event_id: Option<String>,
    ) -> Result<StreamAttempt, AttemptFailure> {
        let chosen_at = Instant::now();
        // The first separate prefill is free. Later ones count as retries; without one, the decode engine prefills.
        let is_repeat_prefill = selection.prefill_engine.is_some() && stream.prefills_made > 0;
        if is_repeat_prefill && !self.try_acquire_retry(Instant::now(), &stream.service) {
            selection.prefill_engine = None;
        }
        let stage = match &selection.prefill_engine {
            Some(prefill_engine) => {
                let prefill = self.prefill(stream, prefill_engine, selection);
                let prefilled = self
                    .unless_blocked(Verdict::NotRun, &stream.request, prefill)
                    .await;
                let reached_engine = prefilled
                    .as_ref()
                    .err()
                    .is_none_or(|failure| failure.reached_target);
                stream.prefills_made += u32::from(reached_engine);
                prefilled?
            }
            None => AttemptStage::Full,
        };
        let now = Instant::now();
        // An engine may have crashed while another one prefilled the prompt.
        self.check_not_blocked(now, &stream.request)?;
        self.update_decode_engine(now, chosen_at, stream, &stage, selection);
        let stream = &*stream;
        let engine = selection.decode_engine.clone();
        let decode = self.decode(stream, selection, stage, last_event_id);
        let may_abandon = |now| self.may_abandon(now, stream, &engine);
        let decode = self.unless_lost(&engine, decode, may_abandon);
        self.unless_blocked(Verdict::MayHaveRun, &stream.request, decode)
            .await
    }

    /// Replaces the decode engine of a prompt that another engine has prefilled since, if it no longer accepts the request or
    /// has become suspect. Any engine that decodes can fetch the prompt, and nothing has been sent to the first one.
    fn update_decode_engine(
        &self,
        now: Instant,
        chosen_at: Instant,
        stream: &StreamRequest,
        stage: &AttemptStage,
        selection: &mut EngineSelection,
    ) {
        let AttemptStage::DecodeFrom { .. } = stage else {
            return;
        };
        let engine = &selection.decode_engine;
        let is_suspected = engine.health.borrow().is_suspected_since(now, chosen_at);
        if !is_suspected && self.is_sendable(now, &stream.service, engine, stage) {
            return;
        }
        let other = self.choose_decode_engine(now, stream, selection);
        log::info!(
            request_id = stream.request.metadata.id.as_str(), target = engine.instance.as_str(),
            next = other.as_ref().map_or("", |other| other.instance.as_str()), suspected = is_suspected;
            "the engine that was to decode the prefilled prompt no longer can"
        );
        if let Some(other) = other {
            selection.send_at = self.reserve_request(now, &other);
            selection.decode_engine = other;
        }
    }

    /// Chooses another decode engine for a prompt that the selected prefill engine has prefilled.
    fn choose_decode_engine(
        &self,
        now: Instant,
        stream: &StreamRequest,
        selection: &EngineSelection,
    ) -> Option<Rc<TargetHandle>> {
        let prompt = stream.request.metadata.prompt.as_ref()?;
        let traits = stream.table.engine_traits(&stream.service)?;
        let source = selection.prefill_engine.as_ref()?;
        let software = stream.software.as_ref();
        let engines = self.untried_targets(now, &stream.service, &stream.tried, software);
        let views = self.engine_views(now, &engines, traits, &stream.request, prompt);
        let view = prompt_view(now, traits, &stream.request, prompt);
        let is_same_zone = source.listing.borrow().zone == self.cfg.zone;
        place_decode(&view, is_same_zone, &views.engines).map(|i| engines[i].clone())
    }

    /// Sends a request to the selected decode engine and waits for its first event.
    async fn decode(
        self: &Rc<Self>,
        stream: &StreamRequest,
        selection: &EngineSelection,
        stage: AttemptStage,
        last_event_id: Option<String>,
    ) -> Result<StreamAttempt, AttemptFailure> {
        let request = &stream.request;
        let target = selection.decode_engine.clone();
        compio::time::sleep_until(selection.send_at).await;
        let uncached_tokens = match stage {
            AttemptStage::Full => selection.uncached_tokens,
            _ => 0,
        };
        let tokens = request.prompt_parts.tokens();
        let traits = stream.table.engine_traits(&stream.service);
        let decode_share = traits.map_or(0.0, |traits| decode_share(traits, tokens));
        let in_flight = target.track_request();
        let mut engine_request = EngineRequestGuard::start(
            self,
            Instant::now(),
            &target,
            request,
            uncached_tokens,
            selection.priority,
            Some(decode_share),
        );
        let expected = match stage {
            AttemptStage::Full => selection.time_to_first_token,
            _ => Duration::ZERO,
        };
        let may_abandon = |now| self.may_abandon(now, stream, &target);
        let options = AttemptOptions {
            service: &stream.service,
            probe_after: probe_delay(expected),
            may_abandon: &may_abandon,
            priority: Some(selection.priority),
        };
        let uses_remote_prompt = matches!(stage, AttemptStage::DecodeFrom { .. });
        let last_id = last_event_id.clone().or_else(|| request.resumed_after());
        let sent = self
            .send_attempt(request, &target, stage, last_event_id.clone(), options)
            .await;
        let sent = match sent {
            // The prefill engine may no longer hold the prompt; then the decode engine can prefill it itself.
            Err(failure)
                if uses_remote_prompt
                    && failure.cause == FailureCause::TargetRefused
                    && target.health.borrow().failure_rate() < MAX_RESEND_FAILURE_RATE
                    && self.is_sendable(
                        Instant::now(),
                        &stream.service,
                        &target,
                        &AttemptStage::Full,
                    )
                    && self.try_acquire_retry(Instant::now(), &stream.service) =>
            {
                let options = AttemptOptions {
                    probe_after: probe_delay(request.route.latency_objective),
                    ..options
                };
                let send_at = self.reserve_request(Instant::now(), &target);
                compio::time::sleep_until(send_at).await;
                let stage = AttemptStage::Full;
                let resent = self
                    .send_attempt(request, &target, stage, last_event_id, options)
                    .await;
                if let (Ok(_), Some(prefill_engine)) = (&resent, &selection.prefill_engine) {
                    self.record_failure(Instant::now(), prefill_engine);
                }
                resent
            }
            sent => sent,
        };
        let response = match sent {
            Err(failure) => {
                if failure.verdict == Verdict::NotRun {
                    engine_request.mark_not_run();
                }
                self.record_refusal(Instant::now(), &target, &failure);
                return Err(failure);
            }
            Ok(response) => response,
        };
        if response.status() >= 300 || !is_event_stream(&response) {
            let resp = self.read_buffered(request, &target, response).await?;
            if resp.status().is_success() {
                engine_request.mark_complete(Instant::now());
            }
            return Ok(StreamAttempt::Buffered(resp));
        }
        let upstream = Upstream::new(Instant::now(), response, last_id, in_flight, engine_request);
        self.await_first_events(request, upstream).await
    }

    /// Waits for the first event of a stream whose head has arrived.
    async fn await_first_events(
        self: &Rc<Self>,
        request: &CallerRequest,
        mut upstream: Upstream,
    ) -> Result<StreamAttempt, AttemptFailure> {
        let target = upstream.in_flight.target.clone();
        // When the first byte of the incomplete event arrived. Before it, the engine may be prefilling.
        let mut partial_since: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let time_left = request.time_left(now);
            let event_left = partial_since.map_or(Duration::MAX, |since| {
                request
                    .route
                    .abandoned_gap
                    .saturating_sub(now.saturating_duration_since(since))
            });
            let limit = time_left.min(event_left);
            let Ok(step) = laburnumlug_http::timeout(limit, upstream.next()).await else {
                if event_left >= time_left {
                    return Err(AttemptFailure::timed_out("no event in time"));
                }
                self.record_failure(Instant::now(), &target);
                return Err(AttemptFailure::answer_lost(EVENT_STALLED));
            };
            let now = Instant::now();
            match step {
                StreamStep::Events(first_events) => {
                    upstream.engine_request.mark_decoding(now);
                    target.health.borrow_mut().record_success();
                    return Ok(StreamAttempt::Stream(Box::new(OpenStream {
                        upstream,
                        first_events,
                    })));
                }
                StreamStep::Other if upstream.splitter.is_inside_event() => {
                    partial_since.get_or_insert(now);
                }
                StreamStep::Other => partial_since = None,
                StreamStep::End(_) if !upstream.response.is_framed() => {
                    self.record_failure(now, &target);
                    return Err(AttemptFailure::connection_broken(ENDED_INSIDE_EVENT));
                }
                StreamStep::End(body) => {
                    return Ok(self.buffered_attempt(now, request, upstream, body));
                }
                StreamStep::Broken(reason) => {
                    self.record_break(now, request, &upstream);
                    let is_invalid = reason == EVENT_TOO_LONG
                        || upstream.splitter.fault().is_some()
                        || upstream.has_invalid_answer
                        || upstream.over_budget.is_some();
                    return Err(match is_invalid {
                        true => AttemptFailure::answer_lost(reason),
                        false => AttemptFailure::connection_broken(reason),
                    });
                }
            }
        }
    }

    /// Counts a broken stream against its target's health.
    pub(super) fn record_break(&self, now: Instant, request: &CallerRequest, upstream: &Upstream) {
        let target = &upstream.in_flight.target;
        match upstream.over_budget {
            Some(over) => self.record_ended_answer(now, request, target, over),
            None => {
                target.exchange_ends.borrow_mut().record_end(now);
                self.record_failed_request(now, target, upstream.has_invalid_answer);
            }
        }
    }

    /// Returns the successful attempt whose response ended without an event.
    fn buffered_attempt(
        self: &Rc<Self>,
        now: Instant,
        request: &CallerRequest,
        mut upstream: Upstream,
        body: bytes::Bytes,
    ) -> StreamAttempt {
        upstream.engine_request.mark_complete(now);
        let mut response = upstream.response;
        let held = response.take_held();
        let target = &upstream.in_flight.target;
        let (status, headers) = (response.status(), response.headers());
        let resp = self.caller_response(request, target, status, headers, body, held);
        self.pool.recycle(now, response);
        StreamAttempt::Buffered(resp)
    }

    /// Reads a response that is not an event stream.
    async fn read_buffered(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        mut response: PooledResponse,
    ) -> Result<Response, AttemptFailure> {
        let body = self
            .read_body(request, target, &mut response, MAX_RESPONSE_BYTES)
            .await?;
        if self.is_cut_by_crash(&response, target).await {
            return Err(AttemptFailure::connection_broken(ENDED_WITH_TARGET));
        }
        let status = response.status();
        if status >= 500 {
            self.record_failure(Instant::now(), target);
        }
        let held = response.take_held();
        let resp = self.caller_response(request, target, status, response.headers(), body, held);
        self.pool.recycle(Instant::now(), response);
        Ok(resp)
    }
}
