//! Claims of calls in the control log.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{RequestId, Verdict};
use laburnumlug_mesh::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, ClaimSequence, Fingerprint,
    NodeCommand, NodeOutcome, RecordedResponse, RefusalReason, WorkMessage, WorkRequest,
};

use super::run::Run;
use super::{call, refused};
use crate::target::TargetProcess;

/// How long a claim may take to be logged.
const TAKE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long one try to log a result may take.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait between two tries to log a result.
const STATE_PAUSE: Duration = Duration::from_secs(1);

/// How long the answer to a call that did not run waits for the release of its claim.
const RELEASE_GRACE: Duration = Duration::from_millis(500);

/// Largest answer that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call with a key, from its claim to its result in the control log.
pub(super) struct ClaimedCall {
    pub(super) process: Rc<TargetProcess>,
    pub(super) request_id: RequestId,
    pub(super) id: ClaimId,
    pub(super) fingerprint: Fingerprint,
    pub(super) turn: ClaimSequence,
    pub(super) run: Rc<Run>,
}

/// What a target process may do with a call.
enum Permit {
    /// It alone may run the call.
    Granted,
    /// It may not, and its claim is not in the log.
    Denied(WorkMessage),
    /// It may not, since it could not learn whether its claim is in the log.
    Unknown(WorkMessage),
}

impl ClaimedCall {
    /// Claims and runs the call and logs its result.
    pub(super) async fn run(self, req: &WorkRequest) {
        let began = Instant::now();
        let permit = self.take(began, req).await;
        self.process.metrics.record_claim_time(began.elapsed());
        match permit {
            Permit::Granted => self.run_granted(req).await,
            Permit::Denied(answer) => self.run.finish(answer),
            Permit::Unknown(answer) => {
                self.run.finish(answer);
                self.state(self.release()).await;
            }
        }
        self.process.once.claimed.borrow_mut().remove(&self.id);
    }

    async fn run_granted(&self, req: &WorkRequest) {
        self.run.accept();
        let message = call(&self.process, req).await;
        match claim_result(&message) {
            Some(result) => {
                // The caller's answer does not wait for the log: until the result is there, a resend
                // finds this process through the claim.
                self.run.finish(message);
                self.state(self.settle(result)).await;
            }
            None => {
                // Another target may run the call once the claim is gone, so the entry hears of it then.
                let mut released = pin!(self.state(self.release()));
                let grace = compio::time::timeout(RELEASE_GRACE, released.as_mut()).await;
                self.run.finish(message);
                if grace.is_err() {
                    released.await;
                }
            }
        }
    }

    async fn take(&self, now: Instant, req: &WorkRequest) -> Permit {
        let command = ClaimCommand::Acquire {
            id: self.id.clone(),
            fingerprint: self.fingerprint,
            holder: self.holder(),
            turn: self.turn,
        };
        let time = TAKE_TIMEOUT.min(Duration::from_millis(req.deadline_ms));
        let control = &self.process.once.control;
        let outcome = control
            .submit(now + time, NodeCommand::Claim(command))
            .await;
        match outcome {
            Ok(NodeOutcome::Claim(outcome)) => self.permit(outcome),
            Ok(_) => Permit::Unknown(self.claim_refused("a crossed outcome")),
            Err(err) if err.verdict() == Verdict::NotRun => {
                Permit::Denied(self.claim_refused(&err.to_string()))
            }
            Err(err) => Permit::Unknown(self.claim_refused(&err.to_string())),
        }
    }

    fn permit(&self, outcome: ClaimOutcome) -> Permit {
        let request_id = self.request_id.as_str();
        let id = &self.id;
        match outcome {
            ClaimOutcome::Granted => {
                log::info!(request_id; "claimed the call {id}");
                self.process.metrics.count_claim("granted");
                Permit::Granted
            }
            ClaimOutcome::Held(holder) => {
                log::info!(request_id; "the call {id} is claimed by {}", holder.target);
                self.process.metrics.count_claim("held");
                let load = self.process.load(Instant::now());
                Permit::Denied(WorkMessage::Claimed { holder, load })
            }
            ClaimOutcome::Completed(result) => {
                log::info!(request_id; "the call {id} has a result");
                self.process.metrics.count_claim("settled");
                Permit::Denied(WorkMessage::AlreadyCompleted(result))
            }
            ClaimOutcome::KeyReused => {
                self.process.metrics.count_claim("key-reused");
                Permit::Denied(WorkMessage::KeyReused)
            }
            ClaimOutcome::Full => Permit::Denied(self.claim_refused("too many claims")),
            ClaimOutcome::Recorded | ClaimOutcome::Unclaimed => {
                Permit::Unknown(self.claim_refused("a crossed outcome"))
            }
        }
    }

    fn claim_refused(&self, reason: &str) -> WorkMessage {
        let request_id = self.request_id.as_str();
        log::warn!(request_id; "no claim of the call {}: {reason}", self.id);
        self.process.metrics.count_claim("refused");
        refused(&self.process, RefusalReason::ClaimRefused)
    }

    /// Logs a statement about the claim, however long it takes.
    async fn state(&self, command: ClaimCommand) {
        let control = &self.process.once.control;
        loop {
            let command = NodeCommand::Claim(command.clone());
            let deadline = Instant::now() + STATE_TIMEOUT;
            match control.submit(deadline, command).await {
                Ok(_) => return,
                Err(err) => {
                    let request_id = self.request_id.as_str();
                    log::warn!(request_id; "result of the call {} not logged: {err}", self.id);
                }
            }
            compio::time::sleep(STATE_PAUSE).await;
        }
    }

    fn settle(&self, result: ClaimResult) -> ClaimCommand {
        ClaimCommand::RecordResult {
            id: self.id.clone(),
            holder: self.holder(),
            turn: self.turn,
            result,
        }
    }

    fn release(&self) -> ClaimCommand {
        ClaimCommand::Release {
            id: self.id.clone(),
            holder: self.holder(),
            turn: self.turn,
        }
    }

    fn holder(&self) -> ClaimHolder {
        ClaimHolder {
            target: self.process.settings.name.clone(),
            incarnation: self.process.once.incarnation,
        }
    }
}

/// Returns what the log records of a call's last message; `None` where it proves that nothing ran.
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
