//! What the tasks of a replica share.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use laburnumlug_mesh::ReplicaId;
use rand::Rng;

use super::leadership::{Leadership, MAX_VOTERS};
use crate::command::{Command, Outcome};
use crate::entry::{Entry, LogIndex, Membership, Payload, Term};
use crate::entry_log::Log;
use crate::position::Position;
use crate::state::{Record, State};
use crate::storage::{JournalRecord, Meta, Snapshot};

/// Shortest time without a leader after which a replica stands for election.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time that is added to [`ELECTION_TIMEOUT`] at random.
const ELECTION_JITTER: Duration = Duration::from_millis(800);

/// Shortest time after a start in which a replica waits for a leader that works; such a one is heard every 100 ms.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time that is added to [`FIRST_ELECTION_TIMEOUT`] at random.
const FIRST_ELECTION_JITTER: Duration = Duration::from_millis(300);

/// Share of the entries between two snapshots that stays after one, for followers that lag a little.
const KEPT_SHARE: u64 = 4;

/// Most entries that may wait to be committed.
const MAX_UNCOMMITTED: u64 = 10_000;

/// Write that waits for the disk.
pub(super) enum Write {
    Record(JournalRecord),
    /// Replaces the snapshot, or removes it, and then the journal.
    Replace {
        snapshot: Option<Vec<u8>>,
        records: Vec<JournalRecord>,
    },
}

/// How a replica takes part.
pub(super) enum Role {
    Follower,
    Candidate,
    Leader(Leadership),
}

/// Parts of a snapshot that is being received.
#[derive(Default)]
pub(super) struct Incoming {
    pub(super) index: LogIndex,
    pub(super) bytes: Vec<u8>,
}

/// What the tasks of a replica share.
pub(super) struct Core {
    /// What is synced of identity, term and vote.
    pub(super) meta: Meta,
    pub(super) log: Log,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) state: State,
    pub(super) role: Role,
    /// Name of the leader of the present term, where it is known.
    pub(super) leader: Option<String>,
    /// When the leader was last heard.
    pub(super) heard_at: Option<Instant>,
    pub(super) election_at: Instant,
    /// Whether the data folder is known to hold all that it ever acknowledged.
    pub(super) verified: bool,
    /// Whether all that was committed before this process started is known and applied.
    pub(super) caught_up: bool,
    /// Why the data folder can no longer be written.
    pub(super) failed: Option<String>,
    /// How far each replica's folder had come when it was last seen.
    pub(super) seen: BTreeMap<ReplicaId, Position>,
    pub(super) writes: VecDeque<Write>,
    pub(super) queued_writes: u64,
    pub(super) synced_writes: u64,
    /// Last entry of the log that is synced here.
    pub(super) durable: LogIndex,
    pub(super) waiters: HashMap<LogIndex, (Term, oneshot::Sender<Outcome>)>,
    pub(super) incoming: Incoming,
    pub(super) snapshot_index: LogIndex,
    pub(super) snapshot_entries: u64,
    /// How many voters there are at most; further replicas stand by.
    pub(super) max_voters: usize,
}

impl Core {
    pub(super) fn new(now: Instant, meta: Meta, log: Log, snapshot_entries: u64) -> Core {
        Core {
            durable: log.last_index(),
            meta,
            log,
            commit: 0,
            applied: 0,
            state: State::new(),
            role: Role::Follower,
            leader: None,
            heard_at: None,
            election_at: now,
            verified: false,
            caught_up: false,
            failed: None,
            seen: BTreeMap::new(),
            writes: VecDeque::new(),
            queued_writes: 0,
            synced_writes: 0,
            waiters: HashMap::new(),
            incoming: Incoming::default(),
            snapshot_index: 0,
            snapshot_entries,
            max_voters: MAX_VOTERS,
        }
    }

    /// Returns whether this replica's vote and its answers count.
    pub(super) fn is_voter(&self) -> bool {
        self.verified
            && self.failed.is_none()
            && self.meta.cluster.is_some()
            && self.log.membership().contains(&self.meta.replica)
    }

    pub(super) fn position(&self) -> Position {
        Position {
            term: self.meta.term,
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        }
    }

    /// Notes how far another replica's folder has come.
    pub(super) fn note_seen(&mut self, replica: &ReplicaId, position: Position) {
        let seen = self.seen.entry(replica.clone()).or_default();
        *seen = seen.max(position);
    }

    pub(super) fn postpone_election(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(Duration::ZERO..ELECTION_JITTER);
        self.election_at = now + ELECTION_TIMEOUT + jitter;
    }

    /// Sets the first election after a start; a candidate asks first, so a leader that works is not deposed.
    pub(super) fn schedule_first_election(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(Duration::ZERO..FIRST_ELECTION_JITTER);
        self.election_at = now + FIRST_ELECTION_TIMEOUT + jitter;
    }

