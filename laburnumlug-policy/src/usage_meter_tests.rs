use super::*;

const UNIX: Duration = Duration::from_secs(1_767_225_600);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the meter of a process whose local time 0 is the beginning of window `first_window()`.
fn meter() -> UsageMeter {
    let mut meter = UsageMeter::new(1, ms(5000));
    for replica in 0..2 {
        meter.record_clock(replica, ms(0), ms(0), UNIX, 3);
    }
    meter
}

/// Returns the requests of `customer` by window, counted from the first one.
fn counted(meter: &mut UsageMeter, now: Duration, customer: &str) -> Vec<(u64, u64)> {
    let (report, _) = meter.report(now, 0);
    let first = UNIX.as_secs() / 5;
    let counts = report.counts.iter();
    let counts =
        counts.filter_map(|(window, counts)| Some((window - first, *counts.get(customer)?)));
    counts.collect()
}

/// A request that a target answered after a retry must count once, by the send to that target.
#[test]
fn close_after_retry() {
    let mut meter = meter();
    let id = meter.open("a");
    meter.record_send(ms(4900), id);
    meter.record_send(ms(5100), id);
    meter.close(ms(5200), id);
    assert_eq!(counted(&mut meter, ms(5300), "a"), [(1, 1)]);
}

/// A request without an answer may have run and must count, but not if all targets state that they have not run it.
#[test]
fn close_without_answer() {
    let mut meter = meter();
    let (lost, refused, unsent) = (
        meter.open("lost"),
        meter.open("refused"),
        meter.open("unsent"),
    );
    meter.record_send(ms(4900), lost);
    meter.record_send(ms(5100), lost);
    meter.record_not_run(lost);
    meter.record_send(ms(4900), refused);
    meter.record_not_run(refused);
    for id in [lost, refused, unsent] {
        meter.close(ms(5200), id);
    }
    assert_eq!(counted(&mut meter, ms(5300), "lost"), [(0, 1)]);
    assert_eq!(counted(&mut meter, ms(5300), "refused"), []);
    assert_eq!(counted(&mut meter, ms(5300), "unsent"), []);
}

/// A window must not be fixed while an answer to a request of it is outstanding, but not be held up by a slow one; the slow
/// one must count once.
#[test]
fn report_with_open_requests() {
    let mut meter = meter();
    let id = meter.open("a");
    meter.record_send(ms(4900), id);
    let counted_until =
        |report: UsageReport| report.counted_until_ms.unwrap() - UNIX.as_millis() as u64;
    assert_eq!(counted_until(meter.report(ms(5100), 0).0), 4900);
    assert_eq!(counted_until(meter.report(ms(7500), 0).0), 7500);
    meter.close(ms(7600), id);
    assert_eq!(counted(&mut meter, ms(7700), "a"), [(0, 1)]);
}

/// Requests served before enough clocks are known must count in the right window, whichever clock answers first.
#[test]
fn count_before_true_time_is_known() {
    let mut meter = UsageMeter::new(1, ms(5000));
    meter.record_clock(0, ms(0), ms(0), UNIX + ms(3_600_000), 3);
    meter.count(ms(100), ms(100), "a");
    let (report, _) = meter.report(ms(200), 0);
    assert_eq!((report.time_ms, report.counts.len()), (None, 0));
    for replica in 1..3 {
        meter.record_clock(replica, ms(300), ms(300), UNIX + ms(300), 3);
    }
    assert_eq!(counted(&mut meter, ms(400), "a"), [(0, 1)]);
}

/// A report that is cut off by its limit must not state that all requests are counted.
#[test]
fn report_limited() {
    let mut meter = meter();
    for i in 0..=MAX_COUNTS_PER_REPORT {
        meter.count(ms(100), ms(100), &i.to_string());
    }
    let (report, change) = meter.report(ms(200), 0);
    assert_eq!(report.counted_until_ms, None);
    let (report, _) = meter.report(ms(200), change);
    assert!(report.counted_until_ms.is_some());
    assert_eq!(report.counts[&(UNIX.as_secs() / 5)].len(), 1);
}
