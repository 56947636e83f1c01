//! Parsing of generation request bodies.

use serde::Deserialize;

use crate::answer::AnswerFormat;
use crate::error::ApiError;

/// Maximum number of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Largest `max_tokens` that a caller may set.
const MAX_TOKENS_LIMIT: u64 = 128 * 1024;

/// Bytes per prompt token, for the estimate used until an engine has tokenized the prompt.
const ESTIMATED_BYTES_PER_TOKEN: u64 = 4;

/// Request to generate text, parsed from either format.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerationRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt; chat messages are joined, one per line.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Whether to stream the answer as server-sent events.
    pub stream: bool,
}

impl GenerationRequest {
    /// Returns the estimated number of prompt tokens.
    pub fn estimated_prompt_tokens(&self) -> u64 {
        (self.prompt.len() as u64).div_ceil(ESTIMATED_BYTES_PER_TOKEN)
    }
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Parses the body of a generation request.
///
/// # Errors
///
/// Fails if the body is not valid JSON of the format or has invalid parameters.
pub fn parse_generation(format: AnswerFormat, body: &[u8]) -> Result<GenerationRequest, ApiError> {
    let generation = match format {
        AnswerFormat::Completion => parse_completion(body)?,
        AnswerFormat::Chat => parse_chat(body)?,
    };
    if generation.prompt.is_empty() {
        return Err(ApiError::bad_body("the prompt is empty"));
    }
    if !(1..=MAX_TOKENS_LIMIT).contains(&generation.max_tokens) {
        let message = format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}");
        return Err(ApiError::bad_body(&message));
    }
    Ok(generation)
}

fn parse_completion(body: &[u8]) -> Result<GenerationRequest, ApiError> {
    let body: CompletionBody = parse_json(body)?;
    Ok(GenerationRequest {
        model: body.model,
        prompt: body.prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: body.stream,
    })
}

fn parse_chat(body: &[u8]) -> Result<GenerationRequest, ApiError> {
    let body: ChatBody = parse_json(body)?;
    let lines: Vec<String> = body
        .messages
        .iter()
        .map(|msg| format!("{}: {}", msg.role, msg.content))
        .collect();
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    Ok(GenerationRequest {
        model: body.model,
        prompt: lines.join("\n"),
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        stream: body.stream,
    })
}

fn parse_json<'a, T>(body: &'a [u8]) -> Result<T, ApiError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|err| ApiError::bad_body(&err.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_generation_completion() {
        let body = br#"{"model":"digest","prompt":"hello","max_tokens":5,"temperature":0.2}"#;
        let generation = parse_generation(AnswerFormat::Completion, body).unwrap();
        assert_eq!(generation.max_tokens, 5);
        assert_eq!(generation.estimated_prompt_tokens(), 2);
    }

    #[test]
    fn parse_generation_chat() {
        let body = br#"{"model":"digest","messages":[{"role":"user","content":"hello"}]}"#;
        let generation = parse_generation(AnswerFormat::Chat, body).unwrap();
        assert_eq!(generation.prompt, "user: hello");
    }

    #[test]
    fn parse_generation_invalid() {
        for body in [
            "",
            "{",
            "[]",
            r#"{"model":"digest"}"#,
            r#"{"model":"digest","prompt":""}"#,
            r#"{"model":"digest","prompt":"a","max_tokens":0}"#,
            r#"{"model":"digest","prompt":"a","max_tokens":-1}"#,
            r#"{"model":7,"prompt":"a"}"#,
        ] {
            let err = parse_generation(AnswerFormat::Completion, body.as_bytes()).unwrap_err();
            assert_eq!(err.status(), 400, "{body}");
        }
    }
}
