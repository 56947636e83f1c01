//! Runs one admitted request at the engine or service.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{Verdict, pieces_for_tokens};
use laburnumlug_engine::{CompletionEvent, CompletionRequest, EngineClient};
use laburnumlug_mesh::{PlainRequest, WorkMessage, WorkPayload, WorkRequest};
use laburnumlug_service::{Call, ServiceClient};

use super::output::{EntryDisconnected, OutputSender};
use super::queue::Ticket;
use super::{Backend, TargetProcess};

/// Prompt bytes per token in the estimate that is used until the engine reports the exact count.
const BYTES_PER_TOKEN: u64 = 4;

/// Maximum time between two chunks of an answer that has begun.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the capacity that a request needs, in pieces: 1 for a plain call, else by prompt estimate and output limit.
pub(super) fn required_pieces(req: &WorkRequest) -> u64 {
    match &req.payload {
        WorkPayload::Completion {
            prompt, max_tokens, ..
        } => pieces_for_tokens(estimate_prompt_tokens(prompt) + max_tokens),
        WorkPayload::Plain(_) => 1,
    }
}

/// Estimates the number of tokens of a prompt from its length in bytes, rounded up.
pub(super) fn estimate_prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Runs an admitted request and sends its output to `tx`.
pub(super) async fn run(
    process: Rc<TargetProcess>,
    request_id: String,
    req: WorkRequest,
    ticket: Option<Ticket>,
    mut tx: OutputSender,
) {
    let deadline = Instant::now() + Duration::from_millis(req.deadline_ms);
    let attempt = req.attempt;
    let result = match (&process.backend, req.payload) {
        (
            Backend::Engine(engine),
            WorkPayload::Completion {
                model,
                prompt,
                max_tokens,
                resume_at,
            },
        ) => {
            let completion = CompletionRequest::new(&model, &prompt, max_tokens)
                .resume_at(resume_at)
                .request_id(&request_id)
                .priority(engine_priority(deadline));
            let generation = Generation {
                process: &process,
                engine,
                attempt,
                request_id,
                deadline,
                ticket,
            };
            generation.run(&completion, &mut tx).await
        }
        (Backend::Service(service), WorkPayload::Plain(plain)) => {
            call_service(service, plain, deadline, &mut tx).await
        }
        _ => {
            let message = failure_message(Verdict::NotRun, "this target serves other work");
            tx.send_last(message).await
        }
    };
    if result.is_err() {
        log::debug!("the entry disconnected before its request ended; discarded the answer");
    }
}

/// One attempt to generate an answer at the engine.
struct Generation<'a> {
    process: &'a TargetProcess,
    engine: &'a EngineClient,
    attempt: u32,
    request_id: String,
    deadline: Instant,
    /// Place in the queue, held until the generation ends.
    ticket: Option<Ticket>,
}

impl Generation<'_> {
    /// Runs the generation and sends its output to `tx`, up to the final message.
    ///
    /// The engine's stream is dropped on every return path, which cancels the generation at the engine.
    async fn run(
        &self,
        req: &CompletionRequest,
        tx: &mut OutputSender,
    ) -> Result<(), EntryDisconnected> {
        let attempt = self.attempt;
        let final_message = {
            let relaying = pin!(self.relay(req, tx.clone()));
            let migration = pin!(self.process.drain.migration_required());
            let disconnected = pin!(tx.disconnected());
            let interrupted = select(migration, disconnected);
            match select(relaying, interrupted).await {
                Either::Left((final_message, _)) => final_message,
                Either::Right((Either::Left(_), _)) => Ok(WorkMessage::Migrated { attempt }),
                Either::Right((Either::Right(_), _)) => Err(EntryDisconnected),
            }
        };
        tx.send_last(final_message?).await
    }

    /// Relays the chunks of the answer and returns the final message about the request.
    async fn relay(
        &self,
        req: &CompletionRequest,
        mut tx: OutputSender,
    ) -> Result<WorkMessage, EntryDisconnected> {
        if let Some(ticket) = &self.ticket
            && ticket.wait_started().await.is_err()
        {
            let reason = "the answer can no longer be in time";
            return Ok(failure_message(Verdict::NotRun, reason));
        }
        let mut stream = match self.engine.complete(req).await {
            Ok(stream) => stream,
            Err(err) => return Ok(failure_message(err.verdict(), &err.to_string())),
        };
        // The first chunk follows the prefill of the whole prompt, so only the deadline limits it.
        let mut event_timeout = self.deadline.saturating_duration_since(Instant::now());
        loop {
            let event = match laburnumlug_http::timeout(event_timeout, stream.next()).await {
                Ok(Ok(Some(event))) => event,
                Ok(Ok(None)) => {
                    let reason = "the engine ended without the end of the answer";
                    return Ok(failure_message(Verdict::MayHaveRun, reason));
                }
                Ok(Err(err)) => return Ok(failure_message(err.verdict(), &err.to_string())),
                Err(_) => {
                    let reason = "the engine paused for too long";
                    return Ok(failure_message(Verdict::MayHaveRun, reason));
                }
            };
            match event {
                event if event.request_id() != self.request_id => {
                    let reason = "the engine sent an answer to another request";
                    return Ok(failure_message(Verdict::MayHaveRun, reason));
                }
                CompletionEvent::Delta {
                    offset,
                    text,
                    tokens,
                    ..
                } => {
                    tx.send(self.record_chunk_and_build_message(offset, text, tokens))
                        .await?
                }
                CompletionEvent::Finish {
                    reason,
                    prompt_tokens,
                    completion_tokens,
                    ..
                } => {
                    return Ok(self.record_completion_and_build_message(
                        reason,
                        prompt_tokens,
                        completion_tokens,
                    ));
                }
            }
            event_timeout = CHUNK_TIMEOUT;
        }
    }

    /// Records a chunk in the queue and returns the message that sends it to the entry.
    fn record_chunk_and_build_message(
        &self,
        offset: u64,
        text: String,
        tokens: u64,
    ) -> WorkMessage {
        if let Some(ticket) = &self.ticket {
            ticket.record_chunk(Instant::now(), tokens);
        }
        WorkMessage::Chunk {
            attempt: self.attempt,
            offset,
            text,
            tokens,
        }
    }

    /// Records the completed answer in the queue and returns the final message to the entry.
    fn record_completion_and_build_message(
        &self,
        finish_reason: String,
        prompt_tokens: u64,
        tokens: u64,
    ) -> WorkMessage {
        if let Some(ticket) = &self.ticket {
            ticket.record_completion(tokens);
        }
        WorkMessage::End {
            attempt: self.attempt,
            tokens,
            prompt_tokens,
            finish_reason,
            load: self.process.load(Instant::now()),
        }
    }
}

/// Returns the negated time to the deadline in milliseconds: the engine prefers larger values.
fn engine_priority(deadline: Instant) -> i64 {
    let time_left = deadline.saturating_duration_since(Instant::now());
    -(time_left.as_millis() as i64)
}

async fn call_service(
    service: &ServiceClient,
    req: PlainRequest,
    deadline: Instant,
    tx: &mut OutputSender,
) -> Result<(), EntryDisconnected> {
    let call = Call::new(&req.method, &req.path)
        .headers(req.headers)
        .body(req.body);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let message = match service.call(call, time_left).await {
        Ok(answer) => WorkMessage::PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err(err) => failure_message(err.verdict(), &err.to_string()),
    };
    tx.send_last(message).await
}

fn failure_message(verdict: Verdict, reason: &str) -> WorkMessage {
    WorkMessage::Failed {
        verdict,
        reason: reason.to_string(),
    }
}
