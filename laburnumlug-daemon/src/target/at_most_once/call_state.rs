//! Progress and outcome of one at-most-once call.

use std::cell::{Cell, RefCell};

use event_listener::Event;
use laburnumlug_mesh::WorkMessage;

/// Progress and outcome of one call, shared by the task that runs it and the connections that wait for it.
#[derive(Default)]
pub(super) struct CallState {
    accepted: Cell<bool>,
    outcome: RefCell<Option<WorkMessage>>,
    /// Notified when the call is accepted and when it gets its outcome.
    changed: Event,
}

impl CallState {
    /// Marks the call as accepted: from here on it may run.
    pub(super) fn accept(&self) {
        self.accepted.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Sets the outcome, which is the final message about the call.
    pub(super) fn finish(&self, message: WorkMessage) {
        *self.outcome.borrow_mut() = Some(message);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the call was accepted, so that it may run or have run.
    pub(super) fn is_accepted(&self) -> bool {
        self.accepted.get()
    }

    /// Returns the final message about the call, or `None` while it is pending.
    pub(super) fn outcome(&self) -> Option<WorkMessage> {
        self.outcome.borrow().clone()
    }

    /// Waits until the call is accepted or has an outcome without having run.
    pub(super) async fn wait_accepted(&self) {
        while !self.is_accepted() && self.outcome.borrow().is_none() {
            self.changed.listen().await;
        }
    }

    /// Waits until the call has an outcome.
    pub(super) async fn wait_finished(&self) {
        while self.outcome.borrow().is_none() {
            self.changed.listen().await;
        }
    }

    /// Returns the size of the body of the outcome, in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        match &*self.outcome.borrow() {
            Some(WorkMessage::PlainAnswer { body, .. }) => body.len(),
            _ => 0,
        }
    }
}
