//! Server-sent events of a streamed completion: wire format, parser and encoder.

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Maximum length of one line of an event stream.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One event of a streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// Newly generated text.
    Delta {
        /// Request id, echoed by the engine.
        request_id: String,
        /// Number of tokens of the completion before this text.
        offset: u64,
        /// The text.
        text: String,
        /// Number of tokens in the text.
        tokens: u64,
    },
    /// End of the completion.
    Finish {
        /// Request id, echoed by the engine.
        request_id: String,
        /// Why generation ended, in the engine's terms.
        reason: String,
        /// Number of tokens in the prompt.
        prompt_tokens: u64,
        /// Number of tokens in the whole completion.
        completion_tokens: u64,
    },
}

/// Payload of one event on the wire.
#[derive(Deserialize, Serialize)]
struct Chunk {
    #[serde(default)]
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize, Serialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Incremental parser of server-sent events that accepts chunks of any size.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: Vec<u8>,
    /// Whether the end marker `[DONE]` has been read.
    end_seen: bool,
}

impl EventParser {
    /// Returns whether the end marker `[DONE]` has been read.
    pub fn is_done(&self) -> bool {
        self.end_seen
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the last, incomplete line exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.buf.extend_from_slice(bytes);
        let unfinished = self
            .buf
            .iter()
            .rev()
            .take_while(|byte| **byte != b'\n')
            .count();
        if unfinished > MAX_LINE_BYTES {
            return Err(Error::malformed("line too long"));
        }
        Ok(())
    }

    /// Returns the next complete event, or `None` if more bytes are needed; skips events without choices.
    ///
    /// # Errors
    ///
    /// Fails when an event is malformed.
    pub fn next_event(&mut self) -> Result<Option<CompletionEvent>, Error> {
        while let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buf.drain(..=end).collect();
            let line = std::str::from_utf8(&line)
                .map_err(Error::malformed)?
                .trim_end();
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            match data.trim() {
                "[DONE]" => self.end_seen = true,
                data => {
                    if let Some(event) = parse_chunk(data)? {
                        return Ok(Some(event));
                    }
                }
            }
        }
        Ok(None)
    }
}

fn parse_chunk(data: &str) -> Result<Option<CompletionEvent>, Error> {
    let chunk: Chunk = serde_json::from_str(data).map_err(Error::malformed)?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Ok(None);
    };
    match (choice.finish_reason, chunk.usage) {
        (Some(reason), Some(usage)) => Ok(Some(CompletionEvent::Finish {
            request_id: chunk.id,
            reason,
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
        })),
        (Some(_), None) => Err(Error::malformed("the last chunk has no usage")),
        (None, _) => Ok(Some(CompletionEvent::Delta {
            request_id: chunk.id,
            offset: choice.offset,
            text: choice.text,
            tokens: choice.tokens,
        })),
    }
}

impl CompletionEvent {
    /// Returns the request id, echoed by the engine.
    pub fn request_id(&self) -> &str {
        match self {
            CompletionEvent::Delta { request_id, .. }
            | CompletionEvent::Finish { request_id, .. } => request_id,
        }
    }

    /// Encodes the event as a server-sent event.
    pub fn to_wire(&self) -> String {
        let chunk = match self {
            CompletionEvent::Delta {
                request_id,
                offset,
                text,
                tokens,
            } => Chunk {
                id: request_id.clone(),
                choices: vec![Choice {
                    text: text.clone(),
                    offset: *offset,
                    tokens: *tokens,
                    finish_reason: None,
                }],
                usage: None,
            },
            CompletionEvent::Finish {
                request_id,
                reason,
                prompt_tokens,
                completion_tokens,
            } => Chunk {
                id: request_id.clone(),
                choices: vec![Choice {
                    text: String::new(),
                    offset: *completion_tokens,
                    tokens: 0,
                    finish_reason: Some(reason.clone()),
                }],
                usage: Some(Usage {
                    prompt_tokens: *prompt_tokens,
                    completion_tokens: *completion_tokens,
                }),
            },
        };
        let json = serde_json::to_string(&chunk).expect("a chunk has only string keys");
        format!("data: {json}\n\n")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample() -> Vec<CompletionEvent> {
        vec![
            CompletionEvent::Delta {
                request_id: "r".into(),
                offset: 0,
                text: "tea \n dance".into(),
                tokens: 2,
            },
            CompletionEvent::Finish {
                request_id: "r".into(),
                reason: "stop".into(),
                prompt_tokens: 3,
                completion_tokens: 2,
            },
        ]
    }

    #[test]
    fn next_event_any_split() {
        let wire: String = sample().iter().map(CompletionEvent::to_wire).collect();
        let wire = format!("{wire}data: [DONE]\n\n");
        for size in 1..wire.len() {
            let mut parser = EventParser::default();
            let mut events = Vec::new();
            for chunk in wire.as_bytes().chunks(size) {
                parser.push(chunk).unwrap();
                while let Some(event) = parser.next_event().unwrap() {
                    events.push(event);
                }
            }
            assert_eq!(events, sample());
            assert!(parser.is_done());
        }
    }

    #[test]
    fn next_event_garbage() {
        let mut parser = EventParser::default();
        parser.push(b"data: {nonsense\n").unwrap();
        assert!(parser.next_event().is_err());
    }
}
