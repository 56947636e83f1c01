//! Commands that entries and target processes submit to the control log.

use laburnumlug::{FencingToken, FleetVersion, Incarnation, TargetName};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimCommand, ClaimOutcome};

/// Command that an entry or target process submits to the control log.
///
/// A command may be resubmitted after its response is lost, so every variant is self-contained and idempotent:
/// applying it twice in a row gives the same state and the same outcome as applying it once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NodeCommand {
    /// Registers the running incarnation of a process and the fleet document in force there.
    Register(NodeReport),
    /// Reports the result of an order as stated by the engine itself.
    ReportOrder(OrderReport),
    /// Changes the claim of a call that may run at most once.
    Claim(ClaimCommand),
    /// Requests or renews a grant to load weights.
    #[serde(rename = "RequestLoad")]
    RequestWeightLoad(WeightLoadRequest),
    /// Releases the grant, or the place in the queue for it.
    #[serde(rename = "FinishLoad")]
    FinishWeightLoad {
        /// Target that requested the grant.
        target: TargetName,
    },
}

/// Request of a target for permission to load weights from the weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightLoadRequest {
    /// Target that loads weights.
    pub target: TargetName,
    /// Whether the target cannot serve until the weights are loaded.
    pub urgent: bool,
}

/// Result of the order of one generation as stated by the engine itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReport {
    /// Target that the engine belongs to.
    pub target: TargetName,
    /// Generation of the intent.
    pub generation: FencingToken,
    /// Result stated by the engine.
    pub result: OrderResult,
}

/// Result of an order on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The engine has applied the whole order.
    CarriedOut,
    /// The engine has lost its state, so the order is sent again.
    Lost,
}

/// Incarnation of a process and the fleet document in force there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// Name of the process: the target name, or the VM name for an entry.
    pub process: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Unix time in milliseconds at which this incarnation started; an older one never replaces a newer one.
    pub started_ms: u64,
    /// Version of the fleet document in force.
    pub version: FleetVersion,
}

/// Outcome of a [`NodeCommand`], returned once the command is committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NodeOutcome {
    /// The [`NodeCommand::Register`] is recorded, unless a report at least as new was recorded before.
    Registered,
    /// The [`NodeCommand::ReportOrder`] is recorded; a repetition of the latest report adds no second audit record.
    #[serde(rename = "OrderNoted")]
    OrderRecorded,
    /// State of the claim after a [`NodeCommand::Claim`].
    Claim(ClaimOutcome),
    /// Decision on a [`NodeCommand::RequestWeightLoad`].
    #[serde(rename = "Load")]
    WeightLoad {
        /// Whether the target may load now; otherwise it requests again later.
        granted: bool,
    },
    /// After a [`NodeCommand::FinishWeightLoad`] the target neither holds the grant nor waits for it.
    #[serde(rename = "LoadFinished")]
    WeightLoadFinished,
}
