//! Metrics of a control replica.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug_control::{Replica, ScalingTotals, UsageTotals, VoterStatus};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;

use crate::metrics::Metrics;

/// Gauges of a replica's role in the cluster and its progress in the control log.
pub(crate) struct ControlMetrics {
    replica: Rc<Replica>,
    is_leader: Gauge<u64>,
    knows_leader: Gauge<u64>,
    is_voter: Gauge<u64>,
    voters: Gauge<u64>,
    voters_wanted: Gauge<u64>,
    voters_responsive: Gauge<u64>,
    term: Gauge<u64>,
    committed: Gauge<u64>,
    fleet_version: Gauge<u64>,
    usage: Option<UsageMetrics>,
    scaling: Option<ScalingMetrics>,
}

/// Gauges of the targets that are ordered.
struct ScalingMetrics {
    ordered: Gauge<u64>,
    present: Gauge<u64>,
    starting: Gauge<u64>,
    pending: Gauge<u64>,
    accepted: Gauge<u64>,
    failed: Gauge<u64>,
}

impl ScalingMetrics {
    fn new(metrics: &Metrics) -> ScalingMetrics {
        ScalingMetrics {
            ordered: metrics.gauge(
                "laburnumlug.control.servers.ordered",
                "Number of targets that was ordered last, by service and zone",
            ),
            present: metrics.gauge(
                "laburnumlug.control.servers.present",
                "Listed targets that are not leaving, by service and zone, while this replica leads",
            ),
            starting: metrics.gauge(
                "laburnumlug.control.servers.starting",
                "Targets that were ordered and are not listed, by service and zone, while this replica leads",
            ),
            pending: metrics.gauge(
                "laburnumlug.control.servers.pending",
                "Orders of targets that are not known to have been accepted",
            ),
            accepted: metrics.gauge(
                "laburnumlug.control.servers.accepted",
                "Orders of this replica that were accepted since its start",
            ),
            failed: metrics.gauge(
                "laburnumlug.control.servers.failed",
                "Calls of this replica to order targets that are not known to have been accepted, since its start",
            ),
        }
    }

    fn refresh(&self, replica: &Replica, totals: ScalingTotals) {
        let labels = |service: &str, zone: &str| {
            [
                KeyValue::new("service", service.to_string()),
                KeyValue::new("target_zone", zone.to_string()),
            ]
        };
        for (service, zones) in replica.server_orders() {
            for (zone, order) in zones {
                let desired = u64::from(order.desired);
                self.ordered.record(desired, &labels(&service, &zone));
            }
        }
        for status in replica.server_status() {
            let labels = labels(&status.service, &status.zone);
            self.present.record(status.present.into(), &labels);
            self.starting.record(status.starting.into(), &labels);
        }
        let pending = replica.pending_server_orders().len() as u64;
        self.pending.record(pending, &[]);
        self.accepted.record(totals.accepted, &[]);
        self.failed.record(totals.failed, &[]);
    }
}

/// Gauges of the usage that this replica has fixed and reported since its start.
struct UsageMetrics {
    fixed: Gauge<u64>,
    reported: Gauge<u64>,
    reported_late: Gauge<u64>,
    pending: Gauge<u64>,
    late_requests: Gauge<u64>,
}

impl UsageMetrics {
    fn new(metrics: &Metrics) -> UsageMetrics {
        UsageMetrics {
            fixed: metrics.gauge(
                "laburnumlug.control.usage.fixed",
                "Windows whose usage this replica has fixed in the control log since its start",
            ),
            reported: metrics.gauge(
                "laburnumlug.control.usage.reported",
                "Usage reports of this replica that were accepted since its start",
            ),
            reported_late: metrics.gauge(
                "laburnumlug.control.usage.reported_late",
                "Usage reports of this replica that were accepted later than due since its start",
            ),
            pending: metrics.gauge(
                "laburnumlug.control.usage.pending",
                "Windows that are fixed and whose report was not accepted yet",
            ),
            late_requests: metrics.gauge(
                "laburnumlug.control.usage.late_requests",
                "Requests that gateways reported to this replica after their window was fixed",
            ),
        }
    }

    fn refresh(&self, replica: &Replica, totals: UsageTotals) {
        self.fixed.record(totals.fixed, &[]);
        self.reported.record(totals.reported, &[]);
        self.reported_late.record(totals.reported_late, &[]);
        self.pending
            .record(replica.pending_usage().len() as u64, &[]);
        self.late_requests.record(totals.late_requests, &[]);
    }
}

impl ControlMetrics {
    /// Registers the gauges with the process's metrics.
    pub(crate) fn new(metrics: &Metrics, replica: Rc<Replica>) -> ControlMetrics {
        let usage = replica.usage_totals().map(|_| UsageMetrics::new(metrics));
        let scaling = replica
            .scaling_totals()
            .map(|_| ScalingMetrics::new(metrics));
        ControlMetrics {
            replica,
            usage,
            scaling,
            is_leader: metrics.gauge(
                "laburnumlug.control.is_leader",
                "1 while this replica leads, else 0",
            ),
            knows_leader: metrics.gauge(
                "laburnumlug.control.knows_leader",
                "1 while this replica knows a leader, else 0",
            ),
            is_voter: metrics.gauge(
                "laburnumlug.control.is_voter",
                "1 while this replica's vote counts, else 0",
            ),
            voters: metrics.gauge(
                "laburnumlug.control.voters",
                "Number of voters in the newest membership that this replica holds",
            ),
            voters_wanted: metrics.gauge(
                "laburnumlug.control.voters_wanted",
                "Configured number of voters",
            ),
            voters_responsive: metrics.gauge(
                "laburnumlug.control.voters_responsive",
                "Number of voters that have answered recently while this replica leads, else 0",
            ),
            term: metrics.gauge("laburnumlug.control.term", "Term of this replica"),
            committed: metrics.gauge(
                "laburnumlug.control.committed",
                "Index of the last log entry that this replica knows to be committed",
            ),
            fleet_version: metrics.gauge(
                "laburnumlug.control.fleet_version",
                "Version of the fleet document that this replica holds",
            ),
        }
    }

    fn refresh_voters(&self, status: &VoterStatus) {
        let responsive = status.contacts.as_ref().map_or(0, |c| c.responsive);
        self.voters.record(status.voters as u64, &[]);
        self.voters_responsive.record(responsive as u64, &[]);
        if let Some(wanted) = status.wanted {
            self.voters_wanted.record(wanted as u64, &[]);
        }
    }

    /// Sets the gauges to the replica's state at `now`.
    pub(crate) fn refresh(&self, now: Instant) {
        let (term, committed) = self.replica.term_and_commit_index();
        let knows_leader = self.replica.leader().is_some();
        self.is_leader
            .record(u64::from(self.replica.is_leader(now)), &[]);
        self.knows_leader.record(u64::from(knows_leader), &[]);
        self.is_voter
            .record(u64::from(self.replica.voting_status().verified), &[]);
        self.refresh_voters(&self.replica.voter_status(now));
        self.term.record(term, &[]);
        self.committed.record(committed, &[]);
        self.fleet_version.record(self.replica.fleet().version, &[]);
        if let (Some(usage), Some(totals)) = (&self.usage, self.replica.usage_totals()) {
            usage.refresh(&self.replica, totals);
        }
        if let (Some(scaling), Some(totals)) = (&self.scaling, self.replica.scaling_totals()) {
            scaling.refresh(&self.replica, totals);
        }
    }
}
