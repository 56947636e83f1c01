//! Work items of a target process and the order in which they start.

use std::time::Instant;

use laburnumlug::CallerName;

/// A request that a target process has admitted or is deciding on.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Caller that sent the request.
    pub caller: CallerName,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Capacity pieces that the request holds once it has started.
    pub pieces: u64,
    /// Prompt tokens that still need prefill.
    pub prefill_tokens: f64,
    /// Predicted number of answer tokens that are still to be generated.
    pub decode_tokens: f64,
    /// Whether the request has been sent to the engine.
    pub started: bool,
}

impl WorkItem {
    /// Returns whether the engine is running prefill for the request.
    pub fn is_prefilling(&self) -> bool {
        self.started && self.prefill_tokens > 0.0
    }
}

/// Limits on what an engine runs concurrently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Capacity in pieces of 1,024 tokens.
    pub capacity_pieces: u64,
    /// Maximum number of prompts in prefill at once.
    pub prompts_at_once: usize,
}

/// Returns the index of the work item that may start now, or `None` if there is none.
///
/// Items start strictly in the order of their deadlines. If the item with the earliest deadline does not fit yet, no
/// other item overtakes it, so that requests with many pieces are not starved by requests with few.
pub fn next_to_start<'a, I>(limits: &EngineLimits, items: I) -> Option<usize>
where
    I: Iterator<Item = &'a WorkItem>,
{
    let mut held_pieces = 0;
    let mut prefilling = 0;
    let mut earliest: Option<(usize, &WorkItem)> = None;
    for (i, item) in items.enumerate() {
        if item.started {
            held_pieces += item.pieces;
            prefilling += usize::from(item.is_prefilling());
        } else if earliest.is_none_or(|(_, first)| item.deadline < first.deadline) {
            earliest = Some((i, item));
        }
    }
    let (index, item) = earliest?;
    let fits = held_pieces + item.pieces <= limits.capacity_pieces;
    (fits && prefilling < limits.prompts_at_once).then_some(index)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use quickcheck::quickcheck;

    use super::*;

    fn item(start: Instant, seconds: u64, pieces: u64, started: bool) -> WorkItem {
        WorkItem {
            caller: "a".into(),
            deadline: start + Duration::from_secs(seconds),
            pieces,
            prefill_tokens: if started { 0.0 } else { 100.0 },
            decode_tokens: 10.0,
            started,
        }
    }

    const LIMITS: EngineLimits = EngineLimits {
        capacity_pieces: 4,
        prompts_at_once: 1,
    };

    #[test]
    fn next_to_start_nothing() {
        assert_eq!(next_to_start(&LIMITS, [].iter()), None);
    }

    #[test]
    fn next_to_start_earliest_deadline() {
        let now = Instant::now();
        let items = [
            item(now, 9, 1, false),
            item(now, 3, 1, false),
            item(now, 5, 1, false),
        ];
        assert_eq!(next_to_start(&LIMITS, items.iter()), Some(1));
    }

    #[test]
    fn next_to_start_capacity_exact_and_above() {
        let now = Instant::now();
        let items = [item(now, 9, 3, true), item(now, 3, 1, false)];
        assert_eq!(next_to_start(&LIMITS, items.iter()), Some(1));
        let items = [item(now, 9, 3, true), item(now, 3, 2, false)];
        assert_eq!(next_to_start(&LIMITS, items.iter()), None);
    }

    #[test]
    fn next_to_start_no_overtaking() {
        let now = Instant::now();
        let items = [
            item(now, 9, 3, true),
            item(now, 3, 2, false),
            item(now, 4, 1, false),
        ];
        assert_eq!(next_to_start(&LIMITS, items.iter()), None);
    }

    #[test]
    fn next_to_start_one_prompt_at_once() {
        let now = Instant::now();
        let mut in_prefill = item(now, 9, 1, true);
        in_prefill.prefill_tokens = 1.0;
        let items = [in_prefill, item(now, 3, 1, false)];
        assert_eq!(next_to_start(&LIMITS, items.iter()), None);
    }

    quickcheck! {
        fn next_to_start_never_above_capacity(waiting: Vec<(u8, u8)>, capacity: u8) -> bool {
            let now = Instant::now();
            let limits = EngineLimits { capacity_pieces: u64::from(capacity), prompts_at_once: usize::MAX };
            let mut items: Vec<WorkItem> = waiting
                .into_iter()
                .map(|(seconds, pieces)| item(now, u64::from(seconds), u64::from(pieces), false))
                .collect();
            while let Some(i) = next_to_start(&limits, items.iter()) {
                items[i].started = true;
            }
            let held_pieces: u64 = items.iter().filter(|item| item.started).map(|item| item.pieces).sum();
            held_pieces <= limits.capacity_pieces
        }
    }
}
