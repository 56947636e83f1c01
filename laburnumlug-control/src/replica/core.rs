//! State that the tasks of a replica share.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use laburnumlug_mesh::ReplicaId;
use rand::Rng;

use super::leadership::{Leadership, MAX_VOTERS};
use super::size_limits::SizeLimits;
use crate::command::{Command, Outcome};
use crate::entry::{Entry, LogIndex, Membership, Payload, Term};
use crate::entry_log::Log;
use crate::position::Position;
use crate::state::{Record, State};
use crate::storage::{JournalRecord, Meta};

/// Minimum time without contact with a leader before a replica starts an election.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// Upper bound of the random time that is added to [`ELECTION_TIMEOUT`].
const ELECTION_JITTER: Duration = Duration::from_millis(800);

/// Minimum time after a start before the first election; a working leader sends a heartbeat every 100 ms.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(150);

/// Upper bound of the random time that is added to [`FIRST_ELECTION_TIMEOUT`].
const FIRST_ELECTION_JITTER: Duration = Duration::from_millis(300);

/// Number of uncommitted log entries at which the leader accepts no further command.
const MAX_UNCOMMITTED_ENTRIES: u64 = 10_000;

/// Queued write to the data folder.
pub(super) enum QueuedWrite {
    Record(JournalRecord),
    /// Replaces the snapshot, or removes it if there is none, and replaces the journal.
    Replace {
        snapshot: Option<Vec<u8>>,
        records: Vec<JournalRecord>,
    },
}

/// Role of a replica in the current term of the control log.
pub(super) enum ReplicaRole {
    Follower,
    Candidate,
    Leader(Leadership),
}

/// Snapshot that is being received in chunks.
#[derive(Default)]
pub(super) struct IncomingSnapshot {
    pub(super) index: LogIndex,
    pub(super) bytes: Vec<u8>,
}

/// State that the tasks of a replica share.
pub(super) struct Core {
    /// Identity, term and vote, as last synced to disk.
    pub(super) meta: Meta,
    pub(super) log: Log,
    pub(super) commit_index: LogIndex,
    pub(super) applied_index: LogIndex,
    pub(super) state: State,
    pub(super) role: ReplicaRole,
    /// Name of the leader of the current term, if it is known.
    pub(super) leader: Option<String>,
    /// When the last message of the leader was accepted.
    pub(super) last_leader_contact: Option<Instant>,
    /// When voters last answered a leader, as far as this replica was told by leaders or has led itself.
    pub(super) voter_contacts: BTreeMap<ReplicaId, Instant>,
    pub(super) election_at: Instant,
    /// Whether the data folder holds everything it ever acknowledged, judged by what other replicas observed of it.
    pub(super) verified: bool,
    /// Whether all entries committed before this process started are known and applied.
    pub(super) caught_up: bool,
    /// Error of a write, until the data folder has been rewritten.
    pub(super) storage_error: Option<String>,
    /// Latest observed position of each replica's data folder.
    pub(super) observed_positions: BTreeMap<ReplicaId, Position>,
    pub(super) pending_writes: VecDeque<QueuedWrite>,
    /// Number of writes that were ever queued.
    pub(super) queued_write_count: u64,
    /// Number of these that are synced, or that a synced replacement of the folder has covered.
    pub(super) synced_write_count: u64,
    /// Index of the last log entry that is synced on this replica.
    pub(super) durable_index: LogIndex,
    pub(super) commit_waiters: HashMap<LogIndex, (Term, oneshot::Sender<Outcome>)>,
    pub(super) incoming_snapshot: IncomingSnapshot,
    pub(super) snapshot_index: LogIndex,
    pub(super) snapshot_entries: u64,
    pub(super) limits: SizeLimits,
    /// Length of the journal file in bytes.
    pub(super) journal_bytes: u64,
    /// Length of the journal file when the last snapshot was queued or written.
    pub(super) journal_bytes_at_snapshot: u64,
    /// Maximum number of voters; further replicas are learners on standby.
    pub(super) max_voters: usize,
    /// Number of disks that must hold a command before it is acknowledged, so that the tolerated losses leave one.
    pub(super) min_copies: usize,
}

impl Core {
    pub(super) fn new(now: Instant, meta: Meta, log: Log, snapshot_entries: u64) -> Core {
        Core {
            durable_index: log.last_index(),
            meta,
            log,
            commit_index: 0,
            applied_index: 0,
            state: State::new(),
            role: ReplicaRole::Follower,
            leader: None,
            last_leader_contact: None,
            voter_contacts: BTreeMap::new(),
            election_at: now,
            verified: false,
            caught_up: false,
            storage_error: None,
            observed_positions: BTreeMap::new(),
            pending_writes: VecDeque::new(),
            queued_write_count: 0,
            synced_write_count: 0,
            commit_waiters: HashMap::new(),
            incoming_snapshot: IncomingSnapshot::default(),
            snapshot_index: 0,
            snapshot_entries,
            limits: SizeLimits::for_disk(None),
            journal_bytes: 0,
            journal_bytes_at_snapshot: 0,
            max_voters: MAX_VOTERS,
            min_copies: 1,
        }
    }

    /// Returns whether this replica's votes and answers count towards a majority.
    pub(super) fn is_voter(&self) -> bool {
        self.verified
            && self.storage_error.is_none()
            && self.meta.cluster.is_some()
            && self.log.membership().contains(&self.meta.replica)
    }

    /// Returns the current term, and the term and index of the last log entry.
    pub(super) fn position(&self) -> Position {
        Position {
            term: self.meta.term,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        }
    }

