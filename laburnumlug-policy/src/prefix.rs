//! Index of the prompt prefixes that an engine has probably cached.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of prompt tokens in one block.
const BLOCK_TOKENS: u64 = 64;

/// Number of prompt bytes in one block, at an estimated 4 bytes per token.
const BLOCK_BYTES: usize = 4 * BLOCK_TOKENS as usize;

/// Hashes of the prompt prefixes that end at each whole block.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixHashes {
    hashes: Vec<u64>,
}

impl PrefixHashes {
    /// Computes the hashes of `prompt`.
    pub fn of(prompt: &str) -> PrefixHashes {
        let mut hasher = DefaultHasher::new();
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
        let hashes = blocks.map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        });
        PrefixHashes {
            hashes: hashes.collect(),
        }
    }
}

/// Bounded LRU index of the prompt prefixes that were sent to one engine.
///
/// The index is only a hint, since the engine may have evicted any of these prefixes.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    max_blocks: usize,
    /// Sequence number of the last use of each prefix, by hash.
    last_use_by_hash: HashMap<u64, u64>,
    /// Hash of each prefix, by sequence number of its last use.
    hashes_by_last_use: BTreeMap<u64, u64>,
    last_use_number: u64,
}

impl PrefixIndex {
    /// Creates an empty index that holds at most `max_tokens` tokens.
    pub fn new(max_tokens: u64) -> PrefixIndex {
        PrefixIndex {
            max_blocks: (max_tokens / BLOCK_TOKENS) as usize,
            last_use_by_hash: HashMap::new(),
            hashes_by_last_use: BTreeMap::new(),
            last_use_number: 0,
        }
    }

    /// Returns the number of leading prompt tokens that are probably cached, without the prompt's last whole block.
    pub fn matched_tokens(&self, prompt: &PrefixHashes) -> u64 {
        let cached = prompt
            .hashes
            .iter()
            .take_while(|hash| self.last_use_by_hash.contains_key(hash));
        // An engine recomputes at least the last block.
        let usable = cached.count().min(prompt.hashes.len().saturating_sub(1));
        usable as u64 * BLOCK_TOKENS
    }

    /// Records that a prompt was sent to the engine.
    pub fn insert(&mut self, prompt: &PrefixHashes) {
        // A block is useless without the blocks before it, so the earlier blocks are marked as the more recently used.
        for hash in prompt.hashes.iter().rev() {
            self.last_use_number += 1;
            if let Some(old) = self.last_use_by_hash.insert(*hash, self.last_use_number) {
                self.hashes_by_last_use.remove(&old);
            }
            self.hashes_by_last_use.insert(self.last_use_number, *hash);
        }
        while self.last_use_by_hash.len() > self.max_blocks {
            let Some((_, hash)) = self.hashes_by_last_use.pop_first() else {
                return;
            };
            self.last_use_by_hash.remove(&hash);
        }
    }

    /// Removes all prefixes, as needed after a role change or restart of the engine.
    pub fn clear(&mut self) {
        self.last_use_by_hash.clear();
        self.hashes_by_last_use.clear();
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn matched_tokens_shared_prefix() {
        let mut index = PrefixIndex::new(100 * BLOCK_TOKENS);
        let notice = "n".repeat(4 * BLOCK_BYTES);
        index.insert(&PrefixHashes::of(&notice));
        let question = PrefixHashes::of(&format!("{notice}{}", "q".repeat(BLOCK_BYTES)));
        assert_eq!(index.matched_tokens(&question), 4 * BLOCK_TOKENS);
        assert_eq!(index.matched_tokens(&PrefixHashes::of("short")), 0);
        index.clear();
        assert_eq!(index.matched_tokens(&question), 0);
    }

    quickcheck! {
        fn insert_bounded(prompts: Vec<String>) -> bool {
            let mut index = PrefixIndex::new(3 * BLOCK_TOKENS);
            for prompt in prompts {
                index.insert(&PrefixHashes::of(&prompt.repeat(BLOCK_BYTES)));
            }
            index.last_use_by_hash.len() <= 3 && index.hashes_by_last_use.len() == index.last_use_by_hash.len()
        }
    }
}