    /// Returns whether a leader was heard so recently that no election is due.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        match (&self.role, self.heard_at) {
            (Role::Leader(_), _) => true,
            (_, Some(at)) => now.saturating_duration_since(at) < ELECTION_TIMEOUT,
            _ => false,
        }
    }

    pub(super) fn is_election_due(&self, now: Instant) -> bool {
        let is_alone = self.log.membership().voters.len() == 1;
        match self.role {
            Role::Leader(_) => false,
            _ => self.is_voter() && (is_alone || now >= self.election_at),
        }
    }

    /// Gives up leadership or candidacy.
    pub(super) fn step_down(&mut self, now: Instant) {
        if let Role::Leader(_) = self.role {
            log::warn!("no longer leading in term {}", self.meta.term);
            self.leader = None;
            self.heard_at = None;
            self.waiters.clear();
            self.postpone_election(now);
        }
        self.role = Role::Follower;
    }

    /// Returns whether another command may be appended.
    pub(super) fn has_room(&self) -> bool {
        self.log.last_index() - self.commit < MAX_UNCOMMITTED
    }

    /// Appends an entry as the leader and returns its index.
    pub(super) fn append_own(&mut self, time_ms: u64, payload: Payload) -> LogIndex {
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
        self.write(Write::Record(JournalRecord::Append(entry)));
    }

    /// Removes the entries from `from` on and queues the write.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        self.log.truncate(from);
        self.durable = self.durable.min(from - 1);
        self.waiters.retain(|index, _| *index < from);
        self.write(Write::Record(JournalRecord::Truncate { from }));
    }

    pub(super) fn write(&mut self, write: Write) {
        self.writes.push_back(write);
        self.queued_writes += 1;
    }

    /// Notes that `count` writes are synced, the last of which left the log's end at `last`.
    pub(super) fn note_synced(&mut self, count: u64, last: Option<LogIndex>) {
        self.synced_writes += count;
        let Some(last) = last else { return };
        // What a queued write takes away again is not durable.
        let cut = self.writes.iter().filter_map(|write| match write {
            Write::Record(JournalRecord::Truncate { from }) => Some(from - 1),
            Write::Replace { .. } => Some(0),
            _ => None,
        });
        let kept = cut.min().unwrap_or(last);
        self.durable = last.min(kept).min(self.log.last_index());
    }

    /// Commits and applies the entries up to `index`.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            if let Payload::Command(command) = &entry.payload {
                self.apply(&entry, command.clone());
            }
        }
        if self.applied - self.snapshot_index >= self.snapshot_entries {
            self.compact();
        }
    }

    fn apply(&mut self, entry: &Entry, command: Command) {
        let record = Record {
            time_ms: entry.time_ms,
            command,
        };
        let outcome = self.state.apply_at(entry.index, record);
        match self.waiters.remove(&entry.index) {
            Some((term, tx)) if term == entry.term => {
                let _ = tx.send(outcome);
            }
            _ => {}
        }
    }

    /// Returns a snapshot of the applied state, encoded.
    pub(super) fn snapshot(&mut self) -> Vec<u8> {
        let snapshot = Snapshot {
            index: self.applied,
            term: self.log.term(self.applied).unwrap_or(0),
            membership: self.log.membership_at(self.applied).clone(),
            state: std::mem::replace(&mut self.state, State::new()),
        };
        let bytes = snapshot.encode();
        self.state = snapshot.state;
        bytes
    }

    /// Writes a snapshot and shortens the journal to what is not in it.
    fn compact(&mut self) {
        let snapshot = Some(self.snapshot());
        self.snapshot_index = self.applied;
        let kept = self.snapshot_entries / KEPT_SHARE;
        self.log.compact(self.applied.saturating_sub(kept));
        let records = self.journal_records();
        self.write(Write::Replace { snapshot, records });
    }

    /// Returns records from which the log is rebuilt.
    pub(super) fn journal_records(&self) -> Vec<JournalRecord> {
        let base = JournalRecord::Base {
            index: self.log.base_index(),
            term: self.log.base_term(),
        };
        let seen = self.seen_records();
        let entries = self.log.from(0).cloned().map(JournalRecord::Append);
        [base].into_iter().chain(seen).chain(entries).collect()
    }

    /// Returns what was seen of other replicas as records.
    pub(super) fn seen_records(&self) -> Vec<JournalRecord> {
        let seen = self.seen.iter();
        seen.map(|(replica, position)| JournalRecord::Acknowledged {
            replica: replica.clone(),
            position: *position,
        })
        .collect()
    }

    /// Replaces state and log by a snapshot.
    pub(super) fn install(&mut self, snapshot: Snapshot, bytes: Vec<u8>) {
        self.log = Log::new(snapshot.index, snapshot.term, snapshot.membership);
        self.durable = 0;
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.state = snapshot.state;
        self.waiters.clear();
        let records = self.journal_records();
        self.write(Write::Replace {
            snapshot: Some(bytes),
            records,
        });
    }

    /// Forgets everything but what was seen of other replicas.
    pub(super) fn clear(&mut self, now: Instant, meta: Meta) {
        self.meta = meta;
        self.caught_up = false;
        self.log = Log::new(0, 0, Membership::none());
        self.durable = 0;
        self.commit = 0;
        self.applied = 0;
        self.snapshot_index = 0;
        self.state = State::new();
        self.role = Role::Follower;
        self.leader = None;
        self.waiters.clear();
        self.postpone_election(now);
        let records = self.journal_records();
        self.write(Write::Replace {
            snapshot: None,
            records,
        });
    }
}
