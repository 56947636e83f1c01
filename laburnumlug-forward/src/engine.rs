//! Choice of engines for prompts, and what is told to other processes that choose.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{EngineEvent, EngineTraits, Role, SendNumber};
use laburnumlug_policy::{
    EngineView, FIRST_TOKEN_OVERHEAD, LATE_PRIORITY, PromptParts, PromptView, place_prompt,
    prefill_priority, prefill_work,
};

use rand::Rng;

use crate::dialect::PromptFacts;
use crate::directory::TargetHandle;
use crate::forwarder::Forwarder;
use crate::routes::RouteRow;

/// Sender number of this process in its own view.
const OWN: u64 = 0;

/// Share of an engine's memory that its kept prompts are taken to fill; requests in progress need the rest.
const CACHE_SHARE: f64 = 0.8;

/// Time that a failed send costs a caller, about: it is found out and another engine reads the prompt.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Longest time by which engines that seem equal differ; about two requests in progress weigh as much.
const LONGEST_JITTER: Duration = Duration::from_millis(1);

/// Processes that tell one that has just started what the engines hold; one of them may be about to stop.
///
/// The one that is told may be counted among them.
const VIEW_TELLERS: usize = 3;

/// Engines that are to serve a prompt.
pub(crate) struct ChosenEngines {
    pub(crate) answering: Rc<TargetHandle>,
    /// Engine that reads the prompt first, where that is another one.
    pub(crate) reading: Option<Rc<TargetHandle>>,
    pub(crate) unread_tokens: u64,
    pub(crate) first_event: Duration,
    /// Urgency at the engine that reads.
    pub(crate) priority: u8,
}

/// Takes what this process does with engines, to tell it to others.
pub trait EventSink {
    /// Tells one event.
    fn tell(&self, event: EngineEvent);
}

/// A send that another process has told of.
struct ForeignSend {
    target: Rc<TargetHandle>,
    chain: PromptParts,
}

/// What is known of sends to engines.
#[derive(Default)]
pub(crate) struct Ledger {
    sink: RefCell<Option<Rc<dyn EventSink>>>,
    last_number: Cell<SendNumber>,
    /// Own sends that have not ended, as they were told.
    own: RefCell<HashMap<SendNumber, EngineEvent>>,
    foreign: RefCell<HashMap<(u64, SendNumber), ForeignSend>>,
}

impl Ledger {
    pub(crate) fn tell(&self, event: EngineEvent) {
        if let Some(sink) = &*self.sink.borrow() {
            sink.tell(event);
        }
    }
}

/// A prompt at an engine; dropping it ends the request there.
pub(crate) struct EngineSend {
    forwarder: Rc<Forwarder>,
    target: Rc<TargetHandle>,
    number: SendNumber,
    chain: PromptParts,
    sent_at: Instant,
    predicted: Duration,
    is_read: bool,
}

impl EngineSend {
    /// Notes that a prompt is sent, of which the engine has to read `unread` tokens.
    pub(crate) fn start(
        forwarder: &Rc<Forwarder>,
        now: Instant,
        target: &Rc<TargetHandle>,
        chain: &PromptParts,
        unread: u64,
        priority: u8,
    ) -> EngineSend {
        let ledger = &forwarder.ledger;
        let number = ledger.last_number.get() + 1;
        ledger.last_number.set(number);
        let work = prefill_work(unread, chain.tokens());
        let mut reading = target.reading.borrow_mut();
        let predicted = reading.waiting_time(now, priority) + reading.prefill_time(work);
        reading.enqueue(now, (OWN, number), priority, work);
        let event = EngineEvent::PromptSent {
            number,
            engine: target.instance.clone(),
            work,
            priority,
            parts: chain.parts().to_vec(),
        };
        ledger.own.borrow_mut().insert(number, event.clone());
        ledger.tell(event);
        EngineSend {
            forwarder: forwarder.clone(),
            target: target.clone(),
            number,
            chain: chain.clone(),
            sent_at: now,
            predicted,
            is_read: false,
        }
    }

    /// Notes that the prompt was read.
    pub(crate) fn note_read(&mut self, now: Instant) {
        self.is_read = true;
        let taken = now.saturating_duration_since(self.sent_at);
        let delay = taken.saturating_sub(self.predicted + FIRST_TOKEN_OVERHEAD);
        let mut reading = self.target.reading.borrow_mut();
        reading.complete(now, (OWN, self.number), FIRST_TOKEN_OVERHEAD);
        reading.record_delay(now, delay);
        self.target.cache.borrow_mut().insert(&self.chain);
        let number = self.number;
        self.forwarder
            .ledger
            .tell(EngineEvent::PrefillDone { number });
    }
}

impl Drop for EngineSend {
    fn drop(&mut self) {
        let number = self.number;
        if !self.is_read {
            let mut reading = self.target.reading.borrow_mut();
            reading.cancel(Instant::now(), (OWN, number));
        }
        let ledger = &self.forwarder.ledger;
        ledger.own.borrow_mut().remove(&number);
        ledger.tell(EngineEvent::RequestEnded { number });
    }
}

impl Forwarder {
    /// Sets who takes what this process does with engines.
    pub fn set_event_sink(&self, sink: Rc<dyn EventSink>) {
        *self.ledger.sink.borrow_mut() = Some(sink);
    }

    /// Returns what another process has to know when it is first spoken to.
    ///
    /// What engines hold is much to tell, so only those processes do that come first for `addr`.
    pub fn engine_events(&self, addr: SocketAddr) -> Vec<EngineEvent> {
        let rank = self.duty_rank(&addr.to_string());
        let tells = rank.is_none_or(|rank| rank < VIEW_TELLERS);
        let known = self
            .engines()
            .into_iter()
            .filter(|target| tells && target.is_inspected.get());
        let holds = known.map(|target| EngineEvent::CacheContents {
            engine: target.instance.clone(),
            parts: target.cache.borrow().parts(),
        });
        let own = self.ledger.own.borrow();
        holds.chain(own.values().cloned()).collect()
    }

