//! Status of the duties of this replica.

use std::time::Instant;

use laburnumlug::{FencingToken, VmName};
use serde_json::{Value, json};

/// Holder of the duties, as long as this replica is it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyHolder {
    /// Name of the VM of this replica.
    pub holder: VmName,
    /// Fencing token of the calls.
    pub fence: FencingToken,
    /// Time since which this replica holds the duties.
    pub since: Instant,
    /// Whether it may make calls: the handover from the previous holder is over.
    pub is_acting: bool,
}

impl DutyHolder {
    /// Returns the form that the operator interface shows.
    pub(crate) fn to_json(&self, now: Instant) -> Value {
        let held_for = now.saturating_duration_since(self.since);
        json!({
            "holder": self.holder,
            "fence": self.fence,
            "held_ms": held_for.as_millis() as u64,
            "is_acting": self.is_acting,
        })
    }
}

/// What this replica has done about usage since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageTotals {
    /// Number of windows that this replica fixed.
    pub fixed: u64,
    /// Number of windows whose report this replica has sent and that was accepted.
    pub reported: u64,
    /// Number of those that were accepted later than due.
    pub reported_late: u64,
    /// Number of requests that gateways reported to this replica after their window was fixed.
    pub late_requests: u64,
}
