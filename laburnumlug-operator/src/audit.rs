//! Audit trail of fleet document submissions and role changes, with bounded retention.

use std::collections::VecDeque;

use laburnumlug::{FencingToken, FleetVersion, IdempotencyKey, Role, TargetName};
use serde::{Deserialize, Serialize};

use crate::difference::Difference;
use crate::fault::Fault;

/// Maximum number of records in the audit trail; the oldest are evicted first.
pub const AUDIT_RETENTION_RECORDS: usize = 10_000;

/// Maximum total text size of the audit trail in bytes; the oldest records are evicted first.
pub const AUDIT_RETENTION_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of differences or validation faults that one record lists.
const MAX_DETAILS_PER_RECORD: usize = 32;

/// Outcome that an audit record reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum AuditResult {
    /// The document was accepted and is in force.
    Accepted {
        /// Version created by the change.
        version: FleetVersion,
        /// Differences from the previous document; at most 32.
        differences: Vec<Difference>,
        /// Number of differences left out.
        omitted: usize,
    },
    /// The change was based on a version that is no longer in force.
    Conflict {
        /// Version in force.
        version: FleetVersion,
        /// Operator who submitted the version in force.
        changed_by: String,
    },
    /// The document was rejected because of validation faults.
    Invalid {
        /// Validation faults of the document; at most 32.
        faults: Vec<Fault>,
        /// Number of validation faults left out.
        omitted: usize,
    },
    /// The idempotency key of the submission was already used for another change.
    KeyReused,
    /// The planner changed the role of a target.
    RoleChanged {
        /// Target whose role changed.
        target: TargetName,
        /// Its new role.
        role: Role,
        /// Generation of the target's intent with the new role.
        generation: FencingToken,
        /// Reason for the change.
        reason: String,
    },
    /// A role change requested by the planner was refused.
    RoleRefused {
        /// Target whose role stays as it was.
        target: TargetName,
        /// The role that was refused.
        role: Role,
        /// Reason for the refusal.
        reason: String,
    },
    /// An engine reported the result of an order.
    Order {
        /// Target of the engine.
        target: TargetName,
        /// Generation of the intent that the order carries out.
        generation: FencingToken,
        /// Whether the engine has carried out the whole order; otherwise it has lost its state.
        carried_out: bool,
    },
}

impl AuditResult {
    /// Creates the result of an accepted change, listing at most 32 differences.
    pub fn accepted(version: FleetVersion, mut differences: Vec<Difference>) -> AuditResult {
        let omitted = differences.len().saturating_sub(MAX_DETAILS_PER_RECORD);
        differences.truncate(MAX_DETAILS_PER_RECORD);
        AuditResult::Accepted {
            version,
            differences,
            omitted,
        }
    }

    /// Creates the result of a document with validation faults, listing at most 32 of them.
    pub fn invalid(faults: &[Fault]) -> AuditResult {
        let listed = faults.len().min(MAX_DETAILS_PER_RECORD);
        AuditResult::Invalid {
            faults: faults[..listed].to_vec(),
            omitted: faults.len() - listed,
        }
    }

    /// Returns the name used in filters: `accepted`, `conflict`, `invalid`, `key-reused`, `role-changed`,
    /// `role-refused` or `order`.
    pub fn name(&self) -> &'static str {
        match self {
            AuditResult::Accepted { .. } => "accepted",
            AuditResult::Conflict { .. } => "conflict",
            AuditResult::Invalid { .. } => "invalid",
            AuditResult::KeyReused => "key-reused",
            AuditResult::RoleChanged { .. } => "role-changed",
            AuditResult::RoleRefused { .. } => "role-refused",
            AuditResult::Order { .. } => "order",
        }
    }

    fn text_bytes(&self) -> usize {
        let optional_len = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        match self {
            AuditResult::Accepted { differences, .. } => differences
                .iter()
                .map(|d| d.path.len() + optional_len(&d.before) + optional_len(&d.after))
                .sum(),
            AuditResult::Conflict { changed_by, .. } => changed_by.len(),
            AuditResult::Invalid { faults, .. } => faults
                .iter()
                .map(|f| f.path.len() + f.found.len() + f.allowed.len())
                .sum(),
            AuditResult::KeyReused => 0,
            AuditResult::RoleChanged { target, reason, .. }
            | AuditResult::RoleRefused { target, reason, .. } => target.len() + reason.len(),
            AuditResult::Order { target, .. } => target.len(),
        }
    }
}

/// One record of the audit trail: a submission or role change and its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Sequence number of the record, counted from 1 without gaps.
    pub number: u64,
    /// Time of the record as Unix time in milliseconds.
    pub time_ms: u64,
    /// Name of the operator who submitted the change; `-` for a change that the system itself made.
    pub operator: String,
    /// Network address of the client that submitted the change, or `-` for a change of the system itself.
    #[serde(rename = "origin")]
    pub client_addr: String,
    /// Idempotency key of the submission.
    pub key: Option<IdempotencyKey>,
    /// Version on which the change was based.
    pub base: FleetVersion,
    /// Outcome of the submission or role change.
    #[serde(flatten)]
    pub outcome: AuditResult,
}

impl AuditRecord {
    fn text_bytes(&self) -> usize {
        let key = self.key.as_ref().map_or(0, String::len);
        self.operator.len() + self.client_addr.len() + key + self.outcome.text_bytes()
    }
}

/// Audit trail, bounded in number of records and in bytes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AuditLog {
    records: VecDeque<AuditRecord>,
    /// Number of records ever appended.
    appended: u64,
    /// Total text size of the records in bytes.
    text_bytes: usize,
}

impl AuditLog {
    /// Returns the total text size of the records in bytes.
    pub fn text_bytes(&self) -> usize {
        self.text_bytes
    }

