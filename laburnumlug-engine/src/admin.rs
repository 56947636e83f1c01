//! Orders to an engine, and its own account of them.

use laburnumlug::{FencingToken, Role};
use serde::{Deserialize, Serialize};

/// One version of a model on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineModel {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
}

/// What an engine runs and in which role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSetup {
    /// Part of the work that the engine does.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<EngineModel>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Whether the engine is meant to take work.
    pub serving: bool,
}

/// Body of `POST /admin/orders`: the whole intended state under one number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Number of the order; an engine that checks it refuses a smaller one than it has seen.
    pub fencing: FencingToken,
    /// The intended state.
    pub setup: EngineSetup,
}

/// Body of `GET /admin/state`: what an engine really has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Number of the order that was carried out last; 0 for none since the engine's start.
    pub applied: FencingToken,
    /// Highest number that the engine has seen since its start.
    pub highest_seen: FencingToken,
    /// Number of the order that is being carried out.
    pub running: Option<FencingToken>,
    /// The state in force, absent before the first order.
    pub setup: Option<EngineSetup>,
}
