//! Choice of engines for prompts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{EngineTraits, Role};
use laburnumlug_policy::{
    EngineView, FIRST_EVENT_OVERHEAD, PromptChain, PromptView, ReadId, place,
};

use crate::dialect::PromptFacts;
use crate::directory::{TargetHandle, usable};
use crate::forwarder::Forwarder;

/// Share of an engine's memory that this process takes as filled by the prompts that it sent there; others send, too.
const CACHE_SHARE: f64 = 0.4;

/// Engines that are to serve a prompt.
pub(crate) struct ChosenEngines {
    pub(crate) answering: Rc<TargetHandle>,
    /// Engine that reads the prompt first, where that is another one.
    pub(crate) reading: Option<Rc<TargetHandle>>,
    pub(crate) unread_tokens: u64,
    pub(crate) first_event: Duration,
}

/// A prompt that an engine is reading; dropping it forgets the prompt.
pub(crate) struct Reading {
    target: Rc<TargetHandle>,
    id: ReadId,
}

impl Reading {
    pub(crate) fn start(now: Instant, target: &Rc<TargetHandle>, tokens: u64) -> Reading {
        Reading {
            id: target.reading.borrow_mut().start(now, tokens),
            target: target.clone(),
        }
    }

    /// Notes that the prompt was read.
    pub(crate) fn finish(self, now: Instant, prompt: &PromptChain) {
        let mut reading = self.target.reading.borrow_mut();
        reading.finish(now, self.id, FIRST_EVENT_OVERHEAD);
        self.target.cache.borrow_mut().insert(prompt);
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.target.reading.borrow_mut().cancel(self.id);
    }
}

impl Forwarder {
    /// Chooses the engines for a prompt among those that were not tried.
    pub(crate) fn choose_engines(
        &self,
        now: Instant,
        service: &str,
        traits: &EngineTraits,
        prompt: &PromptFacts,
        chain: &PromptChain,
        tried: &[Rc<TargetHandle>],
    ) -> Option<ChosenEngines> {
        let mut targets = usable(now, self.serving(service));
        targets.retain(|target| !tried.iter().any(|t| Rc::ptr_eq(t, target)));
        let memory = (traits.memory_tokens.get() as f64 * CACHE_SHARE) as u64;
        let views: Vec<EngineView> = targets
            .iter()
            .map(|target| {
                let row = target.row.borrow();
                let reading = target.reading.borrow();
                target.cache.borrow_mut().resize(memory);
                EngineView {
                    instance: target.instance.clone(),
                    role: row.role.unwrap_or(Role::Mixed),
                    is_near: row.zone == self.cfg.zone,
                    waiting: reading.waiting_time(now),
                    rate: reading.rate(),
                    held_tokens: target.cache.borrow().matched_tokens(chain),
                    running: target.running.get(),
                    slots: row.slots.max(1),
                }
            })
            .collect();
        let own = chain.parts().last().map_or(0, |part| part.1);
        let view = PromptView {
            home: chain.home(),
            tokens: prompt.prompt_tokens,
            shared_tokens: chain.tokens().saturating_sub(own),
            move_time_per_token: move_time_per_token(traits),
        };
        let placed = place(&view, &views)?;
        Some(ChosenEngines {
            answering: targets[placed.answering].clone(),
            reading: placed.reading.map(|i| targets[i].clone()),
            unread_tokens: placed.unread_tokens,
            first_event: placed.first_event,
        })
    }
}

/// Returns the time to move one token between two engines of a zone; `None` where prompts do not move.
fn move_time_per_token(traits: &EngineTraits) -> Option<Duration> {
    let bits = traits.token_bytes as f64 * 8.0;
    let seconds = bits / (traits.link_mbps * 1e6);
    (traits.link_mbps > 0.0).then(|| Duration::from_secs_f64(seconds))
}
