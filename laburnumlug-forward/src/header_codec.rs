//! Abstraction of the header format of requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use laburnumlug::{RequestId, TargetName};
use laburnumlug_policy::Credentials;

/// Description of the prompt of a request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptMetadata {
    /// Name of the model.
    pub model: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// Id and token count of each part of the prompt, in order; the last part is never shared with other requests.
    pub parts: Vec<(u64, u64)>,
}

/// Resumption of a broken stream by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Resumption {
    /// Id of the last event that the caller received.
    pub last_event_id: String,
    /// Id of the request that brought the caller the first event of the stream, if the caller states it.
    pub first_request: Option<RequestId>,
}

/// Metadata from the headers of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMetadata {
    /// Id of the request.
    pub id: RequestId,
    /// How long the caller waits for the response.
    pub time_left: Option<Duration>,
    /// The prompt, if the request has one.
    pub prompt: Option<PromptMetadata>,
    /// The stream that the request resumes, if any.
    pub resumption: Option<Resumption>,
}

/// Stage of inference that one attempt asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptStage {
    /// The whole request: prefill and decode.
    Full,
    /// Prefill only; the engine keeps the prompt for another engine.
    Prefill,
    /// Decode, from a prompt that another engine has prefilled.
    DecodeFrom {
        /// Engine that holds the prompt.
        source: SocketAddr,
        /// Handle of the prompt at that engine.
        handle: String,
    },
}

/// Values of the headers that are added for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders {
    /// Instance that the request is addressed to.
    pub instance: TargetName,
    /// How long the target may work on the request.
    pub time_left: Duration,
    /// Priority among requests to engines, from 0 to 9; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requested stage.
    pub stage: AttemptStage,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<String>,
}

/// Statements of a target about itself, from the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatements {
    /// Number of requests per second that the target accepts from all gateways together, or `None` without a limit.
    ///
    /// It is finite and not negative.
    pub request_limit: Option<f64>,
    /// Whether the target is leaving and wants no further requests.
    pub leaving: bool,
    /// How long the target wants no further requests of this gateway, after it has refused one.
    pub retry_after: Option<Duration>,
}

impl TargetStatements {
    /// Returns whether the target wants no requests.
    pub(crate) fn declines_requests(&self) -> bool {
        self.leaving || self.retry_after.is_some_and(|time| !time.is_zero())
    }
}

/// Metadata from the head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub id: Option<RequestId>,
    /// Whether the target states that it has not executed the request and never will.
    pub not_run: bool,
    /// Whether the response comes from another target than the one addressed.
    pub wrong_target: bool,
    /// Statements of the target about itself.
    pub statements: TargetStatements,
}

/// Parses and writes the headers of requests and responses.
pub trait HeaderCodec {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns a message that names the malformed or missing header.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Returns the request headers to forward, without hop-by-hop headers and those that only the gateway may set.
    fn forwarded_request_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the API key of a request.
    fn parse_credentials(&self, headers: &HeaderMap) -> Credentials;

    /// Replaces the caller's credentials, in headers to forward, by the name of the customer that has its key, if any.
    ///
    /// A name that the caller itself states is dropped.
    fn replace_credentials(&self, headers: &mut HeaderMap, customer: Option<&str>);

    /// Sets the headers of one attempt.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHeaders);

    /// Parses the head of a response.
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the response headers to forward.
    fn forwarded_response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the handle of a prefilled prompt from the body of the response to [`AttemptStage::Prefill`].
    fn parse_prompt_handle(&self, body: &[u8]) -> Option<String>;

    /// Sets the request id on a response that the gateway itself generates.
    fn set_request_id(&self, headers: &mut HeaderMap, id: &str);
}
