//! One send of a request to one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use laburnumlug::Verdict;
use laburnumlug_http::{PooledResponse, SendError};

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
    /// The target has seen the request, and its answer is lost.
    pub(crate) fn lost<D>(detail: D) -> SendFailure
    where
        D: Into<String>,
    {
        SendFailure {
            verdict: Verdict::MayHaveRun,
            cause: Cause::AnswerLost,
            detail: detail.into(),
            arrived: true,
            at_reader: false,
        }
    }

    /// The target has seen the request, and has not answered in time.
    pub(crate) fn timed_out(detail: &str) -> SendFailure {
        SendFailure {
            cause: Cause::TimedOut,
            ..SendFailure::lost(detail)
        }
    }

    /// The target stated that it did not run the request.
    fn refused(status: u16) -> SendFailure {
        SendFailure {
            verdict: Verdict::NotRun,
            cause: Cause::TargetRefused,
            ..SendFailure::lost(format!("the target refused with status {status}"))
        }
    }

    /// No target has seen the request.
    pub(crate) fn unsent<D>(cause: Cause, detail: D) -> SendFailure
    where
        D: Into<String>,
    {
        SendFailure {
            verdict: Verdict::NotRun,
            cause,
            arrived: false,
            ..SendFailure::lost(detail)
        }
    }

    pub(crate) fn expired() -> SendFailure {
        SendFailure::unsent(Cause::Expired, "no time is left")
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
    ) -> Result<PooledResponse, SendFailure> {
        let now = Instant::now();
        let time_left = call.time_left(now);
        let result = match time_left.is_zero() {
            true => Err(SendFailure::expired()),
            false => {
                target.health.borrow_mut().record_selection(now);
                let facts = SendFacts {
                    instance: target.instance.clone(),
                    time_left,
                    priority: terms.priority,
                    step,
                    resume_after,
                };
                let sent = self.wait_for_head(now, call, target, facts, terms).await;
                self.judge(call, target, sent).await
            }
        };
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure.cause.as_str(),
        };
        self.observe(|observer| observer.sent(outcome));
        result
    }

    /// Sends a request and waits for the head of an answer; `None` where none came in time.
    async fn wait_for_head(
        self: &Rc<Self>,
        now: Instant,
        call: &Call,
        target: &Rc<TargetHandle>,
        facts: SendFacts,
        terms: SendTerms,
    ) -> Option<Result<PooledResponse, SendError>> {
        let mut headers = call.headers.clone();
        self.dialect.address(&mut headers, &facts);
        let mut req = hyper::Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.clone();
        *req.headers_mut() = headers;
        let addr = target.row.borrow().addr;
        let mut sending = Box::pin(self.pool.send(now, addr, req));
        let limit = terms.limit.min(facts.time_left);
        let sent = compio::time::timeout(limit, sending.as_mut()).await;
        if sent.is_ok() || limit >= facts.time_left {
            return sent.ok();
        }
        // An engine with a long queue is silent, too, but answers a probe.
        let serves = self.serves(target).await;
        if !serves {
            let reason = "it answers neither requests nor a probe";
            self.suspect(Instant::now(), target, reason);
        }
        let left = call.time_left(Instant::now());
        let patience = match (terms.may_give_up, serves) {
            (true, false) => return None,
            (true, true) => limit.min(left),
            (false, _) => left,
        };
        compio::time::timeout(patience, sending).await.ok()
    }

    /// Returns what can be passed on of what came of a send, and notes what it tells of the target.
    async fn judge(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        sent: Option<Result<PooledResponse, SendError>>,
    ) -> Result<PooledResponse, SendFailure> {
        let now = Instant::now();
        match sent {
            Some(Ok(answer)) => self.check(call, target, answer).await,
            Some(Err(SendError::NotSent(err))) => {
                self.suspect(now, target, "no connection is made");
                Err(SendFailure::unsent(Cause::Unreachable, err.to_string()))
            }
            Some(Err(SendError::Sent(err))) => {
                self.note_failure(now, target);
                Err(SendFailure::lost(err.to_string()))
            }
            None => {
                self.note_failure(now, target);
                Err(SendFailure::timed_out("no answer in time"))
            }
        }
    }

    /// Checks that an answer belongs to the request and does not refuse it.
    async fn check(
        self: &Rc<Self>,
        call: &Call,
        target: &Rc<TargetHandle>,
        mut answer: PooledResponse,
    ) -> Result<PooledResponse, SendFailure> {
        let facts = self.dialect.answer(answer.status(), answer.headers());
        if facts.id.as_ref() != Some(&call.facts.id) {
            // The answer to this request may still come, but nothing on this connection can be trusted.
            return Err(SendFailure::lost("the answer is not this request's"));
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
            self.pool.recycle(Instant::now(), answer);
        }
        Err(SendFailure::refused(status))
    }
}
