//! Failure of one attempt to send a request.

use std::time::Duration;

use laburnumlug::Verdict;

use crate::refusal::{FailureCause, Refusal};

/// An attempt that produced no response to forward.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) verdict: Verdict,
    pub(crate) cause: FailureCause,
    pub(crate) detail: String,
    /// Whether the target may have received the request.
    pub(crate) reached_target: bool,
    /// Whether the connection broke before the response was complete.
    pub(crate) is_connection_broken: bool,
    /// Whether the failed attempt was a prefill on behalf of another engine.
    pub(crate) at_prefill: bool,
    /// Predicted time until a retry can succeed, if known.
    pub(crate) retry_after: Option<Duration>,
    /// Whether a retry of the service's budget was spent on the next attempt.
    pub(crate) has_retry: bool,
}

impl AttemptFailure {
    /// Creates the failure of an attempt whose request may have reached the target, but whose response was lost.
    pub(crate) fn answer_lost<D>(detail: D) -> AttemptFailure
    where
        D: Into<String>,
    {
        AttemptFailure {
            verdict: Verdict::MayHaveRun,
            cause: FailureCause::AnswerLost,
            detail: detail.into(),
            reached_target: true,
            is_connection_broken: false,
            at_prefill: false,
            retry_after: None,
            has_retry: false,
        }
    }

    /// Creates the failure of an attempt whose connection broke before the response was complete.
    pub(crate) fn connection_broken<D>(detail: D) -> AttemptFailure
    where
        D: Into<String>,
    {
        AttemptFailure {
            is_connection_broken: true,
            ..AttemptFailure::answer_lost(detail)
        }
    }

    /// Creates the failure of an attempt to which the target did not respond in time, although it may have run it.
    pub(crate) fn timed_out(detail: &str) -> AttemptFailure {
        AttemptFailure {
            cause: FailureCause::TimedOut,
            ..AttemptFailure::answer_lost(detail)
        }
    }

    /// Creates the failure of an attempt at an engine that has stopped responding.
    pub(crate) fn engine_lost() -> AttemptFailure {
        AttemptFailure {
            cause: FailureCause::EngineLost,
            ..AttemptFailure::answer_lost("the engine has stopped responding")
        }
    }

    /// Creates the failure of an attempt that the target stated not to have executed.
    pub(crate) fn refused(status: u16) -> AttemptFailure {
        AttemptFailure {
            verdict: Verdict::NotRun,
            cause: FailureCause::TargetRefused,
            ..AttemptFailure::answer_lost(format!("the target refused with status {status}"))
        }
    }

    /// Creates the failure of an attempt whose request was not sent to any target.
    pub(crate) fn unsent<D>(cause: FailureCause, detail: D) -> AttemptFailure
    where
        D: Into<String>,
    {
        AttemptFailure {
            verdict: Verdict::NotRun,
            cause,
            reached_target: false,
            ..AttemptFailure::answer_lost(detail)
        }
    }

    /// Returns the failure of a request whose attempt before this one failed as well.
    pub(crate) fn after(self, previous: Option<AttemptFailure>) -> AttemptFailure {
        let verdict = previous.map_or(Verdict::NotRun, |previous| previous.verdict);
        AttemptFailure {
            verdict: verdict.combine(self.verdict),
            ..self
        }
    }

    /// Returns whether another attempt would fail for the same reason.
    pub(crate) fn is_final(&self) -> bool {
        matches!(
            self.cause,
            FailureCause::Stopping
                | FailureCause::NoTarget
                | FailureCause::AboveShare
                | FailureCause::PromptBlocked
                | FailureCause::RequestBlocked
        )
    }

    pub(crate) fn expired() -> AttemptFailure {
        AttemptFailure::unsent(FailureCause::Expired, "no time is left")
    }

    /// Returns the error response for the caller when no further attempt is made, with a retry delay of `default` if
    /// none is predicted.
    pub(crate) fn to_refusal(&self, default: Duration) -> Refusal {
        Refusal::new(self.cause, self.detail.clone())
            .retry_after(self.retry_after.unwrap_or(default))
    }
}
