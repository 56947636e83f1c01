//! Files of the data folder: journal, metadata and snapshot.

mod file;
mod frame;
mod journal;
mod meta;
mod snapshot;

use std::path::Path;

pub(crate) use self::journal::{Journal, JournalRecord, RecoveredJournal};
pub(crate) use self::meta::{Meta, MetaFile};
pub(crate) use self::snapshot::{Snapshot, SnapshotFile, StoredSnapshot};

/// Removes files that were not completely written before the process stopped, since they take space on the disk.
pub(crate) async fn remove_temporary_files(folder: &Path) {
    let names = [
        journal::JOURNAL_FILE_NAME,
        meta::META_FILE_NAME,
        snapshot::SNAPSHOT_FILE_NAME,
    ];
    for name in names {
        let path = file::temporary_path(&folder.join(name));
        match compio::fs::remove_file(&path).await {
            Err(err) if err.kind() != std::io::ErrorKind::NotFound => {
                log::warn!("cannot remove {}: {err}", path.display());
            }
            _ => {}
        }
    }
}
