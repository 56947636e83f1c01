use super::*;

/// All gateways restart, and 54 engines have 1,500 parts each. A gateway with a link of 7.5 Mbit/s sends its pieces to 17
/// others; prompts and answers must have more than half of the link. The large parts must be known within a second.
#[test]
fn cache_reports_leave_room_on_slow_links() {
    let parts: Vec<(PartId, u64)> = (0..1_500).map(|i| (u64::MAX - i, i * 37 % 9_000)).collect();
    let reports = cache_reports(parts.clone());
    // Encoded, an id has 9 bytes, a number of tokens 3 and the pair 1.
    let longest = reports.iter().map(|report| report.len() * 13).max();
    let bits_per_second =
        longest.unwrap() as f64 * 8.0 * 17.0 / CACHE_REPORT_INTERVAL.as_secs_f64();
    assert!(bits_per_second < 7.5e6 / 2.0, "{bits_per_second}");
    let within_half_second = &reports[..10];
    let reported: u64 = within_half_second.iter().flatten().map(|part| part.1).sum();
    let all: u64 = parts.iter().map(|part| part.1).sum();
    assert!(reported * 3 > all * 2, "{reported} of {all}");
    let mut received = reports.concat();
    received.sort();
    let mut sent = parts;
    sent.sort();
    assert_eq!(received, sent);
}

#[test]
fn cache_reports_of_empty_cache() {
    assert_eq!(cache_reports(Vec::new()), [Vec::new()]);
}
