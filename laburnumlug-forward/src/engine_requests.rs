//! Requests to engines, of this process and of other gateways, and the events by which they learn of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{BootTime, CustomerId, DemandReport, EngineEvent, SendNumber, StreamOrigin};
use laburnumlug_policy::{
    FIRST_TOKEN_OVERHEAD, PrefillId, PromptParts, RunId, RunningRequest, cache_reports,
};

use crate::crash_reports::{join_suspects, reported_suspects};
use crate::customer_shares::{SentWork, ServiceShares};
use crate::demand::DemandTotals;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Sender id under which this process tracks its own requests.
pub(crate) const LOCAL_SENDER: u64 = 0;

/// Maximum work of a prompt that another gateway reports; prompts of a million tokens have a hundredth of it. Sums of larger
/// numbers could overflow.
const MAX_REMOTE_WORK: u64 = 1_000_000_000;

/// Publishes the engine events of this process to other gateways.
pub trait EventSink {
    /// Queues an event for the other gateways, without waiting for its delivery.
    fn publish(&self, event: EngineEvent);

    /// Returns the latest time at which an event of another gateway may not have arrived, or `None` if all have.
    fn events_missing_at(&self, now: BootTime) -> Option<BootTime>;
}

/// An unfinished request to an engine that another gateway reported.
struct RemoteRequest {
    target: Rc<TargetHandle>,
    prompt_parts: PromptParts,
    work: u64,
    priority: u8,
    output_tokens: u64,
    is_prefilled: bool,
    stream: Option<StreamOrigin>,
    customer: Option<CustomerId>,
    sent_work: Option<SentWork>,
    run: RunId,
}

impl RemoteRequest {
    /// Returns the tokens that the request may use in the engine's memory.
    fn memory_tokens(&self) -> u64 {
        let prompt_tokens = self.prompt_parts.tokens();
        prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Removes the parts that the request was to add to the engine's cache, unless it only decodes a prompt.
    fn remove_pending_parts(&self) {
        if self.work > 0 {
            let mut pending_parts = self.target.pending_parts.borrow_mut();
            pending_parts.remove(&self.prompt_parts);
        }
    }

    /// Records that the engine no longer processes the request.
    fn end(&self, now: Instant, id: PrefillId) {
        let target = &self.target;
        if !self.is_prefilled {
            self.remove_pending_parts();
        }
        target.prefill_queue.borrow_mut().cancel(now, id);
        target.in_flight.set(target.in_flight.get() - 1);
        target.running.borrow_mut().end(self.run);
        let mut memory = target.memory.borrow_mut();
        match self.is_prefilled && self.output_tokens == 0 {
            true => memory.keep_handle(now, self.memory_tokens()),
            false => memory.release(self.memory_tokens()),
        }
    }

    /// Returns the event that announced the request.
    fn event(&self, number: SendNumber) -> EngineEvent {
        EngineEvent::PromptSent {
            number,
            engine: self.target.instance.clone(),
            work: self.work,
            priority: self.priority,
            parts: self.prompt_parts.parts().to_vec(),
            output_tokens: self.output_tokens,
            stream: self.stream.clone(),
            customer: self.customer,
        }
    }
}

/// Requests to engines, of this process and of other gateways.
pub(crate) struct EngineRequests {
    sink: RefCell<Option<Rc<dyn EventSink>>>,
    pub(crate) last_number: Cell<SendNumber>,
    /// Unfinished requests of this process, as the events that announced them.
    pub(crate) local: RefCell<HashMap<SendNumber, EngineEvent>>,
    /// Unfinished requests of other gateways, by sender id and send number.
    remote: RefCell<HashMap<(u64, SendNumber), RemoteRequest>>,
    pub(crate) demand: DemandTotals,
    /// Shares of customers, which are empty if no request has one.
    pub(crate) shares: ServiceShares,
}

impl EngineRequests {
    /// Creates an empty set for a process with a random id.
    pub(crate) fn new() -> EngineRequests {
        EngineRequests {
            sink: RefCell::default(),
            last_number: Cell::default(),
            local: RefCell::default(),
            remote: RefCell::default(),
            demand: DemandTotals::new(rand::random()),
            shares: ServiceShares::default(),
        }
    }

    /// Returns the latest time at which events of other gateways may not have arrived; see
    /// [`EventSink::events_missing_at`].
    pub(crate) fn reports_missing_at(&self, now: BootTime) -> Option<BootTime> {
        self.sink.borrow().as_ref()?.events_missing_at(now)
    }

    pub(crate) fn publish(&self, event: EngineEvent) {
        if let Some(sink) = &*self.sink.borrow() {
            sink.publish(event);
        }
    }
}

impl Forwarder {
    /// Sets the sink for the engine events of this process.
    pub fn set_event_sink(&self, sink: Rc<dyn EventSink>) {
        *self.engine_requests.sink.borrow_mut() = Some(sink);
    }

