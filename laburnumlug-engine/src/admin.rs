//! Messages of the engine's admin interface: declarative orders and the reported state.

use laburnumlug::{FencingToken, Role};
use serde::{Deserialize, Serialize};

/// One model version on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineModel {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
}

/// Configuration of an engine: role, models and adapters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSetup {
    /// Phases of inference that the engine runs.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<EngineModel>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Whether the engine accepts requests.
    pub serving: bool,
}

/// Body of `POST /admin/orders`: the complete desired state under one fencing token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing token of the order; an engine that checks it refuses any token below the highest it has seen.
    pub fencing: FencingToken,
    /// Desired configuration.
    pub setup: EngineSetup,
}

/// Body of `GET /admin/state`: the engine's actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Fencing token of the last applied order; 0 if none has been applied since the engine started.
    pub applied: FencingToken,
    /// Highest fencing token that the engine has seen since it started.
    pub highest_seen: FencingToken,
    /// Fencing token of the order being applied.
    pub running: Option<FencingToken>,
    /// Current configuration; absent before the first order.
    pub setup: Option<EngineSetup>,
}
