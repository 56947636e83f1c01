//! Runs one request at the engine or server.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{Verdict, pieces_for_tokens};
use laburnumlug_engine::{CompletionEvent, CompletionRequest, EngineClient};
use laburnumlug_mesh::{PlainRequest, WorkMessage, WorkPayload, WorkRequest};
use laburnumlug_service::{Call, ServiceClient};

use super::output::{HungUp, OutputSender};
use super::queue::Ticket;
use super::{Peer, TargetProcess};

/// Number of prompt bytes that are counted as one token before the engine has counted them.
const BYTES_PER_TOKEN: u64 = 4;

/// How long an engine may pause within an answer that has begun.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the pieces of capacity that a request needs.
pub(super) fn pieces(req: &WorkRequest) -> u64 {
    match &req.payload {
        WorkPayload::Completion {
            prompt, max_tokens, ..
        } => pieces_for_tokens(prompt_tokens(prompt) + max_tokens),
        WorkPayload::Plain(_) => 1,
    }
}

/// Returns the estimated number of tokens of a prompt.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Runs a request that was taken and sends its output.
pub(super) async fn run(
    process: Rc<TargetProcess>,
    request_id: String,
    req: WorkRequest,
    ticket: Option<Ticket>,
    mut tx: OutputSender,
) {
    let deadline = Instant::now() + Duration::from_millis(req.deadline_ms);
    let attempt = req.attempt;
    let result = match (&process.peer, req.payload) {
        (
            Peer::Engine(engine),
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
                .priority(priority(deadline));
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
        (Peer::Service(service), WorkPayload::Plain(plain)) => {
            call(service, plain, deadline, &mut tx).await
        }
        _ => {
            let message = failed(Verdict::NotRun, "this target serves other work");
            tx.send_last(message).await
        }
    };
    if result.is_err() {
        log::debug!("the entry hung up");
    }
}

/// One generation at the engine.
struct Generation<'a> {
    process: &'a TargetProcess,
    engine: &'a EngineClient,
    attempt: u32,
    request_id: String,
    deadline: Instant,
    /// Place in the queue, held until the end.
    ticket: Option<Ticket>,
}

impl Generation<'_> {
    /// Runs the generation; dropping its stream on any way out cancels it at the engine.
    async fn run(&self, req: &CompletionRequest, tx: &mut OutputSender) -> Result<(), HungUp> {
        let attempt = self.attempt;
        let ended = {
            let relaying = pin!(self.relay(req, tx.clone()));
            let planned = pin!(self.process.drain.must_move());
            let hung_up = pin!(tx.hung_up());
            let interrupted = select(planned, hung_up);
            match select(relaying, interrupted).await {
                Either::Left((ended, _)) => ended,
                Either::Right((Either::Left(_), _)) => Ok(WorkMessage::Moved { attempt }),
                Either::Right((Either::Right(_), _)) => Err(HungUp),
            }
        };
        tx.send_last(ended?).await
    }

    /// Relays the pieces and returns the message that ends the conversation.
    async fn relay(
        &self,
        req: &CompletionRequest,
        mut tx: OutputSender,
    ) -> Result<WorkMessage, HungUp> {
        if let Some(ticket) = &self.ticket
            && ticket.started().await.is_err()
        {
            let reason = "the answer can no longer be in time";
            return Ok(failed(Verdict::NotRun, reason));
        }
        let mut stream = match self.engine.complete(req).await {
            Ok(stream) => stream,
            Err(err) => return Ok(failed(err.verdict(), &err.to_string())),
        };
        // The first piece may take long: the prompt has to be read before it.
        let mut patience = self.deadline.saturating_duration_since(Instant::now());
        loop {
            let event = match compio::time::timeout(patience, stream.next()).await {
                Ok(Ok(Some(event))) => event,
                Ok(Ok(None)) => {
                    let reason = "the engine ended without the end of the answer";
                    return Ok(failed(Verdict::MayHaveRun, reason));
                }
                Ok(Err(err)) => return Ok(failed(err.verdict(), &err.to_string())),
                Err(_) => {
                    let reason = "the engine paused for too long";
                    return Ok(failed(Verdict::MayHaveRun, reason));
                }
            };
            match event {
                event if event.request_id() != self.request_id => {
                    let reason = "the engine sent an answer to another request";
                    return Ok(failed(Verdict::MayHaveRun, reason));
                }
                CompletionEvent::Delta {
                    offset,
                    text,
                    tokens,
                    ..
                } => tx.send(self.piece(offset, text, tokens)).await?,
                CompletionEvent::Finish {
                    reason,
                    prompt_tokens,
                    completion_tokens,
                    ..
                } => return Ok(self.end(reason, prompt_tokens, completion_tokens)),
            }
            patience = PIECE_TIMEOUT;
        }
    }

    fn piece(&self, offset: u64, text: String, tokens: u64) -> WorkMessage {
        if let Some(ticket) = &self.ticket {
            ticket.note_piece(Instant::now(), tokens);
        }
        WorkMessage::Piece {
            attempt: self.attempt,
            offset,
            text,
            tokens,
        }
    }

    fn end(&self, finish_reason: String, prompt_tokens: u64, tokens: u64) -> WorkMessage {
        if let Some(ticket) = &self.ticket {
            ticket.note_end(tokens);
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

/// Returns the engine's priority for a deadline: the earlier, the larger.
fn priority(deadline: Instant) -> i64 {
    let left = deadline.saturating_duration_since(Instant::now());
    -(left.as_millis() as i64)
}

async fn call(
    service: &ServiceClient,
    req: PlainRequest,
    deadline: Instant,
    tx: &mut OutputSender,
) -> Result<(), HungUp> {
    let call = Call::new(&req.method, &req.path)
        .headers(req.headers)
        .body(req.body);
    let left = deadline.saturating_duration_since(Instant::now());
    let message = match service.call(call, left).await {
        Ok(answer) => WorkMessage::PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err(err) => failed(err.verdict(), &err.to_string()),
    };
    tx.send_last(message).await
}

fn failed(verdict: Verdict, reason: &str) -> WorkMessage {
    WorkMessage::Failed {
        verdict,
        reason: reason.to_string(),
    }
}
