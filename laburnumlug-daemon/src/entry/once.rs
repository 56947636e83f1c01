//! Calls that may run at most once.

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
use super::dispatch::Job;
use super::offer::{Conversation, Link, Offer};
use super::retry::Backoff;

/// Most targets that a call without a key is offered to, one after the other.
const MAX_CANDIDATES: usize = 3;

/// Most tries to recall a call whose connection broke.
const MAX_RECALLS: u32 = 7;

/// Most rounds of a call with a key; each asks the control log again.
const MAX_ROUNDS: u32 = 8;

/// How long a target process may take to say whether it takes a call without a key.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a target process may take to claim a call with a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);

/// How long the control log may take to tell what is known of a call.
const LOOK_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection that is made to recall a call may be silent.
const RECALL_TIMEOUT: Duration = Duration::from_secs(2);

/// When a caller may send a call with a key again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Message of the error at the deadline.
const TIMED_OUT_MESSAGE: &str = "the service did not answer in time";

/// Answers one call that may run at most once.
pub(super) async fn answer(
    entry: Rc<Entry>,
    job: Job,
    req: PlainRequest,
) -> Result<Response, ApiError> {
    let mut call = OnceCall {
        entry: &entry,
        job: &job,
        req,
        attempt: 0,
        verdict: Verdict::NotRun,
    };
    let result = match job.key {
        Some(_) => match call.answer_with_key().await {
            Err(err) if err.is_refusal() => call.prove(err).await,
            result => result,
        },
        None => call.answer_without_key().await,
    };
    result.inspect(|_| entry.retries.note_success())
}

/// One call that may run at most once.
struct OnceCall<'a> {
    entry: &'a Entry,
    job: &'a Job,
    req: PlainRequest,
    attempt: AttemptNumber,
    /// What is known of all attempts so far.
    verdict: Verdict,
}

