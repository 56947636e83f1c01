//! Events that the processes which send prompts to engines exchange about engine load, health and prefix caches.

use serde::{Deserialize, Serialize};

use crate::id::{SoftwareVersion, TargetName};

/// Sequence number of a prompt sent to an engine, unique per sender.
pub type SendNumber = u64;

/// Hash of the id of the request that began a stream.
pub type StreamId = u64;

/// Hash of a customer's name: the first 8 bytes, as a big-endian number, of the SHA-256 of the name's length in bytes, as 8
/// big-endian bytes, followed by the name in UTF-8.
pub type CustomerId = u64;

/// A stream, and the software version of the engine that generates it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Version of the engine's software, if discovery states it.
    pub software: Option<SoftwareVersion>,
}

/// Event that a process reports to the other processes that use the same engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EngineEvent {
    /// A prompt was sent to an engine.
    #[serde(rename = "Sent")]
    PromptSent {
        /// Sequence number of the prompt.
        number: SendNumber,
        /// Engine that received the prompt.
        engine: TargetName,
        /// Prefill work in tokens, weighted by the cost of processing them.
        work: u64,
        /// Scheduling priority at the engine; 0 is served first.
        priority: u8,
        /// Part id and token count of each part of the prompt.
        parts: Vec<(u64, u64)>,
        /// Maximum number of tokens of the answer; 0 if the engine only prefills the prompt.
        #[serde(default, skip_serializing_if = "is_zero")]
        output_tokens: u64,
        /// The stream that the engine is to generate; `None` if it only prefills the prompt, or if all targets of the
        /// service have the same software version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        stream: Option<StreamOrigin>,
        /// The customer whose request it is; `None` for a request without one, and where the fleet document lists no
        /// customers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        customer: Option<CustomerId>,
    },
    /// The engine has finished the prefill of the prompt and has it in its prefix cache.
    #[serde(rename = "Read")]
    PrefillDone {
        /// Sequence number of the prompt.
        number: SendNumber,
    },
    /// The engine no longer processes the request.
    #[serde(rename = "Ended")]
    RequestEnded {
        /// Sequence number of the prompt.
        number: SendNumber,
        /// Whether the answer is complete.
        #[serde(default)]
        is_complete: bool,
    },
    /// The sender has ejected a target for a while after several requests failed there.
    #[serde(rename = "Failing")]
    TargetEjected {
        /// The target.
        target: TargetName,
    },
    /// The sender has suspended a target, or sends requests to it again.
    #[serde(rename = "Reachable")]
    HealthChanged {
        /// The target, which need not be an engine.
        engine: TargetName,
        /// Whether the sender sends requests to the target.
        serves: bool,
    },
    /// A target states how many requests it accepts from all gateways together, or no longer does.
    #[serde(rename = "Limit")]
    RequestLimit {
        /// The target, which need not be an engine.
        target: TargetName,
        /// Number of requests per 1,000 seconds, or `None` without a limit.
        requests_per_1000_s: Option<u64>,
        /// Time since the statement in milliseconds.
        age_ms: u64,
    },
    /// The sender is about to send a request to a target that limits its requests.
    #[serde(rename = "Reserved")]
    RequestReserved {
        /// The target, which need not be an engine.
        target: TargetName,
    },
    /// A target is leaving, by its own statement or by the platform's list.
    #[serde(rename = "Leaving")]
    TargetLeaving {
        /// The target, which need not be an engine.
        target: TargetName,
    },
    /// A target has crashed.
    #[serde(rename = "Crashed")]
    TargetCrashed {
        /// The target, which need not be an engine.
        #[serde(rename = "engine")]
        target: TargetName,
        /// Time since the crash in milliseconds.
        age_ms: u64,
        /// Parts of the prompts that the target was beginning to decode.
        parts: Vec<u64>,
        /// Hashes of what the requests asked for that the target was beginning to run.
        #[serde(default)]
        contents: Vec<u64>,
        /// How far the target had got at most with requests that have each part, and then each content.
        #[serde(default)]
        progress: Vec<u64>,
    },
    /// Requests have completed with what crashed targets were beginning to run.
    #[serde(rename = "Cleared")]
    SuspectsCleared {
        /// Parts of prompts.
        parts: Vec<u64>,
        /// Hashes of what the requests asked for.
        contents: Vec<u64>,
    },
    /// The sender is about to send a request that tests whether what it blocks does crash targets.
    #[serde(rename = "Tested")]
    SuspectsTested {
        /// Parts of the prompt.
        parts: Vec<u64>,
        /// Hashes of what the request asks for.
        contents: Vec<u64>,
    },
    /// Rate at which an engine prefills, as the sender has measured it.
    #[serde(rename = "Rate")]
    PrefillRate {
        /// The engine.
        engine: TargetName,
        /// Prefill work per second, in tokens.
        tokens_per_s: u64,
    },
    /// Prompt parts that the sender expects in the engine's prefix cache, least recently used first.
    #[serde(rename = "Holds")]
    CacheContents {
        /// The engine.
        engine: TargetName,
        /// Id and token count of each part.
        parts: Vec<(u64, u64)>,
    },
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
