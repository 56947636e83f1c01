//! Snapshots of the applied state, and the journal that remains beside them.

use std::rc::Rc;

use super::core::{Core, QueuedWrite};
use crate::entry::{Entry, LogIndex};
use crate::entry_log::Log;
use crate::state::State;
use crate::storage::{JournalRecord, Snapshot};

/// Divisor of the snapshot interval that gives the number and the size of the entries kept in the log after a snapshot,
/// so that followers that lag slightly need no snapshot.
const RETAINED_ENTRIES_DIVISOR: u64 = 4;

impl Core {
    /// Returns whether the entries or the journal records since the last snapshot have reached their limit.
    ///
    /// The journal does not grow while the disk hangs, but the log in memory does.
    pub(super) fn is_snapshot_due(&self) -> bool {
        let entries = self.applied_index - self.snapshot_index;
        let journal_growth = self.journal_bytes - self.journal_bytes_at_snapshot;
        let log_growth = self
            .log
            .bytes_between(self.snapshot_index, self.applied_index);
        let growth = journal_growth.max(log_growth);
        entries >= self.snapshot_entries || (entries > 0 && growth >= self.limits.snapshot_interval)
    }

    /// Records the length of the journal file after a write, which replaced the file or appended to it.
    pub(super) fn record_journal_bytes(&mut self, bytes: u64, is_replaced: bool) {
        self.journal_bytes = bytes;
        if is_replaced {
            self.journal_bytes_at_snapshot = bytes;
        }
    }

    /// Queues a snapshot of the applied state and a journal with the entries that are retained after it.
    pub(super) fn queue_compaction(&mut self) {
        let entries = self.applied_index - self.snapshot_index;
        let snapshot = self.compact();
        log::info!(
            entries = entries, bytes = snapshot.len(), journal_bytes = self.journal_bytes;
            "replacing log entries by a snapshot"
        );
        let snapshot = Some(snapshot);
        let records = self.journal_records();
        self.queue_write(QueuedWrite::Replace { snapshot, records });
    }

    /// Returns an encoded snapshot of the applied state.
    pub(super) fn snapshot(&mut self) -> Vec<u8> {
        let snapshot = Snapshot {
            index: self.applied_index,
            term: self.log.term(self.applied_index).unwrap_or(0),
            membership: self.log.membership_at(self.applied_index).clone(),
            state: std::mem::replace(&mut self.state, State::new()),
        };
        let bytes = snapshot.encode();
        self.state = snapshot.state;
        bytes
    }

    /// Returns a new snapshot and removes the entries from the log that are not retained after it.
    pub(super) fn compact(&mut self) -> Vec<u8> {
        let snapshot = self.snapshot();
        self.snapshot_index = self.applied_index;
        self.journal_bytes_at_snapshot = self.journal_bytes;
        self.log.compact(self.last_replaced_index());
        snapshot
    }

    /// Returns the index of the last entry that a snapshot of the applied state replaces; later ones are retained.
    fn last_replaced_index(&self) -> LogIndex {
        let max_entries = self.snapshot_entries / RETAINED_ENTRIES_DIVISOR;
        let max_bytes = self.limits.snapshot_interval / RETAINED_ENTRIES_DIVISOR;
        let first = self.applied_index.saturating_sub(max_entries);
        (first..self.applied_index)
            .find(|index| self.log.bytes_between(*index, self.applied_index) <= max_bytes)
            .unwrap_or(self.applied_index)
    }

    /// Returns the journal records from which the log can be rebuilt.
    pub(super) fn journal_records(&self) -> Vec<JournalRecord> {
        let base = JournalRecord::Base {
            index: self.log.base_index(),
            term: self.log.base_term(),
        };
        let observed = self.observed_position_records();
        let entries = self.log.entries_from(0).cloned().map(JournalRecord::Append);
        [base].into_iter().chain(observed).chain(entries).collect()
    }

    /// Returns journal records of the observed positions.
    pub(super) fn observed_position_records(&self) -> Vec<JournalRecord> {
        let observed = self.observed_positions.iter();
        observed
            .map(|(replica, position)| JournalRecord::ObservedPosition {
                replica: replica.clone(),
                position: *position,
            })
            .collect()
    }

    /// Replaces the state and the log by a received snapshot.
    ///
    /// Entries after the snapshot are kept if they follow from it: they may already count towards a majority.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot, bytes: Vec<u8>) {
        let later: Vec<Rc<Entry>> = match self.log.term(snapshot.index) {
            Some(term) if term == snapshot.term => {
                self.log.entries_from(snapshot.index + 1).cloned().collect()
            }
            _ => Vec::new(),
        };
        self.log = Log::new(snapshot.index, snapshot.term, snapshot.membership);
        for entry in later {
            self.log.push(entry);
        }
        self.durable_index = 0;
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.state = snapshot.state;
        self.commit_waiters.clear();
        let records = self.journal_records();
        self.queue_write(QueuedWrite::Replace {
            snapshot: Some(bytes),
            records,
        });
    }
}
