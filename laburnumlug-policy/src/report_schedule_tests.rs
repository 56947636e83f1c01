use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn next(schedule: &mut ReportSchedule, now: Instant, pending: &[u64]) -> Option<u64> {
    schedule.next(now, pending.iter().copied())
}

/// An outage of the receiver must not end in a burst of calls, and must not delay reports for long after it.
#[test]
fn next_backs_off_during_outage() {
    let start = Instant::now();
    let mut schedule = ReportSchedule::default();
    let mut now = start;
    let mut calls = 0;
    while now < start + Duration::from_secs(60) {
        if next(&mut schedule, now, &[4, 5]) == Some(4) {
            calls += 1;
            schedule.record(now, now, 4, ReportResult::Unknown);
        }
        now += ms(10);
    }
    assert!((30..=34).contains(&calls), "{calls}");
    assert_eq!(next(&mut schedule, now + ms(2000), &[4, 5]), Some(4));
}

#[test]
fn next_limits_rate_while_catching_up() {
    let start = Instant::now();
    let mut schedule = ReportSchedule::default();
    schedule.record(start, start + ms(2), 4, ReportResult::Accepted);
    assert_eq!(next(&mut schedule, start + ms(49), &[5]), None);
    assert_eq!(next(&mut schedule, start + ms(50), &[5]), Some(5));
}

/// A report that the receiver never accepts must not hold up the later ones.
#[test]
fn next_after_rejection() {
    let start = Instant::now();
    let mut schedule = ReportSchedule::default();
    schedule.record(start, start, 4, ReportResult::Rejected);
    assert_eq!(next(&mut schedule, start + ms(50), &[4, 5]), Some(5));
    assert_eq!(next(&mut schedule, start + ms(50), &[4]), None);
    assert_eq!(next(&mut schedule, start + ms(15_000), &[4, 5]), Some(4));
}
