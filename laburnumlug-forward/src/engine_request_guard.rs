//! Tracking of one prompt that this process sends to an engine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{BootTime, EngineEvent, SendNumber, StreamOrigin};
use laburnumlug_policy::{
    DECODE_START_TIME, FIRST_TOKEN_OVERHEAD, PromptParts, RunId, RunningRequest, Suspect,
    prefill_work,
};

use crate::attempt::CallerRequest;
use crate::customer_shares::{SentWork, customer_of};
use crate::engine_requests::LOCAL_SENDER;
use crate::engine_watch::EventWait;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Tracks a prompt that was sent to an engine; dropping the guard publishes that the request ended.
pub(crate) struct EngineRequestGuard {
    forwarder: Rc<Forwarder>,
    target: Rc<TargetHandle>,
    number: SendNumber,
    prompt_parts: PromptParts,
    suspects: Vec<Suspect>,
    /// The request among those that the target runs; `None` if the engine only prefills the prompt.
    run: Option<RunId>,
    /// When the engine has decoded the prompt for long enough to clear the request's suspects, and it has not been recorded.
    cleared_at: Cell<Option<Instant>>,
    /// Tokens that the request may use in the engine's memory.
    memory_tokens: u64,
    sent_at: Instant,
    predicted_prefill: Duration,
    /// Whether the engine prefills the prompt, and has not done so yet.
    adds_parts: bool,
    is_prefilled: bool,
    is_complete: bool,
    /// The stream that the engine is to generate; `None` if it only prefills the prompt, or if all targets of the service
    /// have the same software version.
    stream: Option<StreamOrigin>,
    /// Work that counts towards the customer's share; `None` for a request without a customer.
    sent_work: Option<SentWork>,
    /// Share of the engine's slots or memory that the request holds while it decodes; `None` if the engine only prefills
    /// the prompt.
    decode_share: Option<f64>,
}

impl EngineRequestGuard {
    /// Records and publishes that a prompt is sent. The engine has to prefill `uncached_tokens` of it, and decoding
    /// holds `decode_share` of the engine; it is `None` if the engine only prefills the prompt.
    pub(crate) fn start(
        forwarder: &Rc<Forwarder>,
        now: Instant,
        target: &Rc<TargetHandle>,
        request: &CallerRequest,
        uncached_tokens: u64,
        priority: u8,
        decode_share: Option<f64>,
    ) -> EngineRequestGuard {
        let prompt_parts = &request.prompt_parts;
        let engine_requests = &forwarder.engine_requests;
        let number = engine_requests.last_number.get() + 1;
        engine_requests.last_number.set(number);
        let work = prefill_work(uncached_tokens, prompt_parts.tokens());
        let tokens = prompt_parts.tokens();
        let expected_start = forwarder.expected_start(now, target, priority, work, tokens);
        let mut prefill_queue = target.prefill_queue.borrow_mut();
        let predicted_prefill =
            prefill_queue.waiting_time(now, priority) + prefill_queue.prefill_time(work);
        prefill_queue.enqueue(now, (LOCAL_SENDER, number), priority, work);
        let adds_parts = uncached_tokens > 0;
        if adds_parts {
            let mut pending_parts = target.pending_parts.borrow_mut();
            pending_parts.add(prompt_parts, priority);
        }
        let service = target.listing.borrow().service.clone();
        let prefill_time = target.prefill_engine_time(prefill_queue.prefill_time(work));
        engine_requests
            .demand
            .add_prefill(now, &service, prefill_time);
        let output_tokens = match (decode_share, &request.metadata.prompt) {
            (Some(_), Some(prompt)) => prompt.output_tokens,
            _ => 0,
        };
        let memory_tokens = prompt_parts.tokens().saturating_add(output_tokens);
        target.memory.borrow_mut().assign(memory_tokens);
        let held_share = decode_share.unwrap_or_default();
        engine_requests.demand.hold(now, &service, held_share);
        let generates_stream =
            decode_share.is_some() && forwarder.needs_origins(BootTime::now(), &service);
        let stream = generates_stream.then(|| StreamOrigin {
            stream: request.stream_id(),
            software: target.listing.borrow().software.clone(),
        });
        if let Some(origin) = &stream {
            forwarder.record_stream_sent(now, origin);
        }
        drop(prefill_queue);
        let customer = customer_of(request);
        let sent_work = customer.map(|customer| {
            let shares = &engine_requests.shares;
            shares.record_sent(now, target, customer, work, decode_share)
        });
        let event = EngineEvent::PromptSent {
            number,
            engine: target.instance.clone(),
            work,
            priority,
            parts: prompt_parts.parts().to_vec(),
            output_tokens,
            stream: stream.clone(),
            customer,
        };
        engine_requests
            .local
            .borrow_mut()
            .insert(number, event.clone());
        engine_requests.publish(event);
        target.own_requests.set(target.own_requests.get() + 1);
        let suspects = request.suspects();
        let run = decode_share.map(|_| {
            let running = RunningRequest::new(now, suspects.clone(), expected_start);
            target.running.borrow_mut().begin(running)
        });
        EngineRequestGuard {
            forwarder: forwarder.clone(),
            target: target.clone(),
            number,
            prompt_parts: prompt_parts.clone(),
            suspects,
            run,
            cleared_at: Cell::default(),
            memory_tokens,
            sent_at: now,
            predicted_prefill,
            adds_parts,
            is_prefilled: false,
            is_complete: false,
            stream,
            sent_work,
            decode_share,
        }
    }

