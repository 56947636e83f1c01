//! Usage at one replica: what gateways report to it, and what it fixes and reports as the leader.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use laburnumlug::{CustomerCounts, UsageReport, WindowNumber};
use serde_json::{Value, json};

use super::{UsageCollector, UsageConfig, UsageFix, UsageTotals};
use crate::replica::Replica;

/// Counts, totals and status of one replica.
pub(crate) struct Usage {
    cfg: UsageConfig,
    collector: RefCell<UsageCollector>,
    totals: Cell<UsageTotals>,
}

impl Usage {
    pub(crate) fn new(now: Instant, cfg: UsageConfig) -> Usage {
        Usage {
            cfg,
            collector: RefCell::new(UsageCollector::new(now, cfg)),
            totals: Cell::default(),
        }
    }

    fn update_totals<F>(&self, update: F)
    where
        F: FnOnce(&mut UsageTotals),
    {
        let mut totals = self.totals.get();
        update(&mut totals);
        self.totals.set(totals);
    }
}

impl Replica {
    /// Merges what a gateway reports; does nothing if no usage is reported to the platform.
    pub(crate) fn record_usage(&self, now: Instant, report: &UsageReport) {
        let Some(usage) = self.usage() else {
            return;
        };
        let late = self.with_state(|state| {
            let is_fixed = |window| state.usage().is_fixed(window);
            usage.collector.borrow_mut().merge(now, report, is_fixed)
        });
        for late in late {
            usage.update_totals(|totals| totals.late_requests += late.requests);
            if self.is_leader(now) {
                log::warn!(
                    window = late.window, gateway = late.gateway, requests = late.requests;
                    "requests were reported after their window was fixed and are not counted"
                );
            }
        }
    }

    /// Returns the oldest window that can be fixed now, with its counts.
    pub fn due_usage(&self, now: Instant) -> Option<UsageFix> {
        let usage = self.usage()?;
        let collector = usage.collector.borrow();
        self.with_state(|state| collector.due(now, |window| state.usage().is_fixed(window)))
    }

    /// Returns the windows that are fixed and whose report was not accepted yet, oldest first.
    pub fn pending_usage(&self) -> Vec<WindowNumber> {
        self.with_state(|state| state.usage().pending().collect())
    }

    /// Returns the counts of a window that is fixed and whose report was not accepted yet.
    pub fn pending_usage_counts(&self, window: WindowNumber) -> Option<CustomerCounts> {
        self.with_state(|state| state.usage().pending_counts(window).cloned())
    }

    /// Returns how long ago a window ended by true time, if that is known.
    pub fn time_since_window(&self, now: Instant, window: WindowNumber) -> Option<Duration> {
        let usage = self.usage()?;
        usage.collector.borrow().time_since(now, window)
    }

    /// Records that this replica fixed a window.
    pub fn record_usage_fixed(&self) {
        if let Some(usage) = self.usage() {
            usage.update_totals(|totals| totals.fixed += 1);
        }
    }

    /// Records that the platform has accepted a report of this replica, after the time `since_end` since the window's end.
    pub fn record_usage_reported(&self, since_end: Option<Duration>) {
        if let Some(usage) = self.usage() {
            let is_late = since_end.is_some_and(|time| time > usage.cfg.late);
            usage.update_totals(|totals| {
                totals.reported += 1;
                totals.reported_late += u64::from(is_late);
            });
        }
    }

    /// Returns what this replica has done about usage since its start, or `None` if no usage is reported.
    pub fn usage_totals(&self) -> Option<UsageTotals> {
        Some(self.usage()?.totals.get())
    }

    /// Returns the state of the usage reports as the operator interface shows it, or `Null` if there are none.
    pub(crate) fn usage_json(&self) -> Value {
        let Some(usage) = self.usage() else {
            return Value::Null;
        };
        json!({
            "pending_windows": self.pending_usage(),
            "gateways": usage.collector.borrow().gateways(),
        })
    }
}
