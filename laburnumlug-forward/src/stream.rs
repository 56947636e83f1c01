//! Requests whose answer is a series of events.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use laburnumlug::Verdict;
use laburnumlug_http::{BodySender, PooledResponse, Response, channel_body};
use laburnumlug_policy::PromptParts;

use crate::dialect::SendStep;
use crate::directory::{Running, TargetHandle};
use crate::engine::{ChosenEngines, EngineSend};
use crate::events::EventSplitter;
use crate::exchange::{Call, SendFailure, SendTerms};
use crate::forwarder::Forwarder;
use crate::refusal::{Cause, Refusal};
use crate::routes::RouteTable;

/// Longest body of an answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Most connections that are tried for one request; a connection that fails has carried nothing.
const MAX_CONNECTS: u32 = 3;

/// Multiple of the predicted time to the first event after which a silent engine is suspected.
const SILENCE_FACTOR: u32 = 2;

/// When a caller may try again; an estimate of the time to read a prompt.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time on top of that; predictions are uncertain by some hundred milliseconds.
const SILENCE_MARGIN: Duration = Duration::from_millis(500);

fn silence_limit(expected: Duration) -> Duration {
    expected * SILENCE_FACTOR + SILENCE_MARGIN
}

/// A request for a stream, with what its attempts share.
struct StreamCall {
    call: Call,
    service: String,
    table: Rc<RouteTable>,
    chain: PromptParts,
    tried: Vec<Rc<TargetHandle>>,
    /// Targets that have seen the request.
    sends: u32,
    /// Engines that were asked only to read the prompt, and have seen the request.
    reads: u32,
}

/// A stream whose first event has come.
struct OpenStream {
    answer: PooledResponse,
    splitter: EventSplitter,
    first: Bytes,
    running: Running,
    engine: EngineSend,
}

/// What one attempt led to.
enum Opened {
    Stream(Box<OpenStream>),
    /// An answer without events, whole.
    Whole(Response),
}

impl Forwarder {
    /// Answers a request for a stream.
    pub(crate) async fn answer_stream(
        self: Rc<Self>,
        call: Call,
        service: &str,
        table: Rc<RouteTable>,
    ) -> Result<Response, Refusal> {
        self.note_request(Instant::now(), service);
        let chain = match &call.facts.prompt {
            Some(prompt) => PromptParts::new(&prompt.model, prompt.parts.iter().copied()),
            None => PromptParts::default(),
        };
        let mut stream = StreamCall {
            call,
            service: service.to_string(),
            table,
            chain,
            tried: Vec::new(),
            sends: 0,
            reads: 0,
        };
        let mut unknown = false;
        loop {
            let failure = match self.open(&mut stream, None).await {
                Ok(Opened::Whole(resp)) => return Ok(resp),
                Ok(Opened::Stream(open)) => {
                    let mut resp = hyper::Response::new(());
                    *resp.headers_mut() = self.dialect.answered(open.answer.headers());
                    *resp.status_mut() = hyper::StatusCode::from_u16(open.answer.status())
                        .unwrap_or(hyper::StatusCode::OK);
                    let (tx, body) = channel_body();
                    compio::runtime::spawn(self.relay(stream, *open, tx)).detach();
                    return Ok(resp.map(|()| body));
                }
                Err(failure) => failure,
            };
            unknown |= failure.verdict != Verdict::NotRun;
            // Without a target there is nothing to try again until one is found.
            let may_repeat =
                failure.cause != Cause::NoTarget && (!unknown || stream.call.route.is_repeatable());
            if may_repeat && self.may_try_again(&stream) {
                continue;
            }
            return Err(match failure.cause.status() {
                503 if unknown => Refusal::new(Cause::AnswerLost, failure.detail),
                _ => failure.refusal().retry_after(RETRY_AFTER),
            });
        }
    }

