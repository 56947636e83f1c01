//! A single attempt to send a request to one target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use laburnumlug::{StreamId, Verdict};
use laburnumlug_http::{HeldBytes, PooledResponse, SendError};
use laburnumlug_policy::{ContentId, PromptParts, Suspect, TrialId};

use crate::attempt_failure::AttemptFailure;
use crate::customers::CustomerEntry;
use crate::forwarder::Forwarder;
use crate::header_codec::{AttemptHeaders, AttemptStage, RequestMetadata};
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;
use crate::request_content::stream_id;
use crate::route_basis::RouteBasis;
use crate::routes::RouteEntry;

/// Maximum size, in bytes, of a response body that is read and discarded so that the connection can be reused.
const MAX_DRAINED_BYTES: usize = 64 * 1024;

/// Time in which such a body must arrive; it is short and follows its head. A new connection takes a millisecond.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A caller's request, as forwarded in each attempt.
pub(crate) struct CallerRequest {
    pub(crate) metadata: RequestMetadata,
    pub(crate) route: Rc<RouteEntry>,
    /// What the route was taken from.
    pub(crate) basis: RouteBasis,
    /// Customer that the request is served for; `None` if the request needs no API key and has none.
    pub(crate) customer: Option<Rc<CustomerEntry>>,
    /// Urgency of the request; 0 is the most urgent.
    pub(crate) rank: u32,
    pub(crate) method: hyper::Method,
    pub(crate) path: hyper::Uri,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What is held of the body.
    pub(crate) held: Rc<HeldBytes>,
    pub(crate) content: ContentId,
    /// Parts of the prompt; a request without a prompt has none.
    pub(crate) prompt_parts: PromptParts,
    pub(crate) arrived_at: Instant,
    /// When the timeout of the caller or of the route expires, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Whether a target may have run the request; it is known while the request waits for a response, too.
    pub(crate) may_have_run: Rc<Cell<bool>>,
    /// Trial of blocked suspects for which the request is sent, if any.
    pub(crate) trial: Cell<Option<TrialId>>,
}

impl CallerRequest {
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the name of the customer that the request is served for; empty if there is none.
    pub(crate) fn customer_name(&self) -> &str {
        self.customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str())
    }

    /// Returns the name of the customer whose usage the request adds to, if any.
    pub(crate) fn metered_customer(&self) -> Option<&str> {
        let customer = self.customer.as_ref();
        customer.map(|customer| customer.name.as_str())
    }

    /// Returns the id of the request that began the stream which this one resumes, if the caller states it.
    pub(crate) fn resumes(&self) -> Option<&str> {
        let resumption = self.metadata.resumption.as_ref()?;
        resumption.first_request.as_deref()
    }

    /// Returns the id of the event after which the request asks for a stream to go on, on routes whose streams may be.
    pub(crate) fn resumed_after(&self) -> Option<String> {
        let resumption = self.metadata.resumption.as_ref();
        let resumption = resumption.filter(|_| self.route.is_repeatable())?;
        Some(resumption.last_event_id.clone())
    }

    /// Returns the id of the stream that the request begins or resumes.
    pub(crate) fn stream_id(&self) -> StreamId {
        stream_id(self.resumes().unwrap_or(&self.metadata.id))
    }

    /// Returns what the request has that may crash the target that runs it.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        let mut suspects = self.prompt_parts.suspects();
        suspects.push(Suspect::Content(self.content));
        suspects
    }
}

/// Timeout and priority settings of one attempt.
#[derive(Clone, Copy)]
pub(crate) struct AttemptOptions<'a> {
    /// Service that the target must belong to.
    pub(crate) service: &'a str,
    /// Time without a response head after which the target is probed.
    pub(crate) probe_after: Duration,
    /// Returns whether the attempt may be abandoned now when the probe fails, or after waiting `probe_after` once more when
    /// it succeeds. Otherwise the attempt waits until the request's deadline, as its target may only be silent for a while.
    pub(crate) may_abandon: &'a dyn Fn(Instant) -> bool,
    /// Priority at an engine; 0 is the most urgent.
    pub(crate) priority: Option<u8>,
}

