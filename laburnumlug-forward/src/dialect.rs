//! What headers of requests and answers mean.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use laburnumlug::{RequestId, TargetName};

/// Prompt of a request for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptFacts {
    /// Name of the model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Id and tokens of the prompt's parts, in order; the last belongs to the request alone.
    pub parts: Vec<(u64, u64)>,
}

/// What a request's head tells.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFacts {
    /// Id of the request.
    pub id: RequestId,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Prompt, where the request has one.
    pub prompt: Option<PromptFacts>,
}

/// Part of the work that one send asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SendStep {
    /// The whole request.
    Whole,
    /// Only to read the prompt and to keep it for another engine.
    ReadPrompt,
    /// The answer, from a prompt that another engine has read.
    AnswerFrom {
        /// Engine that holds the prompt.
        source: SocketAddr,
        /// Name of the prompt there.
        handle: String,
    },
}

/// What a send adds to a request's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct SendFacts {
    /// Life of the target that is to take the request.
    pub instance: TargetName,
    /// How long the target may work.
    pub time_left: Duration,
    /// Urgency among requests for engines, from 0 to 9; 0 goes first.
    pub priority: Option<u8>,
    /// Part of the work.
    pub step: SendStep,
    /// Id of the last event that the caller has, where a stream goes on.
    pub resume_after: Option<String>,
}

/// What an answer's head tells.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerFacts {
    /// Id of the request that it answers.
    pub id: Option<RequestId>,
    /// Whether the target states that it has not run the request and never will.
    pub not_run: bool,
    /// Whether another target than the one asked for has answered.
    pub wrong_target: bool,
}

/// Meaning of the headers of requests and answers.
pub trait Dialect {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Tells which header is malformed or missing.
    fn call(&self, headers: &HeaderMap) -> Result<CallFacts, String>;

    /// Returns the headers to pass on: without those of one connection and those that only the system sets.
    fn forwarded(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers of one send.
    fn address(&self, headers: &mut HeaderMap, facts: &SendFacts);

    /// Reads an answer's head.
    fn answer(&self, status: u16, headers: &HeaderMap) -> AnswerFacts;

    /// Returns the headers of an answer to pass on.
    fn answered(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the name of a prompt that was read, from the body of the answer.
    fn prompt_handle(&self, body: &[u8]) -> Option<String>;

    /// Adds the id of the request to an answer of the system's own.
    fn identify(&self, headers: &mut HeaderMap, id: &str);
}
