//! Relays a generated answer, resuming it elsewhere when an attempt breaks off.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{AttemptNumber, TargetName, Verdict};
use laburnumlug_caller::{ApiError, GenerationRequest};
use laburnumlug_mesh::{LoadReport, Message, WorkMessage, WorkPayload};

use super::Entry;
use super::assembly::{Assembly, PieceVerdict};
use super::dispatch::{Job, Taken};
use super::retry::Backoff;

/// Most attempts at one request.
const MAX_ATTEMPTS: AttemptNumber = 4;

/// How long an answer that a planned change has moved waits between two rounds of targets.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// When a caller may come back whose request was given up everywhere.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What comes next in an answer.
#[derive(Debug)]
pub(super) enum RelayEvent {
    /// Text.
    Piece(String),
    /// The end of the whole answer.
    End {
        /// Why generation ended.
        reason: String,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
        /// Number of tokens of the answer.
        tokens: u64,
    },
}

/// Relays one generated answer.
pub(super) struct Relay {
    entry: Rc<Entry>,
    job: Job,
    generation: GenerationRequest,
    assembly: Assembly,
    attempt: AttemptNumber,
    taken: Option<Taken>,
    /// Number of attempts that planned changes ended.
    moves: AttemptNumber,
    /// Targets where an attempt broke off.
    avoid: Vec<TargetName>,
    /// Whether the last attempt broke off while the retry budget was spent.
    over_budget: bool,
    backoff: Backoff,
    /// What is known of all attempts so far.
    verdict: Verdict,
    /// What was known before the present attempt.
    earlier_verdict: Verdict,
}

impl Relay {
    pub(super) fn new(entry: Rc<Entry>, job: Job, generation: GenerationRequest) -> Relay {
        Relay {
            entry,
            job,
            generation,
            assembly: Assembly::default(),
            attempt: 0,
            taken: None,
            moves: 0,
            avoid: Vec::new(),
            over_budget: false,
            backoff: Backoff::default(),
            verdict: Verdict::NotRun,
            earlier_verdict: Verdict::NotRun,
        }
    }

    /// Returns what comes next.
    ///
    /// # Errors
    ///
    /// Fails when the answer cannot be completed in time.
    pub(super) async fn next(&mut self) -> Result<RelayEvent, ApiError> {
        loop {
            if self.taken.is_none() {
                self.pause().await;
                self.start_attempt().await?;
            }
            match self.receive().await? {
                Some(event) => return Ok(event),
                None => self.check_attempts()?,
            }
        }
    }

    /// Waits before an attempt that follows more than one loss; the first loss is made good at once.
    async fn pause(&mut self) {
        if self.attempt > self.moves + 1 {
            let wait = self.backoff.next(&mut rand::rng());
            let left = self.job.deadline.saturating_duration_since(Instant::now());
            compio::time::sleep(wait.min(left)).await;
        }
    }

    async fn start_attempt(&mut self) -> Result<(), ApiError> {
        loop {
            self.attempt += 1;
            let payload = WorkPayload::Completion {
                model: self.generation.model.clone(),
                prompt: self.generation.prompt.clone(),
                max_tokens: self.generation.max_tokens,
                resume_at: self.assembly.next_offset(),
            };
            let err = match self
                .entry
                .submit(&self.job, self.attempt, payload, &self.avoid)
                .await
            {
                Ok(taken) => {
                    self.earlier_verdict = self.verdict;
                    self.verdict = Verdict::MayHaveRun;
                    self.taken = Some(taken);
                    return Ok(());
                }
                Err(err) => err,
            };
            if err.verdict == Verdict::MayHaveRun {
                self.over_budget = !self.entry.take_retry();
            }
            match err.verdict {
                // Generation may be repeated, so a lost attempt is followed by another.
                Verdict::MayHaveRun if self.may_try_again() => self.verdict = Verdict::MayHaveRun,
                // A planned change must not cut the answer, so it waits for a target that can go on with it.
                Verdict::NotRun if self.moves > 0 && !err.is_final() && self.may_wait() => {
                    // No target took this attempt, so its number is free.
                    self.attempt -= 1;
                    compio::time::sleep(RESUME_PAUSE).await;
                }
                _ => return Err(err.to_api_error(self.verdict)),
            }
        }
    }

    /// Returns whether there is time for another round of targets.
    fn may_wait(&self) -> bool {
        Instant::now() + RESUME_PAUSE < self.job.deadline
    }

