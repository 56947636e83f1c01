use super::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against a signal that counts from when a paused process runs again, also if a check comes before the signal is noticed.
#[test]
fn signalled_since_begin_of_pause() {
    let now = Instant::now();
    let mut detector = PauseDetector::new(now, 100 * MS);
    assert_eq!(detector.signalled_since(now + 30 * MS), now + 30 * MS);
    detector.record_check(now + 100 * MS);
    assert_eq!(detector.signalled_since(now + 250 * MS), now + 250 * MS);
    let (begin, end) = (now + 100 * MS, now + 1100 * MS);
    assert_eq!(detector.signalled_since(end), begin);
    detector.record_check(end);
    assert_eq!(detector.signalled_since(end + MS), begin);
    detector.record_check(end + 100 * MS);
    assert_eq!(detector.signalled_since(end + 150 * MS), end + 150 * MS);
}

/// Guards against a process that is always late, and takes a signal for one that was sent when it last was on time.
#[test]
fn signalled_since_with_late_checks() {
    let now = Instant::now();
    let mut detector = PauseDetector::new(now, 100 * MS);
    for check in 1..=10 {
        detector.record_check(now + check * 200 * MS);
    }
    let noticed_at = now + 2200 * MS;
    assert_eq!(detector.signalled_since(noticed_at), now + 1800 * MS);
}
