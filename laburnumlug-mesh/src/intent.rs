//! What each target is meant to be.

use laburnumlug::{FencingToken, Role, ServiceName, TargetName, TargetState};
use serde::{Deserialize, Serialize};

/// One version of a model on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
}

/// The whole intended state of one target, as the log's committed entries make it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// Grows by one whenever anything else here changes, so it is the fencing number of the order.
    pub generation: FencingToken,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Part of the work that the target does.
    pub role: Role,
    /// Models that the target has loaded.
    pub models: Vec<ModelVersion>,
    /// Adapters that the target has loaded.
    pub adapters: Vec<String>,
    /// Whether the target takes new work.
    pub state: TargetState,
}

/// Wish to change one target's role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleAssignment {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Target whose role changes.
    pub target: TargetName,
    /// New role.
    pub role: Role,
    /// Why, for the audit trail.
    pub reason: String,
    /// Generation on which the decision rests; the assignment is refused if it is no longer in force.
    pub expected_generation: FencingToken,
}
