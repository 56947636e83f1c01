//! Task that writes queued changes to the data folder, with group commit, and rewrites the folder after an error.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::ReplicaId;

use super::Replica;
use super::core::{Core, QueuedWrite};
use crate::entry::LogIndex;
use crate::position::Position;
use crate::storage::{Journal, JournalRecord, SnapshotFile};

/// Maximum number of records in one sync.
const MAX_BATCH_RECORDS: usize = 4096;

/// Wait between an error and the first attempt to rewrite the data folder.
const MIN_REWRITE_DELAY: Duration = Duration::from_millis(50);

/// Longest wait between two attempts to rewrite the data folder.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// Writes that are synced together.
enum WriteBatch {
    Append(Vec<JournalRecord>),
    Replace {
        snapshot: Option<Vec<u8>>,
        records: Vec<JournalRecord>,
    },
}

impl Replica {
    /// Writes and syncs the queued changes in order; after an error in any file, rewrites the data folder first.
    pub(super) async fn run_writer(self: Rc<Self>, mut journal: Journal, snapshots: SnapshotFile) {
        let mut written_positions = BTreeMap::new();
        loop {
            self.wait_until(|core| !core.pending_writes.is_empty() || core.storage_error.is_some())
                .await;
            if self.core.borrow().storage_error.is_some() {
                self.recover_folder(&mut journal, &snapshots).await;
                continue;
            }
            let (batch, through) = self.core.borrow_mut().next_batch(self.cfg.group_commit);
            let last = batch.last_index();
            let is_replacement = matches!(batch, WriteBatch::Replace { .. });
            let batch = self.with_observed_positions(batch, &mut written_positions);
            match write_batch(&mut journal, &snapshots, batch).await {
                Ok(()) => {
                    let mut core = self.core.borrow_mut();
                    core.record_journal_bytes(journal.len(), is_replacement);
                    drop(core);
                    self.record_synced(through, last);
                }
                Err(err) => self.handle_storage_error(&err),
            }
        }
    }

    /// Adds newly observed positions of other replicas to an append batch, so that they need no sync of their own.
    fn with_observed_positions(
        &self,
        batch: WriteBatch,
        written: &mut BTreeMap<ReplicaId, Position>,
    ) -> WriteBatch {
        let WriteBatch::Append(mut records) = batch else {
            return batch;
        };
        let core = self.core.borrow();
        let changed = core
            .observed_positions
            .iter()
            .filter(|(replica, position)| written.get(replica) != Some(*position));
        records.extend(
            changed.map(|(replica, position)| JournalRecord::ObservedPosition {
                replica: replica.clone(),
                position: *position,
            }),
        );
        *written = core.observed_positions.clone();
        WriteBatch::Append(records)
    }

    /// Rewrites the data folder until that succeeds, after which this replica votes and replicates again.
    ///
    /// What the files hold after an error is not known, and a later sync of the same file does not cover writes whose
    /// sync has failed. So all files are replaced by new ones, written and synced from what this replica has in memory.
    async fn recover_folder(&self, journal: &mut Journal, snapshots: &SnapshotFile) {
        let failed_at = Instant::now();
        let mut delay = MIN_REWRITE_DELAY;
        loop {
            compio::time::sleep(delay).await;
            match self.rewrite_folder(journal, snapshots).await {
                Ok(()) => break,
                Err(err) => log::debug!("the data folder still cannot be written: {err}"),
            }
            delay = (2 * delay).min(MAX_REWRITE_DELAY);
        }
        let mut core = self.core.borrow_mut();
        core.storage_error = None;
        core.postpone_election(Instant::now());
        drop(core);
        log::warn!(
            duration_ms = failed_at.elapsed().as_millis() as u64;
            "the data folder was rewritten after an error, this replica votes and replicates again"
        );
        self.notify();
    }

    async fn rewrite_folder(
        &self,
        journal: &mut Journal,
        snapshots: &SnapshotFile,
    ) -> io::Result<()> {
        let file = self.meta.lock().await;
        let meta = self.core.borrow().meta.clone();
        file.write(&meta).await?;
        let (batch, through) = self.core.borrow_mut().rewrite_batch();
        let last = batch.last_index();
        write_batch(journal, snapshots, batch).await?;
        let mut core = self.core.borrow_mut();
        core.record_journal_bytes(journal.len(), true);
        core.record_synced(through, last);
        Ok(())
    }

    fn record_synced(&self, through: u64, last: Option<LogIndex>) {
        let mut core = self.core.borrow_mut();
        core.record_synced(through, last);
        core.commit_by_majority();
        drop(core);
        self.notify();
    }
}

async fn write_batch(
    journal: &mut Journal,
    snapshots: &SnapshotFile,
    batch: WriteBatch,
) -> io::Result<()> {
    match batch {
        WriteBatch::Append(records) => journal.append(&records).await,
        WriteBatch::Replace { snapshot, records } => {
            if let Some(bytes) = snapshot {
                snapshots.write(bytes).await?;
                return journal.replace(&records).await;
            }
            journal.replace(&records).await?;
            snapshots.remove().await
        }
    }
}

impl WriteBatch {
    /// Returns the last log index after the batch, if it changes the log.
    fn last_index(&self) -> Option<LogIndex> {
        let (WriteBatch::Append(records) | WriteBatch::Replace { records, .. }) = self;
        records.iter().rev().find_map(|record| match record {
            JournalRecord::Append(entry) => Some(entry.index),
            JournalRecord::Truncate { from } => Some(from - 1),
            JournalRecord::Base { index, .. } => Some(*index),
            JournalRecord::ObservedPosition { .. } => None,
        })
    }
}

impl Core {
    /// Replaces all queued writes by one that writes the whole snapshot and log; also returns their number.
    fn rewrite_batch(&mut self) -> (WriteBatch, u64) {
        self.pending_writes.clear();
        let snapshot = (self.applied_index > 0).then(|| self.compact());
        let records = self.journal_records();
        let batch = WriteBatch::Replace { snapshot, records };
        (batch, self.queued_write_count)
    }

    /// Removes the writes of the next sync from the queue, and returns how many queued writes are synced after it.
    fn next_batch(&mut self, group_commit: bool) -> (WriteBatch, u64) {
        let batch = self.take_writes(group_commit);
        // Each write that still waits was queued after all that are synced or covered.
        let waiting = self.pending_writes.len() as u64;
        (batch, self.queued_write_count - waiting)
    }

    fn take_writes(&mut self, group_commit: bool) -> WriteBatch {
        if let Some(QueuedWrite::Replace { .. }) = self.pending_writes.front()
            && let Some(QueuedWrite::Replace { snapshot, records }) =
                self.pending_writes.pop_front()
        {
            return WriteBatch::Replace { snapshot, records };
        }
        let max_records = if group_commit { MAX_BATCH_RECORDS } else { 1 };
        let mut records = Vec::new();
        while records.len() < max_records
            && let Some(QueuedWrite::Record(record)) = self.pending_writes.front()
        {
            records.push(record.clone());
            self.pending_writes.pop_front();
        }
        WriteBatch::Append(records)
    }
}

#[cfg(test)]
#[path = "writer_tests.rs"]
mod tests;
