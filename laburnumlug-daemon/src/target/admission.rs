//! Admission of requests at a target process.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::{RefusalReason, WorkPayload, WorkRequest};
use laburnumlug_policy::{PrefixHashes, RefusalCause};

use super::TargetProcess;
use super::queue::{QueueRequest, Ticket};
use super::work;

/// Time after which a refused request may be retried, unless the queue gives another.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request is refused and when it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RequestRefusal {
    pub(super) reason: RefusalReason,
    /// Time after which it may be retried; `None` if never.
    pub(super) retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Returns the time in milliseconds as sent in a refusal, where 0 means never.
    pub(super) fn retry_after_ms(&self) -> u64 {
        self.retry_after
            .map_or(0, |after| after.as_millis().max(1) as u64)
    }
}

impl From<RefusalReason> for RequestRefusal {
    fn from(reason: RefusalReason) -> RequestRefusal {
        RequestRefusal {
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }
}

impl TargetProcess {
    /// Decides whether to admit a request, and enqueues it if it is a completion.
    pub(super) fn admit_and_enqueue(
        self: &Rc<Self>,
        now: Instant,
        request_id: &str,
        req: &WorkRequest,
        pieces: u64,
    ) -> Result<Option<Ticket>, RequestRefusal> {
        self.admit(now, req, pieces)?;
        let WorkPayload::Completion {
            prompt,
            max_tokens,
            resume_at,
            ..
        } = &req.payload
        else {
            return Ok(None);
        };
        let Some(fleet) = self.fleet.current(now) else {
            return Err(RefusalReason::Unconfirmed.into());
        };
        let service = fleet.service(&req.service);
        let policy = service
            .and_then(|service| service.policy.clone())
            .unwrap_or_default();
        let queue_request = QueueRequest {
            caller: req.caller.clone(),
            deadline: now + Duration::from_millis(req.deadline_ms),
            pieces,
            prompt: PrefixHashes::of(prompt),
            prompt_tokens: work::estimate_prompt_tokens(prompt),
            max_tokens: *max_tokens,
            resume_at: *resume_at,
        };
        match self
            .queue
            .enqueue(now, &policy, self.capacity_pieces(now), queue_request)
        {
            Ok(ticket) => Ok(Some(ticket)),
            Err(refusal) => {
                log::info!(request_id, caller = req.caller.as_str(); "the target process refused the request: {refusal}");
                Err(RequestRefusal {
                    reason: refusal_reason(refusal.cause),
                    retry_after: refusal.retry_after,
                })
            }
        }
    }
}

fn refusal_reason(cause: RefusalCause) -> RefusalReason {
    match cause {
        RefusalCause::Full => RefusalReason::Full,
        RefusalCause::TooLate => RefusalReason::TooLate,
        RefusalCause::Displacing => RefusalReason::Displacing,
        RefusalCause::Impossible => RefusalReason::Impossible,
    }
}
