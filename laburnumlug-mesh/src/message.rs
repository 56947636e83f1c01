//! Message types between the processes of this system.

use std::net::SocketAddr;

use laburnumlug::{
    AttemptNumber, CallerName, DemandReport, FencingToken, FleetVersion, IdempotencyKey,
    Incarnation, ServiceName, TargetName, UsageReport, Verdict, VotingStatus, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimHolder, ClaimResult};
use crate::compressed_text::CompressedText;
use crate::directory::{ControlContact, DirectoryReport};
use crate::gateway_message::GatewayMessage;
use crate::handshake::SessionId;
use crate::intent::Intent;
use crate::node_command::{NodeCommand, NodeOutcome};
use crate::targets_report::TargetsReport;

/// Any message sent over a mesh connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Message between an entry or target process and a control replica.
    Control(ControlMessage),
    /// Message between an entry and a target process.
    Work(WorkMessage),
    /// Message between two gateways.
    Gateway(GatewayMessage),
    /// Message between two control replicas, in their own encoding.
    Replica {
        /// The encoded message.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

/// Message between an entry or target process and a control replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Requests the fleet document if it is newer than `known`.
    FetchFleet {
        /// Version that the requester holds; 0 for none.
        known: FleetVersion,
        /// Numbers of requests that a gateway has counted and that the replica has not acknowledged yet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        usage: Option<UsageReport>,
    },
    /// Requests the list of live targets that the replica has read from the platform.
    FetchTargets {
        /// Digest of the list that the requester holds; 0 for none.
        known: u64,
        /// Address at which the requester receives events from other gateways.
        #[serde(rename = "own")]
        gateway_addr: Option<SocketAddr>,
        /// Availability zone of a gateway.
        #[serde(default)]
        gateway_zone: Option<ZoneName>,
        /// Engine time that the requests of the requester have used; `None` if it sends none to engines.
        #[serde(default)]
        demand: Option<DemandReport>,
    },
    /// Response to [`ControlMessage::FetchTargets`]; `None` if the replica reads no target list.
    Targets(Option<TargetsReport>),
    /// Response to [`ControlMessage::FetchFleet`], with the log indexes that show whether it is current.
    Fleet {
        /// Voting status of the responding replica.
        #[serde(rename = "standing")]
        voting_status: VotingStatus,
        /// Index of the newest log entry, committed or not, that may change the fleet document.
        logged_change: u64,
        /// Index of the newest such entry that is applied in `version`.
        applied_change: u64,
        /// Version of `document`, or of the replica's committed document if that is not newer than
        /// the requester's.
        version: FleetVersion,
        /// Committed document as JSON; `None` if the requester already holds it.
        document: Option<CompressedText>,
        /// Unix time of the replica's clock in milliseconds, stated in answers to requests with `usage`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        time_ms: Option<u64>,
    },
    /// Asks the replica to append a command to the control log.
    Submit {
        /// Command to append.
        command: NodeCommand,
    },
    /// Response to [`ControlMessage::Submit`] once the command is committed.
    Outcome(NodeOutcome),
    /// Response to [`ControlMessage::Submit`] if the replica has not seen the command committed.
    NotLogged {
        /// Whether the command may still take effect.
        verdict: Verdict,
        /// Description of the failure.
        reason: String,
    },
    /// Requests the intent of one target if it is newer than `known`.
    FetchIntent {
        /// Name of the target.
        target: TargetName,
        /// Generation that the requester holds; 0 for none.
        known: FencingToken,
    },
    /// Response to [`ControlMessage::FetchIntent`], with the log indexes that show whether it is current.
    Intent {
        /// Voting status of the responding replica.
        #[serde(rename = "standing")]
        voting_status: VotingStatus,
        /// Index of the newest log entry, committed or not, that may change any intent.
        logged_change: u64,
        /// Index of the newest such entry that is applied in `intent`.
        applied_change: u64,
        /// The intent; `None` if it is not newer than the requester's.
        intent: Option<Intent>,
    },
    /// Response of a control process without a replica to requests that only a replica can answer.
    Referral {
        /// Mesh addresses of the replicas that it knows.
        replicas: Vec<SocketAddr>,
    },
    /// Asks a control process which others it knows.
    FetchDirectory {
        /// The requester, if it is a control process.
        sender: Option<ControlContact>,
    },
    /// Response to [`ControlMessage::FetchDirectory`].
    Directory(DirectoryReport),
    /// Asks a control process without a replica to agree that `candidate` bootstraps the cluster.
    RequestBootstrap {
        /// Mesh address of the replica that is to bootstrap the cluster.
        candidate: SocketAddr,
    },
    /// Response to [`ControlMessage::RequestBootstrap`].
    BootstrapGrant {
        /// Whether the process agrees. It agrees to one candidate only.
        granted: bool,
    },
}

