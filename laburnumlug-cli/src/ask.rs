//! The command `ask`.

use std::io::Write;

use eyre::Result;
use laburnumlug::Verdict;
use laburnumlug_http::ClientResponse;
use serde_json::{Value, json};

use crate::exchange::Call;
use crate::failure::Failure;
use crate::operator_args::AskArgs;

/// Data of the event that ends a whole answer.
const END_MARK: &str = "[DONE]";

/// Longest error answer in bytes.
const MAX_ERROR_BYTES: usize = 1024 * 1024;

/// Sends one request and prints the answer as it comes.
pub(crate) async fn run(args: AskArgs) -> Result<()> {
    let addr = args.entry.parse().map_err(|_| {
        Failure::Usage(format!("--entry: found {:?}, allowed: IP:PORT", args.entry))
    })?;
    let mut incoming = match call(&args).start(addr).await? {
        Ok(incoming) => incoming,
        Err(lost) if lost.verdict == Verdict::NotRun => {
            return Err(Failure::Refused(lost.message).into());
        }
        Err(lost) => return Err(Failure::Unknown(lost.message).into()),
    };
    if incoming.status() != 200 {
        return Err(refusal(&mut incoming).await.into());
    }
    let id = text_header(&incoming, "laburnumlug-request-id");
    print_events(&mut incoming, args.json).await?;
    eprintln!("request {id}: whole answer");
    Ok(())
}

fn call(args: &AskArgs) -> Call {
    let body = json!({
        "model": args.model, "prompt": args.prompt, "max_tokens": args.max_tokens, "stream": true,
    });
    let call = Call::new("POST", "/v1/completions")
        .header("content-type", "application/json")
        .body(&body.to_string());
    match args.deadline_ms {
        Some(ms) => call.header("laburnumlug-deadline-ms", &ms.to_string()),
        None => call,
    }
}

async fn refusal(incoming: &mut ClientResponse) -> Failure {
    let verdict = text_header(incoming, "laburnumlug-verdict");
    let status = incoming.status();
    let body = incoming.bytes(MAX_ERROR_BYTES).await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let message = body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    let message = format!("refused with {status}, {verdict}: {message}");
    match verdict.parse() {
        Ok(Verdict::NotRun) => Failure::Refused(message),
        _ => Failure::Unknown(message),
    }
}

/// Prints the events of a streamed answer until its end mark.
async fn print_events(incoming: &mut ClientResponse, as_json: bool) -> Result<(), Failure> {
    let cut = |reason: String| Failure::Unknown(format!("the answer is not whole: {reason}"));
    let mut buf = Vec::new();
    loop {
        let chunk = incoming.chunk().await.map_err(|err| cut(err.to_string()))?;
        let Some(chunk) = chunk else {
            return Err(cut("it has no end mark".into()));
        };
        buf.extend_from_slice(&chunk);
        while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            match line.trim_end().strip_prefix("data: ") {
                None => {}
                Some(END_MARK) => {
                    println!();
                    return Ok(());
                }
                Some(data) => print_event(data, as_json).map_err(cut)?,
            }
        }
    }
}

/// Prints one event; fails with the reason where it is an error.
fn print_event(data: &str, as_json: bool) -> Result<(), String> {
    let event: Value = serde_json::from_str(data).map_err(|err| err.to_string())?;
    if let Some(message) = event["error"]["message"].as_str() {
        return Err(message.to_string());
    }
    let mut stdout = std::io::stdout();
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    let written = match as_json {
        true => writeln!(stdout, "{data}"),
        false => write!(stdout, "{text}"),
    };
    written
        .and_then(|()| stdout.flush())
        .map_err(|err| err.to_string())
}

fn text_header(incoming: &ClientResponse, name: &str) -> String {
    let value = incoming.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("unknown").to_string()
}
