//! Commands that entries and target processes have logged by the control replicas.

use laburnumlug::{FencingToken, FleetVersion, Incarnation, TargetName};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimCommand, ClaimOutcome};

/// Command of an entry or target process, to be logged by the control replicas.
///
/// A command may be submitted again after a lost answer, so each variant names what it is about in full: applying
/// it twice in a row leaves the state of applying it once and gives the same outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NodeCommand {
    /// States which life of a process runs and which fleet document is in force there.
    Register(NodeReport),
    /// States what came of an order, as the engine itself told.
    ReportOrder(OrderReport),
    /// Changes the claim of a call that may run at most once.
    Claim(ClaimCommand),
    /// Asks for the grant to load weights, or renews it.
    RequestLoad(LoadRequest),
    /// Gives the grant, or the place in the queue for it, back.
    FinishLoad {
        /// Target that asked for it.
        target: TargetName,
    },
}

/// Wish of a target to load weights from the weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// The target.
    pub target: TargetName,
    /// Whether the target cannot serve before the load.
    pub urgent: bool,
}

/// What came of the order under one generation, as the engine itself told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReport {
    /// Target whose engine it is.
    pub target: TargetName,
    /// Generation of the intent.
    pub generation: FencingToken,
    /// What the engine has.
    pub result: OrderResult,
}

/// What an engine has of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// It has all that the order asked for.
    CarriedOut,
    /// It lost what it had, so the order is given again.
    Lost,
}

/// A process and the fleet document that is in force there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// Name of the process: that of its target, or of its VM for an entry.
    pub process: String,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Unix time in milliseconds at which this life began; an earlier life never replaces a later one.
    pub started_ms: u64,
    /// Version of the fleet document in force.
    pub version: FleetVersion,
}

/// What came of a [`NodeCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NodeOutcome {
    /// Answer to [`NodeCommand::Register`].
    Registered,
    /// Answer to [`NodeCommand::ReportOrder`].
    OrderNoted,
    /// Answer to [`NodeCommand::Claim`].
    Claim(ClaimOutcome),
    /// Answer to [`NodeCommand::RequestLoad`].
    Load {
        /// Whether the target may load now; otherwise it asks again.
        granted: bool,
    },
    /// Answer to [`NodeCommand::FinishLoad`].
    LoadFinished,
}
