//! Messages between control replicas.

use std::rc::Rc;

use laburnumlug::Verdict;
use laburnumlug_mesh::{ReplicaId, VotingStatus};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::command::{Command, Outcome};
use crate::entry::{LogIndex, Membership, Term};
use crate::position::Position;

/// Request of the consensus protocol from one control replica to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    /// Asks for the replica's identity and the latest position that it observed of `from`.
    Hello {
        from: ReplicaId,
    },
    /// Makes a replica without a cluster one of the initial voters of a new cluster.
    #[serde(rename = "Found")]
    Bootstrap {
        cluster: u64,
        #[serde(rename = "founders")]
        initial_voters: Rc<Vec<ReplicaId>>,
    },
    Vote(VoteRequest),
    /// Renews the contact with a follower. It is answered without a disk write, so that a slow sync causes no
    /// election.
    Heartbeat(LeaderHeader),
    Append(AppendRequest),
    Install(InstallRequest),
    /// Asks for the index of the newest change to the fleet document that the replica has logged.
    #[serde(rename = "Standing")]
    FleetLogState,
    /// Asks the leader to log a command.
    Submit {
        time_ms: u64,
        command: Command,
    },
}

/// Request for a vote, or for a pre-vote.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct VoteRequest {
    pub(crate) cluster: u64,
    pub(crate) term: Term,
    pub(crate) candidate: ReplicaId,
    pub(crate) last_term: Term,
    pub(crate) last_index: LogIndex,
    /// Whether this is a pre-vote: it asks whether the vote would be granted, and changes no state of the voter.
    #[serde(rename = "is_trial")]
    pub(crate) is_pre_vote: bool,
}

/// Header of the messages that a leader sends.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LeaderHeader {
    pub(crate) cluster: u64,
    pub(crate) term: Term,
    pub(crate) leader: ReplicaId,
    /// Receiver; another incarnation of its data folder refuses the message.
    pub(crate) to: ReplicaId,
}

/// Appends entries, or only advances the commit index.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AppendRequest {
    #[serde(rename = "head")]
    pub(crate) header: LeaderHeader,
    pub(crate) previous_index: LogIndex,
    pub(crate) previous_term: Term,
    /// Encoded entries that follow the entry at `previous_index`.
    pub(crate) entries: Vec<ByteBuf>,
    pub(crate) commit: LogIndex,
    /// Latest position of each replica that the leader observed.
    #[serde(rename = "seen")]
    pub(crate) observed_positions: Vec<(ReplicaId, Position)>,
    /// Voters that have not answered the leader for a while, with that time in milliseconds.
    #[serde(default)]
    pub(crate) silent_voters: Vec<(ReplicaId, u64)>,
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct InstallRequest {
    #[serde(rename = "head")]
    pub(crate) header: LeaderHeader,
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
    #[serde(rename = "Found")]
    Bootstrapped,
    Vote(VoteAnswer),
    /// Answers [`PeerRequest::Heartbeat`], [`PeerRequest::Append`] and [`PeerRequest::Install`].
    Append(AppendAnswer),
    #[serde(rename = "Standing")]
    FleetLogState(FleetLogState),
    Submitted(Outcome),
    NotSubmitted {
        verdict: Verdict,
        reason: String,
    },
}

/// Identity of a replica, its membership and what it observed of the sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HelloAnswer {
    pub(crate) replica: ReplicaId,
    pub(crate) cluster: Option<u64>,
    /// Latest position that the replica observed of the sender's data folder.
    #[serde(rename = "seen")]
    pub(crate) observed_position: Option<Position>,
    /// Newest membership in the log of the replica, committed or not.
    pub(crate) membership: Membership,
    /// Index of the last entry that the replica knows to be committed; 0 from replicas of earlier versions.
    #[serde(default)]
    pub(crate) commit_index: LogIndex,
}

/// Voting status of a replica and the index of the newest change to the fleet document in its log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FleetLogState {
    #[serde(rename = "standing")]
    pub(crate) voting_status: VotingStatus,
    /// Index of the newest logged entry, committed or not, that may change the fleet document.
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
    /// All entries up to this index are synced and match the leader's log.
    Matched(LogIndex),
    /// The heartbeat was accepted.
    #[serde(rename = "Heard")]
    HeartbeatAccepted,
    /// The leader must continue with the entry at this index. Also acknowledges a snapshot chunk that is not the last.
    #[serde(rename = "BeginAt")]
    NextIndex(LogIndex),
    /// The message was rejected.
    Refused,
}
