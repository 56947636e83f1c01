//! Metrics of a control process without a replica.

use laburnumlug_control::DirectoryStatus;
use opentelemetry::metrics::{Counter, Gauge};

use crate::metrics::Metrics;

/// Counters of the operators' calls, and gauges of the known control processes.
pub(crate) struct RedirectMetrics {
    redirects: Counter<u64>,
    refusals: Counter<u64>,
    replicas: Gauge<u64>,
    direct: Gauge<u64>,
    reported: Gauge<u64>,
    membership: Gauge<u64>,
    without_replica: Gauge<u64>,
}

impl RedirectMetrics {
    /// Registers the instruments with the process's metrics.
    pub(crate) fn new(metrics: &Metrics) -> RedirectMetrics {
        RedirectMetrics {
            redirects: metrics.counter(
                "laburnumlug.control.redirects",
                "Calls of operators that were redirected to a replica",
            ),
            refusals: metrics.counter(
                "laburnumlug.control.redirect_refusals",
                "Calls of operators that were refused, as no replica could answer",
            ),
            replicas: metrics.gauge(
                "laburnumlug.control.directory.replicas",
                "Number of known replicas",
            ),
            direct: metrics.gauge(
                "laburnumlug.control.directory.direct",
                "Number of known control processes that have sent this one a message",
            ),
            reported: metrics.gauge(
                "laburnumlug.control.directory.reported",
                "Number of known control processes that only others have reported",
            ),
            membership: metrics.gauge(
                "laburnumlug.control.directory.membership",
                "Index of the newest membership that is known",
            ),
            without_replica: metrics.gauge(
                "laburnumlug.control.directory.ms_without_replica",
                "Time since a replica that is ready last answered, in milliseconds",
            ),
        }
    }

    /// Counts a call of an operator that was redirected.
    pub(crate) fn count_redirect(&self) {
        self.redirects.add(1, &[]);
    }

    /// Counts a call of an operator that was refused.
    pub(crate) fn count_refusal(&self) {
        self.refusals.add(1, &[]);
    }

    /// Sets the gauges to what the process knows of others.
    pub(crate) fn refresh(&self, status: &DirectoryStatus) {
        let ms_without_replica = status.time_without_replica.as_millis() as u64;
        self.replicas.record(status.replicas as u64, &[]);
        self.direct.record(status.direct as u64, &[]);
        self.reported.record(status.reported as u64, &[]);
        self.membership.record(status.membership, &[]);
        self.without_replica.record(ms_without_replica, &[]);
    }
}
