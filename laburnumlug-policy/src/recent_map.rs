//! Bounded map of items that were inserted recently.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Time after which a generation is replaced; items are remembered for one to two generations.
const GENERATION_TIME: Duration = Duration::from_secs(60);

/// Bounded map of the items that were inserted recently.
///
/// Two generations approximate an eviction by age without an entry in a queue for each item. A generation is replaced early
/// when it is full.
#[derive(Clone, Debug)]
pub(crate) struct RecentMap<K, V> {
    max_items_per_generation: usize,
    current: HashMap<K, V>,
    previous: HashMap<K, V>,
    /// When the current generation began, or `None` before the first item.
    began_at: Option<Instant>,
}

impl<K, V> RecentMap<K, V>
where
    K: Eq + Hash,
{
    /// Creates an empty map that holds at most twice this number of items.
    pub(crate) fn new(max_items_per_generation: usize) -> RecentMap<K, V> {
        RecentMap {
            max_items_per_generation,
            current: HashMap::new(),
            previous: HashMap::new(),
            began_at: None,
        }
    }

    /// Inserts an item.
    pub(crate) fn insert(&mut self, now: Instant, key: K, value: V) {
        let generations = self.generations_since(now);
        if generations >= 1 || self.current.len() >= self.max_items_per_generation {
            self.previous = match generations {
                0 | 1 => std::mem::take(&mut self.current),
                _ => HashMap::new(),
            };
            self.current.clear();
            self.began_at = Some(now);
        }
        self.began_at.get_or_insert(now);
        self.previous.remove(&key);
        self.current.insert(key, value);
    }

    /// Returns an item if it was inserted recently.
    pub(crate) fn get<Q>(&self, now: Instant, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        match self.generations_since(now) {
            0 => self.current.get(key).or_else(|| self.previous.get(key)),
            1 => self.current.get(key),
            _ => None,
        }
    }

    /// Removes an item.
    pub(crate) fn remove(&mut self, key: &K) {
        self.current.remove(key);
        self.previous.remove(key);
    }

    /// Returns the items that were inserted recently, in any order.
    pub(crate) fn iter(&self, now: Instant) -> impl Iterator<Item = (&K, &V)> {
        let generations = self.generations_since(now);
        let current = self.current.iter().filter(move |_| generations <= 1);
        let previous = self.previous.iter().filter(move |_| generations == 0);
        current.chain(previous)
    }

    /// Returns the number of whole generations since the current one began.
    fn generations_since(&self, now: Instant) -> u128 {
        self.began_at.map_or(0, |began_at| {
            let age = now.saturating_duration_since(began_at);
            age.as_millis() / GENERATION_TIME.as_millis()
        })
    }
}

#[cfg(test)]
#[path = "recent_map_tests.rs"]
mod tests;
