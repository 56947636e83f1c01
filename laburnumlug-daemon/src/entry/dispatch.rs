//! Hands a request to a target process.

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

use super::ranking::Shape;
use super::{CONNECT_TIMEOUT, Entry};

/// Most targets that one attempt asks before it gives up.
const MAX_CANDIDATES: usize = 3;

/// How long a connection to a target process may take where no target could be reached before.
const SLOW_CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// When a caller may try again where no target says otherwise.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request on its way to a target.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) request_id: RequestId,
    pub(super) caller: CallerName,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) service: ServiceName,
    /// When the whole answer must have been delivered.
    pub(super) deadline: Instant,
    /// Pieces of capacity that the request needs.
    pub(super) pieces: u64,
    /// What routing knows of a generated answer.
    pub(super) shape: Option<Rc<Shape>>,
}

/// A request that a target process has taken.
pub(super) struct Taken {
    pub(super) conn: Connection,
    pub(super) target: TargetName,
    pub(super) addr: SocketAddr,
}

/// A request that no target process is known to have taken.
#[derive(Debug)]
pub(super) struct DispatchError {
    pub(super) verdict: Verdict,
    reason: String,
    /// When another try may succeed; `None` for never.
    retry_after: Option<Duration>,
    /// Whether targets were found but none could take the request.
    overloaded: bool,
    /// Whether no connection was made in time.
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

    /// Keeps the earlier of two times after which another try may succeed.
    fn combine_retry_after(mut self, other: Option<Duration>) -> DispatchError {
        self.retry_after = match (self.retry_after, other) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self
    }

    /// Returns whether waiting cannot help.
    pub(super) fn is_final(&self) -> bool {
        self.retry_after.is_none()
    }

    /// Returns the error as the caller sees it, where an earlier attempt had verdict `earlier`.
    pub(super) fn to_api_error(&self, earlier: Verdict) -> ApiError {
        match (earlier.combine(self.verdict), self.overloaded) {
            (Verdict::NotRun, true) => match self.retry_after {
                Some(after) => ApiError::overloaded(&self.reason, after),
                None => ApiError::never_in_time(&self.reason),
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
    /// Hands a request to the first target process that takes it.
    ///
    /// Targets in `avoid` are asked last. Where none could be reached, they are asked once more with more time
    /// for a connection: in a peak of arrivals a live target may be slow to accept.
    pub(super) async fn submit(
        &self,
        job: &Job,
        attempt: AttemptNumber,
        payload: WorkPayload,
        avoid: &[TargetName],
    ) -> Result<Taken, DispatchError> {
        let round = self.submit_round(job, attempt, &payload, avoid, CONNECT_TIMEOUT);
        match round.await {
            Err(err) if err.unreachable => {
                let round = self.submit_round(job, attempt, &payload, avoid, SLOW_CONNECT_TIMEOUT);
                round.await
            }
            result => result,
        }
    }

    /// Asks each candidate once.
    async fn submit_round(
        &self,
        job: &Job,
        attempt: AttemptNumber,
        payload: &WorkPayload,
        avoid: &[TargetName],
        connect_timeout: Duration,
    ) -> Result<Taken, DispatchError> {
        let now = Instant::now();
        let Some(fleet) = self.fleet.current(now) else {
            return Err(DispatchError::unavailable(
                "the configuration is not confirmed",
            ));
        };
        let targets = self.ranked_targets(now, &fleet, job, avoid);
        let mut last = DispatchError::unavailable("no target serves this");
        let mut retry_after = None;
        for (target, addr) in targets.into_iter().take(MAX_CANDIDATES) {
            let now = Instant::now();
            if now >= job.deadline {
                return Err(DispatchError::refused(RefusalReason::TooLate, 0));
            }
            let req = WorkRequest {
                attempt,
                service: job.service.clone(),
                caller: job.caller.clone(),
                fleet_version: fleet.version,
                deadline_ms: (job.deadline - now).as_millis() as u64,
                key: job.key.clone(),
                incarnation: None,
                payload: payload.clone(),
            };
            match self.offer(job, &target, addr, req, connect_timeout).await {
                Ok(taken) => return Ok(taken),
                Err(err) if err.verdict == Verdict::NotRun => {
                    last = err.combine_retry_after(retry_after);
                    retry_after = last.retry_after;
                }
                Err(err) => return Err(err),
            }
        }
        Err(last)
    }

    /// Offers a request to one target process.
    async fn offer(
        &self,
        job: &Job,
        target: &str,
        addr: SocketAddr,
        req: WorkRequest,
        connect_timeout: Duration,
    ) -> Result<Taken, DispatchError> {
        let mut conn = match self.pool.get_with_timeout(addr, connect_timeout).await {
            Ok(conn) => conn,
            Err(err) => {
                self.metrics.count_attempt(target, "unreachable");
                return Err(DispatchError::unreachable(&format!(
                    "target {target}: {err}"
                )));
            }
        };
        let prompt_tokens = job.shape.as_ref().map_or(0, |shape| shape.prompt_tokens);
        self.loads.note_sent(target, job.pieces, prompt_tokens);
        let exchange = async {
            conn.send(&job.request_id, &Message::Work(WorkMessage::Submit(req)))
                .await?;
            conn.recv().await
        };
        let left = job.deadline.saturating_duration_since(Instant::now());
        match compio::time::timeout(left, exchange).await {
            Ok(Ok((_, Message::Work(WorkMessage::Accepted { load })))) => {
                self.note_load(target, load, "accepted");
                if let Some(shape) = &job.shape {
                    self.hints.note_prompt(target, &shape.prompt);
                }
                Ok(Taken {
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
                self.note_load(target, load, "refused");
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

    pub(super) fn note_load(&self, target: &str, load: LoadReport, outcome: &'static str) {
        self.loads.note_report(Instant::now(), target, load);
        self.metrics.count_attempt(target, outcome);
    }
}
