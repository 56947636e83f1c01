//! What a server answers to a request, and its faults.

use std::time::Duration;

use crate::servers::{Identity, Outcome};
use crate::wire::Head;

/// Time after which a stalled server goes on.
const STALL_TIME: Duration = Duration::from_secs(20);

/// How a server treats its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Sound,
    /// Takes three times as long.
    Slow,
    /// Has a fault in most of its answers.
    Erratic,
}

/// Fault of an answer.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Refusal,
    Error,
    NoAnswer,
    BreakInside,
    BreakBetween,
    Stall,
    /// The bytes arrive in pieces that don't follow the borders of the message; a plain answer has no length.
    OddPieces,
    /// A stream that is resumed begins at its first event.
    BeginAgain,
    /// The text of an error stands between the events of a stream.
    ErrorInside,
    /// The answer bears the id of another request.
    WrongId,
}

/// Answer of a server.
pub struct Answer {
    /// Parts of the answer, each after the time that the server works on it.
    pub pieces: Vec<(Duration, String)>,
    /// Maximum number of bytes that are sent at once.
    pub write_len: usize,
    pub outcome: Outcome,
    /// Whether its first part shows a fault of the server, so that a gateway need not read the rest.
    pub begins_invalid: bool,
    pub keeps_connection: bool,
    /// Whether the request is one of a caller that the server executes or refuses.
    pub is_run: bool,
}

/// Returns the answer to a request, whose fault follows from `draw`, a number below 100.
pub fn answer(head: &Head, server: &Identity, is_leaving: bool, draw: u64) -> Answer {
    let path = head.start.get(1).map_or("", String::as_str);
    let instance = &server.instance;
    let id = head.get("x-request-id").unwrap_or("");
    let close = if is_leaving {
        "connection: close\r\n"
    } else {
        ""
    };
    let echo = format!("{close}x-request-id: {id}\r\n");
    let whole = |status: &str, headers: &str, body: &str, outcome| Answer {
        pieces: vec![(
            Duration::ZERO,
            message(status, &format!("{echo}{headers}"), body),
        )],
        write_len: usize::MAX,
        outcome,
        begins_invalid: false,
        keeps_connection: !is_leaving,
        is_run: true,
    };
    let aside = |status: &str, headers: &str, body: &str| Answer {
        is_run: false,
        ..whole(status, headers, body, Outcome::Complete)
    };
    let fault = match draw {
        _ if server.manner != Manner::Erratic => Fault::None,
        0..10 => Fault::Refusal,
        10..15 => Fault::Error,
        15..20 => Fault::NoAnswer,
        20..28 => Fault::BreakInside,
        28..36 => Fault::BreakBetween,
        36..42 => Fault::Stall,
        42..62 => Fault::OddPieces,
        62..80 => Fault::BeginAgain,
        80..85 => Fault::ErrorInside,
        85..90 => Fault::WrongId,
        _ => Fault::None,
    };
    match fault {
        // Health checks and other questions of gateways.
        _ if matches!(path, "/health" | "/kv-list" | "/report") => {
            return aside("200 OK", "", "{\"held\":[]}");
        }
        _ if head.get("x-target-instance") != Some(instance) => {
            return aside("421 Misdirected Request", "x-not-executed: 1\r\n", "{}");
        }
        _ if head.get("x-stage") == Some("prefill") => {
            let handle = format!("\"kvHandle\":\"{instance}-{id}\",\"tokens\":1460,\"version\":1");
            return aside("200 OK", "", &format!("{{{handle}}}"));
        }
        Fault::Refusal => {
            let not_run = "x-not-executed: 1\r\n";
            return whole("503 Service Unavailable", not_run, "{}", Outcome::Refused);
        }
        Fault::Error => {
            // Instead of events, a caller in the middle of a stream gets nothing of this.
            let outcome = match head.get("last-event-id") {
                Some(_) => Outcome::BrokenOff,
                None => Outcome::Complete,
            };
            return whole("500 Internal Server Error", "", "{}", outcome);
        }
        _ => {}
    }
    let mut numbers = path.split('/').filter_map(|part| part.parse::<u32>().ok());
    let (work_ms, events) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
    let slowness = if server.manner == Manner::Slow { 3 } else { 1 };
    let work = Duration::from_millis(u64::from(work_ms * slowness));
    let echoed = if fault == Fault::WrongId { "r-0" } else { id };
    let headers = format!("{close}x-request-id: {echoed}\r\nx-server-seal: {instance}\r\n");
    let last_event_id = head.get("last-event-id").and_then(|id| id.parse().ok());
    let mut answer = Answer {
        pieces: match events {
            0 => plain_pieces(
                &headers,
                &format!("answer of {instance} to {id}"),
                work,
                fault,
            ),
            _ => {
                let first = head.get("resumes").unwrap_or(id);
                let data = format!("{id}/{instance}@{} {first}", server.version);
                let resumed = last_event_id.filter(|_| fault != Fault::BeginAgain);
                stream_pieces(
                    &headers,
                    &data,
                    resumed.unwrap_or(0) + 1..=events,
                    work / events,
                )
            }
        },
        ..whole("", "", "", Outcome::Complete)
    };
    let middle = answer.pieces.len() / 2;
    match fault {
        Fault::NoAnswer => answer.pieces.clear(),
        Fault::BreakBetween => answer.pieces.truncate(middle),
        Fault::BreakInside => {
            answer.pieces.truncate(middle + 1);
            let len = answer.pieces[middle].1.len();
            answer.pieces[middle].1.truncate(len / 2);
        }
        Fault::ErrorInside if events > 0 => {
            answer.pieces.truncate(middle);
            let error = chunk("HTTP/1.1 500 Internal Server Error\r\n\r\nerror\n\n");
            answer.pieces.push((Duration::ZERO, error + "0\r\n\r\n"));
        }
        Fault::BeginAgain if last_event_id.is_some() => answer.begins_invalid = true,
        Fault::WrongId => answer.begins_invalid = true,
        Fault::Stall => {
            answer.pieces[middle].0 = STALL_TIME;
            return answer;
        }
        Fault::OddPieces => {
            answer.write_len = 31;
            answer.keeps_connection = false;
            return answer;
        }
        _ => return answer,
    }
    answer.outcome = Outcome::BrokenOff;
    answer
}

fn message(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}")
}

fn plain_pieces(
    headers: &str,
    body: &str,
    work: Duration,
    fault: Fault,
) -> Vec<(Duration, String)> {
    let mut text = match fault {
        Fault::OddPieces => format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}"),
        _ => message("200 OK", headers, body),
    };
    let end = text.split_off(text.len() - body.len() / 2);
    vec![(work, text), (Duration::ZERO, end)]
}

fn stream_pieces(
    headers: &str,
    data: &str,
    ids: std::ops::RangeInclusive<u32>,
    gap: Duration,
) -> Vec<(Duration, String)> {
    let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let head = format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n");
    let events = ids.map(|id| (gap, chunk(&format!("id: {id}\ndata: {data}\n\n"))));
    let end = (Duration::ZERO, "0\r\n\r\n".to_string());
    std::iter::once((Duration::ZERO, head))
        .chain(events)
        .chain([end])
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