    /// Returns the engine time that the requests of this process have used.
    pub fn demand_report(&self, now: Instant) -> DemandReport {
        self.engine_requests.demand.report(now)
    }

    /// Returns the events that bring a newly connected gateway up to date about the requests of this one, the crashes of
    /// targets and their statements.
    ///
    /// Includes the long lists of what most gateways know if `includes_shared_state`: the rates and cached prompts of all engines
    /// and the streams that callers may resume. Otherwise it includes the largest cached parts of recently inspected engines.
    pub fn engine_snapshot(&self, now: Instant, includes_shared_state: bool) -> Vec<EngineEvent> {
        let engines_with_known_cache = self.engines().into_iter().filter(|target| {
            let is_included = includes_shared_state || self.has_recent_inspection(now, target);
            target.is_cache_known.get() && is_included
        });
        let cache_contents = engines_with_known_cache.filter_map(|target| {
            let parts = target.kv_cache.borrow().parts();
            let engine = target.instance.clone();
            let parts = match includes_shared_state {
                true => parts,
                false => cache_reports(parts).into_iter().next()?,
            };
            Some(EngineEvent::CacheContents { engine, parts })
        });
        let rates = self.engines().into_iter().filter_map(|target| {
            let tokens_per_s = target.prefill_queue.borrow().measured_rate();
            Some(EngineEvent::PrefillRate {
                engine: target.instance.clone(),
                tokens_per_s: tokens_per_s.filter(|_| includes_shared_state)?,
            })
        });
        let stream_events = match includes_shared_state {
            true => self.stream_events(now),
            false => Vec::new(),
        };
        let local = self.engine_requests.local.borrow();
        rates
            .chain(cache_contents)
            .chain(self.crash_events(now))
            .chain(self.statement_events(now))
            .chain(stream_events)
            .chain(local.values().cloned())
            .collect()
    }

    /// Returns the events that announced the unfinished requests of another gateway.
    pub fn sender_snapshot(&self, sender: u64) -> Vec<EngineEvent> {
        let remote = self.engine_requests.remote.borrow();
        let requests = remote.iter().filter(|((from, _), _)| *from == sender);
        requests
            .map(|((_, number), request)| request.event(*number))
            .collect()
    }

