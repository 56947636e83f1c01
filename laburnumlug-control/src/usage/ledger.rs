//! Replicated state of usage reports: the windows that are fixed, and those whose report was accepted.

use std::collections::{BTreeMap, BTreeSet};

use laburnumlug::{CustomerCounts, WindowNumber};
use serde::{Deserialize, Serialize};

/// Number of accepted windows that are stored one by one; all windows before them count as accepted, too.
const MAX_ACKNOWLEDGED: usize = 1024;

/// Maximum number of stored counts, about 10 MB in memory and in a snapshot. While the platform accepts no reports, that is
/// enough for 2,000 windows of 100 customers.
const MAX_FIXED_COUNTS: usize = 200_000;

/// Counts of one window, as they are to be reported.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageFix {
    /// Number of the window.
    pub window: WindowNumber,
    /// Number of requests of each customer.
    pub counts: CustomerCounts,
}

/// Outcome of an attempt to fix the counts of a window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UsageFixOutcome {
    /// The counts are fixed.
    Fixed,
    /// The window had been fixed before; its counts are unchanged.
    AlreadyFixed,
    /// Too many counts wait to be reported.
    Full,
}

/// Windows that are fixed, and those of them whose report was accepted.
///
/// The counts of a window never change once they are fixed, so that all reports of it are the same.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct UsageLedger {
    /// Counts of the windows whose report was not accepted yet.
    fixed: BTreeMap<WindowNumber, CustomerCounts>,
    /// Number of counts in `fixed`.
    fixed_counts: usize,
    /// Windows whose report was accepted.
    acknowledged: BTreeSet<WindowNumber>,
    /// Windows below this one can no longer be fixed.
    floor: WindowNumber,
}

impl UsageLedger {
    /// Fixes the counts of a window, unless that has been done before.
    pub(crate) fn fix(&mut self, fix: UsageFix) -> UsageFixOutcome {
        if self.is_fixed(fix.window) {
            return UsageFixOutcome::AlreadyFixed;
        }
        let fixed_counts = self.fixed_counts + fix.counts.len();
        // A single window is always accepted, as its size is limited by that of a command.
        if fixed_counts > MAX_FIXED_COUNTS && !self.fixed.is_empty() {
            return UsageFixOutcome::Full;
        }
        self.fixed_counts = fixed_counts;
        self.fixed.insert(fix.window, fix.counts);
        UsageFixOutcome::Fixed
    }

    /// Records that the report of a window was accepted; returns whether it was waiting for that.
    pub(crate) fn acknowledge(&mut self, window: WindowNumber) -> bool {
        let Some(counts) = self.fixed.remove(&window) else {
            return false;
        };
        self.fixed_counts -= counts.len();
        self.acknowledged.insert(window);
        while self.acknowledged.len() > MAX_ACKNOWLEDGED
            && let Some(oldest) = self.acknowledged.pop_first()
        {
            self.floor = self.floor.max(oldest + 1);
        }
        true
    }

    /// Returns whether the counts of a window can no longer change.
    pub(crate) fn is_fixed(&self, window: WindowNumber) -> bool {
        window < self.floor
            || self.fixed.contains_key(&window)
            || self.acknowledged.contains(&window)
    }

    /// Returns the windows whose report was not accepted yet, oldest first.
    pub(crate) fn pending(&self) -> impl Iterator<Item = WindowNumber> {
        self.fixed.keys().copied()
    }

    /// Returns the counts of a window whose report was not accepted yet.
    pub(crate) fn pending_counts(&self, window: WindowNumber) -> Option<&CustomerCounts> {
        self.fixed.get(&window)
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
