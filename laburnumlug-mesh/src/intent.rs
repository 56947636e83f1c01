//! Desired state of each target.

use laburnumlug::{FencingToken, Role, ServiceName, TargetName, TargetState};
use serde::{Deserialize, Serialize};

/// Version of a model on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
}

/// Complete desired state of one target, derived from the committed log entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// Generation, incremented whenever another field changes; serves as the fencing token of the order.
    pub generation: FencingToken,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Role of the target in serving.
    pub role: Role,
    /// Models that the target is to have loaded.
    pub models: Vec<ModelVersion>,
    /// Adapters that the target is to have loaded.
    pub adapters: Vec<String>,
    /// Whether the target accepts new work.
    pub state: TargetState,
}

/// Request to change the role of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleAssignment {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Target whose role changes.
    pub target: TargetName,
    /// New role.
    pub role: Role,
    /// Reason, for the audit trail.
    pub reason: String,
    /// Generation that the decision is based on; the assignment is refused if it is no longer current.
    pub expected_generation: FencingToken,
}
