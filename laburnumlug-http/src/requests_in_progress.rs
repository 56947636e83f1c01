//! Counts the requests of one connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;

/// Number of requests of one connection whose responses have not been sent.
#[derive(Default)]
pub(crate) struct RequestsInProgress {
    count: Cell<usize>,
    /// When the last response was handed to the connection.
    last_ended_at: Cell<Option<Instant>>,
    changed: Event,
}

impl RequestsInProgress {
    /// Counts a request until the returned guard is dropped.
    pub(crate) fn start(self: Rc<Self>) -> RequestGuard {
        self.count.set(self.count.get() + 1);
        self.changed.notify(usize::MAX);
        RequestGuard { requests: self }
    }

    /// Returns whether a request is in progress, or has been within `time`.
    pub(crate) fn was_used_within(&self, now: Instant, time: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        self.count.get() > 0 || self.last_ended_at.get().is_some_and(is_recent)
    }

    /// Waits until a request is in progress.
    async fn any(&self) {
        while self.count.get() == 0 {
            self.changed.listen().await;
        }
    }

    /// Waits until no request has been in progress for `time`.
    pub(crate) async fn unused_for(&self, time: Duration) {
        loop {
            while self.count.get() > 0 {
                self.changed.listen().await;
            }
            if crate::timeout(time, self.any()).await.is_err() {
                return;
            }
        }
    }
}

/// Counts one request of a connection until it is dropped.
pub(crate) struct RequestGuard {
    requests: Rc<RequestsInProgress>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.requests.count.set(self.requests.count.get() - 1);
        self.requests.last_ended_at.set(Some(Instant::now()));
        self.requests.changed.notify(usize::MAX);
    }
}
