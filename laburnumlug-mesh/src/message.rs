//! Messages between the system's own processes.

use std::net::SocketAddr;

use laburnumlug::{
    AttemptNumber, CallerName, EngineEvent, FencingToken, FleetVersion, IdempotencyKey,
    Incarnation, ServiceName, TargetList, TargetName, Verdict, VotingStatus,
};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimHolder, ClaimResult};
use crate::handshake::SessionId;
use crate::intent::Intent;
use crate::node_command::{NodeCommand, NodeOutcome};
use crate::packed::PackedText;

/// Any message of the mesh.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Between an entry or target process and a control replica.
    Control(ControlMessage),
    /// Between an entry and a target process.
    Work(WorkMessage),
    /// Between two gateways.
    Gateway(GatewayMessage),
    /// Between two control replicas, in an encoding of their own.
    Replica {
        /// The encoded message.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

/// Between an entry or target process and a control replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Asks for the fleet document if it is newer than `known`.
    FetchFleet {
        /// Version that the asker holds; 0 for none.
        known: FleetVersion,
    },
    /// Asks for the live targets that the replica has read from the platform.
    FetchTargets {
        /// Digest of the list that the asker holds; 0 for none.
        known: u64,
        /// Address at which the asker takes events of other gateways.
        own: Option<SocketAddr>,
    },
    /// Answers [`ControlMessage::FetchTargets`]; `None` where the replica reads no list.
    Targets(Option<TargetsReport>),
    /// Answers [`ControlMessage::FetchFleet`].
    Fleet {
        /// Who answers.
        standing: VotingStatus,
        /// Index of the newest log entry, committed or not, that may change the fleet document.
        logged_change: u64,
        /// Index of the newest such entry that `version` takes into account.
        applied_change: u64,
        /// Version of `document`, or of the replica's committed document where that is not newer
        /// than what the asker holds.
        version: FleetVersion,
        /// The committed document as JSON, absent where the asker already holds it.
        document: Option<PackedText>,
    },
    /// Asks for a command to be logged.
    Submit {
        /// The command.
        command: NodeCommand,
    },
    /// Answers [`ControlMessage::Submit`] once the command is committed.
    Outcome(NodeOutcome),
    /// Answers [`ControlMessage::Submit`] where the command is not known to be committed.
    NotLogged {
        /// Whether the command may take effect all the same.
        verdict: Verdict,
        /// What happened.
        reason: String,
    },
    /// Asks for the intent of one target if it is newer than `known`.
    FetchIntent {
        /// Name of the target.
        target: TargetName,
        /// Generation that the asker holds; 0 for none.
        known: FencingToken,
    },
    /// Answers [`ControlMessage::FetchIntent`].
    Intent {
        /// Who answers.
        standing: VotingStatus,
        /// Index of the newest log entry, committed or not, that may change any intent.
        logged_change: u64,
        /// Index of the newest such entry that `intent` takes into account.
        applied_change: u64,
        /// The intent, absent where it is not newer than what the asker holds.
        intent: Option<Intent>,
    },
}

/// Between an entry and a target process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkMessage {
    /// Asks the target process to take a request.
    Submit(WorkRequest),
    /// Asks what became of a request that was submitted on another connection, now broken.
    ///
    /// The target process takes nothing more from that connection. It answers
    /// [`WorkMessage::Refused`] where it has not taken the request; else it goes on as if the request
    /// had been submitted on this connection.
    Recall {
        /// The broken connection.
        session: SessionId,
        /// Life of the target process that the request was submitted to.
        incarnation: Incarnation,
    },
    /// The call was claimed by a target process, which alone may run it or tell its result.
    ///
    /// The sender has not taken the call.
    Claimed {
        /// Holder of the claim.
        holder: ClaimHolder,
        /// Load of the sender's target.
        load: LoadReport,
    },
    /// The call has a result in the control log; the sender has not run it now.
    Settled(ClaimResult),
    /// The key was used for another call; the sender has not taken this one.
    KeyReused,
    /// The target process has taken the request; from here on it may run.
    Accepted {
        /// Load of the target, this request included.
        load: LoadReport,
    },
    /// The target process has not taken the request and never will.
    Refused {
        /// Why not.
        reason: RefusalReason,
        /// When another try may succeed, in milliseconds from now.
        retry_after_ms: u64,
        /// Load of the target.
        load: LoadReport,
    },
    /// Part of a generated answer.
    Piece {
        /// Attempt that produced it.
        attempt: AttemptNumber,
        /// Number of tokens of the whole answer before this piece.
        offset: u64,
        /// Generated text.
        text: String,
        /// Number of tokens in `text`.
        tokens: u64,
    },
    /// End of a generated answer.
    End {
        /// Attempt that produced it.
        attempt: AttemptNumber,
        /// Number of tokens of the whole answer.
        tokens: u64,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
        /// Why generation ended, in the engine's words.
        finish_reason: String,
        /// Load of the target after this request.
        load: LoadReport,
    },
    /// Whole answer of a plain service.
    PlainAnswer {
        /// HTTP status.
        status: u16,
        /// Headers, in order.
        headers: Vec<(String, String)>,
        /// Body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A planned change ends the attempt; the answer goes on at its offset on another engine.
    Moved {
        /// Attempt that ends.
        attempt: AttemptNumber,
    },
    /// The request failed after it was taken.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// What happened.
        reason: String,
    },
}

