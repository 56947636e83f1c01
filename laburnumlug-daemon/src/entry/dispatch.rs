//! Dispatch of a request to the first target process that accepts it.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{
    AttemptNumber, CallerName, IdempotencyKey, RequestId, ServiceName, TargetName, Verdict,
};
use laburnumlug_caller::ApiError;
use laburnumlug_mesh::{
    Connection, LoadReport, Message, RefusalReason, WorkMessage, WorkPayload, WorkRequest,
};

use super::ranking::CompletionShape;
use super::{CONNECT_TIMEOUT, Entry};

/// Maximum number of targets that one attempt offers the request to.
const MAX_CANDIDATES: usize = 3;

/// Timeout for opening a connection to a target process when the candidates are tried a second time.
const SLOW_CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Default retry delay suggested to a caller, where no target has suggested one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identity, deadline and size of a request, by which it is dispatched; its payload is passed separately.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    pub(super) request_id: RequestId,
    pub(super) caller: CallerName,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) service: ServiceName,
    /// Time by which the whole answer must have been delivered.
    pub(super) deadline: Instant,
    /// Number of capacity pieces that the request needs.
    pub(super) pieces: u64,
    /// Prompt and output limit of a completion; `None` for a call of a plain service.
    pub(super) shape: Option<Rc<CompletionShape>>,
}

/// A request that a target process has accepted, with the connection that its answer arrives on.
pub(super) struct AcceptedRequest {
    pub(super) conn: Connection,
    pub(super) target: TargetName,
    pub(super) addr: SocketAddr,
}

/// Failure to dispatch a request: no target process is known to have accepted it.
#[derive(Debug)]
pub(super) struct DispatchError {
    pub(super) verdict: Verdict,
    reason: String,
    /// Delay after which a retry may succeed; `None` if no retry can.
    retry_after: Option<Duration>,
    /// Whether targets were found but none could accept the request.
    overloaded: bool,
    /// Whether no connection was established in time.
    unreachable: bool,
}

impl DispatchError {
    fn unavailable(reason: &str) -> DispatchError {
        DispatchError {
            verdict: Verdict::NotRun,
            reason: reason.to_string(),
            retry_after: Some(RETRY_AFTER),
            overloaded: false,
            unreachable: false,
        }
    }

    fn unreachable(reason: &str) -> DispatchError {
        DispatchError {
            unreachable: true,
            ..DispatchError::unavailable(reason)
        }
    }

    fn lost(reason: String) -> DispatchError {
        DispatchError {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: Some(RETRY_AFTER),
            overloaded: false,
            unreachable: false,
        }
    }

    fn refused(reason: RefusalReason, retry_after_ms: u64) -> DispatchError {
        DispatchError {
            verdict: Verdict::NotRun,
            reason: reason.as_str().to_string(),
            retry_after: match retry_after_ms {
                0 => None,
                ms => Some(Duration::from_millis(ms)),
            },
            overloaded: matches!(
                reason,
                RefusalReason::Full
                    | RefusalReason::TooLate
                    | RefusalReason::Impossible
                    | RefusalReason::Displacing
            ),
            unreachable: false,
        }
    }

    /// Sets the retry delay to the shorter of its own and `other`, or to the only one that is given.
    fn with_earlier_retry_after(mut self, other: Option<Duration>) -> DispatchError {
        self.retry_after = match (self.retry_after, other) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self
    }

    /// Returns whether no retry can succeed.
    pub(super) fn is_final(&self) -> bool {
        self.retry_after.is_none()
    }

    /// Returns the error for the caller, given the combined verdict of the earlier attempts.
    pub(super) fn to_api_error(&self, earlier_verdict: Verdict) -> ApiError {
        match (earlier_verdict.combine(self.verdict), self.overloaded) {
            (Verdict::NotRun, true) => match self.retry_after {
                Some(after) => ApiError::overloaded(&self.reason, after),
                None => ApiError::infeasible_deadline(&self.reason),
            },
            (Verdict::NotRun, false) => {
                let after = self.retry_after.unwrap_or(RETRY_AFTER);
                ApiError::unavailable(&self.reason, after)
            }
            _ => ApiError::broken_off(&self.reason),
        }
    }
}

