//! Opening of a data folder: recovery of its content, or a reset under a new incarnation.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use event_listener::Event;
use laburnumlug_mesh::Pool;

use super::backup::back_up_files;
use super::core::{Core, QueuedWrite};
use super::{CONNECT_TIMEOUT, Replica, ReplicaConfig};
use crate::directory::DirectoryService;
use crate::entry::Membership;
use crate::entry_log::Log;
use crate::error::{Error, ErrorKind};
use crate::scaling::Scaling;
use crate::storage::{
    self, Journal, JournalRecord, Meta, MetaFile, RecoveredJournal, Snapshot, SnapshotFile,
    StoredSnapshot,
};
use crate::usage::Usage;

/// Name of the lock file, which keeps other processes from using the data folder.
const LOCK_FILE_NAME: &str = "lock";

/// Content of a data folder.
struct FolderContent {
    meta: Option<Meta>,
    snapshot: StoredSnapshot,
    recovered: RecoveredJournal,
}

impl Replica {
    /// Opens the replica in its data folder, which is created if it does not exist, and starts its tasks.
    ///
    /// A folder that is empty, corrupt or belongs to another replica is reset: the replica joins under a new
    /// incarnation and has no vote until the other replicas have added it as a voter. A backup of its files is kept.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written, or if another process uses it. Without peers to copy from, it
    /// also fails if the folder is corrupt or belongs to another replica, and leaves the folder unchanged.
    pub async fn open(cfg: ReplicaConfig) -> Result<Rc<Replica>, Error> {
        let folder = cfg.folder.clone();
        compio::fs::create_dir_all(&folder)
            .await
            .map_err(Error::io)?;
        let lock = lock_folder(&folder)?;
        let meta_file = MetaFile::new(&folder);
        let snapshots = SnapshotFile::new(&folder);
        storage::remove_temporary_files(&folder).await;
        let (journal, recovered) = Journal::open(&folder).await.map_err(Error::io)?;
        let stored = FolderContent {
            meta: meta_file.read().await.map_err(Error::io)?,
            snapshot: snapshots.read().await.map_err(Error::io)?,
            recovered,
        };
        let mut core = match restore(&cfg, stored) {
            Ok(core) => core,
            Err(reason) => {
                let core = reset_folder(&cfg, &folder, reason)?;
                meta_file.write(&core.meta).await.map_err(Error::io)?;
                core
            }
        };
        core.limits = cfg.size_limits();
        core.record_journal_bytes(journal.len(), false);
        if let Some(voters) = cfg.voters {
            core.max_voters = voters.min(core.max_voters);
            core.min_copies = core.max_voters / 2 + 1;
        }
        let directory = cfg.contact.map(|contact| {
            let seeds = cfg.peers.iter().map(|peer| peer.addr).collect();
            DirectoryService::new(contact, seeds, cfg.key.clone(), false)
        });
        let replica = Rc::new(Replica {
            directory,
            pool: Pool::new(cfg.key.clone(), CONNECT_TIMEOUT),
            usage: cfg.usage.map(|cfg| Usage::new(Instant::now(), cfg)),
            scaling: cfg.scaling.then(Scaling::default),
            duty_holder: RefCell::default(),
            cfg,
            core: RefCell::new(core),
            peers: RefCell::default(),
            peer_answers: RefCell::default(),
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
        compio::runtime::spawn(replica.clone().run_voter_warnings()).detach();
        if let Some(directory) = replica.directory.clone() {
            let replica = replica.clone();
            let state = move || Some(replica.replica_state(Instant::now()));
            compio::runtime::spawn(directory.run_with(state)).detach();
        }
        compio::runtime::spawn(replica.clone().run_writer(journal, snapshots)).detach();
        compio::runtime::spawn(replica.clone().run_bootstrap()).detach();
        compio::runtime::spawn(replica.clone().run_elections()).detach();
        if replica.cfg.peers.is_empty() && replica.directory.is_none() {
            // A single replica has no leader to wait for: it has caught up once its own log is committed.
            replica
                .wait_until(|core| core.caught_up || core.storage_error.is_some())
                .await;
        }
        Ok(replica)
    }
}

/// Reason why a data folder must be reset.
#[derive(Debug, Eq, PartialEq)]
enum ResetReason {
    Empty,
    Foreign,
    Corrupt,
}

fn lock_folder(folder: &Path) -> Result<std::fs::File, Error> {
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

/// Rebuilds the state of a replica from its data folder.
fn restore(cfg: &ReplicaConfig, stored: FolderContent) -> Result<Core, ResetReason> {
    let is_empty = stored.recovered.records.is_empty() && !stored.recovered.corrupt;
    let meta = match stored.meta {
        Some(meta) if meta.replica.name != cfg.name => return Err(ResetReason::Foreign),
        Some(meta) => meta,
        None if is_empty => return Err(ResetReason::Empty),
        None => return Err(ResetReason::Corrupt),
    };
    let now = Instant::now();
    let mut core = Core::new(
        now,
        meta,
        Log::new(0, 0, Membership::empty()),
        cfg.snapshot_entries,
    );
    if core.meta.cluster.is_none() {
        // The replica never joined a cluster, so nothing in the folder was acknowledged.
        let meta = core.meta.clone();
        core.reset(now, meta);
        return Ok(core);
    }
    let snapshot = match stored.snapshot {
        StoredSnapshot::Valid(snapshot) => Some(*snapshot),
        StoredSnapshot::Missing => None,
        StoredSnapshot::Corrupt => return Err(ResetReason::Corrupt),
    };
    if stored.recovered.corrupt || !replay(&mut core, snapshot, stored.recovered.records) {
        return Err(ResetReason::Corrupt);
    }
    core.schedule_first_election(now);
    Ok(core)
}

/// Replays journal records on top of a snapshot; returns whether they are consistent.
fn replay(core: &mut Core, snapshot: Option<Snapshot>, records: Vec<JournalRecord>) -> bool {
    let membership = match &snapshot {
        Some(snapshot) => snapshot.membership.clone(),
        None => Membership::empty(),
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
            JournalRecord::ObservedPosition { replica, position } => {
                core.observe_position(&replica, position)
            }
        }
    }
    let Some(snapshot) = snapshot else {
        core.durable_index = core.log.last_index();
        return core.log.base_index() == 0;
    };
    if core.log.term(snapshot.index) != Some(snapshot.term) {
        // The process stopped after it replaced the snapshot and before it replaced the journal.
        if core.log.base_index() > snapshot.index {
            return false;
        }
        core.log = Log::new(snapshot.index, snapshot.term, membership);
        let records = core.journal_records();
        core.queue_write(QueuedWrite::Record(JournalRecord::Truncate { from: 1 }));
        for record in records {
            core.queue_write(QueuedWrite::Record(record));
        }
    }
    core.durable_index = core.log.last_index();
    core.commit_index = snapshot.index;
    core.applied_index = snapshot.index;
    core.snapshot_index = snapshot.index;
    core.state = snapshot.state;
    true
}

/// Backs up the files of a folder and returns an empty replica under a new incarnation.
fn reset_folder(cfg: &ReplicaConfig, folder: &Path, reason: ResetReason) -> Result<Core, Error> {
    match reason {
        ResetReason::Empty => {
            log::info!(
                "the data folder is empty; starting with an empty log under a new incarnation"
            )
        }
        ResetReason::Foreign if cfg.peers.is_empty() => {
            return Err(Error::new(ErrorKind::Foreign));
        }
        ResetReason::Foreign => {
            log::error!(
                "the data folder belongs to another replica; backing up its files and rejoining with an empty log \
                 under a new incarnation"
            )
        }
        ResetReason::Corrupt if cfg.peers.is_empty() => {
            return Err(Error::new(ErrorKind::Corrupt));
        }
        ResetReason::Corrupt => {
            log::error!(
                "the data folder is corrupt; backing up its files and rejoining with an empty log \
                 under a new incarnation"
            )
        }
    }
    back_up_files(folder, cfg.size_limits().backup).map_err(Error::io)?;
    let now = Instant::now();
    let meta = Meta::new(&cfg.name);
    let log = Log::new(0, 0, Membership::empty());
    let mut core = Core::new(now, meta.clone(), log, cfg.snapshot_entries);
    core.reset(now, meta);
    core.verified = true;
    Ok(core)
}

#[cfg(test)]
#[path = "open_tests.rs"]
mod tests;