    /// Applies an engine event of another gateway. An event about a target that is not listed is ignored, unless the target
    /// is leaving.
    pub fn apply_engine_event(&self, now: Instant, sender: u64, event: EngineEvent) {
        let mut remote = self.engine_requests.remote.borrow_mut();
        match event {
            EngineEvent::PromptSent {
                number,
                engine,
                work,
                priority,
                parts,
                output_tokens,
                stream,
                customer,
            } => {
                if let Some(origin) = &stream {
                    self.record_stream_sent(now, origin);
                }
                let Some(target) = self.live_target(&engine) else {
                    return;
                };
                let work = work.min(MAX_REMOTE_WORK);
                let prompt_parts = PromptParts::from_parts(parts);
                let expected_start =
                    self.expected_start(now, &target, priority, work, prompt_parts.tokens());
                let running = RunningRequest::new(now, prompt_parts.suspects(), expected_start);
                let run = target.running.borrow_mut().begin(running);
                target
                    .prefill_queue
                    .borrow_mut()
                    .enqueue(now, (sender, number), priority, work);
                target.in_flight.set(target.in_flight.get() + 1);
                let sent_work = customer.map(|customer| {
                    let decode_share = self.remote_decode_share(&target, &prompt_parts);
                    let shares = &self.engine_requests.shares;
                    shares.record_sent(now, &target, customer, work, decode_share)
                });
                if work > 0 {
                    let mut pending_parts = target.pending_parts.borrow_mut();
                    pending_parts.add(&prompt_parts, priority);
                }
                let request = RemoteRequest {
                    target,
                    prompt_parts,
                    work,
                    priority,
                    output_tokens,
                    is_prefilled: false,
                    stream,
                    customer,
                    sent_work,
                    run,
                };
                let mut memory = request.target.memory.borrow_mut();
                memory.assign(request.memory_tokens());
                drop(memory);
                if let Some(replaced) = remote.insert((sender, number), request) {
                    self.release_share(now, &replaced);
                    replaced.target.running.borrow_mut().end(replaced.run);
                }
            }
            EngineEvent::PrefillDone { number } => {
                if let Some(request) = remote.get_mut(&(sender, number)) {
                    if !std::mem::replace(&mut request.is_prefilled, true) {
                        request.remove_pending_parts();
                        let mut running = request.target.running.borrow_mut();
                        running.mark_decoding(now, request.run);
                    }
                    self.record_sign_of_life(now, &request.target);
                    let mut prefill_queue = request.target.prefill_queue.borrow_mut();
                    prefill_queue.complete(now, (sender, number), FIRST_TOKEN_OVERHEAD);
                    request
                        .target
                        .kv_cache
                        .borrow_mut()
                        .insert(&request.prompt_parts);
                    if let Some(origin) = &request.stream {
                        self.record_stream_begun(now, origin);
                    }
                }
            }
            EngineEvent::RequestEnded {
                number,
                is_complete,
            } => {
                if let Some(request) = remote.remove(&(sender, number)) {
                    self.release_share(now, &request);
                    if is_complete {
                        self.record_sign_of_life(now, &request.target);
                        self.record_remote_completion(now, &request.prompt_parts.suspects());
                    }
                    if let Some(origin) = &request.stream {
                        self.record_stream_end(now, origin, is_complete);
                    }
                    request.end(now, (sender, number));
                }
            }
            EngineEvent::TargetEjected { target } => {
                if let Some(target) = self.live_target(&target) {
                    let mut health = target.health.borrow_mut();
                    health.record_peer_ejection(now, sender);
                }
            }
            EngineEvent::HealthChanged { engine, serves } => {
                if let Some(target) = self.live_target(&engine) {
                    match serves {
                        true => {
                            target.health.borrow_mut().clear_suspicion();
                            self.record_sign_of_life(now, &target);
                        }
                        false => target.mark_suspected(now),
                    }
                }
            }
            EngineEvent::RequestLimit {
                target,
                requests_per_1000_s,
                age_ms,
            } => {
                if let Some(target) = self.live_target(&target) {
                    let age = Duration::from_millis(age_ms);
                    let stated_at = now.checked_sub(age).unwrap_or(now);
                    self.apply_limit(stated_at, &target, requests_per_1000_s);
                }
            }
            EngineEvent::RequestReserved { target } => {
                if let Some(target) = self.live_target(&target) {
                    target.status.borrow_mut().limit.reserve(now);
                }
            }
            EngineEvent::TargetLeaving { target } => {
                match self.live_target(&target) {
                    Some(target) if self.record_leaving(now, &target) => log::info!(
                        target = target.instance.as_str();
                        "another gateway reports that the target is leaving: it gets no new requests"
                    ),
                    Some(_) => {}
                    // The events of other gateways may arrive before the first list.
                    None => self.record_departed(now, &target),
                }
            }
            EngineEvent::TargetCrashed {
                target,
                age_ms,
                parts,
                contents,
                progress,
            } => {
                let age = Duration::from_millis(age_ms);
                let suspects = reported_suspects(parts, contents, progress);
                self.record_remote_crash(now, &target, age, suspects);
                if let Some(target) = self.live_target(&target) {
                    self.report_unfinished_requests(now, &target, age);
                }
            }
            EngineEvent::SuspectsCleared { parts, contents } => {
                self.record_remote_completion(now, &join_suspects(parts, contents));
            }
            EngineEvent::SuspectsTested { parts, contents } => {
                let mut crash_attribution = self.crash_attribution.borrow_mut();
                crash_attribution.record_remote_trial(now, &join_suspects(parts, contents));
            }
            EngineEvent::PrefillRate {
                engine,
                tokens_per_s,
            } => {
                if let Some(target) = self.live_target(&engine) {
                    let mut prefill_queue = target.prefill_queue.borrow_mut();
                    prefill_queue.record_reported_rate(tokens_per_s);
                }
            }
            EngineEvent::CacheContents { engine, parts } => {
                if let Some(target) = self.live_target(&engine) {
                    target.is_cache_known.set(true);
                    let mut kv_cache = target.kv_cache.borrow_mut();
                    for (part, tokens) in parts.into_iter().rev() {
                        kv_cache.insert_least_recent(part, tokens);
                    }
                }
            }
        }
    }

    /// Records that the work of a customer's request has ended.
    fn release_share(&self, now: Instant, request: &RemoteRequest) {
        if let Some(sent_work) = request.sent_work {
            let shares = &self.engine_requests.shares;
            shares.record_ended(now, &request.target, sent_work);
        }
    }

    /// Removes the unfinished requests of another gateway, as it can no longer report that they end.
    pub fn remove_sender(&self, now: Instant, sender: u64) {
        let mut remote = self.engine_requests.remote.borrow_mut();
        remote.retain(|(from, number), request| {
            if *from == sender {
                self.release_share(now, request);
                if let Some(origin) = &request.stream {
                    self.record_stream_lost(now, origin);
                }
                request.end(now, (*from, *number));
            }
            *from != sender
        });
    }
}
