//! The command `ask`: sends one completion request and prints the streamed response.

use std::io::Write;

use eyre::Result;
use laburnumlug::Verdict;
use laburnumlug_http::ClientResponse;
use serde_json::{Value, json};

use crate::exchange::Request;
use crate::failure::Failure;
use crate::operator_args::AskArgs;

/// Data of the event that marks the end of a complete response.
const END_MARKER: &str = "[DONE]";

/// Maximum size of the body of an error response, in bytes; the message of a longer one is not printed.
const MAX_ERROR_BYTES: usize = 1024 * 1024;

/// Sends the request and prints the response as it arrives.
pub(crate) async fn run(args: AskArgs) -> Result<()> {
    let addr = args.entry.parse().map_err(|_| {
        Failure::Usage(format!(
            "invalid value {:?} for --entry; expected IP:PORT",
            args.entry
        ))
    })?;
    let mut response = match request(&args).send_streaming(addr).await? {
        Ok(response) => response,
        Err(err) if err.verdict == Verdict::NotRun => {
            return Err(Failure::Refused(err.message).into());
        }
        Err(err) => return Err(Failure::UnknownOutcome(err.message).into()),
    };
    if response.status() != 200 {
        return Err(refusal(&mut response).await.into());
    }
    let id = header_text(&response, "laburnumlug-request-id");
    print_events(&mut response, args.json).await?;
    eprintln!("request {id}: response complete");
    Ok(())
}

fn request(args: &AskArgs) -> Request {
    let body = json!({
        "model": args.model, "prompt": args.prompt, "max_tokens": args.max_tokens, "stream": true,
    });
    let request = Request::new("POST", "/v1/completions")
        .header("content-type", "application/json")
        .body(&body.to_string());
    match args.deadline_ms {
        Some(ms) => request.header("laburnumlug-deadline-ms", &ms.to_string()),
        None => request,
    }
}

async fn refusal(response: &mut ClientResponse) -> Failure {
    let verdict = header_text(response, "laburnumlug-verdict");
    let status = response.status();
    let body = response.bytes(MAX_ERROR_BYTES).await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let message = body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    let message = format!("refused with {status}, {verdict}: {message}");
    match verdict.parse() {
        Ok(Verdict::NotRun) => Failure::Refused(message),
        _ => Failure::UnknownOutcome(message),
    }
}

/// Prints the events of a streamed response up to its end marker.
async fn print_events(response: &mut ClientResponse, as_json: bool) -> Result<(), Failure> {
    let incomplete =
        |reason: String| Failure::UnknownOutcome(format!("the response is incomplete: {reason}"));
    let mut buf = Vec::new();
    loop {
        let chunk = response
            .chunk()
            .await
            .map_err(|err| incomplete(err.to_string()))?;
        let Some(chunk) = chunk else {
            return Err(incomplete("it ended without an end marker".into()));
        };
        buf.extend_from_slice(&chunk);
        while let Some(newline) = buf.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buf.drain(..=newline).collect();
            let line = String::from_utf8_lossy(&line);
            match line.trim_end().strip_prefix("data: ") {
                None => {}
                Some(END_MARKER) => {
                    println!();
                    return Ok(());
                }
                Some(data) => print_event(data, as_json).map_err(incomplete)?,
            }
        }
    }
}

/// Prints the text of an event, or its JSON if `as_json`; returns the message of an error event as an error.
fn print_event(data: &str, as_json: bool) -> Result<(), String> {
    let event: Value = serde_json::from_str(data).map_err(|err| err.to_string())?;
    if let Some(message) = event["error"]["message"].as_str() {
        return Err(message.to_string());
    }
    let mut stdout = std::io::stdout();
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    let result = match as_json {
        true => writeln!(stdout, "{data}"),
        false => write!(stdout, "{text}"),
    };
    result
        .and_then(|()| stdout.flush())
        .map_err(|err| err.to_string())
}

fn header_text(response: &ClientResponse, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("unknown").to_string()
}
