//! Counts the requests of one connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;

/// Number of requests of one connection whose responses have not been sent.
pub(crate) struct RequestsInProgress {
    opened_at: Instant,
    count: Cell<usize>,
    is_closing: Cell<bool>,
    /// When the last response was handed to the connection.
    last_ended_at: Cell<Option<Instant>>,
    changed: Event,
}

impl RequestsInProgress {
    /// Creates the requests of a connection that is opened now.
    pub(crate) fn new(now: Instant) -> RequestsInProgress {
        RequestsInProgress {
            opened_at: now,
            count: Cell::new(0),
            is_closing: Cell::new(false),
            last_ended_at: Cell::new(None),
            changed: Event::new(),
        }
    }

    /// Returns since when the connection has been without a request; `None` if one is in progress or the connection is closing.
    pub(crate) fn unused_since(&self) -> Option<Instant> {
        let is_unused = self.count.get() == 0 && !self.is_closing.get();
        is_unused.then(|| self.last_ended_at.get().unwrap_or(self.opened_at))
    }

    /// Closes the connection, for which [`RequestsInProgress::closed`] waits.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        while !self.is_closing.get() {
            self.changed.listen().await;
        }
    }

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
