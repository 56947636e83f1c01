use quickcheck::quickcheck;

use super::*;

#[test]
fn push_partial_event_is_held() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(splitter.last_id().unwrap(), "1");
    assert_eq!(splitter.push(b"ta: b\n"), None);
    assert_eq!(splitter.push(b"\n").unwrap(), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().unwrap(), "2");
}

#[test]
fn drop_partial_event_of_broken_stream() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(),
        "id: 1\ndata: a\n\n"
    );
    splitter.drop_partial();
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").unwrap(),
        "id: 2\ndata: b\n\n"
    );
    assert!(!splitter.is_inside_event());
}

#[test]
fn is_inside_event_blank_lines() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"data: a\n\n").is_some());
    splitter.push(b"\n");
    assert!(!splitter.is_inside_event());
    assert_eq!(splitter.take_partial(), "\n");
    splitter.push(b"d");
    assert!(splitter.is_inside_event());
}

#[test]
fn has_overflowed_without_end_of_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(&[b'a'; MAX_EVENT_BYTES]);
    assert!(!splitter.has_overflowed());
    splitter.push(b"a");
    assert!(splitter.has_overflowed());
}

#[test]
fn contains_event_comments() {
    assert!(!contains_event(b": ping\r\n\r\n\n:\n\n"));
    assert!(contains_event(b": ping\n\ndata: a\n\n"));
}

#[test]
fn push_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let event = b"id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(splitter.push(event).unwrap(), &event[..]);
    assert_eq!(splitter.last_id().unwrap(), "7");
}

/// Returns a stream of events with these steps between their ids, every one with the line ends of `has_crlf`.
fn stream(steps: &[u8], has_crlf: bool) -> String {
    let mut id = 0;
    let events = steps.iter().map(|step| {
        id += u64::from(step % 4);
        match step % 8 {
            7 => "internal error\n\n".to_string(),
            _ => format!("id: {id}\ndata: x\n\n"),
        }
    });
    let text: String = events.collect();
    match has_crlf {
        true => text.replace('\n', "\r\n"),
        false => text,
    }
}

quickcheck! {
    /// The same events are passed on, and the same fault is found, however the stream is cut into chunks.
    fn push_any_chunks(steps: Vec<u8>, has_crlf: bool, chunk_len: u8) -> bool {
        let stream = stream(&steps, has_crlf);
        let mut whole = EventSplitter::default();
        let expected = whole.push(stream.as_bytes()).unwrap_or_default();
        let mut splitter = EventSplitter::default();
        let chunks = stream.as_bytes().chunks(usize::from(chunk_len % 16) + 1);
        let events: Vec<u8> = chunks.filter_map(|chunk| splitter.push(chunk)).flatten().collect();
        events == expected && splitter.fault() == whole.fault() && splitter.last_id() == whole.last_id()
    }

    /// Ids that are passed on go up, and end before the first that does not.
    fn push_increasing_ids(steps: Vec<u8>) -> bool {
        let mut splitter = EventSplitter::resume_after(Some("0".to_string()));
        let events = splitter.push(stream(&steps, false).as_bytes()).unwrap_or_default();
        let is_valid = |step: &&u8| !step.is_multiple_of(4) && **step % 8 != 7;
        let accepted = steps.iter().take_while(is_valid).count();
        let text = std::str::from_utf8(&events).unwrap();
        text.matches("id: ").count() == accepted && splitter.fault().is_none() == (accepted == steps.len())
    }
}
