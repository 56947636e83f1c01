//! Append-only journal of changes to the replicated log.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use compio::BufResult;
use compio::fs::{File, OpenOptions};
use compio::io::AsyncWriteAtExt;
use laburnumlug_mesh::ReplicaId;
use serde::{Deserialize, Serialize};

use super::{file, frame};
use crate::entry::{Entry, LogIndex, Term};
use crate::position::Position;

pub(super) const JOURNAL_FILE_NAME: &str = "log";

/// One change to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum JournalRecord {
    /// Sets the base of the log: the next entry is the one after `index`.
    Base { index: LogIndex, term: Term },
    /// Appends an entry.
    Append(Rc<Entry>),
    /// Removes the entries from index `from` on.
    Truncate { from: LogIndex },
    /// Records the latest position that was observed of a replica.
    #[serde(rename = "Acknowledged")]
    ObservedPosition {
        replica: ReplicaId,
        position: Position,
    },
}

/// Append-only journal file; each synced write is one frame, so only the last frame can be torn.
pub(crate) struct Journal {
    path: PathBuf,
    file: File,
    /// Offset of the end of the last valid frame, at which the next frame is written.
    end: u64,
}

/// Records that were read from a journal file.
pub(crate) struct RecoveredJournal {
    pub(crate) records: Vec<JournalRecord>,
    /// Whether synced bytes have changed, so that acknowledged records may be missing.
    pub(crate) corrupt: bool,
}

impl Journal {
    /// Opens or creates the journal in the data folder and returns its records.
    ///
    /// A torn last frame is removed; this loses no acknowledged record, since records are acknowledged only after
    /// their frame is synced.
    pub(crate) async fn open(folder: &Path) -> io::Result<(Journal, RecoveredJournal)> {
        let path = folder.join(JOURNAL_FILE_NAME);
        let bytes = file::read(&path).await?.unwrap_or_default();
        let decoded = frame::decode::<Vec<JournalRecord>>(&bytes);
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .open(&path)
            .await?;
        file::sync_folder(&path).await?;
        let end = decoded.valid_bytes as u64;
        if decoded.valid_bytes < bytes.len() && !decoded.corrupt {
            let torn = bytes.len() - decoded.valid_bytes;
            log::warn!(
                "cutting a torn write of {torn} bytes from the end of the journal of the control log"
            );
            file.set_len(end).await?;
            file.sync_all().await?;
        }
        let recovered = RecoveredJournal {
            records: decoded.items.into_iter().flatten().collect(),
            corrupt: decoded.corrupt,
        };
        Ok((Journal { path, file, end }, recovered))
    }

    /// Returns the length of the file in bytes.
    pub(crate) fn len(&self) -> u64 {
        self.end
    }

    /// Appends records in one frame and syncs the file.
    ///
    /// After an error the content of the file is unknown, so it must be replaced before the next append.
    pub(crate) async fn append(&mut self, records: &[JournalRecord]) -> io::Result<()> {
        let buf = frame::encode(&records);
        let len = buf.len() as u64;
        let BufResult(result, _) = self.file.write_all_at(buf, self.end).await;
        result?;
        self.file.sync_data().await?;
        self.end += len;
        Ok(())
    }

    /// Replaces the whole journal atomically and syncs it.
    pub(crate) async fn replace(&mut self, records: &[JournalRecord]) -> io::Result<()> {
        let buf = frame::encode(&records);
        let len = buf.len() as u64;
        file::replace(&self.path, buf).await?;
        self.file = OpenOptions::new().write(true).open(&self.path).await?;
        self.end = len;
        Ok(())
    }
}