    /// Returns whether another target may be asked to answer, and counts that it is.
    fn may_try_again(&self, stream: &StreamCall) -> bool {
        let attempts = stream.call.route.attempts;
        let now = Instant::now();
        stream.sends < attempts
            && (stream.tried.len() as u32) < attempts + MAX_CONNECTS
            && !stream.call.time_left(now).is_zero()
            && (stream.sends == 0 || self.take_retry(now, &stream.service))
    }

    /// Sends the request once, until its first event has come.
    async fn open(
        self: &Rc<Self>,
        stream: &mut StreamCall,
        resume_after: Option<String>,
    ) -> Result<Opened, SendFailure> {
        let now = Instant::now();
        let chosen = self.choose(now, stream)?;
        let target = chosen.answering.clone();
        let tried = (target.clone(), chosen.reading.clone());
        let reader = chosen
            .reading
            .as_ref()
            .map_or(String::new(), |r| r.instance.clone());
        let (unread, predicted) = (chosen.unread_tokens, chosen.first_event);
        let waited = now.saturating_duration_since(stream.call.arrived);
        let result = self.open_at(stream, chosen, resume_after).await;
        log::info!(
            request_id = stream.call.facts.id.as_str(), target = target.instance.as_str(),
            reader = reader.as_str(), unread = unread, tokens = stream.chain.tokens(),
            waited_ms = waited.as_millis() as u64, predicted_ms = predicted.as_millis() as u64,
            taken_ms = now.elapsed().as_millis() as u64, opened = result.is_ok();
            "a stream was placed"
        );
        stream.tried.push(match (&result, tried) {
            (
                Err(SendFailure {
                    at_reader: true, ..
                }),
                (_, Some(reader)),
            ) => reader,
            (_, (target, _)) => target,
        });
        match &result {
            Ok(_) => stream.sends += 1,
            Err(failure) => {
                stream.sends += u32::from(failure.arrived && !failure.at_reader);
                log::info!(
                    request_id = stream.call.facts.id.as_str(), target = target.instance.as_str(),
                    cause = failure.cause.as_str(); "a send failed: {}", failure.detail
                );
            }
        }
        result
    }

    fn choose(&self, now: Instant, stream: &StreamCall) -> Result<ChosenEngines, SendFailure> {
        let traits = stream.table.engine(&stream.service);
        let chosen = match (&stream.call.facts.prompt, traits) {
            (Some(prompt), Some(traits)) => self.choose_engines(
                now,
                &self.untried(now, &stream.service, &stream.tried),
                traits,
                &stream.call.route,
                prompt,
                &stream.chain,
            ),
            _ => {
                let target = self.plain_target(now, &stream.service, &stream.tried);
                target.map(|answering| ChosenEngines {
                    answering,
                    reading: None,
                    unread_tokens: 0,
                    first_event: Duration::ZERO,
                    priority: 0,
                })
            }
        };
        chosen.ok_or_else(|| {
            SendFailure::unsent(Cause::NoTarget, "no engine of the service has room")
        })
    }

