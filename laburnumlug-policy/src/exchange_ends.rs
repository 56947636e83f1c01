//! Ends of exchanges with a target, from which the end of its process is told.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of ends that are kept, enough to find one beside the end in question.
const MAX_ENDS: usize = 64;

/// Id of an exchange that is in progress.
pub type ExchangeId = u64;

/// Exchanges with one target, and the ends of those whose connections the target closed without saying that it was finished.
///
/// The kernel closes all connections of a process that has ended at once, while a process that runs closes each when it has
/// completed the answer on it.
#[derive(Clone, Debug, Default)]
pub struct ExchangeEnds {
    last_id: ExchangeId,
    /// When the exchanges in progress began.
    open: BTreeMap<ExchangeId, Instant>,
    /// Number of exchanges in progress whose connection has ended, and that are being examined.
    examined: usize,
    ends: VecDeque<Instant>,
}

impl ExchangeEnds {
    /// Records that an exchange begins.
    pub fn begin(&mut self, now: Instant) -> ExchangeId {
        self.last_id += 1;
        self.open.insert(self.last_id, now);
        self.last_id
    }

    /// Records that an exchange is over.
    pub fn finish(&mut self, id: ExchangeId) {
        self.open.remove(&id);
    }

    /// Records that the connection of an exchange ended without the end of an answer that states its length.
    pub fn record_end(&mut self, now: Instant) {
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
    }

    /// Records such an end, and that the exchange is examined until [`ExchangeEnds::finish_examination`].
    pub fn begin_examination(&mut self, now: Instant) {
        self.record_end(now);
        self.examined += 1;
    }

    /// Records that the examination of an exchange is over.
    pub fn finish_examination(&mut self) {
        self.examined = self.examined.saturating_sub(1);
    }

    /// Returns whether the exchange whose end was recorded at `ended_at` looks to have ended with the process of the target:
    /// another one ended within `span` of it, and none that began before it goes on.
    pub fn is_end_of_process(&self, ended_at: Instant, span: Duration) -> bool {
        let distance = |end: &Instant| {
            let after = end.saturating_duration_since(ended_at);
            after.max(ended_at.saturating_duration_since(*end))
        };
        let near = self.ends.iter().filter(|end| distance(end) <= span).count();
        let began_before = self
            .open
            .values()
            .filter(|began| **began < ended_at)
            .count();
        near > 1 && began_before <= self.examined
    }
}

#[cfg(test)]
#[path = "exchange_ends_tests.rs"]
mod tests;
