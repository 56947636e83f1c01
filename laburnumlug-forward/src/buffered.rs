//! Forwarding of requests whose response is buffered whole, with retries at other targets.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumlug::Verdict;
use laburnumlug_http::{HeldBytes, Response, held_body};
use laburnumlug_policy::max_limit_wait;
use rand::Rng;

use crate::attempt::{AttemptOptions, CallerRequest};
use crate::attempt_failure::AttemptFailure;
use crate::crashes::RunGuard;
use crate::forwarder::Forwarder;
use crate::header_codec::AttemptStage;
use crate::memory::HeldPart;
use crate::refusal::{FailureCause, Refusal};
use crate::registry::{TargetHandle, selectable_targets};
use crate::stream_origins::RequiredSoftware;
use crate::unframed::ENDED_WITH_TARGET;
use crate::usage::UsageGuard;

/// Maximum size of a response body in bytes; responses are buffered until they are complete.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of targets tried beyond the route's maximum number of attempts; a target that could not be connected
/// to has not received the request, so it does not count as an attempt.
const MAX_EXTRA_TARGETS: u32 = 3;

/// Multiple of the route's latency objective after which a repeatable request is sent to another target.
const RESEND_OBJECTIVE_MULTIPLE: u32 = 2;

/// Multiple of the route's latency objective after which a silent target is probed.
const PROBE_OBJECTIVE_MULTIPLE: u32 = 3;

/// `retry-after` when no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `retry-after` when targets refused the request or could not be reached.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Load added to targets in other availability zones, as reaching them costs latency and cross-zone traffic.
const REMOTE_ZONE_LOAD_PENALTY: f64 = 0.4;

/// Load added to a target per unit of its failure rate.
const FAILURE_LOAD_PENALTY: f64 = 2.0;

impl Forwarder {
    /// Forwards a request and returns the buffered response, retrying at other targets.
    pub(crate) async fn forward_buffered(
        self: &Rc<Self>,
        request: &CallerRequest,
        service: &str,
    ) -> Result<Response, Refusal> {
        self.record_request(Instant::now(), service);
        let _trial = self.begin_trial(Instant::now(), service, request);
        let usage = self.track_usage(request.metered_customer());
        let mut tried: Vec<Rc<TargetHandle>> = Vec::new();
        let mut attempts_made = 0;
        let mut has_retry = false;
        let mut last_failure: Option<AttemptFailure> = None;
        for _ in 0..request.route.max_attempts + MAX_EXTRA_TARGETS {
            let now = Instant::now();
            if attempts_made >= request.route.max_attempts {
                break;
            }
            if let Err(failure) = self.check_not_blocked(now, request) {
                last_failure = Some(failure.after(last_failure));
                break;
            }
            let max_wait = max_limit_wait(request.route.latency_objective);
            let Some(target) = self.least_loaded_target(now, service, &tried, None, max_wait)
            else {
                break;
            };
            let needs_retry = attempts_made > 0;
            if needs_retry && !has_retry && !self.try_acquire_retry(now, service) {
                break;
            }
            let is_last_attempt = attempts_made + 1 >= request.route.max_attempts;
            tried.push(target.clone());
            compio::time::sleep_until(self.reserve_request(now, &target)).await;
            // The target may only be silent for a while, so its work is given up only for an attempt that can be made.
            let acquire_resend = |now| {
                let other = self.least_loaded_target(now, service, &tried, None, max_wait);
                other.is_some() && self.try_acquire_retry(now, service)
            };
            let options = AttemptOptions {
                service,
                probe_after: request.route.latency_objective * PROBE_OBJECTIVE_MULTIPLE,
                may_abandon: &|_| false,
                priority: None,
            };
            let attempt = self.attempt_buffered(
                request,
                &target,
                &usage,
                options,
                is_last_attempt,
                &acquire_resend,
            );
            let result = self
                .unless_blocked(Verdict::MayHaveRun, request, attempt)
                .await;
            let failure = match result {
                Ok(resp) => {
                    self.log_late_response(request, &target);
                    return Ok(resp);
                }
                Err(failure) => failure,
            };
            log::info!(
                request_id = request.metadata.id.as_str(), target = target.instance.as_str(),
                cause = failure.cause.as_str(), content = format!("{:x}", request.content).as_str(),
                customer = request.customer_name(), routes = request.basis.version,
                routes_age_ms = request.basis.confirmation_age_ms();
                "attempt failed: {}", failure.detail
            );
            attempts_made += u32::from(failure.reached_target);
            // A retry is spent by what reaches a target.
            has_retry = failure.has_retry || (needs_retry && !failure.reached_target);
            let may_repeat = failure.verdict == Verdict::NotRun || request.route.is_repeatable();
            if failure.is_connection_broken {
                self.check_for_crash(&target);
            }
            let is_final = failure.is_final();
            last_failure = Some(failure.after(last_failure));
            if !may_repeat || is_final {
                break;
            }
            self.await_crash_check(&target).await;
        }
        Err(match last_failure {
            None => {
                let wait = self.shortest_wait(Instant::now(), service);
                let detail = match wait {
                    Some(_) => "all targets of the service decline requests",
                    None => "no target of the service is known",
                };
                Refusal::new(FailureCause::NoTarget, detail)
                    .retry_after(wait.unwrap_or(NO_TARGET_RETRY_AFTER))
            }
            // An earlier attempt may have been executed, so a 503 would make a false guarantee.
            Some(failure)
                if failure.verdict != Verdict::NotRun && failure.cause.status() == 503 =>
            {
                Refusal::new(FailureCause::AnswerLost, failure.detail)
            }
            Some(failure) => failure.to_refusal(RETRY_AFTER),
        })
    }

