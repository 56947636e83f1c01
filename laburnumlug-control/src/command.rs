//! Commands that the log's records hold, and what came of them.

use std::fmt;

use laburnumlug::{FencingToken, FleetVersion, IdempotencyKey};
use laburnumlug_mesh::{NodeCommand, NodeOutcome, RoleAssignment};
use laburnumlug_operator::{AuditResult, Fault};
use serde::{Deserialize, Serialize};

use crate::intents::RoleRefusal;

/// Wish of an operator to replace the fleet document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetChange {
    /// Name of the operator.
    pub operator: String,
    /// Version that the operator saw; the change is refused if it is no longer in force.
    pub base: FleetVersion,
    /// The whole new document as JSON.
    pub document: String,
    /// Key under which a resend is recognised.
    pub key: Option<IdempotencyKey>,
    /// Address from which the change came.
    pub origin: String,
}

impl FleetChange {
    /// Creates a change without a key.
    pub fn new(operator: &str, base: FleetVersion, document: &str) -> FleetChange {
        FleetChange {
            operator: operator.to_string(),
            base,
            document: document.to_string(),
            key: None,
            origin: String::new(),
        }
    }

    /// Sets the key under which a resend is recognised.
    pub fn key(mut self, key: Option<IdempotencyKey>) -> FleetChange {
        self.key = key;
        self
    }

    /// Sets the address from which the change came.
    pub fn origin(mut self, origin: &str) -> FleetChange {
        self.origin = origin.to_string();
        self
    }
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Version that the change made.
    pub version: FleetVersion,
}

/// Change of the state, as a record of the log holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Replaces the fleet document.
    Fleet(FleetChange),
    /// Command of an entry or target process.
    Node(NodeCommand),
    /// Changes the role of one target.
    AssignRole(RoleAssignment),
}

impl Command {
    /// Returns whether the command may change what a target is meant to be.
    pub(crate) fn concerns_intents(&self) -> bool {
        matches!(self, Command::Fleet(_) | Command::AssignRole(_))
    }

    /// Returns whether the command may change the fleet document.
    pub(crate) fn concerns_fleet(&self) -> bool {
        matches!(self, Command::Fleet(_))
    }
}

/// What came of a [`Command`]; every replica computes the same.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Answer to [`Command::Fleet`].
    Fleet(Result<Accepted, FleetRefusal>),
    /// Answer to [`Command::Node`].
    Node(NodeOutcome),
    /// Answer to [`Command::AssignRole`]: the generation that has the role.
    AssignRole(Result<FencingToken, RoleRefusal>),
}

/// Why a change of the fleet document was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetRefusal {
    /// The document has faults.
    Invalid(Vec<Fault>),
    /// The change is based on a version that is no longer in force.
    Conflict {
        /// Version on which the change was based.
        base: FleetVersion,
        /// Version in force.
        version: FleetVersion,
        /// Operator who made the version in force.
        changed_by: String,
    },
    /// The key was used for another change.
    KeyReused {
        /// The key.
        key: IdempotencyKey,
    },
}

impl FleetRefusal {
    /// Returns what the audit trail says of the refusal.
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
