//! One send of a request to one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use laburnumlug::Verdict;
use laburnumlug_http::{Answer, SendError};

use crate::dialect::{CallFacts, SendFacts, SendStep};
use crate::directory::TargetHandle;
use crate::forwarder::Forwarder;
use crate::refusal::{Cause, Refusal};
use crate::routes::RouteRow;

/// Longest body of an answer that is read only to keep its connection, in bytes.
const MAX_DRAINED_BYTES: usize = 64 * 1024;

/// A caller's request.
pub(crate) struct Call {
    pub(crate) facts: CallFacts,
    pub(crate) route: Rc<RouteRow>,
    pub(crate) method: hyper::Method,
    pub(crate) path: hyper::Uri,
    /// Headers to pass on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// When the caller, or its route, waits no longer.
    pub(crate) deadline: Instant,
}

impl Call {
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Terms of one send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendTerms {
    /// Time without the head of an answer after which the target is probed.
    pub(crate) limit: Duration,
    /// Whether the send ends where the probe fails, or after the same time again; otherwise it waits for as long as
    /// the caller does.
    pub(crate) may_give_up: bool,
    /// Urgency at an engine.
    pub(crate) priority: Option<u8>,
}

/// A send without an answer that can be passed on.
#[derive(Debug)]
pub(crate) struct SendFailure {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Cause,
    pub(crate) detail: String,
    /// Whether the target has seen the request at all.
    pub(crate) arrived: bool,
    /// Whether it was only to read a prompt for another target.
    pub(crate) at_reader: bool,
}

impl SendFailure {
    pub(crate) fn lost(detail: String) -> SendFailure {
        SendFailure {
            verdict: Verdict::MayHaveRun,
            cause: Cause::AnswerLost,
            detail,
            arrived: true,
            at_reader: false,
        }
    }

    pub(crate) fn expired() -> SendFailure {
        SendFailure {
            verdict: Verdict::NotRun,
            cause: Cause::Expired,
            detail: "no time is left".to_string(),
            arrived: false,
            at_reader: false,
        }
    }

    /// Returns the answer to the caller where nothing more is tried.
    pub(crate) fn refusal(&self) -> Refusal {
        Refusal::new(self.cause, self.detail.clone())
    }
}

impl Forwarder {
    /// Sends a request once and waits for the head of the answer.
    pub(crate) async fn send(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        step: SendStep,
        resume_after: Option<String>,
        terms: SendTerms,
    ) -> Result<Answer, SendFailure> {
        let result = self
            .send_uncounted(call, target, step, resume_after, terms)
            .await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure.cause.as_str(),
        };
        self.observe(|observer| observer.sent(outcome));
        result
    }

    async fn send_uncounted(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        step: SendStep,
        resume_after: Option<String>,
        terms: SendTerms,
    ) -> Result<Answer, SendFailure> {
        let now = Instant::now();
        let time_left = call.time_left(now);
        if time_left.is_zero() {
            return Err(SendFailure::expired());
        }
        target.health.borrow_mut().note_chosen(now);
        let facts = SendFacts {
            instance: target.instance.clone(),
            time_left,
            priority: terms.priority,
            step,
            resume_after,
        };
        let mut headers = call.headers.clone();
        self.dialect.address(&mut headers, &facts);
        let mut req = hyper::Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.clone();
        *req.headers_mut() = headers;
        let addr = target.row.borrow().addr;
        let mut sending = Box::pin(self.pool.send(now, addr, req));
        let limit = terms.limit.min(time_left);
        let sent = match compio::time::timeout(limit, sending.as_mut()).await {
            Err(_) if limit < time_left => {
                // An engine with a long queue is silent, too, but answers a probe.
                let serves = self.serves(target).await;
                if !serves {
                    self.suspect(
                        Instant::now(),
                        target,
                        "it answers neither requests nor a probe",
                    );
                }
                let left = call.time_left(Instant::now());
                match (terms.may_give_up, serves) {
                    (true, false) => None,
                    (true, true) => compio::time::timeout(limit.min(left), sending.as_mut())
                        .await
                        .ok(),
                    (false, _) => compio::time::timeout(left, sending.as_mut()).await.ok(),
                }
            }
            sent => sent.ok(),
        };
        drop(sending);
        let now = Instant::now();
        match sent {
            Some(Ok(answer)) => self.check(call, target, answer).await,
            Some(Err(SendError::NotSent(err))) => {
                self.suspect(now, target, "no connection is made");
                Err(SendFailure {
                    verdict: Verdict::NotRun,
                    cause: Cause::Unreachable,
                    detail: err.to_string(),
                    arrived: false,
                    at_reader: false,
                })
            }
            Some(Err(SendError::Sent(err))) => {
                self.note_failure(now, target);
                Err(SendFailure::lost(err.to_string()))
            }
            None => {
                self.note_failure(now, target);
                Err(SendFailure {
                    verdict: Verdict::MayHaveRun,
                    cause: Cause::TimedOut,
                    detail: "no answer in time".to_string(),
                    arrived: true,
                    at_reader: false,
                })
            }
        }
    }

    /// Checks that an answer belongs to the request and does not refuse it.
    async fn check(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        mut answer: Answer,
    ) -> Result<Answer, SendFailure> {
        let facts = self.dialect.answer(answer.status(), answer.headers());
        if facts.id.as_ref() != Some(&call.facts.id) {
            // The answer to this request may still come, but nothing on this connection can be trusted.
            return Err(SendFailure::lost(
                "the answer is not this request's".to_string(),
            ));
        }
        if !facts.not_run && !facts.wrong_target {
            return Ok(answer);
        }
        if facts.wrong_target {
            self.suspect(
                Instant::now(),
                target,
                "another target answers at its address",
            );
        }
        let status = answer.status();
        if answer.bytes(MAX_DRAINED_BYTES).await.is_ok() {
            self.pool.keep(Instant::now(), answer);
        }
        Err(SendFailure {
            verdict: Verdict::NotRun,
            cause: Cause::TargetRefused,
            detail: format!("the target refused with status {status}"),
            arrived: true,
            at_reader: false,
        })
    }
}