    async fn attempt_buffered(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &Rc<TargetHandle>,
        usage: &UsageGuard,
        options: AttemptOptions<'_>,
        is_last_attempt: bool,
        acquire_resend: &dyn Fn(Instant) -> bool,
    ) -> Result<Response, AttemptFailure> {
        let _in_flight = target.track_request();
        let mut run = RunGuard::start(target, request);
        let exchange = async {
            usage.mark_sent();
            let sent = self
                .send_attempt(request, target, AttemptStage::Full, None, options)
                .await;
            let mut response = match sent {
                Err(failure) if failure.verdict == Verdict::NotRun => {
                    run.mark_not_run();
                    usage.mark_not_run();
                    return Err(failure);
                }
                sent => sent?,
            };
            let body = match response.bytes(MAX_RESPONSE_BYTES).await {
                Ok(body) => body,
                Err(err) => {
                    return Err(self.record_failed_exchange(Instant::now(), request, target, &err));
                }
            };
            if self.is_cut_by_crash(&response, target).await {
                return Err(AttemptFailure::connection_broken(ENDED_WITH_TARGET));
            }
            run.mark_complete(Instant::now(), self);
            Ok((response, body))
        };
        let may_resend = request.route.is_repeatable() && !is_last_attempt;
        let resend_after = match may_resend {
            true => request.route.latency_objective * RESEND_OBJECTIVE_MULTIPLE,
            false => Duration::MAX,
        };
        let time_left = request.time_left(Instant::now());
        if time_left.is_zero() {
            return Err(AttemptFailure::expired());
        }
        let mut exchange = pin!(exchange);
        let mut exchanged =
            laburnumlug_http::timeout(resend_after.min(time_left), exchange.as_mut()).await;
        let now = Instant::now();
        let has_retry = exchanged.is_err()
            && may_resend
            && !request.time_left(now).is_zero()
            && acquire_resend(now);
        if exchanged.is_err() && !has_retry {
            exchanged = laburnumlug_http::timeout(request.time_left(now), exchange).await;
        }
        let (mut response, body) = match exchanged {
            Ok(exchanged) => exchanged?,
            Err(_) => {
                self.record_failure(Instant::now(), target);
                return Err(AttemptFailure {
                    has_retry,
                    ..AttemptFailure::timed_out("no whole answer in time")
                });
            }
        };
        let status = response.status();
        if status >= 500 {
            self.record_failure(Instant::now(), target);
            if request.route.is_repeatable() && !is_last_attempt {
                self.pool.recycle(Instant::now(), response);
                return Err(AttemptFailure::answer_lost(format!(
                    "the target answered with status {status}"
                )));
            }
        } else {
            target.health.borrow_mut().record_success();
        }
        let held = response.take_held();
        let resp = self.caller_response(request, target, status, response.headers(), body, held);
        self.pool.recycle(Instant::now(), response);
        Ok(resp)
    }

