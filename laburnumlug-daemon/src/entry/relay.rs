//! Relays a generated answer to the caller, and resumes it on another target after a lost or migrated attempt.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{AttemptNumber, TargetName, Verdict};
use laburnumlug_caller::{ApiError, GenerationRequest};
use laburnumlug_mesh::{LoadReport, Message, WorkMessage, WorkPayload};

use super::Entry;
use super::dispatch::{AcceptedRequest, RequestContext};
use super::retry::Backoff;
use super::stream_assembler::{ChunkDisposition, StreamAssembler};

/// Maximum number of attempts at one request, not counting attempts that a migration ended.
const MAX_ATTEMPTS: AttemptNumber = 4;

/// Interval between two searches for a target that can resume a migrated answer.
const MIGRATION_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Retry delay suggested to a caller whose request was abandoned by every target that accepted it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One event of an answer.
#[derive(Debug)]
pub(super) enum RelayEvent {
    /// The next text of the answer.
    Chunk(String),
    /// The end of the whole answer.
    End {
        /// Finish reason reported by the engine.
        reason: String,
        /// Number of prompt tokens reported by the engine.
        prompt_tokens: u64,
        /// Number of answer tokens of all attempts together.
        tokens: u64,
    },
}

/// Relay of one generated answer, across all attempts at it.
pub(super) struct Relay {
    entry: Rc<Entry>,
    context: RequestContext,
    generation: GenerationRequest,
    assembler: StreamAssembler,
    attempt: AttemptNumber,
    accepted: Option<AcceptedRequest>,
    /// Number of attempts that ended because a planned change moved the answer to another target.
    migrations: AttemptNumber,
    /// Targets where an attempt was lost or migrated away, which are tried last.
    avoided_targets: Vec<TargetName>,
    /// Whether the retry budget was exhausted when the last attempt was lost.
    is_retry_budget_exhausted: bool,
    backoff: Backoff,
    /// Combined verdict of all attempts so far.
    verdict: Verdict,
    /// Combined verdict of the attempts before the current one.
    verdict_before_attempt: Verdict,
}

impl Relay {
    pub(super) fn new(
        entry: Rc<Entry>,
        context: RequestContext,
        generation: GenerationRequest,
    ) -> Relay {
        Relay {
            entry,
            context,
            generation,
            assembler: StreamAssembler::default(),
            attempt: 0,
            accepted: None,
            migrations: 0,
            avoided_targets: Vec::new(),
            is_retry_budget_exhausted: false,
            backoff: Backoff::default(),
            verdict: Verdict::NotRun,
            verdict_before_attempt: Verdict::NotRun,
        }
    }

    /// Returns the next event, starting further attempts as needed.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed in time.
    pub(super) async fn next(&mut self) -> Result<RelayEvent, ApiError> {
        loop {
            if self.accepted.is_none() {
                self.back_off().await;
                self.start_attempt().await?;
            }
            match self.receive_event().await? {
                Some(event) => return Ok(event),
                None => self.check_attempts_left()?,
            }
        }
    }

    /// Waits before the next attempt if more than one was lost; the first lost attempt is retried immediately.
    async fn back_off(&mut self) {
        if self.attempt > self.migrations + 1 {
            let wait = self.backoff.next_delay(&mut rand::rng());
            let time_left = self
                .context
                .deadline
                .saturating_duration_since(Instant::now());
            compio::time::sleep(wait.min(time_left)).await;
        }
    }

    /// Starts the next attempt, waiting for a target if a planned change has moved the answer.
    async fn start_attempt(&mut self) -> Result<(), ApiError> {
        loop {
            self.attempt += 1;
            let payload = WorkPayload::Completion {
                model: self.generation.model.clone(),
                prompt: self.generation.prompt.clone(),
                max_tokens: self.generation.max_tokens,
                resume_at: self.assembler.next_offset(),
            };
            let err = match self
                .entry
                .submit(&self.context, self.attempt, payload, &self.avoided_targets)
                .await
            {
                Ok(accepted) => {
                    self.verdict_before_attempt = self.verdict;
                    self.verdict = Verdict::MayHaveRun;
                    self.accepted = Some(accepted);
                    return Ok(());
                }
                Err(err) => err,
            };
            if err.verdict == Verdict::MayHaveRun {
                self.is_retry_budget_exhausted = !self.entry.try_acquire_retry();
            }
            match err.verdict {
                // Generation may run more than once, so a lost attempt can be retried.
                Verdict::MayHaveRun if self.has_attempts_left() => {
                    self.verdict = Verdict::MayHaveRun
                }
                // A planned change must not truncate the answer, so it waits for a target that can resume it.
                Verdict::NotRun
                    if self.migrations > 0 && !err.is_final() && self.has_time_to_wait() =>
                {
                    // No target accepted this attempt, so its number is reused.
                    self.attempt -= 1;
                    compio::time::sleep(MIGRATION_RETRY_INTERVAL).await;
                }
                _ => return Err(err.to_api_error(self.verdict)),
            }
        }
    }

    /// Returns whether the deadline leaves time for another search for a target.
    fn has_time_to_wait(&self) -> bool {
        Instant::now() + MIGRATION_RETRY_INTERVAL < self.context.deadline
    }

