//! Metrics of a control replica.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug_control::Replica;
use opentelemetry::metrics::Gauge;

use crate::metrics::Metrics;

/// Gauges of a replica's role in the cluster and its progress in the control log.
pub(crate) struct ControlMetrics {
    replica: Rc<Replica>,
    is_leader: Gauge<u64>,
    knows_leader: Gauge<u64>,
    is_voter: Gauge<u64>,
    term: Gauge<u64>,
    committed: Gauge<u64>,
    fleet_version: Gauge<u64>,
}

impl ControlMetrics {
    /// Registers the gauges with the process's metrics.
    pub(crate) fn new(metrics: &Metrics, replica: Rc<Replica>) -> ControlMetrics {
        ControlMetrics {
            replica,
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

    /// Sets the gauges to the replica's state at `now`.
    pub(crate) fn refresh(&self, now: Instant) {
        let (term, committed) = self.replica.term_and_commit_index();
        let knows_leader = self.replica.leader().is_some();
        self.is_leader
            .record(u64::from(self.replica.is_leader(now)), &[]);
        self.knows_leader.record(u64::from(knows_leader), &[]);
        self.is_voter
            .record(u64::from(self.replica.voting_status().verified), &[]);
        self.term.record(term, &[]);
        self.committed.record(committed, &[]);
        self.fleet_version.record(self.replica.fleet().version, &[]);
    }
}