impl Forwarder {
    /// Reads the body of a response, of at most `limit` bytes, within the time left for its request.
    ///
    /// A body that is not whole counts against the target's health.
    pub(crate) async fn read_body(
        &self,
        request: &CallerRequest,
        target: &TargetHandle,
        response: &mut PooledResponse,
        limit: usize,
    ) -> Result<Bytes, AttemptFailure> {
        let time_left = request.time_left(Instant::now());
        match laburnumlug_http::timeout(time_left, response.bytes(limit)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(err)) => {
                let failure = self.record_failed_exchange(Instant::now(), request, target, &err);
                Err(AttemptFailure {
                    is_connection_broken: false,
                    ..failure
                })
            }
            Err(_) => {
                self.record_failure(Instant::now(), target);
                Err(AttemptFailure::timed_out("no whole answer in time"))
            }
        }
    }

    /// Sends a request to a target and waits for the response head.
    ///
    /// A failed connection or a timeout counts against the target's health; recording a success is left to the
    /// calling method.
    pub(crate) async fn send_attempt(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        stage: AttemptStage,
        last_event_id: Option<String>,
        options: AttemptOptions<'_>,
    ) -> Result<PooledResponse, AttemptFailure> {
        let now = Instant::now();
        let time_left = request.time_left(now);
        let result = match self.check_not_stopping_unsent(now, request) {
            Err(failure) => Err(failure),
            Ok(()) if time_left.is_zero() => Err(AttemptFailure::expired()),
            Ok(()) => {
                target.health.borrow_mut().record_selection(now);
                let attempt = AttemptHeaders {
                    instance: target.instance.clone(),
                    time_left,
                    priority: options.priority,
                    stage,
                    last_event_id,
                };
                let may_have_run = &request.may_have_run;
                let may_have_run_before = match attempt.stage {
                    AttemptStage::Prefill => may_have_run.get(),
                    AttemptStage::Full | AttemptStage::DecodeFrom { .. } => {
                        may_have_run.replace(true)
                    }
                };
                let sent = self
                    .await_response_head(now, request, target, attempt, options)
                    .await;
                let result = self.classify_result(request, target, sent).await;
                if let Err(failure) = &result
                    && failure.verdict == Verdict::NotRun
                {
                    may_have_run.set(may_have_run_before);
                }
                result
            }
        };
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure.cause.as_str(),
        };
        self.observe(|observer| observer.attempt_finished(outcome));
        result
    }

    /// Sends a request and waits for the response head, probing the target if it stays silent.
    ///
    /// Returns `None` if no head arrives in time. Whether the target still accepts the request is checked when it is written.
    async fn await_response_head(
        self: &Rc<Self>,
        now: Instant,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        attempt: AttemptHeaders,
        options: AttemptOptions<'_>,
    ) -> Option<Result<PooledResponse, SendError>> {
        let mut headers = request.headers.clone();
        self.header_codec
            .set_attempt_headers(&mut headers, &attempt);
        let mut req = hyper::Request::new(Full::new(request.body.clone()));
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = request.path.clone();
        *req.headers_mut() = headers;
        let addr = target.listing.borrow().addr;
        let id = &request.metadata.id;
        let may_send = || {
            let now = Instant::now();
            self.check_sendable(now, id, options.service, target, &attempt.stage)
        };
        let mut sending = Box::pin(self.pool.send_if(now, addr, id, req, may_send));
        let limit = options.probe_after.min(attempt.time_left);
        let sent = laburnumlug_http::timeout(limit, sending.as_mut()).await;
        if sent.is_ok() || limit >= attempt.time_left {
            return sent.ok();
        }
        // An engine with a long queue is silent as well, but still answers a probe.
        let is_healthy = self.is_healthy(target).await;
        match is_healthy {
            true => target
                .activity
                .borrow_mut()
                .record_passed_probe(Instant::now()),
            false => {
                let reason = "it answers neither requests nor a health probe";
                self.suspect_silent(Instant::now(), target, reason);
            }
        }
        let now = Instant::now();
        if !is_healthy && (options.may_abandon)(now) {
            return None;
        }
        let extra_wait = limit.min(request.time_left(now));
        if let Ok(sent) = laburnumlug_http::timeout(extra_wait, sending.as_mut()).await {
            return Some(sent);
        }
        let now = Instant::now();
        if (options.may_abandon)(now) {
            return None;
        }
        laburnumlug_http::timeout(request.time_left(now), sending)
            .await
            .ok()
    }

    /// Turns the outcome of a send into a response or a failure, and counts a failed send against the target's health.
    async fn classify_result(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        sent: Option<Result<PooledResponse, SendError>>,
    ) -> Result<PooledResponse, AttemptFailure> {
        let now = Instant::now();
        match sent {
            Some(Ok(response)) => self.check_response(request, target, response).await,
            Some(Err(SendError::NotSent(err))) => {
                self.suspect(now, target, "connecting failed");
                Err(AttemptFailure::unsent(
                    FailureCause::Unreachable,
                    err.to_string(),
                ))
            }
            Some(Err(SendError::Withdrawn)) => Err(AttemptFailure::unsent(
                FailureCause::TargetDeclined,
                "the target no longer accepts the request",
            )),
            Some(Err(SendError::Sent(err))) => {
                Err(self.record_failed_exchange(now, request, target, &err))
            }
            None => {
                // A suspected target gets no requests anyway, and is used again as soon as it responds.
                if !target.health.borrow().is_suspected(now) {
                    self.record_failure(now, target);
                }
                Err(AttemptFailure::timed_out("no answer in time"))
            }
        }
    }

    /// Checks that a response belongs to the request and is not a refusal.
    async fn check_response(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        mut response: PooledResponse,
    ) -> Result<PooledResponse, AttemptFailure> {
        let metadata = self
            .header_codec
            .parse_response(response.status(), response.headers());
        if metadata.id.as_ref() != Some(&request.metadata.id) {
            // The response to this request may still arrive, but responses on this connection can no longer be matched
            // to requests.
            if metadata.id.is_some() {
                let addr = target.listing.borrow().addr;
                self.pool.record_wrong_answer(Instant::now(), addr);
            }
            return Err(AttemptFailure::answer_lost(
                "the answer is not this request's",
            ));
        }
        if !metadata.wrong_target {
            let now = Instant::now();
            self.record_sign_of_life(now, target);
            self.record_statements(now, target, metadata.statements);
        }
        if !metadata.not_run && !metadata.wrong_target {
            return Ok(response);
        }
        if metadata.wrong_target {
            self.suspect(
                Instant::now(),
                target,
                "another instance answers at its address",
            );
        }
        let status = response.status();
        let drained =
            laburnumlug_http::timeout(DRAIN_TIMEOUT, response.bytes(MAX_DRAINED_BYTES)).await;
        if matches!(drained, Ok(Ok(_))) {
            self.pool.recycle(Instant::now(), response);
        }
        Err(AttemptFailure::refused(status))
    }
}