    /// Returns whether an attempt is left; those that planned changes ended are not counted.
    fn may_try_again(&self) -> bool {
        self.attempt - self.moves < MAX_ATTEMPTS && !self.over_budget
    }

    fn check_attempts(&self) -> Result<(), ApiError> {
        match (&self.taken, self.verdict) {
            (None, Verdict::NotRun) if !self.may_try_again() => Err(ApiError::overloaded(
                "every target that took the request gave it up",
                RETRY_AFTER,
            )),
            (None, _) if !self.may_try_again() => Err(ApiError::broken_off(
                "every attempt at the answer broke off",
            )),
            _ => Ok(()),
        }
    }

    /// Receives one message; `None` where it brings nothing for the caller.
    async fn receive(&mut self) -> Result<Option<RelayEvent>, ApiError> {
        let Some(taken) = &mut self.taken else {
            return Ok(None);
        };
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        let received = match compio::time::timeout(left, taken.conn.recv()).await {
            Ok(received) => received,
            Err(_) => return Err(ApiError::timed_out("the answer was not whole in time")),
        };
        match received {
            Ok((id, _)) if id != self.job.request_id => {
                self.break_off("it sent an answer to another request");
                Ok(None)
            }
            Ok((_, Message::Work(message))) => Ok(self.take_message(message)),
            Ok(_) => {
                self.break_off("it sent a message out of turn");
                Ok(None)
            }
            Err(err) => {
                self.break_off(&err.to_string());
                Ok(None)
            }
        }
    }

    fn take_message(&mut self, message: WorkMessage) -> Option<RelayEvent> {
        match message {
            WorkMessage::Piece {
                attempt,
                offset,
                text,
                tokens,
            } => match self.assembly.judge(self.attempt, attempt, offset, tokens) {
                PieceVerdict::Next => Some(RelayEvent::Piece(text)),
                PieceVerdict::Ignore => None,
                PieceVerdict::Broken => {
                    self.break_off("a piece of its answer is missing");
                    None
                }
            },
            WorkMessage::End {
                attempt,
                tokens,
                prompt_tokens,
                finish_reason,
                load,
            } if attempt == self.attempt && self.assembly.is_whole(tokens) => {
                if let Some(taken) = self.taken.take() {
                    self.note_answer(&taken.target, load, tokens);
                    self.entry.pool.put(taken.addr, taken.conn);
                }
                self.entry.retries.note_success();
                Some(RelayEvent::End {
                    reason: finish_reason,
                    prompt_tokens,
                    tokens,
                })
            }
            WorkMessage::Moved { attempt } if attempt == self.attempt => {
                self.move_on();
                None
            }
            WorkMessage::Failed { verdict, reason } => {
                // An attempt that did not run adds nothing to what is known of the earlier ones.
                if verdict == Verdict::NotRun {
                    self.verdict = self.earlier_verdict;
                }
                self.break_off(&reason);
                None
            }
            _ => {
                self.break_off("its answer is not whole");
                None
            }
        }
    }

    /// Learns from an answer that is whole.
    fn note_answer(&self, target: &str, load: LoadReport, tokens: u64) {
        self.entry.loads.note_report(Instant::now(), target, load);
        let max_tokens = self.generation.max_tokens;
        self.entry
            .hints
            .note_answer(&self.job.service, &self.job.caller, max_tokens, tokens);
    }

    /// Leaves the present attempt's target, which a planned change takes away; that is no failure.
    fn move_on(&mut self) {
        if let Some(taken) = self.taken.take() {
            self.entry.metrics.count_attempt(&taken.target, "moved");
            self.entry.pool.put(taken.addr, taken.conn);
            self.avoid.push(taken.target);
            self.moves += 1;
        }
    }

    /// Notes that the caller reads too slowly for the answer to go on.
    pub(super) fn stall(&self) {
        log::warn!(
            request_id = self.job.request_id.as_str();
            "the caller reads too slowly; its answer is broken off"
        );
        self.entry.metrics.count_refusal("stalled");
    }

    /// Drops the present attempt, which cancels it at its target.
    fn break_off(&mut self, reason: &str) {
        if let Some(taken) = self.taken.take() {
            log::warn!(
                request_id = self.job.request_id.as_str(), target_name = taken.target.as_str();
                "attempt {} broke off: {reason}", self.attempt
            );
            self.entry
                .metrics
                .count_attempt(&taken.target, "broken-off");
            self.avoid.push(taken.target);
            self.over_budget = !self.entry.take_retry();
        }
    }
}
