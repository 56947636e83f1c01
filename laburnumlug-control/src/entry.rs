//! Entries of the replicated log.

use std::rc::Rc;

use laburnumlug_mesh::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::command::Command;

/// Election term; at most one replica leads in each.
pub(crate) type Term = u64;

/// Index of a log entry; the first entry has index 1.
pub(crate) type LogIndex = u64;

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Entry {
    pub(crate) index: LogIndex,
    /// Term of the leader that appended it.
    pub(crate) term: Term,
    /// Unix time in milliseconds at which it was appended.
    pub(crate) time_ms: u64,
    pub(crate) payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Payload {
    /// First entry of each term; committing it commits all earlier entries.
    Noop,
    /// New voters; in force as soon as the entry is logged, committed or not.
    Members(Rc<Vec<ReplicaId>>),
    /// Change to the replicated state.
    Command(Command),
}

/// Voters of the cluster and the index of the entry that set them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Membership {
    pub(crate) index: LogIndex,
    pub(crate) voters: Rc<Vec<ReplicaId>>,
}

impl Membership {
    /// Returns the membership without voters that is in force before the first entry.
    pub(crate) fn empty() -> Membership {
        Membership {
            index: 0,
            voters: Rc::default(),
        }
    }

    pub(crate) fn contains(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// Returns the number of voters that form a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