    /// Raises the observed position of a replica's data folder to `position` where that is later.
    pub(super) fn observe_position(&mut self, replica: &ReplicaId, position: Position) {
        let observed = self.observed_positions.entry(replica.clone()).or_default();
        *observed = observed.max(position);
    }

    pub(super) fn postpone_election(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(Duration::ZERO..ELECTION_JITTER);
        self.election_at = now + ELECTION_TIMEOUT + jitter;
    }

    /// Schedules the first election after a start; its pre-vote keeps a working leader from being deposed.
    pub(super) fn schedule_first_election(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(Duration::ZERO..FIRST_ELECTION_JITTER);
        self.election_at = now + FIRST_ELECTION_TIMEOUT + jitter;
    }

    /// Returns whether this replica leads or had contact with a leader within the election timeout.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        match (&self.role, self.last_leader_contact) {
            (ReplicaRole::Leader(_), _) => true,
            (_, Some(at)) => now.saturating_duration_since(at) < ELECTION_TIMEOUT,
            _ => false,
        }
    }

    pub(super) fn is_election_due(&self, now: Instant) -> bool {
        let is_alone = self.log.membership().voters.len() == 1;
        match self.role {
            ReplicaRole::Leader(_) => false,
            _ => self.is_voter() && (is_alone || now >= self.election_at),
        }
    }

    /// Gives up leadership or candidacy.
    pub(super) fn step_down(&mut self, now: Instant) {
        if let ReplicaRole::Leader(_) = self.role {
            log::warn!("no longer leading in term {}", self.meta.term);
            self.leader = None;
            self.last_leader_contact = None;
            self.commit_waiters.clear();
            self.postpone_election(now);
        }
        self.role = ReplicaRole::Follower;
    }

    /// Returns whether the limits of uncommitted entries allow another command of `bytes` encoded bytes.
    pub(super) fn can_append_command(&self, bytes: u64) -> bool {
        let last_index = self.log.last_index();
        let uncommitted = self.log.bytes_between(self.commit_index, last_index);
        last_index - self.commit_index < MAX_UNCOMMITTED_ENTRIES
            && uncommitted + bytes <= self.limits.uncommitted
    }

    /// Appends an entry as the leader and returns its index.
    pub(super) fn append_as_leader(&mut self, time_ms: u64, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.meta.term,
            time_ms,
            payload,
        };
        self.append(Rc::new(entry));
        index
    }

    /// Appends an entry and queues its write.
    pub(super) fn append(&mut self, entry: Rc<Entry>) {
        self.log.push(entry.clone());
        self.queue_write(QueuedWrite::Record(JournalRecord::Append(entry)));
    }

    /// Removes the entries with index `from` and above and queues the write.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        self.log.truncate(from);
        self.durable_index = self.durable_index.min(from - 1);
        self.commit_waiters.retain(|index, _| *index < from);
        self.queue_write(QueuedWrite::Record(JournalRecord::Truncate { from }));
    }

    /// Queues a write; a replacement of the folder takes the place of all writes that still wait.
    pub(super) fn queue_write(&mut self, write: QueuedWrite) {
        if let QueuedWrite::Replace { .. } = write {
            self.pending_writes.clear();
        }
        self.pending_writes.push_back(write);
        self.queued_write_count += 1;
    }

    /// Records that the first `through` writes that were queued are synced, after which the synced log ends at `last`.
    pub(super) fn record_synced(&mut self, through: u64, last: Option<LogIndex>) {
        self.synced_write_count = through;
        let Some(last) = last else { return };
        // Entries that a queued write will remove do not count as durable.
        let truncated = self.pending_writes.iter().filter_map(|write| match write {
            QueuedWrite::Record(JournalRecord::Truncate { from }) => Some(from - 1),
            QueuedWrite::Replace { .. } => Some(0),
            _ => None,
        });
        let retained = truncated.min().unwrap_or(last);
        self.durable_index = last.min(retained).min(self.log.last_index());
    }

    /// Commits and applies the entries up to `index` or the end of the log, and takes a snapshot if one is due.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        let version = self.state.fleet().version;
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else {
                return;
            };
            self.applied_index = entry.index;
            if let Payload::Command(command) = &entry.payload {
                self.apply(&entry, command.clone());
            }
        }
        let applied = self.state.fleet().version;
        if applied != version {
            log::info!(version = applied, previous_version = version, index = self.applied_index; "applied changes of the fleet document that are committed");
        }
        if self.is_snapshot_due() {
            self.queue_compaction();
        }
    }

    fn apply(&mut self, entry: &Entry, command: Command) {
        let record = Record {
            time_ms: entry.time_ms,
            command,
        };
        let outcome = self.state.apply_entry(entry.index, record);
        match self.commit_waiters.remove(&entry.index) {
            Some((term, tx)) if term == entry.term => {
                let _ = tx.send(outcome);
            }
            _ => {}
        }
    }

    /// Resets the replica to an empty log and state, but keeps the observed positions of other replicas.
    pub(super) fn reset(&mut self, now: Instant, meta: Meta) {
        self.meta = meta;
        self.caught_up = false;
        self.log = Log::new(0, 0, Membership::empty());
        self.durable_index = 0;
        self.commit_index = 0;
        self.applied_index = 0;
        self.snapshot_index = 0;
        self.state = State::new();
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.commit_waiters.clear();
        self.postpone_election(now);
        let records = self.journal_records();
        self.queue_write(QueuedWrite::Replace {
            snapshot: None,
            records,
        });
    }
}
