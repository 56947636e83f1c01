//! Claims on calls with an idempotency key, kept in the control log.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{RequestId, Verdict};
use laburnumlug_mesh::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, ClaimSequence, Fingerprint,
    NodeCommand, NodeOutcome, RecordedResponse, RefusalReason, WorkMessage, WorkRequest,
};

use super::call_state::CallState;
use super::{call_service, refusal_message};
use crate::target::TargetProcess;

/// Timeout for submitting a claim to the control log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of one attempt to submit the result or the release of a claim to the control log.
const CLAIM_UPDATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed attempt to submit the result or the release of a claim.
const CLAIM_UPDATE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time that the answer to a call that did not run waits for the release of its claim.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of an answer that is recorded in the control log, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call with an idempotency key, from its claim to its result in the control log.
pub(super) struct ClaimedCall {
    pub(super) process: Rc<TargetProcess>,
    pub(super) request_id: RequestId,
    pub(super) id: ClaimId,
    pub(super) fingerprint: Fingerprint,
    pub(super) sequence: ClaimSequence,
    pub(super) call_state: Rc<CallState>,
}

/// Whether a claim permits this process to run the call.
enum ClaimDecision {
    /// This process alone may run the call.
    Granted,
    /// This process must not run the call, and its claim is not in the control log.
    Denied(WorkMessage),
    /// This process must not run the call, because it is unknown whether its claim is in the control log.
    Unknown(WorkMessage),
}

impl ClaimedCall {
    /// Claims the call, runs it if the claim is granted, and then records its result or releases the claim.
    pub(super) async fn run(self, req: &WorkRequest) {
        let started_at = Instant::now();
        let decision = self.claim(started_at, req).await;
        self.process.metrics.record_claim_time(started_at.elapsed());
        match decision {
            ClaimDecision::Granted => self.run_granted(req).await,
            ClaimDecision::Denied(answer) => self.call_state.finish(answer),
            ClaimDecision::Unknown(answer) => {
                self.call_state.finish(answer);
                self.submit_with_retries(self.release_command()).await;
            }
        }
        self.process
            .at_most_once
            .active_claims
            .borrow_mut()
            .remove(&self.id);
    }

    /// Runs the call, whose claim this process holds, and updates the claim with the result.
    async fn run_granted(&self, req: &WorkRequest) {
        self.call_state.accept();
        let message = call_service(&self.process, req).await;
        match claim_result(&message) {
            Some(result) => {
                // The answer to the caller does not wait for the control log: until the result is recorded there, the
                // claim directs a resent call to this process.
                self.call_state.finish(message);
                self.submit_with_retries(self.record_result_command(result))
                    .await;
            }
            None => {
                // Another target can run the call once the claim is released, so the answer waits for the
                // release, but at most `RELEASE_TIMEOUT`.
                let mut releasing = pin!(self.submit_with_retries(self.release_command()));
                let released = compio::time::timeout(RELEASE_TIMEOUT, releasing.as_mut()).await;
                self.call_state.finish(message);
                if released.is_err() {
                    releasing.await;
                }
            }
        }
    }

    /// Requests the claim of the call from the control log.
    async fn claim(&self, now: Instant, req: &WorkRequest) -> ClaimDecision {
        let command = ClaimCommand::Acquire {
            id: self.id.clone(),
            fingerprint: self.fingerprint,
            holder: self.holder(),
            sequence: self.sequence,
        };
        let timeout = CLAIM_TIMEOUT.min(Duration::from_millis(req.deadline_ms));
        let control = &self.process.at_most_once.control;
        let outcome = control
            .submit(now + timeout, NodeCommand::Claim(command))
            .await;
        match outcome {
            Ok(NodeOutcome::Claim(outcome)) => self.record_claim_outcome(outcome),
            Ok(_) => {
                ClaimDecision::Unknown(self.refuse_claim("the outcome does not match the command"))
            }
            Err(err) if err.verdict() == Verdict::NotRun => {
                ClaimDecision::Denied(self.refuse_claim(&err.to_string()))
            }
            Err(err) => ClaimDecision::Unknown(self.refuse_claim(&err.to_string())),
        }
    }

