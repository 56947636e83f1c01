//! HTTP client for the caller, operator and metrics endpoints.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use laburnumlug_caller::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, RETRY_AFTER_MS_HEADER, VERDICT_HEADER,
};
use laburnumlug_http::ClientResponse;
use serde_json::{Value, json};

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body that is not streamed, in bytes; reading a longer one fails.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Parameters of a completion request.
pub(crate) struct CompletionCall<'a> {
    pub(crate) model: &'a str,
    pub(crate) caller: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u64,
    /// Wall-clock time in which the complete response is due; sent as 1 ms if it is shorter.
    pub(crate) deadline: Duration,
}

/// Outcome of one attempt to get a completion.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The stream was complete, including its end marker.
    Complete {
        text: String,
        deltas: Vec<DeltaArrival>,
    },
    /// The request was refused and did not run.
    Refused {
        /// Delay before a retry that the response states, if any.
        retry_after: Option<Duration>,
        message: String,
    },
    /// The request failed or its response was cut off, so it may have run.
    Failed { message: String },
}

/// Arrival of one delta of a streamed completion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeltaArrival {
    pub(crate) received_at: Instant,
    /// Number of bytes of text in the delta.
    pub(crate) bytes: usize,
}

/// Requests a completion and reads the streamed response.
pub(crate) async fn request_completion(
    addr: SocketAddr,
    call: &CompletionCall<'_>,
) -> AttemptOutcome {
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
        return failed("cannot build the request");
    };
    match laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await {
        Err(err) => failed(&err.to_string()),
        Ok(response) if response.status() == 200 => read_stream(response).await,
        Ok(response) => read_refusal(response).await,
    }
}

fn failed(message: &str) -> AttemptOutcome {
    AttemptOutcome::Failed {
        message: message.to_string(),
    }
}

async fn read_refusal(mut response: ClientResponse) -> AttemptOutcome {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_string())
    };
    let not_run = header(VERDICT_HEADER).as_deref() == Some("not-run");
    let retry_after = header(RETRY_AFTER_MS_HEADER).and_then(|text| text.parse().ok());
    let body = response.bytes(MAX_RESPONSE_BYTES).await.unwrap_or_default();
    match not_run {
        true => AttemptOutcome::Refused {
            retry_after: retry_after.map(Duration::from_millis),
            message: String::from_utf8_lossy(&body).into_owned(),
        },
        false => failed(&String::from_utf8_lossy(&body)),
    }
}

async fn read_stream(mut response: ClientResponse) -> AttemptOutcome {
    let mut splitter = LineSplitter::default();
    let mut text = String::new();
    let mut deltas = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => splitter.push(&chunk),
            Ok(None) => return failed("the stream ended without an end marker"),
            Err(err) => return failed(&err.to_string()),
        }
        let received_at = Instant::now();
        while let Some(line) = splitter.next_line() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return AttemptOutcome::Complete { text, deltas };
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if !event["error"].is_null() {
                return failed(data);
            }
            let delta = event["choices"][0]["text"].as_str().unwrap_or_default();
            if !delta.is_empty() {
                let bytes = delta.len();
                text.push_str(delta);
                deltas.push(DeltaArrival { received_at, bytes });
            }
        }
    }
}

/// Splits a byte stream into lines.
#[derive(Default)]
struct LineSplitter {
    buf: Vec<u8>,
    /// Number of bytes of `buf` that have been returned.
    consumed: usize,
}

impl LineSplitter {
    fn push(&mut self, chunk: &[u8]) {
        self.buf.drain(..self.consumed);
        self.consumed = 0;
        self.buf.extend_from_slice(chunk);
    }

    fn next_line(&mut self) -> Option<String> {
        let remaining = &self.buf[self.consumed..];
        let end = remaining.iter().position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&remaining[..end])
            .trim_end()
            .to_string();
        self.consumed += end + 1;
        Some(line)
    }
}

/// Sends a short request to an entry; returns whether its completion arrived completely.
pub(crate) async fn probe(addr: SocketAddr, model: &str) -> bool {
    let call = CompletionCall {
        model,
        caller: "probe",
        prompt: "ready?",
        max_tokens: 1,
        deadline: Duration::from_secs(5),
    };
    matches!(
        request_completion(addr, &call).await,
        AttemptOutcome::Complete { .. }
    )
}

/// Sends a short request directly to an engine; returns whether a whole response arrived, whatever its status.
pub(crate) async fn probe_engine(addr: SocketAddr, model: &str, prompt: &str) -> bool {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": 1, "stream": true });
    let req = hyper::Request::post("/v1/completions")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else { return false };
    match laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await {
        Ok(mut response) => response.bytes(MAX_RESPONSE_BYTES).await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the body of the response to a GET request, whatever its status, or `None` if it cannot be read.
pub(crate) async fn get_text(addr: SocketAddr, path: &str) -> Option<String> {
    let req = hyper::Request::get(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let mut response = laburnumlug_http::send(addr, req, CONNECT_TIMEOUT)
        .await
        .ok()?;
    let body = response.bytes(MAX_RESPONSE_BYTES).await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Submits a fleet document based on version `base`.
///
/// # Errors
///
/// Returns the body of the refusal, or why there was no response.
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
        Ok(response) if response.status() == 200 => Ok(()),
        Ok(mut response) => {
            let body = response.bytes(MAX_RESPONSE_BYTES).await.unwrap_or_default();
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
        let mut splitter = LineSplitter::default();
        splitter.push(b"data: a\ndat");
        assert_eq!(splitter.next_line().as_deref(), Some("data: a"));
        assert_eq!(splitter.next_line(), None);
        splitter.push(b"a: b\r\n\n");
        assert_eq!(splitter.next_line().as_deref(), Some("data: b"));
        assert_eq!(splitter.next_line().as_deref(), Some(""));
        assert_eq!(splitter.next_line(), None);
    }
}
