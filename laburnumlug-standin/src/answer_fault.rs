//! Faults in the answers of the engine stand-in.

use laburnumlug_engine::CompletionEvent;

/// What goes wrong with an engine's answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// From token `at` on, each piece is one of another request's answer.
    Crossed {
        /// First token that goes wrong.
        at: u64,
    },
    /// Each piece is sent twice.
    Repeated,
    /// The piece at token `at` is left out.
    Short {
        /// Token that is left out.
        at: u64,
    },
    /// The pieces at tokens `at` and `at + 1` come in the wrong order.
    Reordered {
        /// Token whose piece comes late.
        at: u64,
    },
    /// Nothing more is sent from token `at` on.
    Stalled {
        /// First token that is not sent.
        at: u64,
    },
}

impl AnswerFault {
    /// Returns what is sent in place of one right piece.
    pub(crate) fn pieces(self, right: CompletionEvent) -> Vec<CompletionEvent> {
        let CompletionEvent::Delta { offset, .. } = &right else {
            return vec![right];
        };
        match self {
            AnswerFault::Crossed { at } if *offset >= at => vec![of_other_request(right)],
            AnswerFault::Repeated => vec![right.clone(), right],
            AnswerFault::Short { at } if *offset == at => Vec::new(),
            AnswerFault::Reordered { at } if *offset == at => vec![moved_on(right.clone()), right],
            _ => vec![right],
        }
    }
}

fn of_other_request(mut event: CompletionEvent) -> CompletionEvent {
    if let CompletionEvent::Delta {
        request_id, text, ..
    } = &mut event
    {
        request_id.push_str("-other");
        *text = " other".to_string();
    }
    event
}

/// Makes the piece after `event`, as far as offsets go.
fn moved_on(mut event: CompletionEvent) -> CompletionEvent {
    if let CompletionEvent::Delta { offset, tokens, .. } = &mut event {
        *offset += *tokens;
    }
    event
}
