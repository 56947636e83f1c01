use std::collections::BTreeSet;

use quickcheck::quickcheck;

use super::*;

const CFG: UsageConfig = UsageConfig {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
};

/// Unix time at which the first window of the tests begins.
const UNIX_MS: u64 = 1_767_225_600_000;
const FIRST: WindowNumber = UNIX_MS / 5000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the report that a gateway sends `at_ms` after the beginning of the first window.
fn report(sender: u64, at_ms: u64, counts: &[(u64, u64)]) -> UsageReport {
    let counts = counts.iter().map(|(window, requests)| {
        let counts = CustomerCounts::from([("a".to_string(), *requests)]);
        (FIRST + window, counts)
    });
    UsageReport {
        sender,
        window_ms: 5000,
        window_ns: 0,
        time_ms: Some(UNIX_MS + at_ms),
        counted_until_ms: Some(UNIX_MS + at_ms),
        counts: counts.collect(),
    }
}

struct Setup {
    start: Instant,
    collector: UsageCollector,
    fixed: BTreeSet<WindowNumber>,
}

impl Setup {
    /// Starts a collector at the beginning of the first window.
    fn new() -> Setup {
        let start = Instant::now();
        Setup {
            start,
            collector: UsageCollector::new(start, CFG),
            fixed: BTreeSet::new(),
        }
    }

    fn merge(&mut self, sender: u64, at_ms: u64, counts: &[(u64, u64)]) -> Vec<LateCount> {
        let report = report(sender, at_ms, counts);
        self.merge_report(at_ms, &report)
    }

    fn merge_report(&mut self, at_ms: u64, report: &UsageReport) -> Vec<LateCount> {
        let fixed = &self.fixed;
        let now = self.start + ms(at_ms);
        self.collector.merge(now, report, |w| fixed.contains(&w))
    }

    /// Returns the window that is due, counted from the first one, and the requests of customer `a`.
    fn due(&self, at_ms: u64) -> Option<(u64, u64)> {
        let now = self.start + ms(at_ms);
        let fix = self.collector.due(now, |w| self.fixed.contains(&w))?;
        Some((fix.window - FIRST, fix.counts["a"]))
    }
}

#[test]
fn due_once_all_gateways_have_reported() {
    let mut setup = Setup::new();
    setup.merge(1, 4900, &[(0, 3)]);
    setup.merge(2, 4950, &[(0, 4)]);
    assert_eq!(setup.due(5050), None);
    setup.merge(1, 5200, &[(0, 5), (1, 1)]);
    assert_eq!(setup.due(5200), None);
    setup.merge(2, 5250, &[]);
    assert_eq!(setup.due(5250), Some((0, 9)));
    setup.fixed.insert(FIRST);
    assert_eq!(setup.due(5250), None);
}

/// A gateway that is silent, or whose answers are outstanding, must not delay the report until it is late.
#[test]
fn due_without_silent_gateway() {
    let mut setup = Setup::new();
    setup.merge(1, 4900, &[(0, 3)]);
    for at_ms in (500..=10_000).step_by(500) {
        let mut report = report(2, at_ms, &[(0, 4)]);
        report.counted_until_ms = Some(UNIX_MS + 3000);
        setup.merge_report(at_ms, &report);
    }
    assert_eq!(setup.due(9900), None);
    assert_eq!(setup.due(10_000), Some((0, 7)));
}

/// A leader that was just restarted does not know yet what gateways have counted.
#[test]
fn due_after_restart() {
    let mut setup = Setup::new();
    let start_of_replica = 20_000;
    setup.collector.started_at = setup.start + ms(start_of_replica);
    setup.merge(1, start_of_replica + 100, &[(0, 3)]);
    assert_eq!(setup.due(start_of_replica + 200), None);
    setup.merge(2, start_of_replica + 700, &[(0, 4)]);
    assert_eq!(setup.due(start_of_replica + 2000), Some((0, 7)));
}

/// The clock of one gateway must neither fix windows early nor create windows in the future.
#[test]
fn due_with_wrong_clock_of_one_gateway() {
    let mut setup = Setup::new();
    for at_ms in (500..=4500).step_by(500) {
        setup.merge(1, at_ms, &[(0, 3)]);
        setup.merge(2, at_ms, &[(0, 4)]);
        let mut wrong = report(3, at_ms + 3_600_000, &[(720, 9)]);
        wrong.counted_until_ms = None;
        setup.merge_report(at_ms, &wrong);
    }
    assert_eq!(setup.due(4500), None);
    assert!(setup.collector.gateways[&3].windows.is_empty());
}

/// Requests that are reported too late must be visible, but only those: totals are reported again after a reconnection.
#[test]
fn merge_after_fixing() {
    let mut setup = Setup::new();
    setup.merge(1, 5200, &[(0, 3)]);
    setup.fixed.insert(FIRST);
    assert_eq!(setup.merge(1, 5700, &[(0, 3)]), []);
    let late = LateCount {
        window: FIRST,
        gateway: 1,
        requests: 2,
    };
    assert_eq!(setup.merge(1, 6200, &[(0, 5)]), [late]);
    assert_eq!(setup.merge(1, 6700, &[(0, 5)]), []);
}

/// Neither days of operation nor a leader that never fixes anything may exhaust the memory.
#[test]
fn merge_keeps_bounded_windows() {
    let mut setup = Setup::new();
    for window in 0..500 {
        setup.merge(window % 3, window * 5000, &[(window, 1)]);
    }
    let kept = |setup: &Setup| setup.collector.count_from(0);
    assert_eq!(kept(&setup), 65);
    for window in 0..500 {
        setup.fixed.insert(FIRST + window);
    }
    setup.merge(0, 500 * 5000, &[]);
    assert_eq!(kept(&setup), 16);
    setup.merge(9, 600 * 5000, &[]);
    setup.merge(9, 600 * 5000 + 1, &[]);
    assert_eq!(setup.collector.gateways(), 1);
}

quickcheck! {
    /// Reports that arrive twice, out of order or not at all must never count a request twice, and the last ones decide.
    fn merge_counts_each_request_once(order: Vec<(u8, u8)>) -> bool {
        let mut setup = Setup::new();
        let last = |sender: u64| 20 + sender;
        for (sender, requests) in order {
            let sender = u64::from(sender % 3);
            let requests = u64::from(requests) % last(sender);
            setup.merge(sender, 3000, &[(0, requests + 1)]);
        }
        for sender in 0..3 {
            setup.merge(sender, 5500, &[(0, last(sender))]);
        }
        setup.due(5500) == Some((0, last(0) + last(1) + last(2)))
    }
}

/// Guards against counts that are merged although the gateway numbers its windows by another length.
#[test]
fn merge_window_with_other_fraction() {
    let mut setup = Setup::new();
    let mut other = report(1, 100, &[(0, 3)]);
    other.set_window(CFG.window + Duration::from_micros(400));
    setup.merge_report(100, &other);
    assert_eq!(setup.collector.gateways(), 0);
    other.set_window(CFG.window);
    setup.merge_report(100, &other);
    assert_eq!(setup.collector.gateways(), 1);
}
