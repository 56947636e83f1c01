//! Errors that are returned to callers, with their HTTP status, code and verdict.

use std::fmt;
use std::time::Duration;

use laburnumlug::Verdict;
use laburnumlug_http::{Response, json_response};
use serde_json::json;

use crate::header::{RETRY_AFTER_MS_HEADER, VERDICT_HEADER};

/// Error returned to a caller.
///
/// The HTTP status agrees with the verdict: 410 means that the request ran, 502 and 504 that it may have run, and
/// any other, such as 429 or 503, that it did not run.
#[derive(Clone, Debug)]
pub struct ApiError {
    kind: ApiErrorKind,
    message: String,
    retry_after: Option<Duration>,
}

/// Kind of an [`ApiError`], which determines its status, code and verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ApiErrorKind {
    BadRequest,
    NotFound,
    MethodNotAllowed,
    TooLarge,
    BodyTimedOut,
    UnknownModel,
    UnknownService,
    Conflict,
    AnswerNotKept,
    Overloaded,
    Unavailable,
    BrokenOff,
    TimedOut,
}

impl ApiError {
    /// Creates an error for a header that is repeated, malformed or out of range.
    pub fn bad_header(name: &str, found: &str, allowed: &str) -> ApiError {
        let message = format!("header {name}: found {found:?}, allowed: {allowed}");
        ApiError::new(ApiErrorKind::BadRequest, message)
    }

    /// Creates an error for a body that is malformed or has invalid parameters.
    pub fn bad_body(message: &str) -> ApiError {
        ApiError::new(ApiErrorKind::BadRequest, message.to_string())
    }

    /// Creates an error for a path that does not exist.
    pub fn not_found(path: &str) -> ApiError {
        ApiError::new(
            ApiErrorKind::NotFound,
            format!("nothing stands at {path:?}"),
        )
    }

    /// Creates an error for a method that the path does not support.
    pub fn method_not_allowed(method: &str, allowed: &str) -> ApiError {
        let message = format!("method {method} is not allowed here, only {allowed}");
        ApiError::new(ApiErrorKind::MethodNotAllowed, message)
    }

    /// Creates an error for a body longer than `limit` bytes.
    pub fn too_large(limit: usize) -> ApiError {
        let message = format!("the body is longer than {limit} bytes");
        ApiError::new(ApiErrorKind::TooLarge, message)
    }

    /// Creates an error for a body that was not received within `limit`.
    pub fn body_timed_out(limit: Duration) -> ApiError {
        let message = format!("the body did not arrive within {} s", limit.as_secs());
        ApiError::new(ApiErrorKind::BodyTimedOut, message)
    }

    /// Creates an error for a model that no service offers.
    pub fn unknown_model(model: &str) -> ApiError {
        ApiError::new(
            ApiErrorKind::UnknownModel,
            format!("no service offers model {model:?}"),
        )
    }

    /// Creates an error for a plain service that does not exist.
    pub fn unknown_service(service: &str) -> ApiError {
        let message = format!("there is no plain service {service:?}");
        ApiError::new(ApiErrorKind::UnknownService, message)
    }

    /// Creates an error for an idempotency key that was already used for a different request.
    pub fn conflict(message: &str) -> ApiError {
        ApiError::new(ApiErrorKind::Conflict, message.to_string())
    }

    /// Creates an error for a call that ran before and whose answer, with HTTP status `status`, is not stored.
    pub fn answer_not_kept(status: u16) -> ApiError {
        let message =
            format!("the call ran and was answered with {status}; the answer is not kept");
        ApiError::new(ApiErrorKind::AnswerNotKept, message)
    }

    /// Creates an error for a request that cannot meet its deadline at the current load; it did not run.
    pub fn overloaded(message: &str, retry_after: Duration) -> ApiError {
        ApiError::new(ApiErrorKind::Overloaded, message.to_string()).retry_after(retry_after)
    }

    /// Creates an error for a request that cannot meet its deadline at any load; it did not run.
    pub fn infeasible_deadline(message: &str) -> ApiError {
        ApiError::new(ApiErrorKind::Overloaded, message.to_string())
    }

    /// Creates an error for a request that cannot be served at present; it did not run.
    pub fn unavailable(message: &str, retry_after: Duration) -> ApiError {
        ApiError::new(ApiErrorKind::Unavailable, message.to_string()).retry_after(retry_after)
    }

    /// Creates an error for a request that was interrupted; it may have run.
    pub fn broken_off(message: &str) -> ApiError {
        ApiError::new(ApiErrorKind::BrokenOff, message.to_string())
    }

    /// Creates an error for a request that was not answered in time; it may have run.
    pub fn timed_out(message: &str) -> ApiError {
        ApiError::new(ApiErrorKind::TimedOut, message.to_string())
    }

