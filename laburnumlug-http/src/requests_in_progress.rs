//! Counts the requests of one connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;

use crate::body_progress::BodyProgress;

/// Time in which a client reads nothing of an answer after which its connection may be closed for a new one.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(2);

/// What a connection that may be closed for a new one waits for; the least one is closed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Replaceable {
    /// The first request, or the rest of a body: its recent bytes, and when it began.
    Incomplete(usize, Instant),
    /// A further request since then. Its client may be about to send one.
    Unused(Instant),
    /// That the client reads its answer, of which nothing was taken since then.
    Unread(Instant),
}

/// Number of requests of one connection whose responses have not been sent.
pub(crate) struct RequestsInProgress {
    opened_at: Instant,
    count: Cell<usize>,
    is_closing: Cell<bool>,
    /// When the last response was handed to the connection.
    last_ended_at: Cell<Option<Instant>>,
    /// Progress of the body that is arriving.
    body: Cell<Option<BodyProgress>>,
    /// Since when the client has read nothing of an answer that waits for it.
    unread_since: Cell<Option<Instant>>,
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
            body: Cell::new(None),
            unread_since: Cell::new(None),
            changed: Event::new(),
        }
    }

    /// Returns what the client lets the connection wait for, as far as the connection may be closed for a new one after `min_time`
    /// without a request.
    ///
    /// It is never closed between the end of a request's body and its answer.
    pub(crate) fn replaceable(&self, now: Instant, min_time: Duration) -> Option<Replaceable> {
        let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
        match (self.unread_since.get(), self.body.get()) {
            _ if self.is_closing.get() => None,
            (Some(at), _) => is_past(at, MIN_UNREAD_TIME).then_some(Replaceable::Unread(at)),
            (None, Some(body)) if self.count.get() > 0 => {
                let bytes = body.slow_bytes(now)?;
                Some(Replaceable::Incomplete(bytes, body.began_at()))
            }
            (None, _) if self.count.get() > 0 => None,
            (None, _) => {
                let (since, replaceable) = match self.last_ended_at.get() {
                    Some(at) => (at, Replaceable::Unused(at)),
                    None => (self.opened_at, Replaceable::Incomplete(0, self.opened_at)),
                };
                is_past(since, min_time).then_some(replaceable)
            }
        }
    }

    /// Records whether bytes wait until the client reads.
    pub(crate) fn record_write<F>(&self, is_waiting: bool, now: F)
    where
        F: FnOnce() -> Instant,
    {
        match (is_waiting, self.unread_since.get()) {
            (true, None) => self.unread_since.set(Some(now())),
            (false, Some(_)) => self.unread_since.set(None),
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Records that the body of a request begins to arrive.
    pub(crate) fn begin_body(&self, now: Instant) {
        self.body.set(Some(BodyProgress::new(now)));
    }

    /// Records that bytes of the body have arrived.
    pub(crate) fn record_body(&self, now: Instant, bytes: usize) {
        let mut body = self.body.get();
        if let Some(body) = &mut body {
            body.record(now, bytes);
        }
        self.body.set(body);
    }

    /// Records that the body has arrived, or that its connection is broken.
    pub(crate) fn end_body(&self) {
        self.body.set(None);
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
