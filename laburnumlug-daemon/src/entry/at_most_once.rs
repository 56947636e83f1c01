//! Calls that may run at most once, with or without an idempotency key.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{AttemptNumber, TargetName, Verdict};
use laburnumlug_caller::ApiError;
use laburnumlug_http::Response;
use laburnumlug_mesh::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, Connection, Fingerprint,
    NodeCommand, NodeOutcome, PlainRequest, RefusalReason, WorkMessage, WorkPayload, WorkRequest,
};

use super::Entry;
use super::call::plain_response;
use super::call_exchange::{CallExchange, ConnectionId, OfferOutcome};
use super::dispatch::RequestContext;
use super::retry::Backoff;

/// Maximum number of targets that a call is offered to, one after the other.
const MAX_CANDIDATES: usize = 3;

/// Maximum number of attempts to reattach to a call whose connection was lost.
const MAX_REATTACH_ATTEMPTS: u32 = 7;

/// Maximum number of rounds of a call with a key, each of which consults the control log again.
const MAX_ROUNDS: u32 = 8;

/// Timeout for a target process to accept or refuse a call without a key.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a target process to claim a call with a key in the control log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout for looking up the claim of a call in the control log, unless the call's deadline is earlier.
const CLAIM_LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the first reply on a connection opened to reattach to a call.
const REATTACH_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry delay suggested to callers, unless a target process has suggested another.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Message of the error returned when the deadline passes.
const TIMED_OUT_MESSAGE: &str = "the service did not answer in time";

/// Runs one call that may run at most once, and returns its answer.
pub(super) async fn handle_call(
    entry: Rc<Entry>,
    context: RequestContext,
    req: PlainRequest,
) -> Result<Response, ApiError> {
    let mut call = AtMostOnceCall {
        entry: &entry,
        context: &context,
        req,
        attempt: 0,
        verdict: Verdict::NotRun,
    };
    let result = match context.key {
        Some(_) => match call.call_with_key().await {
            Err(err) if err.is_refusal() => call.verify_refusal(err).await,
            result => result,
        },
        None => call.call_without_key().await,
    };
    result.inspect(|_| entry.retry_budget.record_success())
}

/// One call that may run at most once.
struct AtMostOnceCall<'a> {
    entry: &'a Entry,
    context: &'a RequestContext,
    req: PlainRequest,
    attempt: AttemptNumber,
    /// Combined verdict of all attempts so far.
    verdict: Verdict,
}

