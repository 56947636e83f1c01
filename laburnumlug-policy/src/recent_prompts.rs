//! Prompts of the latest requests that ended early at an engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::kv_cache::{PartId, PromptParts};

/// How long a prompt is kept; a crash is noticed within that time.
const RETENTION: Duration = Duration::from_millis(500);

/// Maximum number of prompts.
const MAX_PROMPTS: usize = 64;

/// Prompts of the latest requests that ended early at an engine, which may have crashed it.
#[derive(Clone, Debug, Default)]
pub struct RecentPrompts {
    prompts: VecDeque<(Instant, PromptParts)>,
}

impl RecentPrompts {
    /// Adds a prompt whose request ends now.
    pub fn push(&mut self, now: Instant, prompt_parts: &PromptParts) {
        self.evict(now);
        if self.prompts.len() == MAX_PROMPTS {
            self.prompts.pop_front();
        }
        self.prompts.push_back((now, prompt_parts.clone()));
    }

    /// Removes all prompts and returns the parts of those that are not older than the retention time.
    pub fn take(&mut self, now: Instant) -> Vec<PartId> {
        self.evict(now);
        let prompts = self.prompts.drain(..);
        prompts
            .flat_map(|(_, prompt_parts)| prompt_parts.shareable().collect::<Vec<PartId>>())
            .collect()
    }

    fn evict(&mut self, now: Instant) {
        let is_old = |ended_at: Instant| now.saturating_duration_since(ended_at) >= RETENTION;
        while self.prompts.front().is_some_and(|prompt| is_old(prompt.0)) {
            self.prompts.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn prompt(part: PartId) -> PromptParts {
        PromptParts::from_parts(vec![(part, 100), (0, 100)])
    }

    #[test]
    fn take_recent_only() {
        let now = Instant::now();
        let mut prompts = RecentPrompts::default();
        prompts.push(now, &prompt(1));
        prompts.push(now + RETENTION / 2, &prompt(2));
        assert_eq!(prompts.take(now + RETENTION), [2]);
        assert!(prompts.take(now + RETENTION).is_empty());
    }

    #[test]
    fn push_is_bounded() {
        let now = Instant::now();
        let mut prompts = RecentPrompts::default();
        for part in 0..1000 {
            prompts.push(now, &prompt(part));
        }
        assert_eq!(prompts.take(now).len(), MAX_PROMPTS);
    }
}
