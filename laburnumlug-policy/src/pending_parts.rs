//! Prompt parts that an engine will have cached when it has prefilled the prompts in its queue.

use std::collections::HashMap;

use crate::kv_cache::{PartId, PromptParts};

/// Shareable parts of the prompts in the prefill queue of one engine.
///
/// In the first seconds of a service, many prompts share a part that no engine has cached yet. The first one at an engine
/// prefills it; those behind find it cached when their turn comes.
#[derive(Clone, Debug, Default)]
pub struct PendingParts {
    /// Number of queued prompts with each part, and their least urgent priority.
    parts: HashMap<PartId, (u32, u8)>,
}

impl PendingParts {
    /// Adds the parts of a prompt that is sent to the engine.
    pub fn add(&mut self, prompt: &PromptParts, priority: u8) {
        for part in prompt.shareable() {
            let (count, least_urgent) = self.parts.entry(part).or_default();
            *count += 1;
            *least_urgent = priority.max(*least_urgent);
        }
    }

    /// Removes the parts of a prompt that was added and is no longer queued.
    pub fn remove(&mut self, prompt: &PromptParts) {
        for part in prompt.shareable() {
            if let Some((count, _)) = self.parts.get_mut(&part) {
                *count -= 1;
                if *count == 0 {
                    self.parts.remove(&part);
                }
            }
        }
    }

    /// Returns the priority from which the engine has prefilled a part before a further prompt, or `None` if no queued
    /// prompt has the part.
    pub fn priority(&self, part: PartId) -> Option<u8> {
        self.parts.get(&part).map(|(_, priority)| *priority)
    }
}

#[cfg(test)]
#[path = "pending_parts_tests.rs"]
mod tests;