    /// Logs a response that took longer than the route's latency objective.
    fn log_late_response(&self, request: &CallerRequest, target: &TargetHandle) {
        let taken = request.arrived_at.elapsed();
        if taken > request.route.latency_objective {
            log::info!(
                request_id = request.metadata.id.as_str(), target = target.instance.as_str(), cause = "late",
                route = request.route.name.as_str(), taken_ms = taken.as_millis() as u64,
                aim_ms = request.route.latency_objective.as_millis() as u64, customer = request.customer_name(),
                routes = request.basis.version, routes_age_ms = request.basis.confirmation_age_ms();
                "the response exceeded the latency objective"
            );
        }
    }

    /// Builds the response to the caller from a target's buffered response, whose body `held` holds.
    pub(crate) fn caller_response(
        self: &Rc<Self>,
        request: &CallerRequest,
        target: &TargetHandle,
        status: u16,
        headers: &hyper::HeaderMap,
        body: Bytes,
        held: HeldBytes,
    ) -> Response {
        let forwarder = self.clone();
        let (id, target) = (request.metadata.id.clone(), target.instance.clone());
        let body = held_body(body, held, move |over| {
            forwarder.log_ended(&id, &target, HeldPart::UnreadAnswer, over);
        });
        let mut resp = hyper::Response::new(body);
        if let Ok(status) = hyper::StatusCode::from_u16(status) {
            *resp.status_mut() = status;
        }
        *resp.headers_mut() = self.header_codec.forwarded_response_headers(headers);
        resp
    }

    /// Returns the selectable targets of a service that were not tried yet and, for a resumed stream, run the required
    /// software.
    pub(crate) fn untried_targets(
        &self,
        now: Instant,
        service: &str,
        tried: &[Rc<TargetHandle>],
        software: Option<&RequiredSoftware>,
    ) -> Vec<Rc<TargetHandle>> {
        let mut targets = self.available_targets(now, service);
        targets.retain(|target| {
            let is_allowed = software.is_none_or(|software| software.allows(target));
            is_allowed && !tried.iter().any(|t| Rc::ptr_eq(t, target))
        });
        selectable_targets(now, targets)
    }

    /// Returns the least loaded target of a service that was not tried yet and accepts a request within `max_wait`.
    ///
    /// The load is the share of slots in use, plus penalties for failures, for another availability zone and for waiting
    /// until the target's own limit allows a request, plus a random value below 0.01 that breaks ties.
    pub(crate) fn least_loaded_target(
        &self,
        now: Instant,
        service: &str,
        tried: &[Rc<TargetHandle>],
        software: Option<&RequiredSoftware>,
        max_wait: Duration,
    ) -> Option<Rc<TargetHandle>> {
        let limit_wait = |target: &Rc<TargetHandle>| target.status.borrow().limit.wait(now);
        let load = |target: &Rc<TargetHandle>| {
            let listing = target.listing.borrow();
            let zone_penalty = if listing.zone == self.cfg.zone {
                0.0
            } else {
                REMOTE_ZONE_LOAD_PENALTY
            };
            let failure_penalty = target.health.borrow().failure_rate() * FAILURE_LOAD_PENALTY;
            let limit_penalty = limit_wait(target).div_duration_f64(max_wait);
            let jitter = rand::rng().random_range(0.0..0.01);
            f64::from(target.in_flight.get()) / f64::from(listing.slots.max(1))
                + zone_penalty
                + failure_penalty
                + limit_penalty
                + jitter
        };
        let loads = self
            .untried_targets(now, service, tried, software)
            .into_iter()
            .filter(|target| limit_wait(target) <= max_wait)
            .map(|target| (load(&target), target));
        loads
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }
}
