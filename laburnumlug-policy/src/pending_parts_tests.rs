use super::*;
use crate::kv_cache::{CacheMatch, KvCacheEstimate};

/// A part stays pending until the last queued prompt with it has left the queue, in whatever order they do.
#[test]
fn pending_parts_of_several_prompts() {
    let first = PromptParts::from_parts(vec![(1, 9_000), (2, 400)]);
    let second = PromptParts::from_parts(vec![(1, 9_000), (3, 500)]);
    let mut pending = PendingParts::default();
    pending.add(&first, 4);
    pending.add(&second, 6);
    pending.remove(&first);
    assert_eq!((pending.priority(1), pending.priority(2)), (Some(6), None));
    pending.remove(&second);
    pending.remove(&second);
    assert_eq!(pending.priority(1), None);
}

/// What is cached only behind a pending part is of use only when that part has been prefilled.
#[test]
fn match_prompt_cached_part_behind_pending_one() {
    let mut cache = KvCacheEstimate::new(100_000);
    cache.insert(&PromptParts::from_parts(vec![(1, 100), (3, 50)]));
    let mut pending = PendingParts::default();
    pending.add(&PromptParts::from_parts(vec![(2, 9_000), (9, 1)]), 5);
    let prompt = PromptParts::from_parts(vec![(1, 100), (2, 9_000), (3, 50), (4, 7)]);
    let expected = CacheMatch {
        cached_tokens: 100,
        expected_tokens: 9_150,
        pending_priority: Some(5),
    };
    assert_eq!(cache.match_prompt(&prompt, &pending), expected);
}