    async fn open_at(
        self: &Rc<Self>,
        stream: &mut StreamCall,
        mut chosen: ChosenEngines,
        resume_after: Option<String>,
    ) -> Result<Opened, SendFailure> {
        // Reading elsewhere is free once; more of it are further sends, and without them the answering engine reads.
        let is_extra = chosen.reading.is_some() && stream.reads > 0;
        if is_extra && !self.take_retry(Instant::now(), &stream.service) {
            chosen.reading = None;
        }
        let step = match &chosen.reading {
            Some(reader) => {
                let read = self.read_prompt(stream, reader, &chosen).await;
                let arrived = read.as_ref().err().is_none_or(|failure| failure.arrived);
                stream.reads += u32::from(arrived);
                read?
            }
            None => SendStep::Whole,
        };
        let stream = &*stream;
        let call = &stream.call;
        let target = chosen.answering.clone();
        let unread = match step {
            SendStep::Whole => chosen.unread_tokens,
            _ => 0,
        };
        let running = target.enter();
        let mut engine = EngineSend::start(
            self,
            Instant::now(),
            &target,
            &stream.chain,
            unread,
            chosen.priority,
        );
        let expected = match step {
            SendStep::Whole => chosen.first_event,
            _ => Duration::ZERO,
        };
        let terms = SendTerms {
            limit: silence_limit(expected),
            may_give_up: call.route.is_repeatable(),
            priority: Some(chosen.priority),
        };
        let from_handle = matches!(step, SendStep::AnswerFrom { .. });
        let sent = self
            .send(call, &target, step, resume_after.clone(), terms)
            .await;
        let mut answer = match sent {
            // The prompt is gone at its reader; the same engine can read it itself.
            Err(failure)
                if from_handle
                    && failure.cause == Cause::TargetRefused
                    && self.take_retry(Instant::now(), &stream.service) =>
            {
                if let Some(reader) = &chosen.reading {
                    self.note_failure(Instant::now(), reader);
                }
                let terms = SendTerms {
                    limit: silence_limit(call.route.aim),
                    ..terms
                };
                self.send(call, &target, SendStep::Whole, resume_after, terms)
                    .await?
            }
            sent => sent?,
        };
        if answer.status() >= 300 {
            return self.whole(&target, answer).await.map(Opened::Whole);
        }
        let mut splitter = EventSplitter::default();
        loop {
            let left = call.time_left(Instant::now());
            let chunk = match compio::time::timeout(left, answer.chunk()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => {
                    let body = splitter.finish();
                    let resp = self.pass_on(answer.status(), answer.headers(), body);
                    self.pool.recycle(Instant::now(), answer);
                    return Ok(Opened::Whole(resp));
                }
                Ok(Err(err)) => {
                    self.note_failure(Instant::now(), &target);
                    return Err(SendFailure::lost(err.to_string()));
                }
                Err(_) => {
                    return Err(SendFailure::timed_out("no event in time"));
                }
            };
            if let Some(first) = splitter.push(&chunk) {
                engine.note_read(Instant::now());
                target.health.borrow_mut().record_success();
                return Ok(Opened::Stream(Box::new(OpenStream {
                    answer,
                    splitter,
                    first,
                    running,
                    engine,
                })));
            }
        }
    }

    /// Has an engine read the prompt for another one.
    async fn read_prompt(
        self: &Rc<Self>,
        stream: &StreamCall,
        reader: &Rc<TargetHandle>,
        chosen: &ChosenEngines,
    ) -> Result<SendStep, SendFailure> {
        let expected = chosen.first_event;
        let call = &stream.call;
        let _running = reader.enter();
        let mut engine = EngineSend::start(
            self,
            Instant::now(),
            reader,
            &stream.chain,
            chosen.unread_tokens,
            chosen.priority,
        );
        let result = async {
            let terms = SendTerms {
                limit: silence_limit(expected),
                may_give_up: true,
                priority: Some(chosen.priority),
            };
            let sent = self
                .send(call, reader, SendStep::ReadPrompt, None, terms)
                .await;
            let mut answer = sent?;
            let status = answer.status();
            let body = answer.bytes(MAX_ANSWER_BYTES).await;
            let body = body.map_err(|err| SendFailure::lost(err.to_string()))?;
            self.pool.recycle(Instant::now(), answer);
            match self.dialect.prompt_handle(&body) {
                Some(handle) if status == 200 => Ok(handle),
                _ => Err(SendFailure::lost(format!(
                    "no prompt was kept, status {status}"
                ))),
            }
        };
        match result.await {
            Ok(handle) => {
                engine.note_read(Instant::now());
                reader.health.borrow_mut().record_success();
                let source = reader.row.borrow().addr;
                Ok(SendStep::AnswerFrom { source, handle })
            }
            Err(failure) => {
                log::info!(
                    request_id = call.facts.id.as_str(), target = reader.instance.as_str(),
                    cause = failure.cause.as_str(); "the prompt was not read: {}", failure.detail
                );
                // Reading alone does not count as a run, and another engine may do it.
                Err(SendFailure {
                    verdict: Verdict::NotRun,
                    cause: Cause::Unreachable,
                    at_reader: true,
                    ..failure
                })
            }
        }
    }

