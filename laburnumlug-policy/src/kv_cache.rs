//! Estimates which prompt parts an engine holds in its KV cache.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::crash_attribution::Suspect;
use crate::pending_parts::PendingParts;

/// Sequence number of the first use. Lower numbers are for parts that other processes or the engine report.
const FIRST_USE_NUMBER: u64 = 1 << 32;

/// Hash of a prompt part and its model.
pub type PartId = u64;

/// Returns the id of prompt part `part` for `model`.
pub fn part_id(model: &str, part: u64) -> PartId {
    let mut hasher = DefaultHasher::new();
    (model, part).hash(&mut hasher);
    hasher.finish()
}

/// The sequence of parts of one prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptParts {
    /// Id and number of tokens of each part, in order.
    parts: Vec<(PartId, u64)>,
}

impl PromptParts {
    /// Creates the parts of a prompt for `model` from pairs of an id within the model and a number of tokens.
    pub fn new<I>(model: &str, parts: I) -> PromptParts
    where
        I: IntoIterator<Item = (u64, u64)>,
    {
        let parts = parts
            .into_iter()
            .map(|(id, tokens)| (part_id(model, id), tokens));
        PromptParts {
            parts: parts.collect(),
        }
    }

    /// Creates the parts of a prompt from ids that already include the model.
    pub fn from_parts(parts: Vec<(PartId, u64)>) -> PromptParts {
        PromptParts { parts }
    }

    /// Returns the id and number of tokens of each part, in order.
    pub fn parts(&self) -> &[(PartId, u64)] {
        &self.parts
    }

    /// Returns the part before the last, or `None` if there is none.
    ///
    /// It is taken to be the last part that other requests share, and selects the prompt's affinity engine.
    pub fn affinity_part(&self) -> Option<PartId> {
        let last_shared = self.parts.len().checked_sub(2)?;
        self.parts.get(last_shared).map(|part| part.0)
    }

    /// Returns the ids of the parts that other requests may share: all but the last.
    pub fn shareable(&self) -> impl Iterator<Item = PartId> + '_ {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.0)
    }

    /// Returns the parts that other requests may share, as what may crash the engine that decodes the prompt.
    pub fn suspects(&self) -> Vec<Suspect> {
        self.shareable().map(Suspect::Part).collect()
    }

    /// Returns the number of tokens in the whole prompt.
    pub fn tokens(&self) -> u64 {
        // Other gateways may report any number.
        let tokens = self.parts.iter().map(|part| part.1);
        tokens.fold(0, u64::saturating_add)
    }
}

/// Leading tokens of a prompt that an engine has cached, or will have cached when it has prefilled what is queued there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheMatch {
    /// Leading tokens that the engine has probably cached.
    pub cached_tokens: u64,
    /// Leading tokens that it will have cached, including `cached_tokens`.
    pub expected_tokens: u64,
    /// Priority from which the prompts that add the further tokens are prefilled before; `None` if there are none.
    pub pending_priority: Option<u8>,
}

/// Bounded LRU estimate of the prompt parts in the KV cache of one engine.
#[derive(Clone, Debug)]
pub struct KvCacheEstimate {
    max_tokens: u64,
    tokens: u64,
    /// Number of tokens and sequence number of the last use of each part.
    parts: HashMap<PartId, (u64, u64)>,
    /// Cached parts, by sequence number of their last use.
    parts_by_last_use: BTreeMap<u64, PartId>,
    last_use_number: u64,
}

impl KvCacheEstimate {
    /// Creates an empty estimate for an engine that can cache `max_tokens` tokens.
    pub fn new(max_tokens: u64) -> KvCacheEstimate {
        KvCacheEstimate {
            max_tokens,
            tokens: 0,
            parts: HashMap::new(),
            parts_by_last_use: BTreeMap::new(),
            last_use_number: FIRST_USE_NUMBER,
        }
    }

    /// Sets the number of tokens that the engine can cache. Parts beyond it are evicted by the next insertion.
    pub fn resize(&mut self, max_tokens: u64) {
        self.max_tokens = max_tokens;
    }

