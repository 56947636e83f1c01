//! Answers of the system's own to requests that are not answered by a target.

use std::time::Duration;

use hyper::header::HeaderValue;
use laburnumlug_http::{Response, text_response};

/// Longest wait that is asked of a caller, as a share of the time that it has left; callers heed no longer one.
const LONGEST_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    BadRequest,
    TooLarge,
    SlowBody,
    NoRoute,
    NoConfiguration,
    NoTarget,
    /// A target stated that it did not run the request.
    TargetRefused,
    /// No connection to a target was made.
    Unreachable,
    /// It may have run, and its answer is lost.
    AnswerLost,
    /// It may have run, and no answer came in time.
    TimedOut,
    /// It has not run, and its time is over.
    Expired,
}

impl Cause {
    /// Returns the HTTP status. 503 promises that the request has not run and never will; 502 and 504 promise
    /// nothing.
    pub(crate) fn status(self) -> u16 {
        match self {
            Cause::BadRequest => 400,
            Cause::TooLarge => 413,
            Cause::SlowBody => 408,
            Cause::NoRoute => 404,
            Cause::NoConfiguration
            | Cause::NoTarget
            | Cause::TargetRefused
            | Cause::Unreachable
            | Cause::Expired => 503,
            Cause::AnswerLost => 502,
            Cause::TimedOut => 504,
        }
    }

    /// Returns the name that logs and metrics use.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Cause::BadRequest => "bad-request",
            Cause::TooLarge => "too-large",
            Cause::SlowBody => "slow-body",
            Cause::NoRoute => "no-route",
            Cause::NoConfiguration => "no-configuration",
            Cause::NoTarget => "no-target",
            Cause::TargetRefused => "target-refused",
            Cause::Unreachable => "unreachable",
            Cause::AnswerLost => "answer-lost",
            Cause::TimedOut => "timed-out",
            Cause::Expired => "expired",
        }
    }
}

/// An answer of the system's own.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) cause: Cause,
    pub(crate) detail: String,
    /// When there will be room, as far as it is known.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new<D>(cause: Cause, detail: D) -> Refusal
    where
        D: Into<String>,
    {
        Refusal {
            cause,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets when there will be room.
    pub(crate) fn retry_after(mut self, time: Duration) -> Refusal {
        self.retry_after = Some(time);
        self
    }

    /// Makes the response to a caller that waits for `time_left`.
    pub(crate) fn response(&self, time_left: Duration) -> Response {
        let mut resp = text_response(self.cause.status(), &self.detail);
        let longest = time_left.mul_f64(LONGEST_RETRY_SHARE);
        let retry_after = self.retry_after.map(|time| time.min(longest).as_secs_f64());
        let value = retry_after.map(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")));
        if let (503, Some(Ok(value))) = (self.cause.status(), value) {
            resp.headers_mut().insert("retry-after", value);
        }
        resp
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn response_retry_after_bounded_by_time_left() {
        let refusal = Refusal::new(Cause::NoTarget, "").retry_after(Duration::from_secs(9));
        let resp = refusal.response(Duration::from_millis(600));
        assert_eq!(resp.status(), 503);
        assert_eq!(resp.headers()["retry-after"], "0.200");
    }

    #[test]
    fn response_without_promise_has_no_retry_after() {
        let refusal = Refusal::new(Cause::AnswerLost, "").retry_after(Duration::from_secs(1));
        let resp = refusal.response(Duration::from_secs(9));
        assert_eq!(resp.status(), 502);
        assert!(!resp.headers().contains_key("retry-after"));
    }
}
