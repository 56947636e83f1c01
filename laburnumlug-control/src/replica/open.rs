//! Opening of a data folder.

use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use event_listener::Event;
use laburnumlug_mesh::Pool;

use super::core::{Core, Write};
use super::{CONNECT_TIMEOUT, Replica, ReplicaConfig};
use crate::entry::Membership;
use crate::entry_log::Log;
use crate::error::{Error, ErrorKind};
use crate::storage::{
    Journal, JournalRecord, Meta, MetaFile, Recovered, Snapshot, SnapshotFile, StoredSnapshot,
};

/// Name of the file that keeps other processes from the data folder.
const LOCK_FILE_NAME: &str = "lock";

/// Files of a folder whose copy is kept when the folder begins anew.
const SET_ASIDE: [&str; 3] = ["meta", "log", "snapshot"];

/// What a data folder holds.
struct Stored {
    meta: Option<Meta>,
    snapshot: StoredSnapshot,
    recovered: Recovered,
}

impl Replica {
    /// Opens the replica in its data folder, which is created if it is missing, and starts its tasks.
    ///
    /// A folder that is empty, that belongs to another replica or whose synced bytes have changed begins anew:
    /// the replica joins under a new incarnation and has no vote before the others have taken it in.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read or written and when another process uses it. Without peers to copy from
    /// it also fails where the folder belongs to another replica or its synced bytes have changed, and leaves the
    /// folder as it is.
    pub async fn open(cfg: ReplicaConfig) -> Result<Rc<Replica>, Error> {
        let folder = cfg.folder.clone();
        compio::fs::create_dir_all(&folder)
            .await
            .map_err(Error::io)?;
        let lock = lock(&folder)?;
        let meta_file = MetaFile::new(&folder);
        let snapshots = SnapshotFile::new(&folder);
        let (journal, recovered) = Journal::open(&folder).await.map_err(Error::io)?;
        let stored = Stored {
            meta: meta_file.read().await.map_err(Error::io)?,
            snapshot: snapshots.read().await.map_err(Error::io)?,
            recovered,
        };
        let mut core = match restore(&cfg, stored) {
            Ok(core) => core,
            Err(reason) => {
                let core = begin_anew(&cfg, &folder, reason)?;
                meta_file.write(&core.meta).await.map_err(Error::io)?;
                core
            }
        };
        core.max_voters = cfg.voters.unwrap_or(core.max_voters).min(core.max_voters);
        let replica = Rc::new(Replica {
            pool: Pool::new(cfg.key.clone(), CONNECT_TIMEOUT),
            cfg,
            core: RefCell::new(core),
            peers: RefCell::default(),
            targets: RefCell::default(),
            gateways: RefCell::default(),
            meta: futures_util::lock::Mutex::new(meta_file),
            changed: Event::new(),
            _lock: lock,
        });
        for peer in replica.cfg.peers.clone() {
            replica.start_peer(peer);
        }
        compio::runtime::spawn(replica.clone().run_peers()).detach();
        compio::runtime::spawn(replica.clone().run_writer(journal, snapshots)).detach();
        compio::runtime::spawn(replica.clone().run_standing()).detach();
        compio::runtime::spawn(replica.clone().run_elections()).detach();
        if replica.cfg.peers.is_empty() {
            // Nobody else can tell what was committed, so the log's own tail is all there is to wait for.
            replica
                .wait_until(|core| core.caught_up || core.failed.is_some())
                .await;
        }
        Ok(replica)
    }
}

/// Why a folder cannot be continued.
#[derive(Debug, Eq, PartialEq)]
enum BeginReason {
    Empty,
    Foreign,
    Damaged,
}

fn lock(folder: &Path) -> Result<std::fs::File, Error> {
    let file = std::fs::File::options()
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(LOCK_FILE_NAME))
        .map_err(Error::io)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(std::fs::TryLockError::WouldBlock) => Err(Error::new(ErrorKind::Locked)),
        Err(std::fs::TryLockError::Error(err)) => Err(Error::io(err)),
    }
}

/// Rebuilds what a folder holds.
fn restore(cfg: &ReplicaConfig, stored: Stored) -> Result<Core, BeginReason> {
    let is_empty = stored.recovered.records.is_empty() && !stored.recovered.damaged;
    let meta = match stored.meta {
        Some(meta) if meta.replica.name != cfg.name => return Err(BeginReason::Foreign),
        Some(meta) => meta,
        None if is_empty => return Err(BeginReason::Empty),
        None => return Err(BeginReason::Damaged),
    };
    let now = Instant::now();
    let mut core = Core::new(
        now,
        meta,
        Log::new(0, 0, Membership::none()),
        cfg.snapshot_entries,
    );
    if core.meta.cluster.is_none() {
        // The folder never belonged to a cluster, so nothing in it was acknowledged.
        let meta = core.meta.clone();
        core.clear(now, meta);
        return Ok(core);
    }
    let snapshot = match stored.snapshot {
        StoredSnapshot::Whole(snapshot) => Some(*snapshot),
        StoredSnapshot::Missing => None,
        StoredSnapshot::Broken => return Err(BeginReason::Damaged),
    };
    if stored.recovered.damaged || !replay(&mut core, snapshot, stored.recovered.records) {
        return Err(BeginReason::Damaged);
    }
    core.schedule_first_election(now);
    Ok(core)
}

