//! Counting of the requests of customers, and the reports of the counts to the control replicas.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use laburnumlug::{BootTime, UsageReport};
use laburnumlug_policy::{ChangeNumber, MeteredId, UsageMeter};
use rand::Rng;

use crate::forwarder::Forwarder;

/// Report of counts that is being sent to a control replica.
#[derive(Clone, Debug)]
pub struct PendingUsageReport {
    /// The report.
    pub report: UsageReport,
    /// Number of the newest change in the report; once the replica has answered, the next report to it follows that change.
    pub last_change: ChangeNumber,
    sent_at: Duration,
}

/// Meter of the requests of customers; counts nothing until it is enabled.
#[derive(Default)]
pub(crate) struct UsageRecorder {
    meter: RefCell<Option<UsageMeter>>,
    /// Number of requests that were already logged as not countable.
    logged_drops: Cell<u64>,
}

impl UsageRecorder {
    fn with_meter<T, F>(&self, f: F) -> Option<T>
    where
        F: FnOnce(Duration, &mut UsageMeter) -> T,
    {
        let mut meter = self.meter.borrow_mut();
        let (result, dropped) = {
            let meter = meter.as_mut()?;
            (f(BootTime::now().since_boot(), meter), meter.dropped())
        };
        if self.logged_drops.replace(dropped) < dropped {
            log::warn!(
                requests = dropped;
                "requests are not counted: their window is no longer kept, or true time is not known"
            );
        }
        Some(result)
    }
}

impl Forwarder {
    /// Counts the requests of customers from now on, in windows of this length.
    pub fn enable_usage(&self, window: Duration) {
        let meter = UsageMeter::new(rand::rng().random(), window);
        *self.usage.meter.borrow_mut() = Some(meter);
    }

    /// Returns the length of the windows in which requests are counted, or `None` if they are not.
    pub fn usage_window(&self) -> Option<Duration> {
        self.usage.with_meter(|_, meter| meter.window())
    }

    /// Returns the counts that have changed after change `known`, or `None` if requests are not counted.
    pub fn usage_report(&self, known: ChangeNumber) -> Option<PendingUsageReport> {
        self.usage.with_meter(|now, meter| {
            let (report, last_change) = meter.report(now, known);
            PendingUsageReport {
                report,
                last_change,
                sent_at: now,
            }
        })
    }

    /// Records the Unix time that a control replica stated in its answer to a report, and the number of voters.
    pub fn record_usage_answer(
        &self,
        replica: usize,
        pending: &PendingUsageReport,
        unix_time: Duration,
        voters: usize,
    ) {
        self.usage.with_meter(|now, meter| {
            meter.record_clock(replica, pending.sent_at, now, unix_time, voters);
        });
    }

    /// Counts a request of a customer that begins to run now.
    pub(crate) fn count_usage(&self, customer: Option<&str>) {
        if let Some(customer) = customer {
            self.usage
                .with_meter(|now, meter| meter.count(now, now, customer));
        }
    }

    /// Returns a guard that counts a request of a customer by its last send that may have run.
    pub(crate) fn track_usage(self: &Rc<Self>, customer: Option<&str>) -> UsageGuard {
        let open = |customer| self.usage.with_meter(|_, meter| meter.open(customer));
        UsageGuard {
            forwarder: self.clone(),
            id: customer.and_then(open),
        }
    }
}

/// Tracks a request that is sent to targets; dropping the guard counts the request, if it may have run.
pub(crate) struct UsageGuard {
    forwarder: Rc<Forwarder>,
    /// Id of the request; `None` if it is not counted.
    id: Option<MeteredId>,
}

impl UsageGuard {
    /// Records that the request is now sent to a target.
    pub(crate) fn mark_sent(&self) {
        self.update(|now, meter, id| meter.record_send(now, id));
    }

    /// Records that the target has not run what was last sent to it.
    pub(crate) fn mark_not_run(&self) {
        self.update(|_, meter, id| meter.record_not_run(id));
    }

    fn update<F>(&self, f: F)
    where
        F: FnOnce(Duration, &mut UsageMeter, MeteredId),
    {
        if let Some(id) = self.id {
            let usage = &self.forwarder.usage;
            usage.with_meter(|now, meter| f(now, meter, id));
        }
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.update(|now, meter, id| meter.close(now, id));
    }
}
