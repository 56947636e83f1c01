//! Log lines about connections that a listener had no room for.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Minimum time between two lines of one listener: a crowd may open thousands of connections a second.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts connections of a listener that were closed or refused since the last line.
#[derive(Default)]
pub(crate) struct ConnectionReport {
    listener: String,
    replaced: Cell<u64>,
    refused: Cell<u64>,
    closed: Cell<u64>,
    reported_at: Cell<Option<Instant>>,
}

impl ConnectionReport {
    /// Creates the report of the listener at `addr`.
    pub(crate) fn new(addr: Option<SocketAddr>) -> ConnectionReport {
        ConnectionReport {
            listener: addr.map_or(String::new(), |addr| addr.to_string()),
            ..ConnectionReport::default()
        }
    }

    /// Counts a connection that was closed for a new one, as it waited for its client.
    pub(crate) fn count_replaced(&self) {
        self.replaced.set(self.replaced.get() + 1);
    }

    /// Counts a new connection whose request gets a 503.
    pub(crate) fn count_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Counts a new connection that was closed at once.
    pub(crate) fn count_closed(&self) {
        self.closed.set(self.closed.get() + 1);
    }

    /// Logs what was counted, if anything was and the last line is long enough ago.
    pub(crate) fn log(&self, now: Instant, open: usize, max_connections: usize) {
        let counts = [&self.replaced, &self.refused, &self.closed].map(Cell::get);
        let reported_at = self.reported_at.get();
        let is_recent =
            reported_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_INTERVAL);
        if is_recent || counts == [0; 3] {
            return;
        }
        let [replaced, refused, closed] = counts;
        log::warn!(
            listener = self.listener.as_str(), open = open, max_connections = max_connections, replaced = replaced, refused = refused,
            closed = closed;
            "the listener has as many connections as it may have"
        );
        self.reported_at.set(Some(now));
        for count in [&self.replaced, &self.refused, &self.closed] {
            count.set(0);
        }
    }
}
