//! Prefix cache with LRU eviction, and the events that it publishes.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of prompt tokens per cache block.
const BLOCK_TOKENS: u64 = 64;

/// Number of prompt bytes per cache block.
const BLOCK_BYTES: usize = 4 * BLOCK_TOKENS as usize;

/// Number of newest events that are retained; clients that fall further behind miss events.
const MAX_EVENTS: usize = 4096;

/// Insertion or eviction of a cache block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number, which starts at 1 and has no gaps at the engine.
    pub sequence: u64,
    /// Hash of the prompt from its start to the end of the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache of prompt blocks with least-recently-used eviction.
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    /// Value of `use_counter` at the last use of each block.
    blocks: HashMap<u64, u64>,
    use_counter: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    hit_tokens: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: u64) -> PrefixCache {
        PrefixCache {
            capacity_blocks: (capacity_tokens / BLOCK_TOKENS) as usize,
            blocks: HashMap::new(),
            use_counter: 0,
            events: VecDeque::new(),
            sequence: 0,
            hit_tokens: 0,
        }
    }

    /// Returns the number of leading tokens of `prompt` that are cached and need no prefill.
    ///
    /// The last block is never a hit, as an engine has to compute at least one token to start decoding.
    pub(super) fn lookup(&mut self, prompt: &str) -> u64 {
        let mut hit_tokens = 0;
        let hashes = block_hashes(prompt);
        for block in hashes.iter().take(hashes.len().saturating_sub(1)) {
            if !self.blocks.contains_key(block) {
                break;
            }
            self.use_counter += 1;
            self.blocks.insert(*block, self.use_counter);
            hit_tokens += BLOCK_TOKENS;
        }
        self.hit_tokens += hit_tokens;
        hit_tokens
    }

    /// Stores the blocks of a prompt and evicts the least recently used blocks beyond the capacity.
    pub(super) fn store(&mut self, now: Instant, prompt: &str) {
        // Later blocks are useless without the earlier ones, so the earlier blocks count as more recently used.
        for block in block_hashes(prompt).into_iter().rev() {
            self.use_counter += 1;
            if self.blocks.insert(block, self.use_counter).is_none() {
                self.publish(now, block, true);
            }
        }
        while self.blocks.len() > self.capacity_blocks {
            let Some(evicted) = self.blocks.iter().min_by_key(|(_, last_use)| **last_use) else {
                return;
            };
            let evicted = *evicted.0;
            self.blocks.remove(&evicted);
            self.publish(now, evicted, false);
        }
    }

    /// Returns the total number of tokens found by lookups.
    pub(super) fn hit_tokens(&self) -> u64 {
        self.hit_tokens
    }

    /// Returns the retained events after sequence number `after` that are at least `lag` old, without every
    /// `drop_interval`-th; a `drop_interval` of 0 drops none.
    pub(super) fn events(
        &self,
        now: Instant,
        after: u64,
        lag: Duration,
        drop_interval: u64,
    ) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| {
                event.sequence > after && now.saturating_duration_since(*at) >= lag
            })
            .filter(|(_, event)| {
                drop_interval == 0 || !event.sequence.is_multiple_of(drop_interval)
            })
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, now: Instant, block: u64, stored: bool) {
        self.sequence += 1;
        let event = CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns, for each complete block, the hash of the prompt up to its end.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lookup_shared_prefix() {
        let mut cache = PrefixCache::new(100 * BLOCK_TOKENS);
        let notice = "n".repeat(10 * BLOCK_BYTES);
        assert_eq!(cache.lookup(&notice), 0);
        cache.store(Instant::now(), &notice);
        assert_eq!(cache.lookup(&format!("{notice}question")), 9 * BLOCK_TOKENS);
        assert_eq!(cache.lookup(&format!("x{notice}")), 0);
    }

    #[test]
    fn store_limited_memory() {
        let mut cache = PrefixCache::new(4 * BLOCK_TOKENS);
        cache.store(Instant::now(), &"a".repeat(4 * BLOCK_BYTES));
        cache.store(Instant::now(), &"b".repeat(4 * BLOCK_BYTES));
        assert_eq!(cache.lookup(&"a".repeat(4 * BLOCK_BYTES)), 0);
        assert_eq!(cache.lookup(&"b".repeat(4 * BLOCK_BYTES)), 3 * BLOCK_TOKENS);
    }

    #[test]
    fn events_late_with_gaps() {
        let now = Instant::now();
        let lag = Duration::from_secs(1);
        let mut cache = PrefixCache::new(100 * BLOCK_TOKENS);
        cache.store(now, &"a".repeat(4 * BLOCK_BYTES));
        assert!(cache.events(now, 0, lag, 3).is_empty());
        let events = cache.events(now + lag, 1, lag, 3);
        let sequences: Vec<u64> = events.iter().map(|event| event.sequence).collect();
        assert_eq!(sequences, [2, 4]);
    }
}
