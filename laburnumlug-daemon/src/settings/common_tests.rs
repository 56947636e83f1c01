use super::*;

#[test]
fn parse_total_memory_of_small_machine() {
    let text = "MemTotal:         196608 kB\nMemFree:           98304 kB\n";
    assert_eq!(parse_total_memory(text), Some(192 * 1024 * 1024));
    assert_eq!(parse_total_memory("MemFree: 98304 kB\n"), None);
}