impl fmt::Display for DispatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl Entry {
    /// Submits a request to the first target process that accepts it.
    ///
    /// Targets in `avoided_targets` are tried last. If the last candidate could not be reached, the candidates are
    /// tried once more with a longer connect timeout: a live target may be slow to accept connections during a burst
    /// of requests.
    pub(super) async fn submit(
        &self,
        context: &RequestContext,
        attempt: AttemptNumber,
        payload: WorkPayload,
        avoided_targets: &[TargetName],
    ) -> Result<AcceptedRequest, DispatchError> {
        let submission =
            self.submit_to_candidates(context, attempt, &payload, avoided_targets, CONNECT_TIMEOUT);
        match submission.await {
            Err(err) if err.unreachable => {
                let submission = self.submit_to_candidates(
                    context,
                    attempt,
                    &payload,
                    avoided_targets,
                    SLOW_CONNECT_TIMEOUT,
                );
                submission.await
            }
            result => result,
        }
    }

    /// Offers the request to each candidate once.
    async fn submit_to_candidates(
        &self,
        context: &RequestContext,
        attempt: AttemptNumber,
        payload: &WorkPayload,
        avoided_targets: &[TargetName],
        connect_timeout: Duration,
    ) -> Result<AcceptedRequest, DispatchError> {
        let now = Instant::now();
        let Some(fleet) = self.fleet.current(now) else {
            return Err(DispatchError::unavailable(
                "the configuration is not confirmed",
            ));
        };
        let targets = self.ranked_targets(now, &fleet, context, avoided_targets);
        let mut last_error = DispatchError::unavailable("no target serves this");
        let mut retry_after = None;
        for (target, addr) in targets.into_iter().take(MAX_CANDIDATES) {
            let now = Instant::now();
            if now >= context.deadline {
                return Err(DispatchError::refused(RefusalReason::TooLate, 0));
            }
            let req = WorkRequest {
                attempt,
                service: context.service.clone(),
                caller: context.caller.clone(),
                fleet_version: fleet.version,
                deadline_ms: (context.deadline - now).as_millis() as u64,
                key: context.key.clone(),
                incarnation: None,
                payload: payload.clone(),
            };
            match self
                .offer(context, &target, addr, req, connect_timeout)
                .await
            {
                Ok(accepted) => return Ok(accepted),
                Err(err) if err.verdict == Verdict::NotRun => {
                    last_error = err.with_earlier_retry_after(retry_after);
                    retry_after = last_error.retry_after;
                }
                Err(err) => return Err(err),
            }
        }
        Err(last_error)
    }

    /// Offers a request to one target process and waits until it accepts or refuses.
    async fn offer(
        &self,
        context: &RequestContext,
        target: &str,
        addr: SocketAddr,
        req: WorkRequest,
        connect_timeout: Duration,
    ) -> Result<AcceptedRequest, DispatchError> {
        let mut conn = match self.pool.get_with_timeout(addr, connect_timeout).await {
            Ok(conn) => conn,
            Err(err) => {
                self.metrics.count_attempt(target, "unreachable");
                return Err(DispatchError::unreachable(&format!(
                    "target {target}: {err}"
                )));
            }
        };
        let prompt_tokens = context
            .shape
            .as_ref()
            .map_or(0, |shape| shape.prompt_tokens);
        self.loads
            .record_sent(target, context.pieces, prompt_tokens);
        let exchange = async {
            conn.send(
                &context.request_id,
                &Message::Work(WorkMessage::Submit(req)),
            )
            .await?;
            conn.recv().await
        };
        let time_left = context.deadline.saturating_duration_since(Instant::now());
        match laburnumlug_http::timeout(time_left, exchange).await {
            Ok(Ok((_, Message::Work(WorkMessage::Accepted { load })))) => {
                self.record_attempt(target, load, "accepted");
                if let Some(shape) = &context.shape {
                    self.hints.record_prompt(target, &shape.prompt);
                }
                Ok(AcceptedRequest {
                    conn,
                    target: target.to_string(),
                    addr,
                })
            }
            Ok(Ok((
                _,
                Message::Work(WorkMessage::Refused {
                    reason,
                    retry_after_ms,
                    load,
                }),
            ))) => {
                self.record_attempt(target, load, "refused");
                self.pool.put(addr, conn);
                Err(DispatchError::refused(reason, retry_after_ms))
            }
            Ok(Ok(_)) => Err(DispatchError::lost(format!(
                "target {target} answered out of turn"
            ))),
            Ok(Err(err)) => {
                self.metrics.count_attempt(target, "lost");
                Err(DispatchError::lost(format!("target {target}: {err}")))
            }
            Err(_) => {
                self.metrics.count_attempt(target, "lost");
                Err(DispatchError::lost(format!(
                    "target {target} did not answer in time"
                )))
            }
        }
    }

    /// Records the outcome of an attempt, and the target's load report that arrived with it.
    pub(super) fn record_attempt(&self, target: &str, load: LoadReport, outcome: &'static str) {
        self.loads.record_report(Instant::now(), target, load);
        self.metrics.count_attempt(target, outcome);
    }
}