/// Builds log and state; returns whether the records fit together.
fn replay(core: &mut Core, snapshot: Option<Snapshot>, records: Vec<JournalRecord>) -> bool {
    let membership = match &snapshot {
        Some(snapshot) => snapshot.membership.clone(),
        None => Membership::none(),
    };
    for record in records {
        match record {
            JournalRecord::Base { index, term } => {
                core.log = Log::new(index, term, membership.clone());
            }
            JournalRecord::Append(entry) if entry.index == core.log.last_index() + 1 => {
                core.log.push(entry);
            }
            JournalRecord::Append(_) => return false,
            JournalRecord::Truncate { from } => core.log.truncate(from),
            JournalRecord::Acknowledged { replica, position } => core.note_seen(&replica, position),
        }
    }
    let Some(snapshot) = snapshot else {
        core.durable = core.log.last_index();
        return core.log.base_index() == 0;
    };
    if core.log.term(snapshot.index) != Some(snapshot.term) {
        // The process ended between the writes of an installed snapshot and of its journal.
        if core.log.base_index() > snapshot.index {
            return false;
        }
        core.log = Log::new(snapshot.index, snapshot.term, membership);
        let records = core.journal_records();
        core.write(Write::Record(JournalRecord::Truncate { from: 1 }));
        for record in records {
            core.write(Write::Record(record));
        }
    }
    core.durable = core.log.last_index();
    core.commit = snapshot.index;
    core.applied = snapshot.index;
    core.snapshot_index = snapshot.index;
    core.state = snapshot.state;
    true
}

/// Begins a folder anew under a new incarnation.
fn begin_anew(cfg: &ReplicaConfig, folder: &Path, reason: BeginReason) -> Result<Core, Error> {
    match reason {
        BeginReason::Empty => log::info!("the data folder is empty"),
        BeginReason::Foreign if cfg.peers.is_empty() => {
            return Err(Error::new(ErrorKind::Foreign));
        }
        BeginReason::Foreign => log::error!("the data folder belongs to another replica"),
        BeginReason::Damaged if cfg.peers.is_empty() => {
            return Err(Error::new(ErrorKind::Corrupt));
        }
        BeginReason::Damaged => log::error!("synced files of the data folder have changed"),
    }
    set_aside(folder).map_err(Error::io)?;
    let now = Instant::now();
    let meta = Meta::new(&cfg.name);
    let log = Log::new(0, 0, Membership::none());
    let mut core = Core::new(now, meta.clone(), log, cfg.snapshot_entries);
    core.clear(now, meta);
    core.verified = true;
    Ok(core)
}

/// Keeps the folder's files under other names.
pub(super) fn set_aside(folder: &Path) -> io::Result<()> {
    let aside = folder.join(format!("set-aside-{:016x}", rand::random::<u64>()));
    for name in SET_ASIDE {
        let file = folder.join(name);
        match std::fs::metadata(&file) {
            Ok(data) if data.len() > 0 => {
                std::fs::create_dir_all(&aside)?;
                std::fs::copy(&file, aside.join(name))?;
            }
            _ => {}
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use laburnumlug_mesh::MeshKey;

    use super::*;
    use crate::entry::{Entry, Payload};

    fn restored(
        meta: Option<Meta>,
        records: Vec<JournalRecord>,
        damaged: bool,
    ) -> Option<BeginReason> {
        let cfg = ReplicaConfig::new("control-1", Path::new(""), MeshKey::new("key"));
        let stored = Stored {
            meta,
            snapshot: StoredSnapshot::Missing,
            recovered: Recovered { records, damaged },
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
        assert_eq!(restored(meta("control-1"), records, false), None);
    }

    #[test]
    fn restore_folder_of_another_replica() {
        let reason = restored(meta("control-2"), vec![entry(1)], false);
        assert_eq!(reason, Some(BeginReason::Foreign));
    }

    #[test]
    fn restore_gap_or_damage() {
        let damaged = Some(BeginReason::Damaged);
        assert_eq!(
            restored(meta("control-1"), vec![entry(1), entry(3)], false),
            damaged
        );
        assert_eq!(restored(meta("control-1"), vec![entry(1)], true), damaged);
        assert_eq!(restored(None, vec![entry(1)], false), damaged);
        let base = JournalRecord::Base { index: 4, term: 1 };
        assert_eq!(
            restored(meta("control-1"), vec![base, entry(5)], false),
            damaged
        );
    }

    #[test]
    fn restore_empty_folder() {
        assert_eq!(restored(None, Vec::new(), false), Some(BeginReason::Empty));
    }
}
