//! What the processes that send prompts to engines tell one another.

use serde::{Deserialize, Serialize};

use crate::id::TargetName;

/// Number of one send, unique for its sender.
pub type SendNumber = u64;

/// Something that one process did with an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EngineEvent {
    /// A prompt was sent.
    Sent {
        /// Number of the send.
        number: SendNumber,
        /// Engine that it was sent to.
        engine: TargetName,
        /// Tokens that the engine has to read, weighted with what reading them costs.
        work: u64,
        /// Urgency at the engine; 0 goes first.
        priority: u8,
        /// Chain and tokens of each of the prompt's parts.
        parts: Vec<(u64, u64)>,
    },
    /// The engine has read the prompt and holds it.
    Read {
        /// Number of the send.
        number: SendNumber,
    },
    /// The engine no longer works on the request.
    Ended {
        /// Number of the send.
        number: SendNumber,
    },
    /// The sender gives a target no requests for a while, as several failed there.
    Failing {
        /// The target.
        target: TargetName,
    },
    /// Nothing gets through to a target, or it serves again.
    Reachable {
        /// The target.
        engine: TargetName,
        /// Whether it serves.
        serves: bool,
    },
    /// The sender believes that the engine holds these parts, least recently used first.
    Holds {
        /// The engine.
        engine: TargetName,
        /// Chain and tokens of each part.
        parts: Vec<(u64, u64)>,
    },
}