/// Message between an entry and a target process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkMessage {
    /// Asks the target process to accept a request.
    Submit(WorkRequest),
    /// Reattaches to a request that was submitted on another connection, which has since broken.
    ///
    /// The target process accepts nothing more from that connection. It replies with
    /// [`WorkMessage::Refused`] if it has not accepted the request; otherwise it continues as if the
    /// request had been submitted on this connection.
    #[serde(rename = "Recall")]
    Reattach {
        /// Id of the broken connection.
        session: SessionId,
        /// Incarnation of the target process that the request was submitted to.
        incarnation: Incarnation,
    },
    /// A target process holds the claim of the call, and only that process may run it or report its
    /// result.
    ///
    /// The sender has not accepted the call.
    Claimed {
        /// Target process that holds the claim.
        holder: ClaimHolder,
        /// Load of the sender's target.
        load: LoadReport,
    },
    /// The control log already holds a result of the call; the sender has not run it for this request.
    #[serde(rename = "Settled")]
    AlreadyCompleted(ClaimResult),
    /// The idempotency key was used for a different call; the sender has not accepted this one.
    KeyReused,
    /// The target process has accepted the request, which may run from now on.
    Accepted {
        /// Load of the target, including this request.
        load: LoadReport,
    },
    /// The target process has not accepted the request and never will.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
        /// Load of the target.
        load: LoadReport,
    },
    /// Chunk of the generated text.
    #[serde(rename = "Piece")]
    Chunk {
        /// Attempt that produced it.
        attempt: AttemptNumber,
        /// Number of generated tokens before this chunk, counted from the start of the answer.
        offset: u64,
        /// Generated text.
        text: String,
        /// Number of tokens in `text`.
        tokens: u64,
    },
    /// End of the generated text.
    End {
        /// Attempt that produced it.
        attempt: AttemptNumber,
        /// Total number of generated tokens.
        tokens: u64,
        /// Number of prompt tokens.
        prompt_tokens: u64,
        /// Finish reason as reported by the engine.
        finish_reason: String,
        /// Load of the target after this request.
        load: LoadReport,
    },
    /// Complete response of a plain service.
    PlainAnswer {
        /// HTTP status.
        status: u16,
        /// Headers in order.
        headers: Vec<(String, String)>,
        /// Body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A planned change ends the attempt; generation resumes at the current offset on another engine.
    #[serde(rename = "Moved")]
    Migrated {
        /// Attempt that ends.
        attempt: AttemptNumber,
    },
    /// The request failed after it was accepted.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Description of the failure.
        reason: String,
    },
}

/// Request that an entry submits to a target process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRequest {
    /// Number of this attempt, which the messages about it repeat.
    pub attempt: AttemptNumber,
    /// Service that the caller addressed.
    pub service: ServiceName,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Version of the fleet document that the entry used.
    pub fleet_version: FleetVersion,
    /// Time left until the complete answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Idempotency key of a request that may run at most once.
    pub key: Option<IdempotencyKey>,
    /// Incarnation of the target process that must serve the request; `None` for any.
    pub incarnation: Option<Incarnation>,
    /// Generation or call that the target process is to run.
    pub payload: WorkPayload,
}

/// Work that a target is asked to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkPayload {
    /// Text generation by an engine.
    Completion {
        /// Model name as given by the caller.
        model: String,
        /// Prompt.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
        /// Number of generated tokens that the caller already has; generation resumes there.
        resume_at: u64,
    },
    /// Call to a plain service.
    Plain(PlainRequest),
}

/// HTTP call to a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl PlainRequest {
    /// Returns whether the call may run more than once, judged by its HTTP method.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// Load of one target as seen by its target process.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of accepted requests that have not finished.
    pub requests: u32,
    /// KV cache pieces of 1,024 tokens that these requests occupy or will occupy.
    pub pieces: u64,
    /// Total number of pieces of the target.
    pub capacity_pieces: u64,
    /// Predicted time until the prefill of a further prompt would begin, in microseconds.
    #[serde(default)]
    pub waiting_us: u64,
    /// Measured prefill rate of the engine in prompt tokens per second; 0 if unknown.
    #[serde(default)]
    pub prefill_tokens_per_second: u64,
    /// Base time to generate one token, without the share added by each running request, in nanoseconds.
    #[serde(default)]
    pub token_ns: u64,
    /// Time that each running request adds to `token_ns`, in nanoseconds.
    #[serde(default)]
    pub token_ns_per_decode: u64,
}

/// Reason why a target process did not accept a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The target is leaving or its process is stopping.
    Leaving,
    /// The target is being reconfigured, or its process does not yet know the state of its engine.
    Changing,
    /// The queue is full.
    Full,
    /// The answer would miss its deadline.
    TooLate,
    /// The answer would miss its deadline even on an idle target.
    Impossible,
    /// Accepting the request would make an earlier one miss its deadline.
    Displacing,
    /// The target does not serve this service or model.
    WrongTarget,
    /// The target process holds no fleet document that a majority of the control replicas has confirmed recently.
    Unconfirmed,
    /// The request was addressed to another incarnation of the target process.
    OtherIncarnation,
    /// The connection broke before the target process had read the request.
    NotReceived,
    /// The control log currently cannot record the claim of the request.
    ClaimRefused,
}

impl RefusalReason {
    /// Returns a short description for callers and logs.
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

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
