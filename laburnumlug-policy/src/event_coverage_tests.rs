use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a coverage of two listed gateways that are connected over paths of their own, and the present time.
fn connected() -> (EventCoverage, BootTime) {
    let now = BootTime::from_reading(100 * SECOND);
    let mut coverage = EventCoverage::default();
    coverage.set_listed(now, 2);
    for sender in [1, 2] {
        coverage.record_message(now, sender);
        coverage.record_snapshot(now, sender, sender);
    }
    (coverage, now)
}

#[test]
fn missing_at_until_snapshots() {
    let now = BootTime::from_reading(100 * SECOND);
    let mut coverage = EventCoverage::default();
    assert_eq!(coverage.missing_at(now), None);
    coverage.set_listed(now, 1);
    assert_eq!(coverage.missing_at(now + SECOND), Some(now + SECOND));
    coverage.record_message(now + SECOND, 1);
    coverage.record_snapshot(now + SECOND, 1, 1);
    let later = now + SECOND + SECOND;
    assert_eq!(coverage.missing_at(later), Some(now + SECOND));
}

/// Guards against a gateway that is cut off and takes silence for the absence of events, before its connections time out.
#[test]
fn missing_at_while_connection_is_silent() {
    let (mut coverage, now) = connected();
    let later = now + 2 * SECOND;
    coverage.record_message(later, 1);
    assert_eq!(coverage.missing_at(later), Some(later));
    coverage.record_message(later, 2);
    assert_eq!(coverage.missing_at(later + SECOND), Some(later));
}

#[test]
fn missing_at_after_session_ended() {
    let (mut coverage, now) = connected();
    let half = SECOND / 2;
    coverage.record_end(now + half, 2);
    coverage.record_path_end(2);
    assert_eq!(coverage.missing_at(now + SECOND), Some(now + SECOND));
    coverage.set_listed(now + SECOND, 1);
    assert_eq!(coverage.missing_at(now + SECOND), Some(now + SECOND));
    coverage.record_message(now + SECOND, 1);
    let later = now + SECOND + half;
    assert_eq!(coverage.missing_at(later), Some(now + SECOND));
}
