//! Identity and voting status that a control replica reports with each answer.

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

/// Identifies one incarnation of a control replica's data folder.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId {
    /// Name of the replica.
    pub name: String,
    /// Incarnation of its data folder; an emptied or outdated folder starts a new one.
    pub incarnation: Incarnation,
}

/// Voting status that a control replica reports with each answer to a node.
///
/// A node counts an answer towards a majority only if the newest membership among all answers lists this replica
/// as a voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VotingStatus {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// Whether the replica is a voter that can write its data folder, and the folder contains everything that the
    /// replica has ever acknowledged, judged by what other replicas observed of it.
    pub verified: bool,
    /// Index of the newest membership entry in the replica's log.
    pub membership: u64,
    /// Voters of that membership.
    pub voters: Vec<ReplicaId>,
}
