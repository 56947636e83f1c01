//! Splitting of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size, in bytes, of an incomplete event that is buffered; a stream with a larger one is broken.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Reason why a stream is broken whose event ids do not increase.
const ID_NOT_INCREASING: &str = "an event of the stream has an id that is not above the last one";

/// Reason why a stream is broken that contains something else than events, such as the text of an error.
const NOT_AN_EVENT: &str = "the stream contains lines that form no event";

/// Splits a stream at event boundaries, so that a caller does not receive a partial event of a broken stream.
///
/// Blocks that are no events, and events with an id that is not above that of the event before, are not passed on, nor
/// is what follows them.
#[derive(Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` that contains no end of an event.
    searched: usize,
    last_id: Option<String>,
    /// Reason why the stream cannot go on after the events that were returned.
    fault: Option<&'static str>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after the event with the id `last_id`, or begins if it is `None`.
    pub(crate) fn resume_after(last_id: Option<String>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Appends a chunk and returns the valid events that it completes, if any.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        if self.fault.is_some() {
            return None;
        }
        self.buf.extend_from_slice(chunk);
        let end = self.last_event_end()?;
        let mut events = self.buf.split_to(end).freeze();
        self.searched = 0;
        events.truncate(self.accept_blocks(&events));
        if self.fault.is_some() {
            self.drop_partial();
        }
        (!events.is_empty()).then_some(events)
    }

    /// Records the ids of complete blocks; returns the length of the blocks before the first invalid one.
    fn accept_blocks(&mut self, blocks: &[u8]) -> usize {
        let (mut accepted, mut start) = (0, 0);
        let mut block = Block::default();
        for line in blocks.split_inclusive(|byte| *byte == b'\n') {
            start += line.len();
            block.add_line(line);
            if !trim_line_end(line).is_empty() {
                continue;
            }
            let block = std::mem::take(&mut block);
            self.fault = match &block.id {
                _ if !block.is_valid() => Some(NOT_AN_EVENT),
                Some(id) if !self.is_above_last_id(id) => Some(ID_NOT_INCREASING),
                _ => None,
            };
            if self.fault.is_some() {
                return accepted;
            }
            self.last_id = block.id.or(self.last_id.take());
            accepted = start;
        }
        accepted
    }

    /// Returns whether an event with this id may follow the last one; ids are compared as numbers where they are.
    fn is_above_last_id(&self, id: &str) -> bool {
        let Some(last_id) = &self.last_id else {
            return true;
        };
        match (id.parse::<u64>(), last_id.parse::<u64>()) {
            (Ok(id), Ok(last_id)) => id > last_id,
            _ => id != last_id,
        }
    }

    /// Returns the reason why the stream is broken after the events that were returned, if it is.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Returns the end of the last complete event in `buf`.
    fn last_event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let lf_end = self.buf[from..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n")
            .map(|at| from + at + 2);
        let crlf_end = self.buf[from..]
            .windows(4)
            .rposition(|four| four == b"\r\n\r\n")
            .map(|at| from + at + 4);
        self.searched = self.buf.len();
        lf_end.max(crlf_end)
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&String> {
        self.last_id.as_ref()
    }

    /// Returns whether the bytes so far end inside an event, so that a stream that ends here has been broken off.
    ///
    /// Further blank lines after an event are not part of one.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.buf.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Returns the number of bytes after the last complete event.
    pub(crate) fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether the incomplete event has exceeded its maximum size, as bytes without end do.
    pub(crate) fn has_overflowed(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Discards the bytes after the last complete event of a broken stream.
    pub(crate) fn drop_partial(&mut self) {
        self.searched = 0;
        self.buf.clear();
    }

    /// Removes and returns the bytes that form no event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }
}

/// Returns whether complete blocks of a stream contain an event, and not only comments and blank lines.
pub(crate) fn contains_event(blocks: &[u8]) -> bool {
    let mut lines = blocks.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Block of lines up to a blank one.
#[derive(Default)]
struct Block {
    /// Value of the last `id` field, if it has one that is not empty.
    id: Option<String>,
    /// Whether it has a field that the format defines.
    has_field: bool,
    /// Whether it has a field that the format does not define.
    has_extension: bool,
    /// Whether it has a line that cannot belong to an event.
    has_invalid_line: bool,
    /// Whether its first line ends with a carriage return and a line feed; `None` before the first line.
    has_crlf: Option<bool>,
}

impl Block {
    /// Adds a line with its end.
    ///
    /// Fields that the format does not define may only stand before the others, and all lines of a block end alike.
    /// Otherwise the head of another response could pass for the rest of an event that was broken off.
    fn add_line(&mut self, line: &[u8]) {
        let has_crlf = line.ends_with(b"\r\n");
        let text = trim_line_end(line);
        if *self.has_crlf.get_or_insert(has_crlf) != has_crlf {
            self.has_invalid_line = true;
        }
        if text.is_empty() || text.starts_with(b":") {
            return;
        }
        let name_end = text.iter().position(|byte| *byte == b':');
        let (name, value) = text.split_at(name_end.unwrap_or(text.len()));
        match name {
            b"id" => {
                self.has_field = true;
                let id = std::str::from_utf8(value).unwrap_or_default();
                let id = id.trim_start_matches(':').trim();
                if !id.is_empty() {
                    self.id = Some(id.to_string());
                }
            }
            b"data" | b"event" | b"retry" => self.has_field = true,
            _ if name_end.is_some() && !self.has_field && is_field_name(name) => {
                self.has_extension = true;
            }
            _ => self.has_invalid_line = true,
        }
    }

    /// Returns whether the block is an event, or has only comments.
    fn is_valid(&self) -> bool {
        !self.has_invalid_line && (self.has_field || !self.has_extension)
    }
}

fn is_field_name(name: &[u8]) -> bool {
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    !name.is_empty() && name.iter().all(is_name_byte)
}

/// Returns a line without its line feed, and without a carriage return before it.
fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