    /// Creates an empty trail.
    pub fn new() -> AuditLog {
        AuditLog::default()
    }

    /// Appends a record with the next sequence number and evicts the oldest records beyond the retention limits.
    pub fn append(&mut self, mut record: AuditRecord) {
        self.appended += 1;
        record.number = self.appended;
        self.text_bytes += record.text_bytes();
        self.records.push_back(record);
        while self.records.len() > AUDIT_RETENTION_RECORDS
            || self.text_bytes > AUDIT_RETENTION_BYTES
        {
            match self.records.pop_front() {
                Some(oldest) => self.text_bytes -= oldest.text_bytes(),
                None => break,
            }
        }
    }

    /// Returns the records, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.records.iter()
    }

    /// Returns the newest records that match `filter`, oldest first.
    pub fn select(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        let newest = self.records.iter().rev();
        let mut selected: Vec<AuditRecord> = newest
            .filter(|record| filter.matches(record))
            .take(filter.limit)
            .cloned()
            .collect();
        selected.reverse();
        selected
    }
}

/// Selects records of the audit trail.
#[derive(Clone, Debug)]
pub struct AuditFilter {
    operator: Option<String>,
    result: Option<String>,
    since_ms: u64,
    until_ms: u64,
    after: u64,
    limit: usize,
}

impl Default for AuditFilter {
    fn default() -> AuditFilter {
        AuditFilter {
            operator: None,
            result: None,
            since_ms: 0,
            until_ms: u64::MAX,
            after: 0,
            limit: usize::MAX,
        }
    }
}

impl AuditFilter {
    /// Selects only records of the operator `name`.
    pub fn operator(mut self, name: &str) -> AuditFilter {
        self.operator = Some(name.to_string());
        self
    }

    /// Selects only records whose result has that [name](AuditResult::name).
    pub fn result(mut self, name: &str) -> AuditFilter {
        self.result = Some(name.to_string());
        self
    }

    /// Selects only records from that Unix time on, in milliseconds.
    pub fn since_ms(mut self, time_ms: u64) -> AuditFilter {
        self.since_ms = time_ms;
        self
    }

    /// Selects only records up to and including that Unix time, in milliseconds.
    pub fn until_ms(mut self, time_ms: u64) -> AuditFilter {
        self.until_ms = time_ms;
        self
    }

    /// Selects only records with a sequence number larger than `number`.
    pub fn after(mut self, number: u64) -> AuditFilter {
        self.after = number;
        self
    }

    /// Selects only the newest `limit` records.
    pub fn limit(mut self, limit: usize) -> AuditFilter {
        self.limit = limit;
        self
    }

    /// Returns whether the filter selects `record`; the limit is not considered.
    pub fn matches(&self, record: &AuditRecord) -> bool {
        let result_name = record.outcome.name();
        self.operator
            .as_ref()
            .is_none_or(|name| *name == record.operator)
            && self.result.as_ref().is_none_or(|name| name == result_name)
            && (self.since_ms..=self.until_ms).contains(&record.time_ms)
            && record.number > self.after
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(time_ms: u64, operator: &str, outcome: AuditResult) -> AuditRecord {
        AuditRecord {
            number: 0,
            time_ms,
            operator: operator.to_string(),
            client_addr: "127.0.0.1:1".to_string(),
            key: None,
            base: 0,
            outcome,
        }
    }

    #[test]
    fn append_retention_records() {
        let mut log = AuditLog::new();
        for i in 0..AUDIT_RETENTION_RECORDS as u64 + 5 {
            log.append(record(i, "a", AuditResult::KeyReused));
        }
        assert_eq!(log.records().count(), AUDIT_RETENTION_RECORDS);
        assert_eq!(log.records().next().map(|r| r.number), Some(6));
    }

    #[test]
    fn append_retention_bytes() {
        let mut log = AuditLog::new();
        let operator = "o".repeat(AUDIT_RETENTION_BYTES / 4);
        for i in 0..10 {
            log.append(record(i, &operator, AuditResult::KeyReused));
        }
        assert_eq!(log.records().count(), 3);
        assert_eq!(log.records().next_back().map(|r| r.number), Some(10));
    }

    #[test]
    fn select_filters() {
        let mut log = AuditLog::new();
        log.append(record(10, "anna", AuditResult::KeyReused));
        log.append(record(20, "bent", AuditResult::accepted(1, Vec::new())));
        log.append(record(30, "anna", AuditResult::accepted(2, Vec::new())));
        let numbers = |filter: AuditFilter| -> Vec<u64> {
            log.select(&filter).iter().map(|r| r.number).collect()
        };
        let all = AuditFilter::default();
        assert_eq!(numbers(all.clone()), [1, 2, 3]);
        assert_eq!(numbers(all.clone().operator("anna")), [1, 3]);
        assert_eq!(numbers(all.clone().result("accepted")), [2, 3]);
        assert_eq!(numbers(all.clone().since_ms(20).until_ms(29)), [2]);
        assert_eq!(numbers(all.clone().after(1)), [2, 3]);
        assert_eq!(numbers(all.limit(1)), [3]);
    }

    #[test]
    fn record_json_round_trip() {
        let faults = vec![Fault::new("a", "b", "c"); 40];
        let outcome = AuditResult::invalid(&faults);
        assert!(matches!(&outcome, AuditResult::Invalid { omitted: 8, .. }));
        let first = record(1, "anna", outcome);
        let text = serde_json::to_string(&first).unwrap();
        assert!(text.contains(r#""result":"invalid""#));
        assert_eq!(serde_json::from_str::<AuditRecord>(&text).unwrap(), first);
    }
}
