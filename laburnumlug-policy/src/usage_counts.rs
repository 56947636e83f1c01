//! Numbers of requests by window and customer, and what of them has changed.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use laburnumlug::{CustomerCounts, CustomerName, WindowNumber};

/// Number of windows, the present one included, for which counts are kept.
const RETAINED_WINDOWS: u64 = 12;

/// Number of a change of a count; later changes have higher numbers, and the first one has number 1.
pub type ChangeNumber = u64;

/// Count of one customer in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u64,
    last_change: ChangeNumber,
}

/// Counts that have changed after a given change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangedCounts {
    /// Total of each count that has changed.
    pub counts: BTreeMap<WindowNumber, CustomerCounts>,
    /// Number of the newest change that is included.
    pub last_change: ChangeNumber,
    /// Whether all changes up to now are included.
    pub is_complete: bool,
}

/// Numbers of requests by window and customer, as one process counts them.
///
/// Only what changed is sent, as a process can count requests of thousands of customers and reports several times a second.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    window: Duration,
    last_change: ChangeNumber,
    windows: BTreeMap<WindowNumber, HashMap<CustomerName, Count>>,
    /// The latest change of each count.
    changes: BTreeMap<ChangeNumber, (WindowNumber, CustomerName)>,
}

impl UsageCounts {
    /// Creates empty counts for windows of this length.
    pub fn new(window: Duration) -> UsageCounts {
        UsageCounts {
            window,
            last_change: 0,
            windows: BTreeMap::new(),
            changes: BTreeMap::new(),
        }
    }

    /// Counts a request that began to run at `began_at`; both times are Unix times.
    ///
    /// Returns `false` if its window is no longer kept or has not begun.
    pub fn count(&mut self, now: Duration, began_at: Duration, customer: &str) -> bool {
        let (current, window) = (self.window_at(now), self.window_at(began_at));
        self.retain_windows(current);
        if !is_retained(current, window) {
            return false;
        }
        let counts = self.windows.entry(window).or_default();
        let count = counts.entry(customer.to_string()).or_default();
        self.last_change += 1;
        self.changes.remove(&count.last_change);
        self.changes
            .insert(self.last_change, (window, customer.to_string()));
        count.requests += 1;
        count.last_change = self.last_change;
        true
    }

    /// Returns the counts that have changed after change `known`, at most `limit` of them and oldest changes first.
    pub fn changes_since(&self, known: ChangeNumber, limit: usize) -> ChangedCounts {
        let mut changed = ChangedCounts {
            last_change: known,
            ..ChangedCounts::default()
        };
        let mut changes = self.changes.range(known + 1..);
        for (number, (window, customer)) in changes.by_ref().take(limit) {
            let count = self.windows.get(window).and_then(|w| w.get(customer));
            let requests = count.map_or(0, |count| count.requests);
            let counts = changed.counts.entry(*window).or_default();
            counts.insert(customer.clone(), requests);
            changed.last_change = *number;
        }
        changed.is_complete = changes.next().is_none();
        changed
    }

    fn window_at(&self, unix_time: Duration) -> WindowNumber {
        window_at(unix_time, self.window)
    }

    fn retain_windows(&mut self, current: WindowNumber) {
        if self
            .windows
            .keys()
            .all(|window| is_retained(current, *window))
        {
            return;
        }
        self.windows
            .retain(|window, _| is_retained(current, *window));
        self.changes
            .retain(|_, (window, _)| is_retained(current, *window));
    }
}

/// Returns the window that contains a Unix time.
pub fn window_at(unix_time: Duration, window: Duration) -> WindowNumber {
    let number = unix_time.as_nanos() / window.as_nanos().max(1);
    WindowNumber::try_from(number).unwrap_or(WindowNumber::MAX)
}

/// Returns the Unix time at which a window ends.
pub fn window_end(window: WindowNumber, length: Duration) -> Duration {
    let nanos = (u128::from(window) + 1).saturating_mul(length.as_nanos());
    let seconds = u64::try_from(nanos / 1_000_000_000).unwrap_or(u64::MAX);
    Duration::new(seconds, (nanos % 1_000_000_000) as u32)
}

fn is_retained(current: WindowNumber, window: WindowNumber) -> bool {
    window <= current && window + RETAINED_WINDOWS > current
}

#[cfg(test)]
#[path = "usage_counts_tests.rs"]
mod tests;
