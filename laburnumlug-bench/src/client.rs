//! The bench's side of the callers' and operators' interfaces.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use laburnumlug_caller::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, RETRY_AFTER_MS_HEADER, VERDICT_HEADER,
};
use laburnumlug_http::ClientResponse;
use serde_json::{Value, json};

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request to generate text, on the clock.
pub(crate) struct Call<'a> {
    pub(crate) model: &'a str,
    pub(crate) caller: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u64,
    pub(crate) deadline: Duration,
}

/// How one attempt ended.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The stream had its end mark.
    Whole { text: String, times: Vec<PieceTime> },
    /// Refused with the verdict that it did not run.
    Refused {
        /// When another try may succeed.
        retry_after: Option<Duration>,
        message: String,
    },
    /// Failed or broken off, and may have run.
    Failed { message: String },
}

/// When a piece of an answer arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PieceTime {
    pub(crate) at: Instant,
    /// Bytes of text in the piece.
    pub(crate) bytes: usize,
}

/// Sends a request and reads its answer.
pub(crate) async fn generate(addr: SocketAddr, call: &Call<'_>) -> Answer {
    let body = json!({
        "model": call.model, "prompt": call.prompt, "max_tokens": call.max_tokens, "stream": true,
    });
    let req = hyper::Request::post("/v1/completions")
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .header(CALLER_HEADER, call.caller)
        .header(
            DEADLINE_HEADER,
            call.deadline.as_millis().max(1).to_string(),
        )
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else {
        return failed("the request cannot be built");
    };
    match laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await {
        Err(err) => failed(&err.to_string()),
        Ok(incoming) if incoming.status() == 200 => read_stream(incoming).await,
        Ok(incoming) => read_refusal(incoming).await,
    }
}

fn failed(message: &str) -> Answer {
    Answer::Failed {
        message: message.to_string(),
    }
}

async fn read_refusal(mut incoming: ClientResponse) -> Answer {
    let header = |name: &str| {
        let value = incoming.headers().get(name)?;
        Some(value.to_str().ok()?.to_string())
    };
    let not_run = header(VERDICT_HEADER).as_deref() == Some("not-run");
    let retry_after = header(RETRY_AFTER_MS_HEADER).and_then(|text| text.parse().ok());
    let body = incoming.bytes(MAX_ANSWER_BYTES).await.unwrap_or_default();
    match not_run {
        true => Answer::Refused {
            retry_after: retry_after.map(Duration::from_millis),
            message: String::from_utf8_lossy(&body).into_owned(),
        },
        false => failed(&String::from_utf8_lossy(&body)),
    }
}

async fn read_stream(mut incoming: ClientResponse) -> Answer {
    let mut lines = Lines::default();
    let mut text = String::new();
    let mut times = Vec::new();
    loop {
        match incoming.chunk().await {
            Ok(Some(chunk)) => lines.push(&chunk),
            Ok(None) => return failed("the stream ended without its end mark"),
            Err(err) => return failed(&err.to_string()),
        }
        let at = Instant::now();
        while let Some(line) = lines.next_line() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Answer::Whole { text, times };
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if !event["error"].is_null() {
                return failed(data);
            }
            let piece = event["choices"][0]["text"].as_str().unwrap_or_default();
            if !piece.is_empty() {
                let bytes = piece.len();
                text.push_str(piece);
                times.push(PieceTime { at, bytes });
            }
        }
    }
}

/// Splits a stream into lines.
#[derive(Default)]
struct Lines {
    buf: Vec<u8>,
    /// Bytes of `buf` that have been returned.
    taken: usize,
}

impl Lines {
    fn push(&mut self, chunk: &[u8]) {
        self.buf.drain(..self.taken);
        self.taken = 0;
        self.buf.extend_from_slice(chunk);
    }

    fn next_line(&mut self) -> Option<String> {
        let rest = &self.buf[self.taken..];
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&rest[..end]).trim_end().to_string();
        self.taken += end + 1;
        Some(line)
    }
}

/// Sends a short request; returns whether it was answered.
pub(crate) async fn probe(addr: SocketAddr, model: &str) -> bool {
    let call = Call {
        model,
        caller: "probe",
        prompt: "ready?",
        max_tokens: 1,
        deadline: Duration::from_secs(5),
    };
    matches!(generate(addr, &call).await, Answer::Whole { .. })
}

/// Sends a short request to an engine itself; returns whether it was answered.
pub(crate) async fn probe_engine(addr: SocketAddr, model: &str, prompt: &str) -> bool {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": 1, "stream": true });
    let req = hyper::Request::post("/v1/completions")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else { return false };
    match laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await {
        Ok(mut incoming) => incoming.bytes(MAX_ANSWER_BYTES).await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the body of a page, or `None` where it cannot be read.
pub(crate) async fn get_text(addr: SocketAddr, path: &str) -> Option<String> {
    let req = hyper::Request::get(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let mut incoming = laburnumlug_http::send(addr, req, CONNECT_TIMEOUT)
        .await
        .ok()?;
    let body = incoming.bytes(MAX_ANSWER_BYTES).await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Puts a fleet document.
///
/// # Errors
///
/// Returns the refusal, or why no answer came.
pub(crate) async fn put_fleet(
    addr: SocketAddr,
    token: &str,
    base: u64,
    key: &str,
    document: String,
) -> Result<(), String> {
    let req = hyper::Request::put("/fleet")
        .header("host", addr.to_string())
        .header("authorization", format!("Bearer {token}"))
        .header("if-match", format!("\"{base}\""))
        .header(IDEMPOTENCY_HEADER, key)
        .body(Full::new(Bytes::from(document)));
    let req = req.map_err(|err| err.to_string())?;
    match laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await {
        Ok(incoming) if incoming.status() == 200 => Ok(()),
        Ok(mut incoming) => {
            let body = incoming.bytes(MAX_ANSWER_BYTES).await.unwrap_or_default();
            Err(String::from_utf8_lossy(&body).into_owned())
        }
        Err(err) => Err(err.to_string()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn next_line_across_chunks() {
        let mut lines = Lines::default();
        lines.push(b"data: a\ndat");
        assert_eq!(lines.next_line().as_deref(), Some("data: a"));
        assert_eq!(lines.next_line(), None);
        lines.push(b"a: b\r\n\n");
        assert_eq!(lines.next_line().as_deref(), Some("data: b"));
        assert_eq!(lines.next_line().as_deref(), Some(""));
        assert_eq!(lines.next_line(), None);
    }
}
