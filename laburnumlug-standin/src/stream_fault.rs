//! Fault injection into the event streams of the engine stand-in.

use laburnumlug_engine::CompletionEvent;

/// Fault in an engine's event streams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StreamFault {
    /// No fault.
    #[default]
    None,
    /// From token `at` on, each delta has another request's id and text.
    WrongRequest {
        /// First affected token.
        at: u64,
    },
    /// Each delta is sent twice.
    Duplicated,
    /// The delta at token `at` is omitted.
    Missing {
        /// Omitted token.
        at: u64,
    },
    /// A delta with the offset of token `at + 1` is sent before the delta at token `at`.
    Reordered {
        /// Token whose delta is sent too late.
        at: u64,
    },
    /// Nothing is sent from token `at` on, and the connection stays open.
    Stalled {
        /// First token that is not sent.
        at: u64,
    },
}

impl StreamFault {
    /// Returns the events to send in place of `event`.
    pub(crate) fn apply(self, event: CompletionEvent) -> Vec<CompletionEvent> {
        let CompletionEvent::Delta { offset, .. } = &event else {
            return vec![event];
        };
        match self {
            StreamFault::WrongRequest { at } if *offset >= at => vec![with_other_request(event)],
            StreamFault::Duplicated => vec![event.clone(), event],
            StreamFault::Missing { at } if *offset == at => Vec::new(),
            StreamFault::Reordered { at } if *offset == at => {
                vec![with_next_offset(event.clone()), event]
            }
            _ => vec![event],
        }
    }
}

fn with_other_request(mut event: CompletionEvent) -> CompletionEvent {
    if let CompletionEvent::Delta {
        request_id, text, ..
    } = &mut event
    {
        request_id.push_str("-other");
        *text = " other".to_string();
    }
    event
}

/// Returns the event with the offset at which the next delta starts.
fn with_next_offset(mut event: CompletionEvent) -> CompletionEvent {
    if let CompletionEvent::Delta { offset, tokens, .. } = &mut event {
        *offset += *tokens;
    }
    event
}
