//! Predicts which engines have room for a prompt, and when.

use std::time::Duration;

use laburnumlug::Role;

use crate::engine_memory::memory_excess;
use crate::placement::{
    EngineView, FIRST_TOKEN_OVERHEAD, PromptView, interference, prefill_time, uncached_tokens,
};
use crate::request_limit::max_limit_wait;

/// Maximum number of requests that wait at an engine for a slot, relative to its slots.
const MAX_QUEUED_SHARE: f64 = 1.0;

/// Error of [`place_prompt`](crate::place_prompt): no engine has room for the prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoRoom {
    /// Predicted time until an engine has room for a prompt with the same [`PromptView::time_left`], or zero if unknown.
    pub room_after: Duration,
    /// Mean interval at which requests complete at all engines together.
    pub completion_interval: Duration,
}

impl NoRoom {
    pub(crate) fn new(prompt: &PromptView, engines: &[EngineView]) -> NoRoom {
        let decode_engines = engines.iter().filter(|engine| engine.role != Role::Prefill);
        let slots: u32 = decode_engines.clone().map(|engine| engine.slots).sum();
        let slot_time = engines.first().map(|engine| engine.slot_time);
        let prefill_times = engines.iter().map(|engine| {
            let uncached = prompt.tokens.saturating_sub(engine.cached_tokens);
            prefill_time(uncached, prompt, engine)
        });
        let shortest_prefill = prefill_times.min().unwrap_or_default();
        // A prompt that no idle engine could serve in time has no such time.
        let is_possible = shortest_prefill + FIRST_TOKEN_OVERHEAD <= prompt.time_left;
        let separate_prefill = separate_prefill_end(prompt, engines);
        let slot_interval = slot_time.unwrap_or_default() / slots.max(1);
        NoRoom {
            room_after: decode_engines
                .map(|engine| time_until_room(prompt, engine, separate_prefill))
                .min()
                .filter(|_| is_possible)
                .unwrap_or_default(),
            completion_interval: slot_interval.max(shortest_prefill / engines.len().max(1) as u32),
        }
    }
}

/// Returns whether a request may wait for a slot at an engine: few others do, and its turn comes before its deadline.
pub(crate) fn may_wait_at(prompt: &PromptView, engine: &EngineView) -> bool {
    engine.running < max_running(engine) && slot_wait(engine) <= prompt.time_left
}

/// Returns whether an engine's memory holds `tokens` more beside what its requests may use.
pub(crate) fn has_memory(engine: &EngineView, tokens: u64) -> bool {
    excess_tokens(engine, tokens) == 0
}

/// Returns by how many tokens a request that needs `tokens` would exceed an engine's memory.
fn excess_tokens(engine: &EngineView, tokens: u64) -> u64 {
    memory_excess(
        engine.memory_tokens,
        engine.used_tokens,
        tokens,
        engine.running,
        engine.slots,
    )
}

/// Returns the number of requests, waiting ones included, at which an engine is full.
fn max_running(engine: &EngineView) -> u32 {
    (f64::from(engine.slots) * (1.0 + MAX_QUEUED_SHARE)) as u32
}

/// Predicts how long a separate prefill takes with the transfer of the prompt, at the engine where it ends first.
fn separate_prefill_end(prompt: &PromptView, engines: &[EngineView]) -> Option<Duration> {
    let transfer_time =
        prompt.kv_transfer_time_per_token? * u32::try_from(prompt.tokens).unwrap_or(u32::MAX);
    let prefill_engines = engines.iter().filter(|engine| engine.role == Role::Prefill);
    let ends = prefill_engines.map(|engine| {
        engine.queue_wait
            + prefill_time(uncached_tokens(prompt, engine, 0), prompt, engine)
            + engine.jitter
            + transfer_time * 2
    });
    ends.min()
}

/// Predicts how long it takes until an engine has room for a request and its first token would come before its deadline.
///
/// If another engine prefills the prompt, that ends after `separate_prefill`.
fn time_until_room(
    prompt: &PromptView,
    engine: &EngineView,
    separate_prefill: Option<Duration>,
) -> Duration {
    let excess = (engine.running + 1).saturating_sub(max_running(engine));
    let until_queue_has_room = engine.slot_time * excess / engine.slots.max(1);
    let own_prefill = prefill_time(uncached_tokens(prompt, engine, 0), prompt, engine);
    let after_own_prefill = engine.queue_wait.max(slot_wait(engine)) + own_prefill;
    let after_separate_prefill = separate_prefill
        .map(|end| end + interference(engine) + slot_wait(engine) + engine.limit_wait);
    let first_token_after = after_separate_prefill
        .map_or(after_own_prefill, |time| time.min(after_own_prefill))
        + FIRST_TOKEN_OVERHEAD
        + engine.jitter;
    let until_turn_is_in_time = first_token_after.saturating_sub(prompt.time_left);
    let until_limit_allows = engine
        .limit_wait
        .saturating_sub(max_limit_wait(prompt.ttft_objective));
    // Within the time that a request holds a slot, all that the running ones use becomes free.
    let excess = excess_tokens(engine, prompt.decode_tokens());
    let excess_share = excess as f64 / engine.used_tokens.max(1) as f64;
    let until_memory_is_free = engine.slot_time.mul_f64(excess_share.min(1.0));
    until_queue_has_room
        .max(until_memory_is_free)
        .max(until_turn_is_in_time)
        .max(until_limit_allows)
}

/// Predicts how long a request waits for a slot: until as many requests have ended as are ahead of it.
pub(crate) fn slot_wait(engine: &EngineView) -> Duration {
    let ahead = (engine.running + 1).saturating_sub(engine.slots);
    engine.slot_time * ahead / engine.slots.max(1)
}
