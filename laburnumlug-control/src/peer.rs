//! Messages between two control replicas.

use std::rc::Rc;

use laburnumlug::Verdict;
use laburnumlug_mesh::{ReplicaId, VotingStatus};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::command::{Command, Outcome};
use crate::entry::{LogIndex, Membership, Term};
use crate::position::Position;

/// Question to another replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// Asks who answers and what it has seen of `from`.
    Hello {
        from: ReplicaId,
    },
    /// Names the founders of a cluster to one that has no cluster yet.
    Found {
        cluster: u64,
        founders: Rc<Vec<ReplicaId>>,
    },
    Vote(VoteRequest),
    /// Tells that the leader lives; answered without the disk, so that a slow sync causes no election.
    Heartbeat(LeaderHead),
    Append(AppendRequest),
    Install(InstallRequest),
    /// Asks for the newest change of the fleet document that the replica has logged.
    Standing,
    /// Asks the leader to log a command.
    Submit {
        time_ms: u64,
        command: Command,
    },
}

/// Asks for a vote.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct VoteRequest {
    pub(crate) cluster: u64,
    pub(crate) term: Term,
    pub(crate) candidate: ReplicaId,
    pub(crate) last_term: Term,
    pub(crate) last_index: LogIndex,
    /// Whether the candidate only asks if it would get the vote.
    pub(crate) is_trial: bool,
}

/// Head of what a leader sends.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LeaderHead {
    pub(crate) cluster: u64,
    pub(crate) term: Term,
    pub(crate) leader: ReplicaId,
    /// Replica for which it is meant; another life of its folder must not answer for it.
    pub(crate) to: ReplicaId,
}

/// Appends entries, or only tells what is committed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AppendRequest {
    pub(crate) head: LeaderHead,
    pub(crate) previous_index: LogIndex,
    pub(crate) previous_term: Term,
    /// Encoded entries that follow the previous one.
    pub(crate) entries: Vec<ByteBuf>,
    pub(crate) commit: LogIndex,
    /// What the leader has seen of each replica.
    pub(crate) seen: Vec<(ReplicaId, Position)>,
}

/// Part of a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct InstallRequest {
    pub(crate) head: LeaderHead,
    pub(crate) index: LogIndex,
    pub(crate) offset: u64,
    #[serde(with = "serde_bytes")]
    pub(crate) bytes: Vec<u8>,
    pub(crate) is_last: bool,
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerAnswer {
    Hello(HelloAnswer),
    Found,
    Vote(VoteAnswer),
    /// Answers [`PeerRequest::Heartbeat`], [`PeerRequest::Append`] and [`PeerRequest::Install`].
    Append(AppendAnswer),
    Standing(FleetStanding),
    Submitted(Outcome),
    NotSubmitted {
        verdict: Verdict,
        reason: String,
    },
}

/// Who a replica is and what it has seen.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HelloAnswer {
    pub(crate) replica: ReplicaId,
    pub(crate) cluster: Option<u64>,
    /// How far the asker's folder had come when it was last seen.
    pub(crate) seen: Option<Position>,
    /// Membership that the replica has logged.
    pub(crate) membership: Membership,
}

/// Newest change of the fleet document that a replica has logged, committed or not.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FleetStanding {
    pub(crate) standing: VotingStatus,
    pub(crate) logged_change: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct VoteAnswer {
    pub(crate) replica: ReplicaId,
    pub(crate) cluster: Option<u64>,
    pub(crate) term: Term,
    pub(crate) granted: bool,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AppendAnswer {
    pub(crate) replica: ReplicaId,
    pub(crate) term: Term,
    pub(crate) result: AppendResult,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum AppendResult {
    /// All entries up to this one are synced and equal to the leader's.
    Matched(LogIndex),
    /// The leader was heard.
    Heard,
    /// The leader must begin at this entry.
    BeginAt(LogIndex),
    /// The replica takes nothing now.
    Refused,
}
