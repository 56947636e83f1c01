//! What becomes of one call, for all who wait for it.

use std::cell::{Cell, RefCell};

use event_listener::Event;
use laburnumlug_mesh::WorkMessage;

/// What becomes of one call, for all who wait for it.
#[derive(Default)]
pub(super) struct Run {
    accepted: Cell<bool>,
    outcome: RefCell<Option<WorkMessage>>,
    /// Notified whenever one of the above changes.
    changed: Event,
}

impl Run {
    /// Notes that the call may run from here on.
    pub(super) fn accept(&self) {
        self.accepted.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Notes the last message about the call.
    pub(super) fn finish(&self, message: WorkMessage) {
        *self.outcome.borrow_mut() = Some(message);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the call was allowed to run.
    pub(super) fn is_accepted(&self) -> bool {
        self.accepted.get()
    }

    /// Returns the last message about the call, once there is one.
    pub(super) fn outcome(&self) -> Option<WorkMessage> {
        self.outcome.borrow().clone()
    }

    /// Waits until the call may run or has an outcome without running.
    pub(super) async fn accepted(&self) {
        while !self.is_accepted() && self.outcome.borrow().is_none() {
            self.changed.listen().await;
        }
    }

    /// Waits until the call has an outcome.
    pub(super) async fn finished(&self) {
        while self.outcome.borrow().is_none() {
            self.changed.listen().await;
        }
    }

    /// Returns how many bytes the outcome holds.
    pub(super) fn bytes(&self) -> usize {
        match &*self.outcome.borrow() {
            Some(WorkMessage::PlainAnswer { body, .. }) => body.len(),
            _ => 0,
        }
    }
}
