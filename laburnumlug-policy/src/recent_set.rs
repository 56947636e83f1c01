//! Bounded set of items that were seen recently.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Time after which a generation is replaced; items are remembered for one to two generations.
const GENERATION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of items of a generation, which is replaced early when it is full.
const MAX_ITEMS_PER_GENERATION: usize = 8192;

/// Bounded set of the items that were inserted recently.
///
/// Two generations approximate an eviction by age without an entry in a queue for each item.
#[derive(Clone, Debug)]
pub(crate) struct RecentSet<T> {
    current: HashSet<T>,
    previous: HashSet<T>,
    /// When the current generation began, or `None` before the first item.
    began_at: Option<Instant>,
}

impl<T> Default for RecentSet<T> {
    fn default() -> RecentSet<T> {
        RecentSet {
            current: HashSet::new(),
            previous: HashSet::new(),
            began_at: None,
        }
    }
}

impl<T> RecentSet<T>
where
    T: Eq + Hash,
{
    /// Inserts an item.
    pub(crate) fn insert(&mut self, now: Instant, item: T) {
        let generations = self.generations_since(now);
        if generations >= 1 || self.current.len() >= MAX_ITEMS_PER_GENERATION {
            self.previous = match generations {
                0 | 1 => std::mem::take(&mut self.current),
                _ => HashSet::new(),
            };
            self.current.clear();
            self.began_at = Some(now);
        }
        self.began_at.get_or_insert(now);
        self.current.insert(item);
    }

    /// Returns whether an item was inserted recently.
    pub(crate) fn contains(&self, now: Instant, item: &T) -> bool {
        match self.generations_since(now) {
            0 => self.current.contains(item) || self.previous.contains(item),
            1 => self.current.contains(item),
            _ => false,
        }
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
mod tests {
    use super::*;

    #[test]
    fn contains_forgets_after_two_generations() {
        let now = Instant::now();
        let mut items = RecentSet::default();
        items.insert(now, 1);
        assert!(items.contains(now + GENERATION_TIME, &1));
        items.insert(now + GENERATION_TIME, 2);
        assert!(items.contains(now + GENERATION_TIME, &1));
        items.insert(now + GENERATION_TIME * 2, 3);
        assert!(!items.contains(now + GENERATION_TIME * 2, &1));
        assert!(items.contains(now + GENERATION_TIME * 2, &2));
        assert!(!items.contains(now + GENERATION_TIME * 4, &3));
    }

    #[test]
    fn insert_is_bounded() {
        let now = Instant::now();
        let mut items = RecentSet::default();
        for item in 0..5 * MAX_ITEMS_PER_GENERATION {
            items.insert(now, item);
        }
        let held = items.current.len() + items.previous.len();
        assert!(held <= 2 * MAX_ITEMS_PER_GENERATION, "{held}");
    }
}
