//! Files of the data folder: journal, metadata and snapshot.

mod file;
mod frame;
mod journal;
mod meta;
mod snapshot;

pub(crate) use self::journal::{Journal, JournalRecord, RecoveredJournal};
pub(crate) use self::meta::{Meta, MetaFile};
pub(crate) use self::snapshot::{Snapshot, SnapshotFile, StoredSnapshot};