impl AtMostOnceCall<'_> {
    /// Offers the call to one target after another, as long as it is certain that none has run it.
    async fn call_without_key(&mut self) -> Result<Response, ApiError> {
        let mut last_error = self.unavailable_error("no target serves this", RETRY_AFTER);
        let targets = self.ranked_targets();
        for (target, addr) in targets.into_iter().take(MAX_CANDIDATES) {
            let outcome = match self.offer(&target, addr, None).await {
                OfferOutcome::Lost {
                    connection_id,
                    reason,
                } => self.reattach(&target, addr, connection_id, reason).await,
                outcome => outcome,
            };
            match outcome {
                OfferOutcome::Answered(answer) => return answer,
                OfferOutcome::TimedOut => return Err(self.timed_out_error()),
                OfferOutcome::Refused {
                    reason,
                    retry_after,
                } => last_error = self.refusal_error(reason, retry_after),
                OfferOutcome::Unreachable(reason)
                | OfferOutcome::Failed(Verdict::NotRun, reason) => {
                    last_error = self.unavailable_error(&reason, RETRY_AFTER);
                }
                OfferOutcome::Failed(_, reason) | OfferOutcome::Lost { reason, .. } => {
                    return Err(ApiError::broken_off(&reason));
                }
                OfferOutcome::Claimed(_)
                | OfferOutcome::AlreadyCompleted(_)
                | OfferOutcome::KeyReused => {
                    return Err(ApiError::broken_off("the target answered out of turn"));
                }
            }
        }
        Err(last_error)
    }

    /// Offers the call in rounds until the control log or the holder of its claim reports the result.
    ///
    /// Resending is safe because the claim lets the call run only once.
    async fn call_with_key(&mut self) -> Result<Response, ApiError> {
        let mut backoff = Backoff::default();
        let mut last_error = self.unavailable_error("no target serves this", RETRY_AFTER);
        for round in 1..=MAX_ROUNDS {
            match self.run_keyed_round().await {
                RoundOutcome::Final(result) => return result,
                RoundOutcome::Retry(err) => last_error = err,
            }
            if round == MAX_ROUNDS || !self.entry.try_acquire_retry() {
                break;
            }
            let wait = backoff.next_delay(&mut rand::rng());
            let time_left = self.time_left();
            if wait >= time_left {
                compio::time::sleep(time_left).await;
                return Err(self.timed_out_error());
            }
            compio::time::sleep(wait).await;
        }
        Err(last_error)
    }

    /// Offers the call to each candidate once, and to the holder of the claim if a candidate names one.
    async fn run_keyed_round(&mut self) -> RoundOutcome {
        let mut last_error = self.unavailable_error("no target serves this", RETRY_AFTER);
        for (target, addr) in self.ranked_targets().into_iter().take(MAX_CANDIDATES) {
            let outcome = match self.offer(&target, addr, None).await {
                OfferOutcome::Claimed(holder) => self.query_holder(holder).await,
                outcome => outcome,
            };
            match outcome {
                OfferOutcome::Answered(answer) => return RoundOutcome::Final(answer),
                OfferOutcome::AlreadyCompleted(result) => {
                    return RoundOutcome::Final(completed_response(result));
                }
                OfferOutcome::KeyReused => {
                    return RoundOutcome::Final(Err(key_reused_error()));
                }
                OfferOutcome::TimedOut => return RoundOutcome::Final(Err(self.timed_out_error())),
                OfferOutcome::Refused {
                    reason,
                    retry_after,
                } => last_error = self.refusal_error(reason, retry_after),
                OfferOutcome::Unreachable(reason) => {
                    last_error = self.unavailable_error(&reason, RETRY_AFTER)
                }
                OfferOutcome::Failed(Verdict::NotRun, reason) => {
                    return RoundOutcome::Retry(self.unavailable_error(&reason, RETRY_AFTER));
                }
                OfferOutcome::Failed(_, reason) => {
                    return RoundOutcome::Final(Err(ApiError::broken_off(&reason)));
                }
                OfferOutcome::Lost { reason, .. } => {
                    self.verdict = Verdict::MayHaveRun;
                    return RoundOutcome::Retry(self.unavailable_error(&reason, RETRY_AFTER));
                }
                OfferOutcome::Claimed(holder) => {
                    let reason = format!("target {}, which has the call, is gone", holder.target);
                    return RoundOutcome::Final(Err(may_have_run_error(&reason)));
                }
            }
        }
        RoundOutcome::Retry(last_error)
    }

    /// Requests the call's answer from the holder of its claim, or from the control log if that process has ended.
    async fn query_holder(&mut self, holder: ClaimHolder) -> OfferOutcome {
        let Some(addr) = self.target_address(&holder.target) else {
            return OfferOutcome::Claimed(holder);
        };
        let target = holder.target.clone();
        match self.offer(&target, addr, Some(&holder)).await {
            // The holder's process has ended. Only the control log can tell more, if the result was stored before that.
            OfferOutcome::Refused {
                reason: RefusalReason::OtherIncarnation,
                ..
            } => match self.look_up_claim().await {
                Some(ClaimOutcome::Held(current_holder)) if current_holder == holder => {
                    OfferOutcome::Claimed(holder)
                }
                Some(ClaimOutcome::Completed(result)) => OfferOutcome::AlreadyCompleted(result),
                _ => OfferOutcome::Lost {
                    connection_id: ConnectionId::unsent(),
                    reason: "the claim of the call has moved".into(),
                },
            },
            // The claim means that the call may have run, although this offer was not received.
            OfferOutcome::Unreachable(reason) => OfferOutcome::Lost {
                connection_id: ConnectionId::unsent(),
                reason,
            },
            outcome => outcome,
        }
    }

    /// Looks up the claim of the call in the control log; returns `None` if the lookup fails.
    async fn look_up_claim(&self) -> Option<ClaimOutcome> {
        let command = ClaimCommand::Query {
            id: ClaimId {
                service: self.context.service.clone(),
                caller: self.context.caller.clone(),
                key: self.context.key.clone()?,
            },
            fingerprint: Fingerprint::of(&self.req),
        };
        let timeout = self.time_left().min(CLAIM_LOOKUP_TIMEOUT);
        let control = &self.entry.control;
        let submission = control.submit(Instant::now() + timeout, NodeCommand::Claim(command));
        match submission.await {
            Ok(NodeOutcome::Claim(outcome)) => Some(outcome),
            Ok(_) => None,
            Err(err) => {
                let request_id = self.context.request_id.as_str();
                log::warn!(request_id; "failed to look up the claim on the call in the control log, so the call may have run: {err}");
                None
            }
        }
    }

    /// Returns the result of a refused call if it is known, or `refusal` if it is certain that the call has not run.
    ///
    /// Otherwise, the error says that the key was used for another call or that this call may have run.
    ///
    /// An earlier request with the same key may have run, so a refusal of this request proves nothing about the key.
    async fn verify_refusal(&mut self, refusal: ApiError) -> Result<Response, ApiError> {
        match self.look_up_claim().await {
            Some(ClaimOutcome::Unclaimed) => Err(refusal),
            Some(ClaimOutcome::KeyReused) => Err(key_reused_error()),
            Some(ClaimOutcome::Completed(result)) => completed_response(result),
            Some(ClaimOutcome::Held(holder)) => match self.query_holder(holder).await {
                OfferOutcome::Answered(answer) => answer,
                OfferOutcome::AlreadyCompleted(result) => completed_response(result),
                // The holder has not run the call, and no other process may.
                OfferOutcome::Refused { .. } => Err(refusal),
                _ => Err(may_have_run_error("another process has the call")),
            },
            _ => Err(may_have_run_error(
                "the claim of the call cannot be read now",
            )),
        }
    }

    /// Offers the call to one target process; if `holder` is given, only its incarnation of the process may answer.
    async fn offer(
        &mut self,
        target: &str,
        addr: SocketAddr,
        holder: Option<&ClaimHolder>,
    ) -> OfferOutcome {
        let Some(fleet) = self.entry.fleet.current(Instant::now()) else {
            return OfferOutcome::Unreachable("the configuration is not confirmed".into());
        };
        let time_left = self.time_left();
        if time_left.is_zero() {
            return OfferOutcome::TimedOut;
        }
        let conn = match self.entry.pool.get(addr).await {
            Ok(conn) => conn,
            Err(err) => {
                self.entry.metrics.count_attempt(target, "unreachable");
                return OfferOutcome::Unreachable(format!("target {target}: {err}"));
            }
        };
        self.attempt += 1;
        self.entry.loads.record_sent(target, self.context.pieces, 0);
        let submit = WorkMessage::Submit(WorkRequest {
            attempt: self.attempt,
            service: self.context.service.clone(),
            caller: self.context.caller.clone(),
            fleet_version: fleet.version,
            deadline_ms: time_left.as_millis() as u64,
            key: self.context.key.clone(),
            incarnation: holder.map(|holder| holder.incarnation),
            payload: WorkPayload::Plain(self.req.clone()),
        });
        let timeout = match self.context.key {
            Some(_) => CLAIM_TIMEOUT,
            None => ACCEPT_TIMEOUT,
        };
        self.exchange(target, addr, conn, submit, timeout).await
    }

    /// Asks the target process whether it accepted a call whose connection was lost.
    async fn reattach(
        &mut self,
        target: &str,
        addr: SocketAddr,
        connection_id: ConnectionId,
        reason: String,
    ) -> OfferOutcome {
        log::info!(
            request_id = self.context.request_id.as_str(), target_name = target;
            "reattaching to the call after its connection to the target process was lost: {reason}"
        );
        self.entry.metrics.count_attempt(target, "recalled");
        let Some(incarnation) = connection_id.incarnation else {
            return OfferOutcome::Lost {
                connection_id,
                reason,
            };
        };
        let mut backoff = Backoff::default();
        for _ in 0..MAX_REATTACH_ATTEMPTS {
            if let Ok(conn) = self.entry.pool.connect(addr).await {
                if conn.peer_incarnation() != Some(incarnation) {
                    return OfferOutcome::Lost {
                        connection_id,
                        reason,
                    };
                }
                let reattach = WorkMessage::Reattach {
                    session: connection_id.session.clone(),
                    incarnation,
                };
                match self
                    .exchange(target, addr, conn, reattach, REATTACH_TIMEOUT)
                    .await
                {
                    OfferOutcome::Lost { .. } => {}
                    outcome => return outcome,
                }
            }
            let wait = backoff.next_delay(&mut rand::rng());
            if wait >= self.time_left() {
                break;
            }
            compio::time::sleep(wait).await;
        }
        OfferOutcome::Lost {
            connection_id,
            reason,
        }
    }

    /// Sends `message` over `conn`, receives the outcome and returns a reusable connection to the pool.
    async fn exchange(
        &self,
        target: &str,
        addr: SocketAddr,
        conn: Connection,
        message: WorkMessage,
        first_reply_timeout: Duration,
    ) -> OfferOutcome {
        let call_exchange = CallExchange {
            entry: self.entry,
            context: self.context,
            target,
            first_reply_timeout,
        };
        let (outcome, conn) = call_exchange.run(conn, message).await;
        if let Some(conn) = conn {
            self.entry.pool.put(addr, conn);
        }
        outcome
    }

    fn ranked_targets(&self) -> Vec<(TargetName, SocketAddr)> {
        let now = Instant::now();
        match self.entry.fleet.current(now) {
            Some(fleet) => self.entry.ranked_targets(now, &fleet, self.context, &[]),
            None => Vec::new(),
        }
    }

    /// Returns the address of a target in any state.
    fn target_address(&self, target: &str) -> Option<SocketAddr> {
        let fleet = self.entry.fleet.current(Instant::now())?;
        fleet.target(target)?.address.parse().ok()
    }

    /// Returns the time until the deadline.
    fn time_left(&self) -> Duration {
        self.context
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// Returns the error for a call that a target process refused: an overload error only if no attempt may have run.
    fn refusal_error(&self, reason: RefusalReason, retry_after: Duration) -> ApiError {
        let overloaded = matches!(reason, RefusalReason::Full | RefusalReason::TooLate);
        match self.verdict {
            Verdict::NotRun if overloaded => ApiError::overloaded(reason.as_str(), retry_after),
            _ => self.unavailable_error(reason.as_str(), retry_after),
        }
    }

    /// Returns the error for a call without an outcome, which depends on whether an earlier attempt may have run.
    fn unavailable_error(&self, reason: &str, retry_after: Duration) -> ApiError {
        match self.verdict {
            Verdict::NotRun => ApiError::unavailable(reason, retry_after),
            _ => may_have_run_error(reason),
        }
    }

    /// Returns the error for a call whose deadline has passed.
    fn timed_out_error(&self) -> ApiError {
        match (self.verdict, self.attempt) {
            (Verdict::NotRun, 0) => ApiError::overloaded("the deadline has passed", RETRY_AFTER),
            _ if self.context.key.is_some() => {
                ApiError::timed_out(TIMED_OUT_MESSAGE).retry_after(RETRY_AFTER)
            }
            _ => ApiError::timed_out(TIMED_OUT_MESSAGE),
        }
    }
}

/// Outcome of one round of a call with a key.
enum RoundOutcome {
    /// The result is returned to the caller.
    Final(Result<Response, ApiError>),
    /// Another round may succeed; if there is none, this error is returned.
    Retry(ApiError),
}

/// Returns the error for a call with a key that may have run, so that resending it may reveal the result.
fn may_have_run_error(reason: &str) -> ApiError {
    ApiError::broken_off(reason).retry_after(RETRY_AFTER)
}

fn key_reused_error() -> ApiError {
    ApiError::conflict("the idempotency key was used for another request")
}

fn completed_response(result: ClaimResult) -> Result<Response, ApiError> {
    match result {
        ClaimResult::Answered(answer) => plain_response(answer.status, answer.headers, answer.body),
        ClaimResult::AnswerNotKept { status } => Err(ApiError::answer_not_kept(status)),
        ClaimResult::Unknown { reason } => Err(may_have_run_error(&reason)),
    }
}
