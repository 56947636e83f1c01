use quickcheck::quickcheck;

use super::*;

const MS: Duration = Duration::from_millis(1);

/// Multiple of the limit, and number of requests beyond it, that a target may receive in [`WINDOW`].
const ALLOWED: (f64, f64) = (1.5, 5.0);

const WINDOW: Duration = Duration::from_secs(4);

/// Returns the largest number of requests in any window.
fn max_in_window(sent_at: &[Instant]) -> usize {
    let in_window = |begin: &Instant| {
        let end = *begin + WINDOW;
        sent_at
            .iter()
            .filter(|at| (*begin..end).contains(at))
            .count()
    };
    sent_at.iter().map(in_window).max().unwrap_or(0)
}

/// Simulates gateways that each want to send a request every `interval`, wait at most `max_wait` for it, and learn of each
/// other's requests after `delay`. Returns the times of all requests.
fn simulate(gateways: usize, limit: f64, interval: Duration, delay: Duration) -> Vec<Instant> {
    let max_wait = 600 * MS;
    let start = Instant::now();
    let mut limits = vec![RequestLimit::default(); gateways];
    for request_limit in &mut limits {
        request_limit.record_statement(start, Some(limit));
    }
    let mut sent_at = Vec::new();
    // Sender and time of the requests that the others have not learned of.
    let mut reports: Vec<(usize, Instant)> = Vec::new();
    for step in 0..20_000 {
        let now = start + step * MS;
        for (sender, _) in reports.extract_if(.., |report| report.1 + delay <= now) {
            for (i, request_limit) in limits.iter_mut().enumerate() {
                if i != sender {
                    request_limit.reserve(now);
                }
            }
        }
        for (i, request_limit) in limits.iter_mut().enumerate() {
            let offset = interval * i as u32 / gateways as u32;
            let phase = (step * MS + offset).as_millis();
            let is_due = phase.is_multiple_of(interval.as_millis());
            if is_due && request_limit.wait(now) <= max_wait {
                sent_at.push(request_limit.reserve(now));
                reports.push((i, now));
            }
        }
    }
    sent_at
}

/// Guards against the incident in which engines got far more requests than the limit that they had named.
#[test]
fn reserve_sum_over_gateways() {
    for gateways in [1, 7, 29, 70] {
        for limit in [1.2, 5.0, 40.0] {
            let interval = Duration::from_millis(50) * gateways as u32;
            let sent_at = simulate(gateways, limit, interval, 60 * MS);
            let allowed = ALLOWED.0 * limit * WINDOW.as_secs_f64() + ALLOWED.1;
            let most = max_in_window(&sent_at);
            assert!(
                most as f64 <= allowed,
                "{gateways} gateways, limit {limit}: {most}"
            );
            let wanted = (limit * 20.0).min(20.0 * 20.0);
            assert!(sent_at.len() as f64 >= 0.9 * wanted, "{}", sent_at.len());
        }
    }
}

#[test]
fn record_statement_older_is_ignored() {
    let now = Instant::now();
    let mut limit = RequestLimit::default();
    assert!(limit.record_statement(now, Some(5.0)));
    assert!(!limit.record_statement(now, Some(5.0)));
    assert!(!limit.record_statement(now - MS, None));
    assert_eq!(limit.requests_per_second(), Some(5.0));
    assert!(limit.record_statement(now + MS, None));
    assert_eq!(limit.wait(now + MS), Duration::ZERO);
}

#[test]
fn record_statement_values() {
    let now = Instant::now();
    let mut limit = RequestLimit::default();
    assert!(!limit.record_statement(now, Some(1e300)));
    assert_eq!(limit.requests_per_second(), None);
    assert!(limit.record_statement(now, Some(0.0)));
    limit.reserve(now);
    assert_eq!(limit.wait(now), Duration::from_secs(4));
}

quickcheck! {
    /// Whatever the times of requests and reports, no window has more than the stated rate and the burst allow.
    fn reserve_any_times(gaps_ms: Vec<u16>, limit: u8) -> bool {
        let limit = f64::from(limit.max(1));
        let mut now = Instant::now();
        let mut request_limit = RequestLimit::default();
        request_limit.record_statement(now, Some(limit));
        let mut sent_at = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(u64::from(gap_ms % 500));
            sent_at.push(request_limit.reserve(now));
        }
        let allowed = limit * (WINDOW + MAX_BURST_TIME).as_secs_f64() + 1.0;
        max_in_window(&sent_at) as f64 <= allowed + 1.0
    }
}
