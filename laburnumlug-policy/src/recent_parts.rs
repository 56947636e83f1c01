//! Bounded set of prompt parts that were seen recently.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::kv_cache::PartId;

/// Time after which a generation is replaced; parts are remembered for one to two generations.
const GENERATION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of parts of a generation, which is replaced early when it is full.
const MAX_PARTS_PER_GENERATION: usize = 8192;

/// Bounded set of the prompt parts that were inserted recently.
///
/// Two generations approximate an eviction by age without an entry in a queue for each part.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentParts {
    current: HashSet<PartId>,
    previous: HashSet<PartId>,
    /// When the current generation began, or `None` before the first part.
    began_at: Option<Instant>,
}

impl RecentParts {
    /// Inserts a part.
    pub(crate) fn insert(&mut self, now: Instant, part: PartId) {
        let generations = self.generations_since(now);
        if generations >= 1 || self.current.len() >= MAX_PARTS_PER_GENERATION {
            self.previous = match generations {
                0 | 1 => std::mem::take(&mut self.current),
                _ => HashSet::new(),
            };
            self.current.clear();
            self.began_at = Some(now);
        }
        self.began_at.get_or_insert(now);
        self.current.insert(part);
    }

    /// Returns whether a part was inserted recently.
    pub(crate) fn contains(&self, now: Instant, part: PartId) -> bool {
        match self.generations_since(now) {
            0 => self.current.contains(&part) || self.previous.contains(&part),
            1 => self.current.contains(&part),
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
        let mut parts = RecentParts::default();
        parts.insert(now, 1);
        assert!(parts.contains(now + GENERATION_TIME, 1));
        parts.insert(now + GENERATION_TIME, 2);
        assert!(parts.contains(now + GENERATION_TIME, 1));
        parts.insert(now + GENERATION_TIME * 2, 3);
        assert!(!parts.contains(now + GENERATION_TIME * 2, 1));
        assert!(parts.contains(now + GENERATION_TIME * 2, 2));
        assert!(!parts.contains(now + GENERATION_TIME * 4, 3));
    }

    #[test]
    fn insert_is_bounded() {
        let now = Instant::now();
        let mut parts = RecentParts::default();
        for part in 0..5 * MAX_PARTS_PER_GENERATION as u64 {
            parts.insert(now, part);
        }
        let held = parts.current.len() + parts.previous.len();
        assert!(held <= 2 * MAX_PARTS_PER_GENERATION, "{held}");
    }
}
