//! Completion requests to an engine.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens in the completion.
    pub max_tokens: u64,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Number of leading tokens of the completion to skip, as the caller already has them.
    #[serde(default)]
    pub resume_at: u64,
    /// Scheduling priority; higher values run first.
    #[serde(default)]
    pub priority: i64,
    /// Id of the request in the engine's records.
    #[serde(default)]
    pub request_id: String,
}

impl CompletionRequest {
    /// Creates a request for a streamed completion.
    pub fn new(model: &str, prompt: &str, max_tokens: u64) -> CompletionRequest {
        CompletionRequest {
            model: model.to_string(),
            prompt: prompt.to_string(),
            max_tokens,
            stream: true,
            resume_at: 0,
            priority: 0,
            request_id: String::new(),
        }
    }

    /// Sets the number of leading tokens of the completion to skip; 0 by default.
    pub fn resume_at(mut self, tokens: u64) -> CompletionRequest {
        self.resume_at = tokens;
        self
    }

    /// Sets the scheduling priority; higher values run first, and the default is 0.
    pub fn priority(mut self, priority: i64) -> CompletionRequest {
        self.priority = priority;
        self
    }

    /// Sets the id of the request in the engine's records.
    pub fn request_id(mut self, id: &str) -> CompletionRequest {
        self.request_id = id.to_string();
        self
    }
}