impl OnceCall<'_> {
    /// Offers the call to one target after the other, while it is proved that none has taken it.
    async fn answer_without_key(&mut self) -> Result<Response, ApiError> {
        let mut last = self.unavailable("no target serves this", RETRY_AFTER);
        let targets = self.targets();
        for (target, addr) in targets.into_iter().take(MAX_CANDIDATES) {
            let offer = match self.offer(&target, addr, None).await {
                Offer::Lost { link, reason } => self.recall(&target, addr, link, reason).await,
                offer => offer,
            };
            match offer {
                Offer::Answered(answer) => return answer,
                Offer::TimedOut => return Err(self.timed_out()),
                Offer::Refused {
                    reason,
                    retry_after,
                } => last = self.refused(reason, retry_after),
                Offer::Unreachable(reason) | Offer::Failed(Verdict::NotRun, reason) => {
                    last = self.unavailable(&reason, RETRY_AFTER);
                }
                Offer::Failed(_, reason) | Offer::Lost { reason, .. } => {
                    return Err(ApiError::broken_off(&reason));
                }
                Offer::Claimed(_) | Offer::Settled(_) | Offer::KeyReused => {
                    return Err(ApiError::broken_off("the target answered out of turn"));
                }
            }
        }
        Err(last)
    }

    /// Offers the call until the control log or the holder of its claim tells what became of it.
    ///
    /// Sending it again is safe: the claim lets it run once.
    async fn answer_with_key(&mut self) -> Result<Response, ApiError> {
        let mut backoff = Backoff::default();
        let mut last = self.unavailable("no target serves this", RETRY_AFTER);
        for round in 1..=MAX_ROUNDS {
            match self.round_with_key().await {
                Round::Done(result) => return result,
                Round::Again(err) => last = err,
            }
            if round == MAX_ROUNDS || !self.entry.take_retry() {
                break;
            }
            let wait = backoff.next(&mut rand::rng());
            let left = self.time_left();
            if wait >= left {
                compio::time::sleep(left).await;
                return Err(self.timed_out());
            }
            compio::time::sleep(wait).await;
        }
        Err(last)
    }

    /// Asks every candidate once, and the holder of the claim where one is named.
    async fn round_with_key(&mut self) -> Round {
        let mut last = self.unavailable("no target serves this", RETRY_AFTER);
        for (target, addr) in self.targets().into_iter().take(MAX_CANDIDATES) {
            let offer = match self.offer(&target, addr, None).await {
                Offer::Claimed(holder) => self.ask_holder(holder).await,
                offer => offer,
            };
            match offer {
                Offer::Answered(answer) => return Round::Done(answer),
                Offer::Settled(result) => return Round::Done(settled_response(result)),
                Offer::KeyReused => {
                    return Round::Done(Err(key_reused()));
                }
                Offer::TimedOut => return Round::Done(Err(self.timed_out())),
                Offer::Refused {
                    reason,
                    retry_after,
                } => last = self.refused(reason, retry_after),
                Offer::Unreachable(reason) => last = self.unavailable(&reason, RETRY_AFTER),
                Offer::Failed(Verdict::NotRun, reason) => {
                    return Round::Again(self.unavailable(&reason, RETRY_AFTER));
                }
                Offer::Failed(_, reason) => {
                    return Round::Done(Err(ApiError::broken_off(&reason)));
                }
                Offer::Lost { reason, .. } => {
                    self.verdict = Verdict::MayHaveRun;
                    return Round::Again(self.unavailable(&reason, RETRY_AFTER));
                }
                Offer::Claimed(holder) => {
                    let reason = format!("target {}, which has the call, is gone", holder.target);
                    return Round::Done(Err(may_have_run(&reason)));
                }
            }
        }
        Round::Again(last)
    }

    /// Asks the holder of the claim for the call's answer.
    async fn ask_holder(&mut self, holder: ClaimHolder) -> Offer {
        let Some(addr) = self.address_of(&holder.target) else {
            return Offer::Claimed(holder);
        };
        let target = holder.target.clone();
        match self.offer(&target, addr, Some(&holder)).await {
            // The holder's process has ended: only the log can know more, if it settled the call last.
            Offer::Refused {
                reason: RefusalReason::OtherIncarnation,
                ..
            } => match self.look().await {
                Some(ClaimOutcome::Held(still)) if still == holder => Offer::Claimed(holder),
                Some(ClaimOutcome::Completed(result)) => Offer::Settled(result),
                _ => Offer::Lost {
                    link: Link::none(),
                    reason: "the claim of the call has moved".into(),
                },
            },
            // The claim proves that the call may have run, though this offer was not received.
            Offer::Unreachable(reason) => Offer::Lost {
                link: Link::none(),
                reason,
            },
            offer => offer,
        }
    }

    /// Asks the control log what is known of the call; `None` where it does not answer.
    async fn look(&self) -> Option<ClaimOutcome> {
        let command = ClaimCommand::Query {
            id: ClaimId {
                service: self.job.service.clone(),
                caller: self.job.caller.clone(),
                key: self.job.key.clone()?,
            },
            fingerprint: Fingerprint::of(&self.req),
        };
        let time = self.time_left().min(LOOK_TIMEOUT);
        let control = &self.entry.control;
        let asking = control.submit(Instant::now() + time, NodeCommand::Claim(command));
        match asking.await {
            Ok(NodeOutcome::Claim(outcome)) => Some(outcome),
            Ok(_) => None,
            Err(err) => {
                let request_id = self.job.request_id.as_str();
                log::warn!(request_id; "claim not read: {err}");
                None
            }
        }
    }

    /// Replaces a refusal by what the control log knows of the call.
    ///
    /// An earlier sending may have run, so a refusal of this one alone proves nothing about the key.
    async fn prove(&mut self, refusal: ApiError) -> Result<Response, ApiError> {
        match self.look().await {
            Some(ClaimOutcome::Unclaimed) => Err(refusal),
            Some(ClaimOutcome::KeyReused) => Err(key_reused()),
            Some(ClaimOutcome::Completed(result)) => settled_response(result),
            Some(ClaimOutcome::Held(holder)) => match self.ask_holder(holder).await {
                Offer::Answered(answer) => answer,
                Offer::Settled(result) => settled_response(result),
                // The holder has not run the call, and nobody else may.
                Offer::Refused { .. } => Err(refusal),
                _ => Err(may_have_run("another process has the call")),
            },
            _ => Err(may_have_run("the claim of the call cannot be read now")),
        }
    }

    async fn offer(
        &mut self,
        target: &str,
        addr: SocketAddr,
        holder: Option<&ClaimHolder>,
    ) -> Offer {
        let Some(fleet) = self.entry.fleet.current(Instant::now()) else {
            return Offer::Unreachable("the configuration is not confirmed".into());
        };
        let left = self.time_left();
        if left.is_zero() {
            return Offer::TimedOut;
        }
        let conn = match self.entry.pool.get(addr).await {
            Ok(conn) => conn,
            Err(err) => {
                self.entry.metrics.count_attempt(target, "unreachable");
                return Offer::Unreachable(format!("target {target}: {err}"));
            }
        };
        self.attempt += 1;
        self.entry.loads.note_sent(target, self.job.pieces, 0);
        let submit = WorkMessage::Submit(WorkRequest {
            attempt: self.attempt,
            service: self.job.service.clone(),
            caller: self.job.caller.clone(),
            fleet_version: fleet.version,
            deadline_ms: left.as_millis() as u64,
            key: self.job.key.clone(),
            incarnation: holder.map(|holder| holder.incarnation),
            payload: WorkPayload::Plain(self.req.clone()),
        });
        let timeout = match self.job.key {
            Some(_) => CLAIM_TIMEOUT,
            None => ACCEPT_TIMEOUT,
        };
        self.converse(target, addr, conn, submit, timeout).await
    }

    /// Asks the target process whether it has taken a call whose connection broke.
    async fn recall(
        &mut self,
        target: &str,
        addr: SocketAddr,
        link: Link,
        reason: String,
    ) -> Offer {
        log::info!(
            request_id = self.job.request_id.as_str(), target_name = target;
            "recalls the call: {reason}"
        );
        self.entry.metrics.count_attempt(target, "recalled");
        let Some(incarnation) = link.incarnation else {
            return Offer::Lost { link, reason };
        };
        let mut backoff = Backoff::default();
        for _ in 0..MAX_RECALLS {
            if let Ok(conn) = self.entry.pool.connect(addr).await {
                if conn.peer_incarnation() != Some(incarnation) {
                    return Offer::Lost { link, reason };
                }
                let recall = WorkMessage::Reattach {
                    session: link.session.clone(),
                    incarnation,
                };
                match self
                    .converse(target, addr, conn, recall, RECALL_TIMEOUT)
                    .await
                {
                    Offer::Lost { .. } => {}
                    offer => return offer,
                }
            }
            let wait = backoff.next(&mut rand::rng());
            if wait >= self.time_left() {
                break;
            }
            compio::time::sleep(wait).await;
        }
        Offer::Lost { link, reason }
    }

    async fn converse(
        &self,
        target: &str,
        addr: SocketAddr,
        conn: Connection,
        message: WorkMessage,
        first_timeout: Duration,
    ) -> Offer {
        let conversation = Conversation {
            entry: self.entry,
            job: self.job,
            target,
            first_timeout,
        };
        let (offer, conn) = conversation.run(conn, message).await;
        if let Some(conn) = conn {
            self.entry.pool.put(addr, conn);
        }
        offer
    }

    fn targets(&self) -> Vec<(TargetName, SocketAddr)> {
        let now = Instant::now();
        match self.entry.fleet.current(now) {
            Some(fleet) => self.entry.ranked_targets(now, &fleet, self.job, &[]),
            None => Vec::new(),
        }
    }

    /// Returns the address of a target, whatever its state.
    fn address_of(&self, target: &str) -> Option<SocketAddr> {
        let fleet = self.entry.fleet.current(Instant::now())?;
        fleet.target(target)?.address.parse().ok()
    }

    fn time_left(&self) -> Duration {
        self.job.deadline.saturating_duration_since(Instant::now())
    }

    fn refused(&self, reason: RefusalReason, retry_after: Duration) -> ApiError {
        let overloaded = matches!(reason, RefusalReason::Full | RefusalReason::TooLate);
        match self.verdict {
            Verdict::NotRun if overloaded => ApiError::overloaded(reason.as_str(), retry_after),
            _ => self.unavailable(reason.as_str(), retry_after),
        }
    }

    fn unavailable(&self, reason: &str, retry_after: Duration) -> ApiError {
        match self.verdict {
            Verdict::NotRun => ApiError::unavailable(reason, retry_after),
            _ => may_have_run(reason),
        }
    }

    /// Returns the error of a call whose deadline has passed.
    fn timed_out(&self) -> ApiError {
        match (self.verdict, self.attempt) {
            (Verdict::NotRun, 0) => ApiError::overloaded("the deadline has passed", RETRY_AFTER),
            _ if self.job.key.is_some() => {
                ApiError::timed_out(TIMED_OUT_MESSAGE).retry_after(RETRY_AFTER)
            }
            _ => ApiError::timed_out(TIMED_OUT_MESSAGE),
        }
    }
}

/// What one round of a call with a key came to.
enum Round {
    /// The caller is told now.
    Done(Result<Response, ApiError>),
    /// Another round may bring more; without one, this is the error.
    Again(ApiError),
}

/// Returns the error of a call with a key whose resend may tell more.
fn may_have_run(reason: &str) -> ApiError {
    ApiError::broken_off(reason).retry_after(RETRY_AFTER)
}

fn key_reused() -> ApiError {
    ApiError::conflict("the idempotency key was used for another request")
}

fn settled_response(result: ClaimResult) -> Result<Response, ApiError> {
    match result {
        ClaimResult::Answered(answer) => plain_response(answer.status, answer.headers, answer.body),
        ClaimResult::AnswerNotKept { status } => Err(ApiError::answer_not_kept(status)),
        ClaimResult::Unknown { reason } => Err(may_have_run(&reason)),
    }
}
