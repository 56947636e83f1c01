//! Counts that gateways have reported to this replica, and which windows can be fixed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumlug::{CustomerCounts, Incarnation, UsageReport, WindowNumber};
use laburnumlug_policy::{ClockOffset, window_at, window_end};

use super::{UsageConfig, UsageFix};

/// Number of windows before the present one that are kept if they are fixed. Gateways keep fewer, and counts that they
/// report once more must be recognised.
const RETAINED_WINDOWS: u64 = 16;

/// Number of windows before the present one that are kept if they are not fixed, as while no leader can be elected.
const RETAINED_UNFIXED_WINDOWS: u64 = 64;

/// Maximum number of counts that are kept, about 30 MB; the oldest windows are dropped first.
const MAX_COUNTS: usize = 300_000;

/// Maximum number of gateways, including restarted ones whose counts are still kept.
const MAX_GATEWAYS: usize = 4096;

/// Time after the start of this process in which gateways reconnect and report again what they have counted.
const RECONNECT_TIME: Duration = Duration::from_secs(2);

/// Margin by which a gateway's time must be past the end of a window: its estimate of true time changes by a few
/// milliseconds from one report to the next.
const WINDOW_END_MARGIN: Duration = Duration::from_millis(100);

/// Counts of one incarnation of a gateway.
#[derive(Clone, Debug, Default)]
struct GatewayCounts {
    heard_at: Option<Instant>,
    /// Unix time up to which the gateway has reported all requests.
    counted_until: Option<Duration>,
    windows: BTreeMap<WindowNumber, CustomerCounts>,
}

/// Requests that were reported after their window was fixed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LateCount {
    pub(crate) window: WindowNumber,
    pub(crate) gateway: Incarnation,
    pub(crate) requests: u64,
}

/// Counts that gateways have reported to this replica.
///
/// Gateways report totals, so that only the highest one of each gateway, window and customer counts.
#[derive(Clone, Debug)]
pub(crate) struct UsageCollector {
    cfg: UsageConfig,
    started_at: Instant,
    clock: ClockOffset<Incarnation>,
    gateways: BTreeMap<Incarnation, GatewayCounts>,
}

impl UsageCollector {
    pub(crate) fn new(now: Instant, cfg: UsageConfig) -> UsageCollector {
        UsageCollector {
            cfg,
            started_at: now,
            clock: ClockOffset::default(),
            gateways: BTreeMap::new(),
        }
    }

    /// Merges a report; returns the requests in it that began in windows which `is_fixed` already.
    pub(crate) fn merge<F>(
        &mut self,
        now: Instant,
        report: &UsageReport,
        is_fixed: F,
    ) -> Vec<LateCount>
    where
        F: Fn(WindowNumber) -> bool,
    {
        let is_known = self.gateways.contains_key(&report.sender);
        if report.window() != self.cfg.window || (!is_known && self.gateways.len() >= MAX_GATEWAYS)
        {
            return Vec::new();
        }
        let local = now.saturating_duration_since(self.started_at);
        if let Some(time_ms) = report.time_ms {
            let unix_time = Duration::from_millis(time_ms);
            self.clock.record(report.sender, local, local, unix_time);
        }
        let Some(current) = self.current_window(now) else {
            return Vec::new();
        };
        let gateway = self.gateways.entry(report.sender).or_default();
        gateway.heard_at = Some(now);
        let counted_until = report.counted_until_ms.map(Duration::from_millis);
        gateway.counted_until = gateway.counted_until.max(counted_until);
        let mut late = Vec::new();
        for (window, counts) in &report.counts {
            if *window > current + 1 || window + RETAINED_UNFIXED_WINDOWS < current {
                continue;
            }
            let requests = merge_counts(gateway.windows.entry(*window).or_default(), counts);
            if requests > 0 && is_fixed(*window) {
                late.push(LateCount {
                    window: *window,
                    gateway: report.sender,
                    requests,
                });
            }
        }
        self.evict(now, current, is_fixed);
        late
    }

