//! Task that writes queued changes to the data folder, with group commit.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use laburnumlug_mesh::ReplicaId;

use super::Replica;
use super::core::{Core, QueuedWrite};
use crate::entry::LogIndex;
use crate::position::Position;
use crate::storage::{Journal, JournalRecord, SnapshotFile};

/// Maximum number of records in one sync.
const MAX_BATCH_RECORDS: usize = 4096;

/// Writes that are synced together.
enum WriteBatch {
    Append(Vec<JournalRecord>),
    Replace {
        snapshot: Option<Vec<u8>>,
        records: Vec<JournalRecord>,
    },
}

impl Replica {
    /// Writes and syncs the queued changes in order, until a write fails.
    pub(super) async fn run_writer(self: Rc<Self>, mut journal: Journal, snapshots: SnapshotFile) {
        let mut written_positions = BTreeMap::new();
        loop {
            self.wait_until(|core| !core.pending_writes.is_empty())
                .await;
            let batch = self.core.borrow_mut().next_batch(self.cfg.group_commit);
            let (count, last) = batch.count_and_last_index();
            let is_replacement = matches!(batch, WriteBatch::Replace { .. });
            let batch = self.with_observed_positions(batch, &mut written_positions);
            match write_batch(&mut journal, &snapshots, batch).await {
                Ok(()) => {
                    let mut core = self.core.borrow_mut();
                    core.record_journal_bytes(journal.len(), is_replacement);
                    drop(core);
                    self.record_synced(count, last);
                }
                Err(err) => return self.handle_storage_error(&err),
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

    fn record_synced(&self, count: u64, last: Option<LogIndex>) {
        let mut core = self.core.borrow_mut();
        core.record_synced(count, last);
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
    /// Returns the number of queued writes in the batch, and the last log index after them if they change it.
    fn count_and_last_index(&self) -> (u64, Option<LogIndex>) {
        let (count, records) = match self {
            WriteBatch::Append(records) => (records.len() as u64, records),
            WriteBatch::Replace { records, .. } => (1, records),
        };
        let last = records.iter().rev().find_map(|record| match record {
            JournalRecord::Append(entry) => Some(entry.index),
            JournalRecord::Truncate { from } => Some(from - 1),
            JournalRecord::Base { index, .. } => Some(*index),
            JournalRecord::ObservedPosition { .. } => None,
        });
        (count, last)
    }
}

impl Core {
    /// Removes the writes of the next sync from the queue.
    fn next_batch(&mut self, group_commit: bool) -> WriteBatch {
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
