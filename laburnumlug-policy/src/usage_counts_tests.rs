use quickcheck::quickcheck;

use super::*;

const WINDOW: Duration = Duration::from_secs(5);

const fn at(window: u64) -> Duration {
    Duration::from_secs(window * 5 + 1)
}

/// Sets the totals of `changed` in `known`, as control does.
fn merge(known: &mut BTreeMap<WindowNumber, CustomerCounts>, changed: &ChangedCounts) {
    for (window, counts) in &changed.counts {
        known.entry(*window).or_default().extend(counts.clone());
    }
}

quickcheck! {
    /// A receiver that merges changes, some of them after missed answers, must end with exactly the counts of the requests.
    fn changes_since_reach_the_truth(requests: Vec<(u8, u8, Option<bool>)>) -> bool {
        let mut counts = UsageCounts::new(WINDOW);
        let (mut known, mut acknowledged) = (BTreeMap::new(), 0);
        let mut truth: BTreeMap<WindowNumber, CustomerCounts> = BTreeMap::new();
        for (window, customer, poll) in requests {
            let (window, customer) = (100 + u64::from(window % 12), (customer % 5).to_string());
            counts.count(at(111), at(window), &customer);
            *truth.entry(window).or_default().entry(customer).or_default() += 1;
            if let Some(is_answered) = poll {
                let changed = counts.changes_since(acknowledged, 2);
                merge(&mut known, &changed);
                acknowledged = if is_answered { changed.last_change } else { acknowledged };
            }
        }
        while !counts.changes_since(acknowledged, 2).is_complete {
            let changed = counts.changes_since(acknowledged, 2);
            merge(&mut known, &changed);
            acknowledged = changed.last_change;
        }
        merge(&mut known, &counts.changes_since(acknowledged, 2));
        known == truth
    }
}

/// Memory must not grow with time or customers that are gone.
#[test]
fn count_old_windows_are_dropped() {
    let mut counts = UsageCounts::new(WINDOW);
    for window in 0..100 {
        assert!(counts.count(at(window), at(window), "a"));
    }
    let changed = counts.changes_since(0, 1000);
    assert_eq!(changed.counts.len(), 12);
    assert_eq!(counts.changes.len(), 12);
    assert!(!counts.count(at(99), at(87), "a"));
}

/// A count in the future, made while the clock was wrong, must not block the later ones.
#[test]
fn count_after_clock_set_back() {
    let mut counts = UsageCounts::new(WINDOW);
    assert!(counts.count(at(5000), at(5000), "a"));
    assert!(!counts.count(at(100), at(101), "a"));
    assert!(counts.count(at(100), at(100), "a"));
    assert_eq!(counts.changes_since(0, 10).counts.len(), 1);
}

/// Guards against requests in the wrong window, hours away, because the length of the windows was cut to whole milliseconds.
#[test]
fn window_at_length_with_fraction() {
    let length = Duration::from_micros(9_999_600);
    let now = Duration::from_secs(1_767_225_600);
    let window = window_at(now, length);
    assert_eq!(window, 176_729_629);
    assert!(window_end(window - 1, length) <= now && now < window_end(window, length));
    assert_eq!(window_end(0, length), length);
}
