//! Forwarding of requests whose response is an event stream.

mod attempt;
mod prefill;
mod relay;
mod share;
mod upstream;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumlug::Verdict;
use laburnumlug_http::{Response, channel_body};
use laburnumlug_policy::{NoRoom, max_limit_wait};

use self::upstream::Upstream;
use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::engine_selection::EngineSelection;
use crate::forwarder::Forwarder;
use crate::refusal::{FailureCause, Refusal};
use crate::registry::{TargetHandle, can_respond};
use crate::routes::RouteTable;
use crate::stream_origins::RequiredSoftware;
use crate::trials::TrialGuard;

/// Maximum number of targets tried beyond the route's maximum number of attempts; a target that could not be connected
/// to has not received the request, so it does not count as an attempt.
const MAX_EXTRA_TARGETS: u32 = 3;

/// `retry-after` of refused requests without a predicted time; about the time to prefill a prompt.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A streaming request, with the state that its attempts share.
struct StreamRequest {
    request: CallerRequest,
    /// Ends the trial of the request's suspects, if it is one.
    _trial: Option<TrialGuard>,
    service: String,
    table: Rc<RouteTable>,
    /// Software version that has begun the stream, once it has.
    software: Option<RequiredSoftware>,
    tried: Vec<Rc<TargetHandle>>,
    /// Attempts that reached a target, without separate prefills.
    attempts_made: u32,
    /// Separate prefills that reached an engine.
    prefills_made: u32,
    /// Arrivals at engines of which all but the first draw on the retry budget: attempts and failed separate prefills.
    counted_arrivals: u32,
    /// Whether a retry was spent on the next attempt.
    has_retry: Cell<bool>,
}

impl StreamRequest {
    /// Returns the prompt parts that other requests may share, as hexadecimal ids separated by spaces.
    fn shareable_parts(&self) -> String {
        let parts = self.request.prompt_parts.shareable();
        let parts: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        parts.join(" ")
    }
}

/// A stream whose first events have arrived.
struct OpenStream {
    upstream: Upstream,
    first_events: Bytes,
}

/// Response of a successful attempt.
enum StreamAttempt {
    Stream(Box<OpenStream>),
    /// A complete response without events.
    Buffered(Response),
}

impl Forwarder {
    /// Forwards a streaming request, retrying until its first event arrives, then relays the stream in the background.
    pub(crate) async fn forward_stream(
        self: Rc<Self>,
        request: CallerRequest,
        service: &str,
        table: Rc<RouteTable>,
    ) -> Result<Response, Refusal> {
        self.record_request(Instant::now(), service);
        let software = self
            .required_software(&request, service)
            .await
            .map_err(|failure| failure.to_refusal(RETRY_AFTER))?;
        let trial = self.begin_trial(Instant::now(), service, &request);
        let mut stream = StreamRequest {
            software,
            request,
            _trial: trial,
            service: service.to_string(),
            table,
            tried: Vec::new(),
            attempts_made: 0,
            prefills_made: 0,
            counted_arrivals: 0,
            has_retry: Cell::new(false),
        };
        let mut may_have_run = false;
        loop {
            let failure = match self.attempt_stream(&mut stream, None).await {
                Ok(StreamAttempt::Buffered(resp)) => {
                    // An engine that answers with an error has begun no stream.
                    if resp.status().is_success() {
                        self.count_usage(stream.request.metered_customer());
                    }
                    return Ok(resp);
                }
                Ok(StreamAttempt::Stream(open)) => {
                    self.count_usage(stream.request.metered_customer());
                    let mut resp = hyper::Response::new(());
                    *resp.headers_mut() = self
                        .header_codec
                        .forwarded_response_headers(open.upstream.response.headers());
                    *resp.status_mut() =
                        hyper::StatusCode::from_u16(open.upstream.response.status())
                            .unwrap_or(hyper::StatusCode::OK);
                    let (tx, body) = channel_body();
                    compio::runtime::spawn(self.relay(stream, *open, tx)).detach();
                    return Ok(resp.map(|()| body));
                }
                Err(failure) => failure,
            };
            may_have_run |= failure.verdict != Verdict::NotRun;
            let may_repeat =
                !failure.is_final() && (!may_have_run || stream.request.route.is_repeatable());
            if may_repeat && self.try_acquire_attempt(&stream).await {
                continue;
            }
            return Err(match failure.cause.status() {
                503 if may_have_run => Refusal::new(FailureCause::AnswerLost, failure.detail),
                _ => failure.to_refusal(RETRY_AFTER),
            });
        }
    }

    /// Returns whether another attempt may be made, and spends a retry of the service's budget if it needs one.
    async fn try_acquire_attempt(&self, stream: &StreamRequest) -> bool {
        let max_attempts = stream.request.route.max_attempts;
        let has_attempts = stream.attempts_made < max_attempts
            && (stream.tried.len() as u32) < max_attempts + MAX_EXTRA_TARGETS;
        if let (true, Some(target)) = (has_attempts, stream.tried.last()) {
            self.await_crash_check(target).await;
        }
        let now = Instant::now();
        has_attempts
            && !stream.request.time_left(now).is_zero()
            && self.check_not_blocked(now, &stream.request).is_ok()
            && (stream.counted_arrivals == 0
                || stream.has_retry.take()
                || self.try_acquire_retry(now, &stream.service))
    }

