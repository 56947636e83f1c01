//! Estimate of the prompt parts that an engine holds.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of the first use; lower ones are for parts of which others tell.
const FIRST_USE: u64 = 1 << 32;

/// Hash of a prompt's part and its model.
pub type PartId = u64;

/// Returns the id of a part of a prompt for `model`.
pub fn part_id(model: &str, part: u64) -> PartId {
    let mut hasher = DefaultHasher::new();
    (model, part).hash(&mut hasher);
    hasher.finish()
}

/// The parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptChain {
    /// Id and tokens of each part, in order.
    parts: Vec<(PartId, u64)>,
}

impl PromptChain {
    /// Creates the chain of a prompt of `model` from the ids and tokens of its parts.
    pub fn new<I>(model: &str, parts: I) -> PromptChain
    where
        I: IntoIterator<Item = (u64, u64)>,
    {
        let parts = parts
            .into_iter()
            .map(|(id, tokens)| (part_id(model, id), tokens));
        PromptChain {
            parts: parts.collect(),
        }
    }

    /// Creates a chain from the id and tokens of each part.
    pub fn from_parts(parts: Vec<(PartId, u64)>) -> PromptChain {
        PromptChain { parts }
    }

    /// Returns id and tokens of each part, in order.
    pub fn parts(&self) -> &[(PartId, u64)] {
        &self.parts
    }

    /// Returns the part that decides where the prompt belongs: the last one that other requests share.
    pub fn home(&self) -> Option<PartId> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.0)
    }

    /// Returns the number of tokens in all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.1).sum()
    }
}

/// Prompt parts that an engine probably holds, bounded by least recent use.
#[derive(Clone, Debug)]
pub struct PromptCache {
    max_tokens: u64,
    tokens: u64,
    /// Tokens and number of last use by part.
    parts: HashMap<PartId, (u64, u64)>,
    /// Part by number of last use.
    by_use: BTreeMap<u64, PartId>,
    uses: u64,
}

impl PromptCache {
    /// Creates an empty estimate for an engine that holds `max_tokens` tokens.
    pub fn new(max_tokens: u64) -> PromptCache {
        PromptCache {
            max_tokens,
            tokens: 0,
            parts: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: FIRST_USE,
        }
    }

    /// Sets how many tokens the engine holds.
    pub fn resize(&mut self, max_tokens: u64) {
        self.max_tokens = max_tokens;
    }

    /// Returns how many leading tokens of a prompt the engine probably holds.
    pub fn matched_tokens(&self, prompt: &PromptChain) -> u64 {
        let held = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.0));
        held.map(|part| part.1).sum()
    }

    /// Notes that the engine has read a prompt.
    pub fn insert(&mut self, prompt: &PromptChain) {
        // A part is of use only after those before it, so these count as used last.
        for (chain, tokens) in prompt.parts.iter().rev() {
            self.uses += 1;
            match self.parts.insert(*chain, (*tokens, self.uses)) {
                Some((before, use_number)) => {
                    self.by_use.remove(&use_number);
                    self.tokens = self.tokens - before + tokens;
                }
                None => self.tokens += tokens,
            }
            self.by_use.insert(self.uses, *chain);
        }
        while self.tokens > self.max_tokens {
            let Some((_, chain)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&chain) {
                self.tokens -= tokens;
            }
        }
    }

    /// Returns id and tokens of all parts, least recently used first.
    pub fn parts(&self) -> Vec<(PartId, u64)> {
        let by_use = self.by_use.values();
        let held = by_use.filter_map(|chain| Some((*chain, self.parts.get(chain)?.0)));
        held.collect()
    }

    /// Notes a part that somebody else knows to be held, as the least recently used one.
    pub fn insert_oldest(&mut self, chain: PartId, tokens: u64) {
        let has_room = self.tokens + tokens <= self.max_tokens;
        if has_room && !self.parts.contains_key(&chain) {
            let oldest = self
                .by_use
                .first_key_value()
                .map_or(self.uses, |first| *first.0);
            let Some(use_number) = oldest.checked_sub(1) else {
                return;
            };
            self.parts.insert(chain, (tokens, use_number));
            self.by_use.insert(use_number, chain);
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
        let mut cache = PromptCache::new(1_000);
        cache.insert(&PromptChain::new("m", [(1, 100), (2, 50), (77, 9)]));
        let other = PromptChain::new("m", [(1, 100), (2, 50), (78, 20)]);
        assert_eq!(cache.matched_tokens(&other), 150);
        assert_eq!(cache.matched_tokens(&PromptChain::new("n", [(1, 100)])), 0);
        // A part is of use only after all parts before it.
        assert_eq!(
            cache.matched_tokens(&PromptChain::new("m", [(3, 9), (2, 50)])),
            0
        );
    }

    #[test]
    fn insert_evicts_least_recently_used() {
        let mut cache = PromptCache::new(250);
        let prompts = [1, 2, 3].map(|id| PromptChain::new("m", [(id, 100)]));
        cache.insert(&prompts[0]);
        cache.insert(&prompts[1]);
        cache.insert(&prompts[0]);
        cache.insert(&prompts[2]);
        let held: Vec<u64> = prompts.iter().map(|p| cache.matched_tokens(p)).collect();
        assert_eq!(held, [100, 0, 100]);
    }

    quickcheck! {
        fn insert_bounded(prompts: Vec<Vec<(u64, u8)>>) -> bool {
            let mut cache = PromptCache::new(300);
            for prompt in prompts {
                let parts = prompt.into_iter().map(|(id, tokens)| (id, u64::from(tokens)));
                cache.insert(&PromptChain::new("m", parts));
            }
            let sum: u64 = cache.parts.values().map(|part| part.0).sum();
            cache.tokens <= 300 && sum == cache.tokens && cache.by_use.len() == cache.parts.len()
        }
    }
}