    fn new(kind: ApiErrorKind, message: String) -> ApiError {
        ApiError {
            kind,
            message,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> ApiError {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self.kind {
            ApiErrorKind::BadRequest => 400,
            ApiErrorKind::NotFound | ApiErrorKind::UnknownModel | ApiErrorKind::UnknownService => {
                404
            }
            ApiErrorKind::MethodNotAllowed => 405,
            ApiErrorKind::BodyTimedOut => 408,
            ApiErrorKind::Conflict => 409,
            ApiErrorKind::AnswerNotKept => 410,
            ApiErrorKind::TooLarge => 413,
            ApiErrorKind::Overloaded => 429,
            ApiErrorKind::BrokenOff => 502,
            ApiErrorKind::Unavailable => 503,
            ApiErrorKind::TimedOut => 504,
        }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            ApiErrorKind::BrokenOff | ApiErrorKind::TimedOut => Verdict::MayHaveRun,
            ApiErrorKind::AnswerNotKept => Verdict::Ran,
            _ => Verdict::NotRun,
        }
    }

    /// Returns whether the request was refused because of overload, its deadline or unavailability, and did not run.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self.kind,
            ApiErrorKind::Overloaded | ApiErrorKind::Unavailable
        )
    }

    /// Turns a refusal into an error whose verdict is [`Verdict::MayHaveRun`]; other errors stay as they are.
    ///
    /// It is for requests with an idempotency key whose history is unknown: this request did not run, but an earlier
    /// one with the same key may have.
    pub fn with_unknown_outcome(mut self) -> ApiError {
        if self.is_refusal() {
            self.kind = ApiErrorKind::BrokenOff;
        }
        self
    }

    /// Returns the error code of the JSON body.
    pub fn code(&self) -> &'static str {
        match self.kind {
            ApiErrorKind::BadRequest => "bad_request",
            ApiErrorKind::NotFound => "not_found",
            ApiErrorKind::MethodNotAllowed => "method_not_allowed",
            ApiErrorKind::TooLarge => "too_large",
            ApiErrorKind::BodyTimedOut => "body_timed_out",
            ApiErrorKind::UnknownModel => "model_not_found",
            ApiErrorKind::UnknownService => "service_not_found",
            ApiErrorKind::Conflict => "idempotency_conflict",
            ApiErrorKind::AnswerNotKept => "answer_not_kept",
            ApiErrorKind::Overloaded => "overloaded",
            ApiErrorKind::Unavailable => "unavailable",
            ApiErrorKind::BrokenOff => "broken_off",
            ApiErrorKind::TimedOut => "timed_out",
        }
    }

    /// Returns the JSON body of the error.
    pub fn to_json(&self) -> serde_json::Value {
        let error_type = match self.status() {
            429 | 500.. => "server_error",
            _ => "invalid_request_error",
        };
        json!({
            "error": {
                "message": self.message,
                "type": error_type,
                "code": self.code(),
                "verdict": self.verdict().as_str(),
            }
        })
    }

    /// Returns the HTTP response for the error.
    pub fn to_response(&self) -> Response {
        let mut resp = json_response(self.status(), &self.to_json());
        let headers = resp.headers_mut();
        headers.insert(
            VERDICT_HEADER,
            hyper::header::HeaderValue::from_static(self.verdict().as_str()),
        );
        if let Some(after) = self.retry_after {
            // Retry-After is in whole seconds; rounding up keeps callers from retrying too early.
            let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(hyper::header::RETRY_AFTER, seconds.into());
            headers.insert(RETRY_AFTER_MS_HEADER, (after.as_millis() as u64).into());
        }
        resp
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ApiError {}

#[cfg(test)]
mod tests {
    use super::*;

    fn all_errors() -> Vec<ApiError> {
        let time = Duration::from_millis(1);
        vec![
            ApiError::bad_header("a", "b", "c"),
            ApiError::bad_body("a"),
            ApiError::not_found("/"),
            ApiError::method_not_allowed("GET", "POST"),
            ApiError::too_large(1),
            ApiError::body_timed_out(time),
            ApiError::unknown_model("a"),
            ApiError::unknown_service("a"),
            ApiError::conflict("a"),
            ApiError::answer_not_kept(201),
            ApiError::overloaded("a", time),
            ApiError::unavailable("a", time),
            ApiError::broken_off("a"),
            ApiError::timed_out("a"),
        ]
    }

    #[test]
    fn verdict_follows_status() {
        for err in all_errors() {
            let expected = match err.status() {
                410 => Verdict::Ran,
                502 | 504 => Verdict::MayHaveRun,
                _ => Verdict::NotRun,
            };
            assert_eq!(err.verdict(), expected, "{err}");
            let resp = err.to_response();
            assert_eq!(resp.headers()[VERDICT_HEADER], expected.as_str());
            assert_eq!(err.to_json()["error"]["verdict"], expected.as_str());
        }
    }

    #[test]
    fn refusal_has_retry_after() {
        for err in all_errors().into_iter().filter(ApiError::is_refusal) {
            let resp = err.to_response();
            assert_eq!(resp.headers()[hyper::header::RETRY_AFTER], "1");
        }
    }

    #[test]
    fn with_unknown_outcome_may_have_run() {
        for err in all_errors().into_iter().filter(ApiError::is_refusal) {
            let unknown = err.with_unknown_outcome();
            assert_eq!(unknown.verdict(), Verdict::MayHaveRun);
            let resp = unknown.to_response();
            assert!(resp.headers().contains_key(hyper::header::RETRY_AFTER));
        }
    }
}
