//! Snapshots of the replicated state.

use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{file, frame};
use crate::entry::{LogIndex, Membership, Term};
use crate::state::State;

pub(super) const SNAPSHOT_FILE_NAME: &str = "snapshot";

/// Replicated state after the entry at `index` was applied.
#[derive(Deserialize, Serialize)]
pub(crate) struct Snapshot {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) membership: Membership,
    pub(crate) state: State,
}

impl Snapshot {
    /// Decodes a snapshot; returns `None` if a checksum does not match or the content cannot be decoded.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Snapshot> {
        frame::decode(bytes).items.pop()
    }

    /// Encodes the snapshot as a checksummed frame.
    pub(crate) fn encode(&self) -> Vec<u8> {
        frame::encode(self)
    }
}

/// File in the data folder that stores a [`Snapshot`].
pub(crate) struct SnapshotFile {
    path: PathBuf,
}

/// Result of reading the snapshot file.
pub(crate) enum StoredSnapshot {
    Missing,
    Corrupt,
    Valid(Box<Snapshot>),
}

impl SnapshotFile {
    pub(crate) fn new(folder: &Path) -> SnapshotFile {
        SnapshotFile {
            path: folder.join(SNAPSHOT_FILE_NAME),
        }
    }

    pub(crate) async fn read(&self) -> io::Result<StoredSnapshot> {
        let Some(bytes) = file::read(&self.path).await? else {
            return Ok(StoredSnapshot::Missing);
        };
        Ok(match Snapshot::decode(&bytes) {
            Some(snapshot) => StoredSnapshot::Valid(Box::new(snapshot)),
            None => StoredSnapshot::Corrupt,
        })
    }

    /// Replaces the file atomically and syncs it.
    pub(crate) async fn write(&self, bytes: Vec<u8>) -> io::Result<()> {
        file::replace(&self.path, bytes).await
    }

    pub(crate) async fn remove(&self) -> io::Result<()> {
        file::remove(&self.path).await
    }
}
