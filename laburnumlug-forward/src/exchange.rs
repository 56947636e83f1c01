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

/// A send without an answer that can be passed on.
#[derive(Debug)]
pub(crate) struct SendFailure {
    pub(crate) verdict: Verdict,
    pub(crate) cause: Cause,
    pub(crate) detail: String,
    /// Whether the target has seen the request at all.
    pub(crate) arrived: bool,
}

impl SendFailure {
    pub(crate) fn lost(detail: String) -> SendFailure {
        SendFailure {
            verdict: Verdict::MayHaveRun,
            cause: Cause::AnswerLost,
            detail,
            arrived: true,
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
        &self,
        call: &Call,
        target: &TargetHandle,
        step: SendStep,
        resume_after: Option<String>,
    ) -> Result<Answer, SendFailure> {
        let now = Instant::now();
        let time_left = call.time_left(now);
        if time_left.is_zero() {
            return Err(SendFailure {
                verdict: Verdict::NotRun,
                cause: Cause::Expired,
                detail: "no time is left".to_string(),
                arrived: false,
            });
        }
        let facts = SendFacts {
            instance: target.instance.clone(),
            time_left,
            rank: call.facts.prompt.as_ref().map(|_| call.route.rank),
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
        let sending = self.pool.send(now, addr, req);
        let sent = compio::time::timeout(time_left, sending).await;
        let now = Instant::now();
        match sent {
            Ok(Ok(answer)) => self.check(call, target, answer).await,
            Ok(Err(SendError::NotSent(err))) => {
                target.health.borrow_mut().note_failure(now, true);
                Err(SendFailure {
                    verdict: Verdict::NotRun,
                    cause: Cause::Unreachable,
                    detail: err.to_string(),
                    arrived: false,
                })
            }
            Ok(Err(SendError::Sent(err))) => {
                target.health.borrow_mut().note_failure(now, false);
                Err(SendFailure::lost(err.to_string()))
            }
            Err(_) => {
                target.health.borrow_mut().note_failure(now, false);
                Err(SendFailure {
                    verdict: Verdict::MayHaveRun,
                    cause: Cause::TimedOut,
                    detail: "no answer in time".to_string(),
                    arrived: true,
                })
            }
        }
    }

    /// Checks that an answer belongs to the request and does not refuse it.
    async fn check(
        &self,
        call: &Call,
        target: &TargetHandle,
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
            target
                .health
                .borrow_mut()
                .note_failure(Instant::now(), true);
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
        })
    }
}