    /// Returns whether an outcome permits this process to run the call; logs the outcome and counts it in the metrics.
    fn record_claim_outcome(&self, outcome: ClaimOutcome) -> ClaimDecision {
        let request_id = self.request_id.as_str();
        let id = &self.id;
        match outcome {
            ClaimOutcome::Granted => {
                log::info!(request_id; "this process claimed the call {id}");
                self.process.metrics.count_claim("granted");
                ClaimDecision::Granted
            }
            ClaimOutcome::Held(holder) => {
                log::info!(request_id; "the call {id} is already claimed by target {}", holder.target);
                self.process.metrics.count_claim("held");
                let load = self.process.load(Instant::now());
                ClaimDecision::Denied(WorkMessage::Claimed { holder, load })
            }
            ClaimOutcome::Completed(result) => {
                log::info!(request_id; "the call {id} already has a result");
                self.process.metrics.count_claim("settled");
                ClaimDecision::Denied(WorkMessage::AlreadyCompleted(result))
            }
            ClaimOutcome::KeyReused => {
                self.process.metrics.count_claim("key-reused");
                ClaimDecision::Denied(WorkMessage::KeyReused)
            }
            ClaimOutcome::Full => {
                ClaimDecision::Denied(self.refuse_claim("the control log holds too many claims"))
            }
            ClaimOutcome::Recorded | ClaimOutcome::Unclaimed => {
                ClaimDecision::Unknown(self.refuse_claim("the outcome does not match the command"))
            }
        }
    }

    /// Writes a failed claim to the process log and the metrics, and returns the refusal of the call.
    fn refuse_claim(&self, reason: &str) -> WorkMessage {
        let request_id = self.request_id.as_str();
        log::warn!(request_id; "this process failed to claim the call {}: {reason}", self.id);
        self.process.metrics.count_claim("refused");
        refusal_message(&self.process, RefusalReason::ClaimRefused)
    }

    /// Submits the result or the release of the claim to the control log, retrying without limit.
    async fn submit_with_retries(&self, command: ClaimCommand) {
        let control = &self.process.at_most_once.control;
        loop {
            let command = NodeCommand::Claim(command.clone());
            let deadline = Instant::now() + CLAIM_UPDATE_TIMEOUT;
            match control.submit(deadline, command).await {
                Ok(_) => return,
                Err(err) => {
                    let request_id = self.request_id.as_str();
                    log::warn!(request_id; "failed to update the claim on call {} in the control log, retrying: {err}", self.id);
                }
            }
            compio::time::sleep(CLAIM_UPDATE_RETRY_DELAY).await;
        }
    }

    fn record_result_command(&self, result: ClaimResult) -> ClaimCommand {
        ClaimCommand::RecordResult {
            id: self.id.clone(),
            holder: self.holder(),
            sequence: self.sequence,
            result,
        }
    }

    fn release_command(&self) -> ClaimCommand {
        ClaimCommand::Release {
            id: self.id.clone(),
            holder: self.holder(),
            sequence: self.sequence,
        }
    }

    fn holder(&self) -> ClaimHolder {
        ClaimHolder {
            target: self.process.settings.name.clone(),
            incarnation: self.process.at_most_once.incarnation,
        }
    }
}

/// Returns the result to record in the control log, or `None` if `message` proves that the call did not run.
fn claim_result(message: &WorkMessage) -> Option<ClaimResult> {
    match message {
        WorkMessage::PlainAnswer {
            status,
            headers,
            body,
        } => {
            let answer = RecordedResponse {
                status: *status,
                headers: headers.clone(),
                body: body.clone(),
            };
            match answer.size() <= MAX_RECORDED_BYTES {
                true => Some(ClaimResult::Answered(answer)),
                false => Some(ClaimResult::AnswerNotKept { status: *status }),
            }
        }
        WorkMessage::Failed {
            verdict: Verdict::NotRun,
            ..
        } => None,
        WorkMessage::Failed { reason, .. } => Some(ClaimResult::Unknown {
            reason: reason.clone(),
        }),
        _ => Some(ClaimResult::Unknown {
            reason: "the call ended without an answer".into(),
        }),
    }
}
