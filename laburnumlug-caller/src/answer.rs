//! Encoding of generated text in the response formats of the two generation endpoints.

use bytes::Bytes;
use laburnumlug::RequestId;
use serde_json::{Value, json};

use crate::error::ApiError;

/// Response format, one per generation endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// Format of `/v1/completions`.
    Completion,
    /// Format of `/v1/chat/completions`.
    Chat,
}

/// Encodes one answer, either complete or as server-sent events.
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    format: AnswerFormat,
    id: RequestId,
    model: String,
    /// Unix time in seconds.
    created: u64,
}

impl AnswerWriter {
    /// Creates a writer for the answer to request `id`, created at Unix time `created` in seconds.
    pub fn new(format: AnswerFormat, id: &str, model: &str, created: u64) -> AnswerWriter {
        AnswerWriter {
            format,
            id: id.to_string(),
            model: model.to_string(),
            created,
        }
    }

    /// Returns a complete answer that is not streamed.
    pub fn full_answer(
        &self,
        text: &str,
        finish_reason: &str,
        prompt_tokens: u64,
        completion_tokens: u64,
    ) -> Value {
        let choice = match self.format {
            AnswerFormat::Completion => json!({
                "index": 0, "text": text, "finish_reason": finish_reason,
            }),
            AnswerFormat::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
        };
        let mut answer = self.envelope(choice, false);
        answer["usage"] = usage(prompt_tokens, completion_tokens);
        answer
    }

    /// Returns the event for a chunk of a streamed answer.
    pub fn chunk_event(&self, text: &str) -> Bytes {
        let choice = match self.format {
            AnswerFormat::Completion => json!({
                "index": 0, "text": text, "finish_reason": null,
            }),
            AnswerFormat::Chat => json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null,
            }),
        };
        event(&self.envelope(choice, true))
    }

    /// Returns the last events of a complete streamed answer: finish reason and token counts, then the `[DONE]` marker.
    pub fn final_events(
        &self,
        finish_reason: &str,
        prompt_tokens: u64,
        completion_tokens: u64,
    ) -> Bytes {
        let choice = match self.format {
            AnswerFormat::Completion => json!({
                "index": 0, "text": "", "finish_reason": finish_reason,
            }),
            AnswerFormat::Chat => json!({
                "index": 0, "delta": {}, "finish_reason": finish_reason,
            }),
        };
        let mut answer = self.envelope(choice, true);
        answer["usage"] = usage(prompt_tokens, completion_tokens);
        let mut buf = event(&answer).to_vec();
        buf.extend_from_slice(b"data: [DONE]\n\n");
        buf.into()
    }

    /// Returns the event that terminates a streamed answer that cannot be completed.
    ///
    /// No `[DONE]` marker follows it.
    pub fn error_event(&self, err: &ApiError) -> Bytes {
        format!("event: error\ndata: {}\n\n", err.to_json()).into()
    }

    fn envelope(&self, choice: Value, is_chunk: bool) -> Value {
        let object = match (self.format, is_chunk) {
            (AnswerFormat::Completion, _) => "text_completion",
            (AnswerFormat::Chat, false) => "chat.completion",
            (AnswerFormat::Chat, true) => "chat.completion.chunk",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn writer() -> AnswerWriter {
        AnswerWriter::new(AnswerFormat::Chat, "r-1", "digest", 0)
    }

    #[test]
    fn final_events_done_marker() {
        assert!(
            writer()
                .final_events("stop", 1, 2)
                .ends_with(b"data: [DONE]\n\n")
        );
    }

    #[test]
    fn error_event_no_done_marker() {
        let err = ApiError::unavailable("no engine", Duration::from_secs(1));
        let event = String::from_utf8(writer().error_event(&err).to_vec()).unwrap();
        assert!(event.starts_with("event: error\n"));
        assert!(!event.contains("[DONE]"));
    }
}
