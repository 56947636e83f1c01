//! Limit on the handshakes of accepted connections.

use std::cell::RefCell;
use std::collections::VecDeque;

use futures_channel::oneshot;

/// Maximum number of handshakes at once. Peers that have not proved the key are strangers, who may stop at any point.
const MAX_HANDSHAKES: usize = 128;

thread_local! {
    /// Ends of the handshakes in progress, oldest first.
    static IN_PROGRESS: RefCell<VecDeque<oneshot::Sender<()>>> = RefCell::default();
}

/// One handshake in progress, until it is dropped.
pub(crate) struct HandshakePermit {
    ended: oneshot::Receiver<()>,
}

impl HandshakePermit {
    /// Begins a handshake, and ends the oldest one if there are too many: one that a sound peer began takes a few round trips.
    pub(crate) fn begin() -> HandshakePermit {
        let (end, ended) = oneshot::channel();
        IN_PROGRESS.with_borrow_mut(|in_progress| {
            in_progress.retain(|end| !end.is_canceled());
            in_progress.push_back(end);
            if in_progress.len() > MAX_HANDSHAKES {
                in_progress.pop_front();
            }
        });
        HandshakePermit { ended }
    }

    /// Waits until the handshake has to end for a newer one.
    pub(crate) async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }
}

#[cfg(test)]
#[path = "handshake_limit_tests.rs"]
mod tests;