    /// Returns whether an attempt at a silent target may be given up for one at another target, and spends a retry for
    /// that one.
    fn may_abandon(&self, now: Instant, stream: &StreamRequest, target: &Rc<TargetHandle>) -> bool {
        let software = stream.software.as_ref();
        let others = self.untried_targets(now, &stream.service, &stream.tried, software);
        let mut others = others.iter();
        let may_abandon = stream.request.route.is_repeatable()
            && stream.attempts_made + 1 < stream.request.route.max_attempts
            && others.any(|other| !Rc::ptr_eq(other, target) && can_respond(other))
            && self.try_acquire_retry(now, &stream.service);
        stream.has_retry.set(may_abandon);
        may_abandon
    }

    /// Selects targets, makes one attempt there until its first event arrives, and logs the outcome.
    async fn attempt_stream(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        last_event_id: Option<String>,
    ) -> Result<StreamAttempt, AttemptFailure> {
        let now = Instant::now();
        self.check_not_blocked(now, &stream.request)?;
        let mut selection = self.choose_targets(now, stream)?;
        let prefill_engine_name = selection
            .prefill_engine
            .as_ref()
            .map_or(String::new(), |engine| engine.instance.clone());
        let (uncached_tokens, predicted) =
            (selection.uncached_tokens, selection.time_to_first_token);
        let waited = now.saturating_duration_since(stream.request.arrived_at);
        let result = self
            .attempt_stream_at(stream, &mut selection, last_event_id)
            .await;
        let target = selection.decode_engine.clone();
        log::info!(
            request_id = stream.request.metadata.id.as_str(), target = target.instance.as_str(),
            reader = prefill_engine_name.as_str(), unread = uncached_tokens, tokens = stream.request.prompt_parts.tokens(),
            waited_ms = waited.as_millis() as u64, predicted_ms = predicted.as_millis() as u64,
            taken_ms = now.elapsed().as_millis() as u64, opened = result.is_ok(),
            software = target.listing.borrow().software.as_deref(), resumes = stream.request.resumes(),
            customer = stream.request.customer_name(), routes = stream.request.basis.version,
            routes_age_ms = stream.request.basis.confirmation_age_ms();
            "stream attempt finished"
        );
        stream
            .tried
            .push(match (&result, &selection.prefill_engine) {
                (
                    Err(AttemptFailure {
                        at_prefill: true, ..
                    }),
                    Some(prefill_engine),
                ) => prefill_engine.clone(),
                _ => target.clone(),
            });
        match &result {
            Ok(attempt) => {
                if let StreamAttempt::Stream(_) = attempt {
                    let software = target.listing.borrow().software.clone();
                    stream.software.get_or_insert(RequiredSoftware(software));
                }
                stream.attempts_made += 1;
                stream.counted_arrivals += 1;
            }
            Err(failure) => {
                // A retry is spent by what reaches a target.
                let keeps_retry = stream.counted_arrivals > 0 && !failure.reached_target;
                stream.has_retry.set(stream.has_retry.get() || keeps_retry);
                stream.counted_arrivals += u32::from(failure.reached_target);
                stream.attempts_made += u32::from(failure.reached_target && !failure.at_prefill);
                log::info!(
                    request_id = stream.request.metadata.id.as_str(), target = target.instance.as_str(),
                    cause = failure.cause.as_str(), content = format!("{:x}", stream.request.content).as_str(),
                    prompt_parts = stream.shareable_parts().as_str(), customer = stream.request.customer_name();
                    "attempt failed: {}", failure.detail
                );
                if failure.is_connection_broken && !failure.at_prefill {
                    self.check_for_crash(&target);
                }
            }
        }
        result
    }

    fn choose_targets(
        &self,
        now: Instant,
        stream: &StreamRequest,
    ) -> Result<EngineSelection, AttemptFailure> {
        let standing = self.check_share(now, stream)?;
        let traits = stream.table.engine_traits(&stream.service);
        let selection = match (&stream.request.metadata.prompt, traits) {
            (Some(prompt), Some(traits)) => self.choose_engines(
                now,
                &self.untried_targets(
                    now,
                    &stream.service,
                    &stream.tried,
                    stream.software.as_ref(),
                ),
                traits,
                &stream.request,
                prompt,
            ),
            _ => {
                let max_wait = max_limit_wait(stream.request.route.latency_objective);
                let target = self.least_loaded_target(
                    now,
                    &stream.service,
                    &stream.tried,
                    stream.software.as_ref(),
                    max_wait,
                );
                let selection = target.map(|decode_engine| EngineSelection {
                    send_at: self.reserve_request(now, &decode_engine),
                    decode_engine,
                    prefill_engine: None,
                    uncached_tokens: 0,
                    time_to_first_token: Duration::ZERO,
                    priority: 0,
                });
                selection.ok_or(NoRoom::default())
            }
        };
        let selection = selection.map(|mut selection| {
            share::apply_standing(standing, &mut selection);
            selection
        });
        selection.map_err(|mut no_room| {
            self.record_unplaced(now, stream);
            if no_room.room_after.is_zero() {
                let wait = self.shortest_wait(now, &stream.service);
                no_room.room_after = wait.unwrap_or_default();
            }
            let demand = &self.engine_requests.demand;
            demand.add_refused(now, &stream.service);
            AttemptFailure {
                retry_after: self.schedule_retry(now, &stream.service, no_room),
                ..AttemptFailure::unsent(
                    FailureCause::NoTarget,
                    format!(
                        "no engine of the service has room{}",
                        self.describe_statements(now, &stream.service)
                    ),
                )
            }
        })
    }
}