    /// Returns whether another attempt is permitted; migrated attempts do not count against the limit.
    fn has_attempts_left(&self) -> bool {
        self.attempt - self.migrations < MAX_ATTEMPTS && !self.is_retry_budget_exhausted
    }

    /// Returns the final error if no attempt is in progress and no other is permitted.
    fn check_attempts_left(&self) -> Result<(), ApiError> {
        match (&self.accepted, self.verdict) {
            (None, Verdict::NotRun) if !self.has_attempts_left() => Err(ApiError::overloaded(
                "every target that took the request gave it up",
                RETRY_AFTER,
            )),
            (None, _) if !self.has_attempts_left() => Err(ApiError::broken_off(
                "every attempt at the answer broke off",
            )),
            _ => Ok(()),
        }
    }

    /// Receives one message; returns `None` if it contains nothing for the caller.
    async fn receive_event(&mut self) -> Result<Option<RelayEvent>, ApiError> {
        let Some(accepted) = &mut self.accepted else {
            return Ok(None);
        };
        let time_left = self
            .context
            .deadline
            .saturating_duration_since(Instant::now());
        let received = match laburnumlug_http::timeout(time_left, accepted.conn.recv()).await {
            Ok(received) => received,
            Err(_) => return Err(ApiError::timed_out("the answer was not whole in time")),
        };
        match received {
            Ok((id, _)) if id != self.context.request_id => {
                self.abandon_attempt("the target sent an answer to another request");
                Ok(None)
            }
            Ok((_, Message::Work(message))) => Ok(self.handle_message(message)),
            Ok(_) => {
                self.abandon_attempt("the target sent an unexpected message");
                Ok(None)
            }
            Err(err) => {
                self.abandon_attempt(&err.to_string());
                Ok(None)
            }
        }
    }

    /// Handles one message of the current attempt; returns `None` if it contains nothing for the caller.
    fn handle_message(&mut self, message: WorkMessage) -> Option<RelayEvent> {
        match message {
            WorkMessage::Chunk {
                attempt,
                offset,
                text,
                tokens,
            } => match self
                .assembler
                .accept_chunk(self.attempt, attempt, offset, tokens)
            {
                ChunkDisposition::Forward => Some(RelayEvent::Chunk(text)),
                ChunkDisposition::Discard => None,
                ChunkDisposition::Inconsistent => {
                    self.abandon_attempt("a chunk of the answer is missing or overlaps");
                    None
                }
            },
            WorkMessage::End {
                attempt,
                tokens,
                prompt_tokens,
                finish_reason,
                load,
            } if attempt == self.attempt && self.assembler.is_complete(tokens) => {
                if let Some(accepted) = self.accepted.take() {
                    self.record_answer(&accepted.target, load, tokens);
                    self.entry.pool.put(accepted.addr, accepted.conn);
                }
                self.entry.retry_budget.record_success();
                Some(RelayEvent::End {
                    reason: finish_reason,
                    prompt_tokens,
                    tokens,
                })
            }
            WorkMessage::Migrated { attempt } if attempt == self.attempt => {
                self.end_migrated_attempt();
                None
            }
            WorkMessage::Failed { verdict, reason } => {
                // An attempt that did not run leaves the verdict of the earlier attempts unchanged.
                if verdict == Verdict::NotRun {
                    self.verdict = self.verdict_before_attempt;
                }
                self.abandon_attempt(&reason);
                None
            }
            _ => {
                self.abandon_attempt("the answer is incomplete or an unexpected message arrived");
                None
            }
        }
    }

    /// Records the target's load and the output length of a completed answer.
    fn record_answer(&self, target: &str, load: LoadReport, tokens: u64) {
        self.entry.loads.record_report(Instant::now(), target, load);
        let max_tokens = self.generation.max_tokens;
        self.entry.hints.record_answer(
            &self.context.service,
            &self.context.caller,
            max_tokens,
            tokens,
        );
    }

    /// Ends the current attempt because a planned change moves the answer off its target; this is not a failure.
    fn end_migrated_attempt(&mut self) {
        if let Some(accepted) = self.accepted.take() {
            self.entry.metrics.count_attempt(&accepted.target, "moved");
            self.entry.pool.put(accepted.addr, accepted.conn);
            self.avoided_targets.push(accepted.target);
            self.migrations += 1;
        }
    }

    /// Records that the answer is cancelled because the caller reads too slowly.
    pub(super) fn record_stall(&self) {
        log::warn!(
            request_id = self.context.request_id.as_str();
            "the caller reads too slowly; the entry cancels its answer"
        );
        self.entry.metrics.count_refusal("stalled");
    }

    /// Records the current attempt as lost and drops its connection, which cancels the attempt at its target.
    fn abandon_attempt(&mut self, reason: &str) {
        if let Some(accepted) = self.accepted.take() {
            log::warn!(
                request_id = self.context.request_id.as_str(), target_name = accepted.target.as_str();
                "the entry lost attempt {} at generating the answer and dropped its connection: {reason}", self.attempt
            );
            self.entry
                .metrics
                .count_attempt(&accepted.target, "broken-off");
            self.avoided_targets.push(accepted.target);
            self.is_retry_budget_exhausted = !self.entry.try_acquire_retry();
        }
    }
}