    /// Reads an answer that is no stream.
    async fn whole(
        &self,
        target: &TargetHandle,
        mut answer: PooledResponse,
    ) -> Result<Response, SendFailure> {
        let body = answer.bytes(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|err| SendFailure::lost(err.to_string()))?;
        let status = answer.status();
        if status >= 500 {
            self.note_failure(Instant::now(), target);
        }
        let resp = self.pass_on(status, answer.headers(), body);
        self.pool.recycle(Instant::now(), answer);
        Ok(resp)
    }

    /// Passes events on until the stream ends, the caller leaves, or its time is over.
    async fn relay(self: Rc<Self>, mut stream: StreamCall, open: OpenStream, mut tx: BodySender) {
        let OpenStream {
            mut answer,
            mut splitter,
            first,
            mut running,
            mut engine,
        } = open;
        let id = stream.call.facts.id.clone();
        if tx.send(first).await.is_err() {
            return;
        }
        loop {
            let left = stream.call.time_left(Instant::now());
            let next = {
                let mut chunk = Box::pin(answer.chunk()).fuse();
                let mut closed = Box::pin(tx.closed()).fuse();
                let mut expired = Box::pin(compio::time::sleep(left)).fuse();
                futures_util::select_biased! {
                    chunk = chunk => Some(chunk),
                    () = closed => return,
                    () = expired => None,
                }
            };
            let broken = match next {
                Some(Ok(Some(chunk))) => {
                    let events = splitter.push(&chunk).unwrap_or_default();
                    if !events.is_empty() && tx.send(events).await.is_err() {
                        return;
                    }
                    continue;
                }
                Some(Ok(None)) => {
                    let rest = splitter.finish();
                    drop(engine);
                    if rest.is_empty() || tx.send(rest).await.is_ok() {
                        self.pool.recycle(Instant::now(), answer);
                    }
                    return;
                }
                Some(Err(err)) => err.to_string(),
                None => {
                    log::info!(request_id = id.as_str(), cause = Cause::TimedOut.as_str();
                        "the stream was broken off: its time is over");
                    self.observe(|observer| observer.stream_broken());
                    return tx.abort();
                }
            };
            let target = running.target.clone();
            self.note_failure(Instant::now(), &target);
            splitter.drop_partial();
            let resumed = self.resume(&mut stream, &splitter).await;
            log::info!(
                request_id = id.as_str(), target = target.instance.as_str(),
                resumed = resumed.is_some(); "the stream broke: {broken}"
            );
            let Some(next) = resumed else {
                self.observe(|observer| observer.stream_broken());
                return tx.abort();
            };
            answer = next.answer;
            running = next.running;
            engine = next.engine;
            let last_id = next.splitter.last_id().or(splitter.last_id()).cloned();
            splitter = next.splitter;
            splitter.set_last_id(last_id);
            if tx.send(next.first).await.is_err() {
                return;
            }
        }
    }

    /// Continues a broken stream at another target behind the last whole event.
    async fn resume(
        self: &Rc<Self>,
        stream: &mut StreamCall,
        splitter: &EventSplitter,
    ) -> Option<OpenStream> {
        let last_id = splitter.last_id()?.clone();
        if !stream.call.route.is_repeatable() {
            return None;
        }
        while self.may_try_again(stream) {
            match self.open(stream, Some(last_id.clone())).await {
                Ok(Opened::Stream(open)) => return Some(*open),
                // Another answer than a stream cannot be joined to one.
                Ok(Opened::Whole(_)) => return None,
                Err(failure) if failure.cause == Cause::NoTarget => return None,
                Err(_) => {}
            }
        }
        None
    }
}