    /// Returns the number of leading prompt tokens that the engine has probably cached.
    pub fn matched_tokens(&self, prompt: &PromptParts) -> u64 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.0));
        cached.map(|part| part.1).sum()
    }

    /// Matches a prompt with what the engine has cached and with what the prompts in its queue will add.
    pub fn match_prompt(&self, prompt: &PromptParts, pending: &PendingParts) -> CacheMatch {
        let mut matched = CacheMatch::default();
        for (part, tokens) in &prompt.parts {
            if !self.parts.contains_key(part) {
                let Some(priority) = pending.priority(*part) else {
                    break;
                };
                matched.pending_priority = matched.pending_priority.max(Some(priority));
            }
            matched.expected_tokens += tokens;
            if matched.pending_priority.is_none() {
                matched.cached_tokens = matched.expected_tokens;
            }
        }
        matched
    }

    /// Records that the engine has completed prefill of a prompt, and evicts parts over the limit in LRU order.
    pub fn insert(&mut self, prompt: &PromptParts) {
        // A part is useless without the parts before it, so the earlier parts are marked as the more recently used.
        for (part, tokens) in prompt.parts.iter().rev() {
            self.last_use_number += 1;
            match self.parts.insert(*part, (*tokens, self.last_use_number)) {
                Some((old_tokens, use_number)) => {
                    self.parts_by_last_use.remove(&use_number);
                    self.tokens = self.tokens - old_tokens + tokens;
                }
                None => self.tokens += tokens,
            }
            self.parts_by_last_use.insert(self.last_use_number, *part);
        }
        while self.tokens > self.max_tokens {
            let Some((_, part)) = self.parts_by_last_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&part) {
                self.tokens -= tokens;
            }
        }
    }

    /// Returns the id and number of tokens of all parts, least recently used first.
    pub fn parts(&self) -> Vec<(PartId, u64)> {
        let ids = self.parts_by_last_use.values();
        let cached = ids.filter_map(|part| Some((*part, self.parts.get(part)?.0)));
        cached.collect()
    }

    /// Adds a part that the engine or another process reports as cached, as the least recently used one.
    ///
    /// Does nothing if the part is already present or does not fit.
    pub fn insert_least_recent(&mut self, part: PartId, tokens: u64) {
        let has_room = self.tokens + tokens <= self.max_tokens;
        if has_room && !self.parts.contains_key(&part) {
            let lowest_use_number = self
                .parts_by_last_use
                .first_key_value()
                .map_or(self.last_use_number, |first| *first.0);
            let Some(use_number) = lowest_use_number.checked_sub(1) else {
                return;
            };
            self.parts.insert(part, (tokens, use_number));
            self.parts_by_last_use.insert(use_number, part);
            self.tokens += tokens;
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn matched_tokens_shared_part() {
        let mut cache = KvCacheEstimate::new(1_000);
        cache.insert(&PromptParts::new("m", [(1, 100), (2, 50), (77, 9)]));
        let other = PromptParts::new("m", [(1, 100), (2, 50), (78, 20)]);
        assert_eq!(cache.matched_tokens(&other), 150);
        assert_eq!(cache.matched_tokens(&PromptParts::new("n", [(1, 100)])), 0);
        // A part matches only after all the parts before it.
        assert_eq!(
            cache.matched_tokens(&PromptParts::new("m", [(3, 9), (2, 50)])),
            0
        );
    }

    #[test]
    fn insert_evicts_least_recently_used() {
        let mut cache = KvCacheEstimate::new(250);
        let prompts = [1, 2, 3].map(|id| PromptParts::new("m", [(id, 100)]));
        cache.insert(&prompts[0]);
        cache.insert(&prompts[1]);
        cache.insert(&prompts[0]);
        cache.insert(&prompts[2]);
        let cached: Vec<u64> = prompts.iter().map(|p| cache.matched_tokens(p)).collect();
        assert_eq!(cached, [100, 0, 100]);
    }

    quickcheck! {
        fn insert_bounded(prompts: Vec<Vec<(u64, u8)>>) -> bool {
            let mut cache = KvCacheEstimate::new(300);
            for prompt in prompts {
                let parts = prompt.into_iter().map(|(id, tokens)| (id, u64::from(tokens)));
                cache.insert(&PromptParts::new("m", parts));
            }
            let sum: u64 = cache.parts.values().map(|part| part.0).sum();
            cache.tokens <= 300 && sum == cache.tokens && cache.parts_by_last_use.len() == cache.parts.len()
        }
    }
}