/// Message of one gateway to another; nothing is answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GatewayMessage {
    /// First message of a connection.
    Hello {
        /// Who sends; another start of the same gateway has another number.
        sender: u64,
    },
    /// What the sender did with engines, oldest first.
    Engines(Vec<EngineEvent>),
}

/// A list of live targets and its age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetsReport {
    /// Time since the list was asked for, in milliseconds.
    pub age_ms: u64,
    /// Digest of the list.
    pub digest: u64,
    /// Gateways that have asked lately.
    pub gateways: Vec<SocketAddr>,
    /// The list; `None` where the asker holds it.
    pub list: Option<TargetList>,
}

/// A request as an entry hands it to a target process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRequest {
    /// Number of this attempt.
    pub attempt: AttemptNumber,
    /// Service that the caller addressed.
    pub service: ServiceName,
    /// Caller whose request it is.
    pub caller: CallerName,
    /// Version of the fleet document that the entry acted on.
    pub fleet_version: FleetVersion,
    /// Time left for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Key of a request that may run at most once.
    pub key: Option<IdempotencyKey>,
    /// Life of the target process that the request is meant for; any where it is not stated.
    pub incarnation: Option<Incarnation>,
    /// What to run.
    pub payload: WorkPayload,
}

/// What a target is asked to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkPayload {
    /// Generation of text by an engine.
    Completion {
        /// Model, as the caller named it.
        model: String,
        /// Prompt.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Number of tokens of the answer that the caller already has; generation resumes there.
        resume_at: u64,
    },
    /// Call of a plain service.
    Plain(PlainRequest),
}

/// Call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl PlainRequest {
    /// Returns whether the call may run more than once, by the meaning of its HTTP method.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// Load of one target, as its target process knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of requests that the target process has taken and not finished.
    pub requests: u32,
    /// Pieces of 1,024 tokens that these requests hold or will hold.
    pub pieces: u64,
    /// Pieces that the target has in all.
    pub capacity_pieces: u64,
    /// Predicted time until a further prompt would begin to be read, in microseconds.
    #[serde(default)]
    pub waiting_us: u64,
    /// Prompt tokens that the engine reads in a second, as measured; 0 for unknown.
    #[serde(default)]
    pub prefill_tokens_per_second: u64,
    /// Time for one token of an answer, without what each running answer adds, in nanoseconds.
    #[serde(default)]
    pub token_ns: u64,
    /// Time that each running answer adds to that, in nanoseconds.
    #[serde(default)]
    pub token_ns_per_decode: u64,
}

/// Why a target process did not take a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The target is leaving or its process is stopping.
    Leaving,
    /// The target is being changed, or its process does not know yet what its engine has.
    Changing,
    /// The queue is full.
    Full,
    /// The answer would come after its deadline.
    TooLate,
    /// The answer would come after its deadline even if the target were idle.
    Impossible,
    /// An answer that was promised before would come after its deadline.
    Displacing,
    /// The target does not serve this service or model.
    WrongTarget,
    /// The target process cannot confirm its configuration.
    Unconfirmed,
    /// The request was meant for another life of the target process.
    OtherIncarnation,
    /// The connection broke before the target process had read the request.
    NotReceived,
    /// The control log does not take the request's claim now.
    ClaimRefused,
}

impl RefusalReason {
    /// Returns a short text for callers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Leaving => "the target is leaving",
            RefusalReason::Changing => "the target is being changed",
            RefusalReason::Full => "the target's queue is full",
            RefusalReason::TooLate => "the answer would be late",
            RefusalReason::Impossible => "the answer would be late even on an idle target",
            RefusalReason::Displacing => "the target is busy with answers promised before",
            RefusalReason::WrongTarget => "the target does not serve this",
            RefusalReason::Unconfirmed => "the target cannot confirm its configuration",
            RefusalReason::OtherIncarnation => "the target process was restarted",
            RefusalReason::NotReceived => "the connection to the target broke",
            RefusalReason::ClaimRefused => "the claim of the call cannot be logged",
        }
    }
}
