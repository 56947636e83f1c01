//! Commands of the replicated log and their outcomes.

use std::fmt;

use laburnumlug::{FencingToken, FleetVersion, IdempotencyKey, WindowNumber};
use laburnumlug_mesh::{NodeCommand, NodeOutcome, RoleAssignment};
use laburnumlug_operator::{AuditResult, Fault};
use serde::{Deserialize, Serialize};

use crate::intents::RoleRefusal;
use crate::scaling::ServerChange;
use crate::software::SoftwareChange;
use crate::usage::{UsageFix, UsageFixOutcome};

/// Change of the fleet document that an operator submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetChange {
    /// Name of the operator.
    pub operator: String,
    /// Version that the operator edited; the change is refused if that version is no longer in force.
    pub base: FleetVersion,
    /// New document as JSON, complete.
    pub document: String,
    /// Idempotency key, by which a duplicate submission is recognised.
    pub key: Option<IdempotencyKey>,
    /// Network address of the client that submitted the change, or empty if it is not known.
    #[serde(rename = "origin")]
    pub client_addr: String,
}

impl FleetChange {
    /// Creates a change without an idempotency key or client address.
    pub fn new(operator: &str, base: FleetVersion, document: &str) -> FleetChange {
        FleetChange {
            operator: operator.to_string(),
            base,
            document: document.to_string(),
            key: None,
            client_addr: String::new(),
        }
    }

    /// Sets the idempotency key, by which a duplicate submission is recognised.
    pub fn key(mut self, key: Option<IdempotencyKey>) -> FleetChange {
        self.key = key;
        self
    }

    /// Sets the network address of the client that submitted the change.
    pub fn client_addr(mut self, client_addr: &str) -> FleetChange {
        self.client_addr = client_addr.to_string();
        self
    }
}

/// Acceptance of a change of the fleet document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Version that the change created.
    pub version: FleetVersion,
}

/// State machine command, as stored in a log record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Replaces the fleet document.
    Fleet(FleetChange),
    /// Command of an entry or target process.
    Node(NodeCommand),
    /// Changes the role of one target.
    AssignRole(RoleAssignment),
    /// Fixes the usage of customers in one window. Only logged where usage is reported, as the version before cannot read it.
    FixUsage(UsageFix),
    /// Records that the report of a window was accepted.
    AcknowledgeUsage {
        /// Number of the window.
        window: WindowNumber,
    },
    /// Decides to order a number of targets. Only logged where targets are ordered, as earlier versions cannot read it.
    OrderServers(ServerChange),
    /// Records that an order of targets was accepted.
    AcknowledgeServers {
        /// Number of the order.
        number: u64,
    },
    /// Records the software versions of a service. Only logged once it has run several, as earlier versions cannot read it.
    RecordSoftware(SoftwareChange),
}

impl Command {
    /// Returns whether the command may change the intent of a target.
    pub(crate) fn may_change_intents(&self) -> bool {
        matches!(self, Command::Fleet(_) | Command::AssignRole(_))
    }

    /// Returns whether the command may change the fleet document.
    pub(crate) fn may_change_fleet(&self) -> bool {
        matches!(self, Command::Fleet(_))
    }
}

/// Outcome of a [`Command`], which is the same on every replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Version that a [`Command::Fleet`] created, or the reason why the change was refused.
    Fleet(Result<Accepted, FleetRefusal>),
    /// Outcome of a [`Command::Node`], sent back to the process that submitted it.
    Node(NodeOutcome),
    /// Generation of the intent with the role that a [`Command::AssignRole`] set, or the reason why it was refused.
    AssignRole(Result<FencingToken, RoleRefusal>),
    /// Outcome of a [`Command::FixUsage`].
    UsageFix(UsageFixOutcome),
    /// Whether the window of a [`Command::AcknowledgeUsage`] was waiting for that.
    UsageAcknowledged(bool),
    /// Whether a [`Command::OrderServers`] replaced the last order.
    ServersOrdered(bool),
    /// Whether the order of a [`Command::AcknowledgeServers`] was waiting for that.
    ServersAcknowledged(bool),
    /// Whether a [`Command::RecordSoftware`] changed the record.
    SoftwareRecorded(bool),
}

/// Reason for which a change of the fleet document was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetRefusal {
    /// The document is invalid; all its validation faults are listed.
    Invalid(Vec<Fault>),
    /// The change is based on a version that is no longer in force.
    Conflict {
        /// Version on which the change was based.
        base: FleetVersion,
        /// Version in force.
        version: FleetVersion,
        /// Operator who created the version in force.
        changed_by: String,
    },
    /// The idempotency key was used for another change.
    KeyReused {
        /// Idempotency key that both changes carry.
        key: IdempotencyKey,
    },
}

impl FleetRefusal {
    /// Returns the audit trail's form of the refusal.
    pub(crate) fn audit_result(&self) -> AuditResult {
        match self {
            FleetRefusal::Invalid(faults) => AuditResult::invalid(faults),
            FleetRefusal::Conflict {
                version,
                changed_by,
                ..
            } => AuditResult::Conflict {
                version: *version,
                changed_by: changed_by.clone(),
            },
            FleetRefusal::KeyReused { .. } => AuditResult::KeyReused,
        }
    }
}

impl fmt::Display for FleetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetRefusal::Invalid(faults) => write!(f, "the document has {} faults", faults.len()),
            FleetRefusal::Conflict {
                base,
                version,
                changed_by,
            } => {
                write!(
                    f,
                    "based on version {base}, but {changed_by} made version {version}"
                )
            }
            FleetRefusal::KeyReused { key } => {
                write!(f, "idempotency key {key:?} was used for another change")
            }
        }
    }
}