    /// Records and publishes that the engine has prefilled the prompt and caches it.
    pub(crate) fn mark_prefilled(&mut self, now: Instant) {
        self.is_prefilled = true;
        self.remove_pending_parts();
        self.forwarder.record_sign_of_life(now, &self.target);
        let taken = now.saturating_duration_since(self.sent_at);
        let id = (LOCAL_SENDER, self.number);
        let mut prefill_queue = self.target.prefill_queue.borrow_mut();
        let expected = self.predicted_prefill + prefill_queue.overtaken_time(id);
        let delay = taken.saturating_sub(expected + FIRST_TOKEN_OVERHEAD);
        prefill_queue.complete(now, id, FIRST_TOKEN_OVERHEAD);
        prefill_queue.record_delay(now, delay);
        self.target.kv_cache.borrow_mut().insert(&self.prompt_parts);
        let number = self.number;
        self.forwarder
            .engine_requests
            .publish(EngineEvent::PrefillDone { number });
    }

    fn remove_pending_parts(&mut self) {
        if std::mem::take(&mut self.adds_parts) {
            let mut pending_parts = self.target.pending_parts.borrow_mut();
            pending_parts.remove(&self.prompt_parts);
        }
    }

    /// Records that the first event of the answer has arrived, for which the prompt was prefilled.
    pub(crate) fn mark_decoding(&mut self, now: Instant) {
        if let Some(run) = self.run {
            self.target.running.borrow_mut().mark_decoding(now, run);
            self.cleared_at.set(Some(now + DECODE_START_TIME));
        }
        if let Some(origin) = &self.stream {
            self.forwarder.record_stream_begun(now, origin);
        }
        self.mark_prefilled(now);
    }

    /// Counts the stream as one whose next event is awaited until the returned guard is dropped.
    pub(crate) fn await_event(&self) -> EventWait {
        EventWait::new(self.target.clone())
    }

    /// Records that a part of the answer has arrived.
    pub(crate) fn record_event(&self, now: Instant) {
        self.forwarder.record_event(now, &self.target);
        if self.cleared_at.get().is_some_and(|at| at <= now) {
            self.cleared_at.set(None);
            self.forwarder.record_completion(now, &self.suspects);
        }
    }

    /// Records that the engine has not run the request.
    pub(crate) fn mark_not_run(&mut self) {
        self.suspects.clear();
    }

    /// Records that the answer is complete.
    pub(crate) fn mark_complete(&mut self, now: Instant) {
        self.is_complete = true;
        self.forwarder.record_completion(now, &self.suspects);
    }
}

impl Drop for EngineRequestGuard {
    fn drop(&mut self) {
        self.target
            .own_requests
            .set(self.target.own_requests.get() - 1);
        self.remove_pending_parts();
        let (number, is_complete) = (self.number, self.is_complete);
        if !self.is_prefilled {
            let mut prefill_queue = self.target.prefill_queue.borrow_mut();
            prefill_queue.cancel(Instant::now(), (LOCAL_SENDER, number));
        }
        let engine_requests = &self.forwarder.engine_requests;
        let now = Instant::now();
        let mut memory = self.target.memory.borrow_mut();
        match self.decode_share.is_none() && self.is_prefilled {
            true => memory.keep_handle(now, self.memory_tokens),
            false => memory.release(self.memory_tokens),
        }
        let run = self
            .run
            .and_then(|run| self.target.running.borrow_mut().end(run));
        let may_have_run = !self.suspects.is_empty() && !is_complete;
        if let Some(run) = run.filter(|run| may_have_run && !run.has_outlasted_start(now)) {
            let mut unfinished = self.target.unfinished_requests.borrow_mut();
            unfinished.push(now, run);
        }
        if let Some(origin) = &self.stream {
            self.forwarder.record_stream_end(now, origin, is_complete);
        }
        let held_for = now.saturating_duration_since(self.sent_at);
        let service = &self.target.listing.borrow().service;
        engine_requests.demand.release(
            now,
            service,
            self.decode_share.unwrap_or_default(),
            held_for,
        );
        if let Some(sent_work) = self.sent_work {
            let shares = &engine_requests.shares;
            shares.record_ended(now, &self.target, sent_work);
        }
        engine_requests.local.borrow_mut().remove(&number);
        engine_requests.publish(EngineEvent::RequestEnded {
            number,
            is_complete,
        });
    }
}
