//! Predicts how much of an engine's memory its requests use.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum share of an engine's memory that is assigned. An engine crashes if its requests exceed its memory, and other
/// gateways may have sent it prompts that are not known here yet.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// Time for which a prompt that an engine has prefilled for another one is assumed to stay in its memory; the other engine
/// fetches it when it starts to decode.
const MAX_HANDLE_TIME: Duration = Duration::from_secs(1);

/// Tokens that the requests of all gateways use at an engine, with what they may still write.
#[derive(Clone, Debug, Default)]
pub struct EngineMemory {
    assigned: u64,
    /// End and tokens of each prompt that is kept for another engine, in the order of their ends.
    handles: VecDeque<(Instant, u64)>,
    /// Sum of the tokens of `handles`.
    kept: u64,
}

impl EngineMemory {
    /// Adds the tokens of a request that is sent to the engine.
    pub fn assign(&mut self, tokens: u64) {
        self.assigned = self.assigned.saturating_add(tokens);
    }

    /// Removes the tokens of a request that has ended.
    pub fn release(&mut self, tokens: u64) {
        self.assigned = self.assigned.saturating_sub(tokens);
    }

    /// Removes the tokens of a prompt whose separate prefill has ended, which the engine keeps for another one.
    pub fn keep_handle(&mut self, now: Instant, tokens: u64) {
        self.release(tokens);
        self.handles.push_back((now + MAX_HANDLE_TIME, tokens));
        self.kept = self.kept.saturating_add(tokens);
    }

    /// Returns the tokens that requests and prompts for other engines use.
    pub fn used(&mut self, now: Instant) -> u64 {
        while let Some((_, tokens)) = self.handles.pop_front_if(|(until, _)| *until <= now) {
            self.kept = self.kept.saturating_sub(tokens);
        }
        self.assigned.saturating_add(self.kept)
    }
}

/// Returns by how many tokens an engine's memory would be exceeded if it got a request that needs `tokens`.
///
/// The engine has been assigned `used` tokens for `requests` requests. Those beyond its `slots` wait, and use memory in place
/// of others once these have ended, so that the mean request counts for each slot.
pub fn memory_excess(memory_tokens: u64, used: u64, tokens: u64, requests: u32, slots: u32) -> u64 {
    let running_share = f64::from(slots) / f64::from(requests + 1);
    let predicted = (used as f64 + tokens as f64) * running_share.min(1.0);
    (predicted - memory_tokens as f64 * MAX_MEMORY_SHARE).max(0.0) as u64
}

#[cfg(test)]
#[path = "engine_memory_tests.rs"]
mod tests;
