//! Tracks whether the events of all other gateways arrive.

use std::collections::HashMap;
use std::time::Duration;

use laburnumlug::BootTime;

use crate::exchange::PathId;

/// Time without a message over a connection from which events may be delayed: two intervals between keepalives.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Tells until when events of other gateways may have been missed, so that the absence of an event means nothing.
///
/// Events are missing from the end of a sender's session until the snapshot of its next one has been applied, while fewer
/// senders are connected than gateways are listed, and while a connection is silent.
#[derive(Clone, Debug, Default)]
pub struct EventCoverage {
    /// Number of other gateways that are listed.
    listed: usize,
    /// Senders whose snapshot has been applied, with the connection over which their events arrive.
    senders: HashMap<u64, PathId>,
    /// When the latest message arrived over each connection.
    received_at: HashMap<PathId, BootTime>,
    /// Latest time at which the set of senders was incomplete.
    last_gap: Option<BootTime>,
}

impl EventCoverage {
    /// Sets the number of other gateways that are listed.
    pub fn set_listed(&mut self, now: BootTime, listed: usize) {
        self.update_gap(now);
        self.listed = listed;
    }

    /// Records that a message arrived over a connection.
    pub fn record_message(&mut self, now: BootTime, path: PathId) {
        if self.is_silent(now, path) {
            self.last_gap = Some(now);
        }
        self.received_at.insert(path, now);
    }

    /// Records that the state of a sender at the beginning of its session has been applied.
    pub fn record_snapshot(&mut self, now: BootTime, sender: u64, path: PathId) {
        self.last_gap = Some(now);
        self.senders.insert(sender, path);
    }

    /// Records that the session of a sender has ended.
    pub fn record_end(&mut self, now: BootTime, sender: u64) {
        if self.senders.remove(&sender).is_some() {
            self.last_gap = Some(now);
        }
    }

    /// Records that a connection has ended.
    pub fn record_path_end(&mut self, path: PathId) {
        self.received_at.remove(&path);
    }

    /// Returns the latest time at which an event may have been missed, or `None` if none ever was.
    pub fn missing_at(&self, now: BootTime) -> Option<BootTime> {
        let mut paths = self.senders.values();
        match self.senders.len() < self.listed || paths.any(|path| self.is_silent(now, *path)) {
            true => Some(now),
            false => self.last_gap,
        }
    }

    fn update_gap(&mut self, now: BootTime) {
        if self.senders.len() < self.listed {
            self.last_gap = Some(now);
        }
    }

    fn is_silent(&self, now: BootTime, path: PathId) -> bool {
        let received_at = self.received_at.get(&path);
        received_at.is_some_and(|at| now.saturating_duration_since(*at) > MAX_SILENCE)
    }
}

#[cfg(test)]
#[path = "event_coverage_tests.rs"]
mod tests;
