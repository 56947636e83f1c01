//! Claims in the control log, which ensure that a non-repeatable call runs at most once.

use std::fmt;

use laburnumlug::{CallerName, IdempotencyKey, Incarnation, ServiceName, TargetName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::message::PlainRequest;

/// Identity of a call that may run at most once.
///
/// Two callers may use the same key for different calls, so a claim is identified by all three fields.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId {
    /// Called service.
    pub service: ServiceName,
    /// Caller that sent the call.
    pub caller: CallerName,
    /// Idempotency key chosen by the caller.
    pub key: IdempotencyKey,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.caller, self.key)
    }
}

/// SHA-256 of a call's method, path and body, which distinguishes a retry from a different call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a call.
    ///
    /// Headers are excluded because a retry through another proxy may carry different ones.
    pub fn of(req: &PlainRequest) -> Fingerprint {
        let mut hasher = Sha256::new();
        for part in [req.method.as_bytes(), req.path.as_bytes(), &req.body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.finalize().into())
    }
}

/// Sequence number of a holder's attempt to claim a call.
pub type ClaimSequence = u64;

/// Command that reads or changes a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Acquires the exclusive right to run a call.
    #[serde(rename = "Take")]
    Acquire {
        /// Id of the call.
        id: ClaimId,
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
        /// Target process that requests the claim.
        holder: ClaimHolder,
        /// Sequence number of this attempt; it increases with each attempt, so that a delayed duplicate of a
        /// command can be recognised.
        #[serde(rename = "turn")]
        sequence: ClaimSequence,
    },
    /// Queries the claim of a call without changing it.
    #[serde(rename = "Look")]
    Query {
        /// Id of the call.
        id: ClaimId,
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
    },
    /// Records the result of a call that the holder ran.
    #[serde(rename = "Settle")]
    RecordResult {
        /// Id of the call.
        id: ClaimId,
        /// Target process that ran it.
        holder: ClaimHolder,
        /// Sequence number of the attempt in which it ran.
        #[serde(rename = "turn")]
        sequence: ClaimSequence,
        /// Result of the call.
        result: ClaimResult,
    },
    /// Releases a claim: the holder did not run the call in this attempt, and will not unless it acquires the
    /// claim again.
    Release {
        /// Id of the call.
        id: ClaimId,
        /// Target process that held the claim.
        holder: ClaimHolder,
        /// Sequence number of the attempt.
        #[serde(rename = "turn")]
        sequence: ClaimSequence,
    },
}

/// Incarnation of a target process that holds a claim; only the holder may run the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimHolder {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of its target process.
    pub incarnation: Incarnation,
}

/// Outcome of a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The requesting holder has the claim.
    Granted,
    /// Another incarnation of a target process holds the claim and has not recorded a result.
    Held(ClaimHolder),
    /// The call has a recorded result.
    #[serde(rename = "Settled")]
    Completed(ClaimResult),
    /// The log held no claim of the call.
    Unclaimed,
    /// The key was used for a call with another fingerprint.
    KeyReused,
    /// The claim table is full.
    Full,
    /// The result or release is recorded, or came too late to have an effect.
    #[serde(rename = "Noted")]
    Recorded,
}

/// Result of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimResult {
    /// The call ran and its complete response is recorded.
    Answered(RecordedResponse),
    /// The call ran, but its response was too large to record or is no longer kept.
    AnswerNotKept {
        /// HTTP status of the response.
        status: u16,
    },
    /// The call may have run; its response never arrived.
    Unknown {
        /// Description of the failure.
        reason: String,
    },
}

/// Complete HTTP response of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl RecordedResponse {
    /// Returns the size in bytes that counts towards the limits of recorded responses.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(method: &str, path: &str, body: &str) -> PlainRequest {
        PlainRequest {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    #[test]
    fn fingerprint_same_call_other_headers() {
        let mut retry = call("POST", "/a", "b");
        retry.headers.push(("via".into(), "proxy".into()));
        assert_eq!(
            Fingerprint::of(&call("POST", "/a", "b")),
            Fingerprint::of(&retry)
        );
    }

    #[test]
    fn fingerprint_separates_path_and_body() {
        assert_ne!(
            Fingerprint::of(&call("POST", "/a", "b")),
            Fingerprint::of(&call("POST", "/ab", ""))
        );
    }
}
