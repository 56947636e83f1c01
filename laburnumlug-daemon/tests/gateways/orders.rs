//! Order of the events of a stream, within an answer and over the resumptions by its caller.

use crate::callers::{CallRecord, End, Resumption};

/// Whole event of a stream: its id, the run of a server that sent it, and the request that began the stream.
struct StreamEvent<'a> {
    id: u32,
    run: &'a str,
    first_request: &'a str,
}

/// Parses the whole events of a body; `None` if something else is among them.
fn parse_events(body: &str) -> Option<Vec<StreamEvent<'_>>> {
    let end = body.rfind("\n\n").map_or(0, |at| at + 2);
    let events = body[..end].split_terminator("\n\n").map(|event| {
        let (id, data) = event.split_once('\n')?;
        let (run, first_request) = data.strip_prefix("data: ")?.split_once(' ')?;
        Some(StreamEvent {
            id: id.strip_prefix("id: ")?.parse().ok()?,
            run,
            first_request,
        })
    });
    events.collect()
}

/// Returns what a request that resumes this stream states; `None` if no event has arrived.
pub fn resumption_of(record: &CallRecord) -> Option<Resumption> {
    let events = parse_events(&record.body).unwrap_or_default();
    match events.last() {
        Some(event) => Some(Resumption {
            first_request: event.first_request.to_string(),
            last_event: event.id,
            version: version_of(event.run).to_string(),
        }),
        None => record.resumes.clone(),
    }
}

/// Returns the software version in the name of a run.
fn version_of(run: &str) -> &str {
    run.rsplit('@').next().unwrap_or(run)
}

/// Returns what is wrong with the events of a stream's successful answer.
pub fn order_violation(record: &CallRecord) -> Option<String> {
    let Some(events) = parse_events(&record.body) else {
        return Some("ORDER: a stream has something else than events".to_string());
    };
    let resumed = record.resumes.as_ref();
    let first_request = resumed.map_or(&record.id, |before| &before.first_request);
    let mut last = resumed.map_or(0, |before| before.last_event);
    let mut version = resumed.map(|before| before.version.as_str());
    for event in &events {
        let event_version = version_of(event.run);
        match version {
            _ if event.id != last + 1 => {
                return Some(format!("ORDER: event {} follows event {last}", event.id));
            }
            _ if event.first_request != first_request => {
                return Some(format!(
                    "MIXED: event {} is of request {}",
                    event.id, event.first_request
                ));
            }
            Some(version) if version != event_version => {
                return Some(format!(
                    "ORDER: event {} is of version {event_version}, those before of {version}",
                    event.id
                ));
            }
            _ => {}
        }
        version = Some(event_version);
        last = event.id;
    }
    let runs_are_one = events.windows(2).all(|pair| pair[0].run == pair[1].run);
    if record.route == "held" && !runs_are_one {
        return Some("ORDER: events of two runs in a stream that may not be resumed".to_string());
    }
    let is_partial = !record.body.is_empty() && !record.body.ends_with("\n\n");
    match record.end {
        End::Whole if last != record.events || is_partial => Some(format!(
            "ORDER: a stream ended as complete after event {last} of {}",
            record.events
        )),
        _ => None,
    }
}
