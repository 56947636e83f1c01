//! Exchanges that end because the process exceeds its memory budget.

use std::cell::Cell;
use std::time::{Duration, Instant};

use laburnumlug_http::{HeldBytes, OverBudget};

use crate::attempt::CallerRequest;
use crate::forwarder::Forwarder;
use crate::refusal::{FailureCause, Refusal};
use crate::registry::TargetHandle;

/// `retry-after` of a request whose body has no room; what exceeds the budget is released at once.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// What an ended exchange held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeldPart {
    /// A target's answer, or an event that is not complete.
    Answer,
    /// A whole answer that a caller has not read.
    UnreadAnswer,
    /// Events that a caller has not read.
    UnreadEvents,
    /// The body of a caller's request.
    RequestBody,
}

impl HeldPart {
    fn as_str(self) -> &'static str {
        match self {
            HeldPart::Answer => "answer",
            HeldPart::UnreadAnswer => "unread-answer",
            HeldPart::UnreadEvents => "unread-events",
            HeldPart::RequestBody => "request-body",
        }
    }
}

impl Forwarder {
    /// Records that a target's answer was ended, which counts against the target's health.
    pub(crate) fn record_ended_answer(
        &self,
        now: Instant,
        request: &CallerRequest,
        target: &TargetHandle,
        over: OverBudget,
    ) {
        self.log_ended(
            &request.metadata.id,
            &target.instance,
            HeldPart::Answer,
            over,
        );
        self.record_failure(now, target);
    }

    /// Logs and counts an exchange that was ended; `target` is empty if what it held is not from one.
    pub(crate) fn log_ended(&self, id: &str, target: &str, part: HeldPart, over: OverBudget) {
        log::warn!(
            request_id = id, target = target, part = part.as_str(), ended_bytes = over.holder_bytes,
            held_bytes = over.held_bytes, budget_bytes = over.budget_bytes;
            "an exchange was ended, as it was the largest of those that exceeded the memory budget"
        );
        self.observe(|observer| observer.memory_exceeded(part.as_str()));
    }

    /// Waits until the body of a request without a response has to end, and returns the refusal.
    pub(crate) async fn request_body_ended(
        &self,
        id: &str,
        held: &HeldBytes,
        may_have_run: &Cell<bool>,
    ) -> Refusal {
        let over = held.ended().await;
        self.refuse_ended_body(id, over, may_have_run.get())
    }

    /// Returns the refusal of a request whose body was ended.
    pub(crate) fn refuse_ended_body(
        &self,
        id: &str,
        over: OverBudget,
        may_have_run: bool,
    ) -> Refusal {
        self.log_ended(id, "", HeldPart::RequestBody, over);
        match may_have_run {
            true => Refusal::new(
                FailureCause::AnswerLost,
                "the gateway has too little memory to hold the request until its answer",
            ),
            false => Refusal::new(
                FailureCause::NoMemory,
                "the gateway has too little memory for the request's body",
            )
            .retry_after(RETRY_AFTER),
        }
    }
}