    /// Takes what another process did with an engine.
    pub fn note_engine_event(&self, now: Instant, sender: u64, event: EngineEvent) {
        let mut foreign = self.ledger.foreign.borrow_mut();
        match event {
            EngineEvent::PromptSent {
                number,
                engine,
                work,
                priority,
                parts,
            } => {
                let Some(target) = self.target(&engine) else {
                    return;
                };
                target
                    .reading
                    .borrow_mut()
                    .enqueue(now, (sender, number), priority, work);
                target.running.set(target.running.get() + 1);
                let chain = PromptParts::from_parts(parts);
                foreign.insert((sender, number), ForeignSend { target, chain });
            }
            EngineEvent::PrefillDone { number } => {
                if let Some(send) = foreign.get(&(sender, number)) {
                    let mut reading = send.target.reading.borrow_mut();
                    reading.complete(now, (sender, number), FIRST_TOKEN_OVERHEAD);
                    send.target.cache.borrow_mut().insert(&send.chain);
                }
            }
            EngineEvent::RequestEnded { number } => {
                if let Some(send) = foreign.remove(&(sender, number)) {
                    send.target
                        .reading
                        .borrow_mut()
                        .cancel(now, (sender, number));
                    send.target.running.set(send.target.running.get() - 1);
                }
            }
            EngineEvent::TargetEjected { target } => {
                if let Some(target) = self.target(&target) {
                    let mut health = target.health.borrow_mut();
                    health.record_peer_ejection(now, sender);
                }
            }
            EngineEvent::HealthChanged { engine, serves } => {
                if let Some(target) = self.target(&engine) {
                    let mut health = target.health.borrow_mut();
                    match serves {
                        true => health.clear_suspicion(),
                        false => health.mark_suspected(now),
                    }
                }
            }
            EngineEvent::CacheContents { engine, parts } => {
                if let Some(target) = self.target(&engine) {
                    target.is_inspected.set(true);
                    let mut cache = target.cache.borrow_mut();
                    for (chain, tokens) in parts.into_iter().rev() {
                        cache.insert_least_recent(chain, tokens);
                    }
                }
            }
        }
    }

    /// Forgets what another process has unfinished, as it is not heard any more.
    pub fn forget_sender(&self, now: Instant, sender: u64) {
        let mut foreign = self.ledger.foreign.borrow_mut();
        foreign.retain(|(from, number), send| {
            if *from == sender {
                send.target
                    .reading
                    .borrow_mut()
                    .cancel(now, (*from, *number));
                send.target.running.set(send.target.running.get() - 1);
            }
            *from != sender
        });
    }

    /// Chooses the engines for a prompt among `targets`.
    pub(crate) fn choose_engines(
        &self,
        now: Instant,
        targets: &[Rc<TargetHandle>],
        traits: &EngineTraits,
        route: &RouteRow,
        prompt: &PromptFacts,
        chain: &PromptParts,
    ) -> Option<ChosenEngines> {
        let memory = (traits.memory_tokens.get() as f64 * CACHE_SHARE) as u64;
        let views: Vec<EngineView> = targets
            .iter()
            .map(|target| {
                let row = target.row.borrow();
                let reading = target.reading.borrow();
                target.cache.borrow_mut().resize(memory);
                let cached_tokens = target.cache.borrow().matched_tokens(chain);
                let unread = prompt.prompt_tokens.saturating_sub(cached_tokens);
                let work = prefill_work(unread, prompt.prompt_tokens);
                let priority = prefill_priority(route.rank, work);
                EngineView {
                    instance: target.instance.clone(),
                    role: row.role.unwrap_or(Role::Mixed),
                    is_same_zone: row.zone == self.cfg.zone,
                    queue_wait: reading.waiting_time(now, priority)
                        + FAILURE_DELAY.mul_f64(target.health.borrow().failure_rate()),
                    prefill_rate: reading.rate(),
                    cached_tokens,
                    running: target.running.get(),
                    slots: row.slots.max(1),
                    jitter: rand::rng().random_range(Duration::ZERO..LONGEST_JITTER),
                }
            })
            .collect();
        let own = chain.parts().last().map_or(0, |part| part.1);
        let view = PromptView {
            affinity_part: chain.affinity_part(),
            tokens: prompt.prompt_tokens,
            shared_tokens: chain.tokens().saturating_sub(own),
            ttft_objective: route.aim,
            kv_transfer_time_per_token: move_time_per_token(traits),
        };
        let placed = place_prompt(&view, &views)?;
        let work = prefill_work(placed.uncached_tokens, prompt.prompt_tokens);
        let priority = match placed.is_late(route.aim) {
            true => LATE_PRIORITY,
            false => prefill_priority(route.rank, work),
        };
        Some(ChosenEngines {
            answering: targets[placed.decode_engine].clone(),
            reading: placed.prefill_engine.map(|i| targets[i].clone()),
            unread_tokens: placed.uncached_tokens,
            first_event: placed.time_to_first_token,
            priority,
        })
    }
}

/// Returns the time to move one token between two engines of a zone; `None` where prompts do not move.
fn move_time_per_token(traits: &EngineTraits) -> Option<Duration> {
    let bits = traits.token_bytes as f64 * 8.0;
    let seconds = bits / (traits.link_mbps * 1e6);
    (traits.link_mbps > 0.0).then(|| Duration::from_secs_f64(seconds))
}
