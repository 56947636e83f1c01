//! Bounded channel for the messages of an answer, from the task that runs the request to the entry's connection.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use laburnumlug_mesh::WorkMessage;

/// Maximum number of messages that are buffered for a slow entry.
const MAX_BUFFERED_MESSAGES: usize = 16;

/// A message from the request's task to the entry.
pub(super) struct Output {
    pub(super) message: WorkMessage,
    /// Whether `message` is the final one about the request.
    pub(super) is_last: bool,
}

/// Error of a send after the entry has disconnected.
#[derive(Debug)]
pub(super) struct EntryDisconnected;

/// Tells senders whether the receiver was dropped.
#[derive(Default)]
struct ReceiverState {
    is_dropped: Cell<bool>,
    dropped: Event,
}

/// Creates a channel for the output of one request.
pub(super) fn output_channel() -> (OutputSender, OutputReceiver) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_MESSAGES);
    let receiver = Rc::<ReceiverState>::default();
    let sender = OutputSender {
        tx,
        receiver: receiver.clone(),
    };
    (sender, OutputReceiver { rx, receiver })
}

/// Sending half, used by the task that produces the answer.
#[derive(Clone)]
pub(super) struct OutputSender {
    tx: mpsc::Sender<Output>,
    receiver: Rc<ReceiverState>,
}

impl OutputSender {
    /// Sends a message that others will follow; waits while the buffer is full.
    pub(super) async fn send(&mut self, message: WorkMessage) -> Result<(), EntryDisconnected> {
        let is_last = false;
        let sent = self.tx.send(Output { message, is_last }).await;
        sent.map_err(|_| EntryDisconnected)
    }

    /// Sends the final message about the request.
    pub(super) async fn send_last(
        &mut self,
        message: WorkMessage,
    ) -> Result<(), EntryDisconnected> {
        let is_last = true;
        let sent = self.tx.send(Output { message, is_last }).await;
        sent.map_err(|_| EntryDisconnected)
    }

    /// Waits until the entry has disconnected.
    pub(super) async fn disconnected(&self) {
        loop {
            let listener = self.receiver.dropped.listen();
            if self.receiver.is_dropped.get() {
                return;
            }
            listener.await;
        }
    }
}

/// Receiving half, used by the entry's connection; dropping it signals to the senders that the entry has disconnected.
pub(super) struct OutputReceiver {
    rx: mpsc::Receiver<Output>,
    receiver: Rc<ReceiverState>,
}

impl OutputReceiver {
    /// Returns the next message, or `None` if the task ended without a final message.
    pub(super) async fn next(&mut self) -> Option<Output> {
        self.rx.next().await
    }
}

impl Drop for OutputReceiver {
    fn drop(&mut self) {
        self.receiver.is_dropped.set(true);
        self.receiver.dropped.notify(usize::MAX);
    }
}
