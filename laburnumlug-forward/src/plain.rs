//! Requests with one whole answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumlug::Verdict;
use laburnumlug_http::{Response, full_body};
use rand::Rng;

use crate::dialect::SendStep;
use crate::directory::{TargetHandle, usable};
use crate::exchange::{Call, SendFailure, SendTerms};
use crate::forwarder::Forwarder;
use crate::refusal::{Cause, Refusal};

/// Longest answer in bytes; an answer is held until it is whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Most connections that are tried for one request; a connection that fails has carried nothing.
const MAX_CONNECTS: u32 = 3;

/// Multiple of a route's aim after which a repeatable request is given to another target.
const SILENCE_FACTOR: u32 = 2;

/// Multiple of a route's aim after which a silent target is suspected.
const SUSPECT_FACTOR: u32 = 3;

/// When a caller may try again where no target is known; an estimate.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(200);

/// When a caller may try again where targets refused or were not reached; an estimate.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Load that another availability zone must be below the own one to be preferred; it costs latency and traffic.
const FAR_PENALTY: f64 = 0.4;

/// Load that a target counts for each unit of its share of failures.
const FAILURE_PENALTY: f64 = 2.0;

impl Forwarder {
    /// Answers a request that has one whole answer.
    pub(crate) async fn answer_plain(
        self: &Rc<Self>,
        call: &Call,
        service: &str,
    ) -> Result<Response, Refusal> {
        self.note_request(Instant::now(), service);
        let mut tried: Vec<Rc<TargetHandle>> = Vec::new();
        let mut sends = 0;
        let mut last: Option<SendFailure> = None;
        for _ in 0..call.route.attempts + MAX_CONNECTS {
            let now = Instant::now();
            if sends >= call.route.attempts {
                break;
            }
            let Some(target) = self.plain_target(now, service, &tried) else {
                break;
            };
            if sends > 0 && !self.take_retry(now, service) {
                break;
            }
            let is_last = sends + 1 >= call.route.attempts;
            tried.push(target.clone());
            let failure = match self.exchange_plain(call, &target, is_last).await {
                Ok(resp) => {
                    self.note_late(call, &target);
                    return Ok(resp);
                }
                Err(failure) => failure,
            };
            log::info!(
                request_id = call.facts.id.as_str(), target = target.instance.as_str(),
                cause = failure.cause.as_str(); "a send failed: {}", failure.detail
            );
            sends += u32::from(failure.arrived);
            let may_repeat = failure.verdict == Verdict::NotRun || call.route.is_repeatable();
            let verdict = last.as_ref().map_or(Verdict::NotRun, |last| last.verdict);
            last = Some(SendFailure {
                verdict: verdict.combine(failure.verdict),
                ..failure
            });
            if !may_repeat {
                break;
            }
        }
        Err(match last {
            None => Refusal::new(Cause::NoTarget, "no target of the service is known")
                .retry_after(NO_TARGET_RETRY_AFTER),
            // An earlier send may have run, so a later refusal promises nothing.
            Some(failure)
                if failure.verdict != Verdict::NotRun && failure.cause.status() == 503 =>
            {
                Refusal::new(Cause::AnswerLost, failure.detail)
            }
            Some(failure) => failure.refusal().retry_after(RETRY_AFTER),
        })
    }

    async fn exchange_plain(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        is_last: bool,
    ) -> Result<Response, SendFailure> {
        let _running = target.enter();
        let exchanging = async {
            let terms = SendTerms {
                limit: call.route.aim * SUSPECT_FACTOR,
                may_give_up: false,
                priority: None,
            };
            let mut answer = self
                .send(call, target, SendStep::Whole, None, terms)
                .await?;
            let body = match answer.bytes(MAX_ANSWER_BYTES).await {
                Ok(body) => body,
                Err(err) => {
                    self.note_failure(Instant::now(), target);
                    return Err(SendFailure::lost(err.to_string()));
                }
            };
            Ok((answer, body))
        };
        let patience = match call.route.is_repeatable() && !is_last {
            true => call.route.aim * SILENCE_FACTOR,
            false => Duration::MAX,
        };
        let time_left = call.time_left(Instant::now());
        if time_left.is_zero() {
            return Err(SendFailure::expired());
        }
        let limit = patience.min(time_left);
        let (answer, body) = match compio::time::timeout(limit, exchanging).await {
            Ok(exchanged) => exchanged?,
            Err(_) => {
                self.note_failure(Instant::now(), target);
                return Err(SendFailure::timed_out("no whole answer in time"));
            }
        };
        let status = answer.status();
        if status >= 500 {
            self.note_failure(Instant::now(), target);
            if call.route.is_repeatable() && !is_last {
                self.pool.recycle(Instant::now(), answer);
                return Err(SendFailure::lost(format!(
                    "the target answered with status {status}"
                )));
            }
        } else {
            target.health.borrow_mut().record_success();
        }
        let resp = self.pass_on(status, answer.headers(), body);
        self.pool.recycle(Instant::now(), answer);
        Ok(resp)
    }

    /// Logs an answer that comes later than its route aims at.
    fn note_late(&self, call: &Call, target: &TargetHandle) {
        let taken = call.arrived.elapsed();
        if taken > call.route.aim {
            log::info!(
                request_id = call.facts.id.as_str(), target = target.instance.as_str(), cause = "late",
                route = call.route.name.as_str(), taken_ms = taken.as_millis() as u64,
                aim_ms = call.route.aim.as_millis() as u64; "a late answer"
            );
        }
    }

    /// Makes the response to the caller from a target's whole answer.
    pub(crate) fn pass_on(&self, status: u16, headers: &hyper::HeaderMap, body: Bytes) -> Response {
        let mut resp = hyper::Response::new(full_body(body));
        if let Ok(status) = hyper::StatusCode::from_u16(status) {
            *resp.status_mut() = status;
        }
        *resp.headers_mut() = self.dialect.answered(headers);
        resp
    }

    /// Returns the targets that may be asked and were not tried.
    pub(crate) fn untried(
        &self,
        now: Instant,
        service: &str,
        tried: &[Rc<TargetHandle>],
    ) -> Vec<Rc<TargetHandle>> {
        let mut targets = self.serving(service);
        targets.retain(|target| !tried.iter().any(|t| Rc::ptr_eq(t, target)));
        usable(now, targets)
    }

    /// Returns the least loaded target that was not tried.
    pub(crate) fn plain_target(
        &self,
        now: Instant,
        service: &str,
        tried: &[Rc<TargetHandle>],
    ) -> Option<Rc<TargetHandle>> {
        let load = |target: &Rc<TargetHandle>| {
            let row = target.row.borrow();
            let far = if row.zone == self.cfg.zone {
                0.0
            } else {
                FAR_PENALTY
            };
            let failing = target.health.borrow().failure_rate() * FAILURE_PENALTY;
            let jitter = rand::rng().random_range(0.0..0.01);
            f64::from(target.running.get()) / f64::from(row.slots.max(1)) + far + failing + jitter
        };
        let loads = self
            .untried(now, service, tried)
            .into_iter()
            .map(|target| (load(&target), target));
        loads
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }
}
