use laburnumlug_mesh::MeshKey;

use super::*;
use crate::entry::{Entry, Payload};

fn restore_error(
    meta: Option<Meta>,
    records: Vec<JournalRecord>,
    corrupt: bool,
) -> Option<ResetReason> {
    let cfg = ReplicaConfig::new("control-1", Path::new(""), MeshKey::new("key"));
    let stored = FolderContent {
        meta,
        snapshot: StoredSnapshot::Missing,
        recovered: RecoveredJournal { records, corrupt },
    };
    restore(&cfg, stored).err()
}

fn meta(name: &str) -> Option<Meta> {
    let cluster = Some(1);
    Some(Meta {
        cluster,
        ..Meta::new(name)
    })
}

fn entry(index: u64) -> JournalRecord {
    JournalRecord::Append(Rc::new(Entry {
        index,
        term: 1,
        time_ms: 0,
        payload: Payload::Noop,
    }))
}

#[test]
fn restore_own_folder() {
    let records = vec![
        entry(1),
        entry(2),
        JournalRecord::Truncate { from: 2 },
        entry(2),
    ];
    assert_eq!(restore_error(meta("control-1"), records, false), None);
}

#[test]
fn restore_folder_of_another_replica() {
    let reason = restore_error(meta("control-2"), vec![entry(1)], false);
    assert_eq!(reason, Some(ResetReason::Foreign));
}

#[test]
fn restore_gap_or_corruption() {
    let corrupt = Some(ResetReason::Corrupt);
    assert_eq!(
        restore_error(meta("control-1"), vec![entry(1), entry(3)], false),
        corrupt
    );
    assert_eq!(
        restore_error(meta("control-1"), vec![entry(1)], true),
        corrupt
    );
    assert_eq!(restore_error(None, vec![entry(1)], false), corrupt);
    let base = JournalRecord::Base { index: 4, term: 1 };
    assert_eq!(
        restore_error(meta("control-1"), vec![base, entry(5)], false),
        corrupt
    );
}

#[test]
fn restore_empty_folder() {
    assert_eq!(
        restore_error(None, Vec::new(), false),
        Some(ResetReason::Empty)
    );
}
