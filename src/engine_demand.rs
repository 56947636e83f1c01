//! Engine time that requests use, as gateways report it to the control replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::ServiceName;

/// Engine time that the requests of one process have used since the process started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// Id of the reporting process, different after each restart.
    pub sender: u64,
    /// Totals for each service of engines.
    pub services: BTreeMap<ServiceName, EngineTime>,
}

/// Engine time by phase, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTime {
    /// Time that engines with the role prefill need to prefill the prompts.
    pub prefill_us: u64,
    /// Time that requests held an engine for decoding, times the share of the engine's slots or memory that each held.
    pub decode_us: u64,
}