    /// Returns the oldest window that has counts, is not fixed and can be fixed now, with the sum of its counts.
    ///
    /// That is as soon as all gateways have reported past its end, or at the latest when half of the time until its report
    /// is due has passed. Gateways that have been silent for that long are not waited for.
    pub(crate) fn due<F>(&self, now: Instant, is_fixed: F) -> Option<UsageFix>
    where
        F: Fn(WindowNumber) -> bool,
    {
        let windows = self.gateways.values().flat_map(|g| g.windows.keys());
        let window = *windows.filter(|window| !is_fixed(**window)).min()?;
        let uptime = now.saturating_duration_since(self.started_at);
        let unix_time = self.clock.unix_time(uptime, 1)?;
        let end = self.end_of(window);
        let is_overdue = unix_time >= end + self.cfg.late / 2;
        let has_passed = |gateway: &GatewayCounts| {
            let counted_until = gateway.counted_until;
            counted_until.is_some_and(|until| until >= end + WINDOW_END_MARGIN)
        };
        let is_active = |gateway: &&GatewayCounts| {
            let heard_at = gateway.heard_at;
            heard_at.is_some_and(|at| now.saturating_duration_since(at) < self.cfg.late / 2)
        };
        let is_complete = self.gateways.values().filter(is_active).all(has_passed);
        let is_due = uptime >= RECONNECT_TIME && (is_overdue || is_complete && unix_time >= end);
        is_due.then(|| UsageFix {
            window,
            counts: self.sum(window),
        })
    }

    /// Returns how long ago a window ended.
    pub(crate) fn time_since(&self, now: Instant, window: WindowNumber) -> Option<Duration> {
        let uptime = now.saturating_duration_since(self.started_at);
        let unix_time = self.clock.unix_time(uptime, 1)?;
        unix_time.checked_sub(self.end_of(window))
    }

    /// Returns the number of gateways whose counts are kept.
    pub(crate) fn gateways(&self) -> usize {
        self.gateways.len()
    }

    pub(super) fn sum(&self, window: WindowNumber) -> CustomerCounts {
        let mut sum = CustomerCounts::new();
        for counts in self
            .gateways
            .values()
            .filter_map(|g| g.windows.get(&window))
        {
            for (customer, requests) in counts {
                let total = sum.entry(customer.clone()).or_default();
                *total = total.saturating_add(*requests);
            }
        }
        sum
    }

    fn end_of(&self, window: WindowNumber) -> Duration {
        window_end(window, self.cfg.window)
    }

    fn current_window(&self, now: Instant) -> Option<WindowNumber> {
        let uptime = now.saturating_duration_since(self.started_at);
        let unix_time = self.clock.unix_time(uptime, 1)?;
        Some(window_at(unix_time, self.cfg.window))
    }

    /// Drops windows that are too old or too many, and gateways that are silent and have no counts.
    fn evict<F>(&mut self, now: Instant, current: WindowNumber, is_fixed: F)
    where
        F: Fn(WindowNumber) -> bool,
    {
        let silence = self.cfg.late;
        let mut oldest = current.saturating_sub(RETAINED_UNFIXED_WINDOWS);
        while self.count_from(oldest) > MAX_COUNTS {
            oldest += 1;
        }
        let fixed_oldest = current.saturating_sub(RETAINED_WINDOWS);
        let mut lost: BTreeMap<WindowNumber, u64> = BTreeMap::new();
        self.gateways.retain(|_, gateway| {
            gateway.windows.retain(|window, counts| {
                let is_fixed = is_fixed(*window);
                let is_kept = *window >= oldest && (!is_fixed || *window >= fixed_oldest);
                if !is_kept && !is_fixed {
                    *lost.entry(*window).or_default() += counts.values().sum::<u64>();
                }
                is_kept
            });
            let is_silent = |at: Instant| now.saturating_duration_since(at) > silence;
            !gateway.windows.is_empty() || !gateway.heard_at.is_none_or(is_silent)
        });
        for (window, requests) in lost {
            log::error!(
                window = window, requests = requests;
                "the usage of a window is lost: it could not be fixed for too long"
            );
        }
    }

    /// Returns the number of counts of the windows from `oldest`.
    fn count_from(&self, oldest: WindowNumber) -> usize {
        let windows = self
            .gateways
            .values()
            .flat_map(|g| g.windows.range(oldest..));
        windows.map(|(_, counts)| counts.len()).sum()
    }
}

/// Raises the totals in `known` to those in `reported`; returns the sum of the increases.
fn merge_counts(known: &mut CustomerCounts, reported: &CustomerCounts) -> u64 {
    let mut increase = 0;
    for (customer, requests) in reported {
        let total = known.entry(customer.clone()).or_default();
        increase += requests.saturating_sub(*total);
        *total = (*total).max(*requests);
    }
    increase
}

#[cfg(test)]
#[path = "collector_tests.rs"]
mod tests;
