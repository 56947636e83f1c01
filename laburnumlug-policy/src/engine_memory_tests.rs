use super::*;

const MEMORY: u64 = 623_865;

/// A prefill engine keeps each prompt until the decode engine has fetched it. The kept prompts use memory, but not for ever.
#[test]
fn used_with_kept_prompts() {
    let now = Instant::now();
    let mut memory = EngineMemory::default();
    memory.assign(9_000);
    memory.assign(4_000);
    memory.keep_handle(now, 9_000);
    assert_eq!(memory.used(now), 13_000);
    memory.release(4_000);
    assert_eq!(memory.used(now + MAX_HANDLE_TIME / 2), 9_000);
    assert_eq!(memory.used(now + MAX_HANDLE_TIME), 0);
}

/// Seven prompts of 90,000 tokens would crash an engine, although it has 128 slots.
#[test]
fn memory_excess_long_prompts() {
    assert_eq!(memory_excess(MEMORY, 5 * 90_500, 90_500, 5, 128), 0);
    assert!(memory_excess(MEMORY, 6 * 90_500, 90_500, 6, 128) > 70_000);
}

/// Twice as many requests as slots use no more memory than those that run at once.
#[test]
fn memory_excess_waiting_requests() {
    assert_eq!(memory_excess(MEMORY, 255 * 4_000, 4_000, 255, 128), 0);
    assert!(memory_excess(MEMORY, 255 * 5_000, 5_000, 255, 128) > 0);
}
