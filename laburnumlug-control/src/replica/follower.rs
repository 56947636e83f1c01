//! Follower: handling of a leader's heartbeats, appends and snapshots.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::ReplicaId;

use super::Replica;
use super::core::{Core, IncomingSnapshot, QueuedWrite, ReplicaRole};
use crate::entry::{Entry, LogIndex, Term};
use crate::peer::{AppendAnswer, AppendRequest, AppendResult, InstallRequest, LeaderHeader};
use crate::storage::Snapshot;

impl Replica {
    /// Handles a heartbeat; returns `None` if it must not be answered.
    pub(super) async fn handle_heartbeat(&self, header: LeaderHeader) -> Option<AppendAnswer> {
        let result = match self.accept_leader(&header).await? {
            true => AppendResult::HeartbeatAccepted,
            false => AppendResult::Refused,
        };
        Some(self.append_answer(result))
    }

    /// Handles an append; returns `None` if it must not be answered.
    pub(super) async fn handle_append(&self, req: AppendRequest) -> Option<AppendAnswer> {
        if !self.accept_leader(&req.header).await? {
            return Some(self.append_answer(AppendResult::Refused));
        }
        let result = {
            let mut core = self.core.borrow_mut();
            core.record_silent_voters(Instant::now(), &req.silent_voters);
            core.append_entries(&req)?
        };
        self.notify();
        if let AppendResult::Matched(match_index) = result {
            self.wait_for_sync(&req.header).await?;
            let mut core = self.core.borrow_mut();
            core.follow_commit(req.header.term, req.commit, match_index);
            drop(core);
            self.notify();
        }
        Some(self.append_answer(result))
    }

    /// Handles a snapshot chunk; returns `None` if it must not be answered.
    pub(super) async fn handle_install(&self, req: InstallRequest) -> Option<AppendAnswer> {
        if !self.accept_leader(&req.header).await? {
            return Some(self.append_answer(AppendResult::Refused));
        }
        let header = req.header.clone();
        let result = self.core.borrow_mut().accept_snapshot_chunk(req);
        self.notify();
        if let AppendResult::Matched(_) = result {
            self.wait_for_sync(&header).await?;
        }
        Some(self.append_answer(result))
    }

    /// Becomes a follower of the sender unless the message is outdated or not for this replica; returns whether the
    /// message is accepted.
    async fn accept_leader(&self, header: &LeaderHeader) -> Option<bool> {
        let file = self.meta.lock().await;
        let mut meta = self.core.borrow().meta.clone();
        let is_foreign_cluster = meta
            .cluster
            .is_some_and(|cluster| cluster != header.cluster);
        let is_ready = self.core.borrow().verified && self.core.borrow().storage_error.is_none();
        if header.to != meta.replica || is_foreign_cluster || !is_ready || header.term < meta.term {
            return Some(false);
        }
        if meta.cluster.is_none() {
            // A process that starts takes the log in the folder for that of the cluster in the metadata.
            self.wait_until_synced().await?;
        }
        if meta.cluster.is_none() || header.term > meta.term || meta.voted_for.is_none() {
            if header.term > meta.term || meta.voted_for.is_none() {
                // Recording a vote for the leader keeps this replica from voting for another one in the same term.
                meta.voted_for = Some(header.leader.clone());
            }
            meta.cluster = Some(header.cluster);
            meta.term = header.term;
            self.change_meta(&file, meta).await.ok()?;
        }
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        if matches!(core.role, ReplicaRole::Leader(_)) {
            core.step_down(now);
        }
        core.role = ReplicaRole::Follower;
        core.leader = Some(header.leader.name.clone());
        core.last_leader_contact = Some(now);
        core.voter_contacts.insert(header.leader.clone(), now);
        core.postpone_election(now);
        Some(true)
    }

    /// Waits until all queued writes are synced; returns `None` if a write failed, or if the term or the incarnation
    /// has changed in the meantime.
    async fn wait_for_sync(&self, header: &LeaderHeader) -> Option<()> {
        self.wait_until_synced().await?;
        let core = self.core.borrow();
        let is_unchanged = core.meta.term == header.term && core.meta.replica == header.to;
        is_unchanged.then_some(())
    }

    /// Waits until all queued writes are synced; returns `None` if a write failed.
    async fn wait_until_synced(&self) -> Option<()> {
        let queued = self.core.borrow().queued_write_count;
        self.wait_until(|core| core.synced_write_count >= queued || core.storage_error.is_some())
            .await;
        self.core.borrow().storage_error.is_none().then_some(())
    }

    fn append_answer(&self, result: AppendResult) -> AppendAnswer {
        let core = self.core.borrow();
        AppendAnswer {
            replica: core.meta.replica.clone(),
            term: core.meta.term,
            result,
        }
    }
}

impl Core {
    /// Records which voters a leader has found silent, so that a successor does not begin to count their silence again.
    fn record_silent_voters(&mut self, now: Instant, silent_voters: &[(ReplicaId, u64)]) {
        let voters = self.log.membership().voters.clone();
        self.voter_contacts
            .retain(|replica, _| voters.contains(replica));
        for (replica, silent_ms) in silent_voters {
            if let Some(at) = now.checked_sub(Duration::from_millis(*silent_ms)) {
                self.voter_contacts.insert(replica.clone(), at);
            }
        }
    }

    /// Commits what a leader of `term` has committed, as far as the log matches that of the leader.
    ///
    /// A new leader does not know which entries of earlier terms are committed until an entry of the current term is, so only then
    /// does its commit index show that this replica has caught up.
    fn follow_commit(&mut self, term: Term, commit: LogIndex, match_index: LogIndex) {
        self.commit_to(commit.min(match_index));
        self.caught_up |= commit <= match_index && self.log.term(commit) == Some(term);
    }

    /// Appends a leader's entries to the log; returns `None` if they are invalid.
    ///
    /// If the entry before them is not in this log, returns the index from which the leader must send instead.
    fn append_entries(&mut self, req: &AppendRequest) -> Option<AppendResult> {
        self.merge_observed_positions(req);
        if req.previous_index > self.log.base_index()
            && self.log.term(req.previous_index) != Some(req.previous_term)
        {
            return Some(AppendResult::NextIndex(
                self.next_index_after_conflict(req.previous_index),
            ));
        }
        let mut match_index = req.previous_index;
        for bytes in &req.entries {
            let entry: Entry = ciborium::from_reader(bytes.as_slice()).ok()?;
            match_index = entry.index;
            if !self.accept_entry(entry) {
                return None;
            }
        }
        Some(AppendResult::Matched(match_index))
    }

    /// Returns the index from which a leader must send entries when its entry at `previous_index` is not in this log.
    fn next_index_after_conflict(&self, previous_index: LogIndex) -> LogIndex {
        let Some(other_term) = self.log.term(previous_index) else {
            return self.log.last_index() + 1;
        };
        // Stops at the commit index, since committed entries match on all replicas, and skips all uncommitted entries
        // of the conflicting term in one round trip.
        let mut index = previous_index;
        while index > self.commit_index + 1 && self.log.term(index - 1) == Some(other_term) {
            index -= 1;
        }
        index
    }

    /// Merges the positions that the leader observed.
    ///
    /// They are written together with the entries of the request. If it has none, positions that changed are written
    /// on their own.
    fn merge_observed_positions(&mut self, req: &AppendRequest) {
        let before = self.observed_positions.clone();
        for (replica, position) in &req.observed_positions {
            self.observe_position(replica, *position);
        }
        if req.entries.is_empty() && self.observed_positions != before {
            for record in self.observed_position_records() {
                self.queue_write(QueuedWrite::Record(record));
            }
        }
    }

    /// Appends one entry, replacing conflicting uncommitted ones; returns `false` if the entry is invalid.
    fn accept_entry(&mut self, entry: Entry) -> bool {
        let index: LogIndex = entry.index;
        if index <= self.log.base_index() {
            return true;
        }
        match self.log.term(index) {
            Some(term) if term == entry.term => return true,
            Some(_) if index <= self.commit_index => {
                log::error!(
                    "rejecting log entry {index} of the leader: it conflicts with a committed entry"
                );
                return false;
            }
            Some(_) => self.truncate(index),
            None if index != self.log.last_index() + 1 => return false,
            None => {}
        }
        self.append(Rc::new(entry));
        true
    }

    /// Adds a snapshot chunk, and installs the snapshot after the last one.
    ///
    /// A chunk out of order is refused. A snapshot that is not newer than the commit index is acknowledged unread.
    fn accept_snapshot_chunk(&mut self, req: InstallRequest) -> AppendResult {
        if req.index <= self.commit_index {
            return AppendResult::Matched(self.commit_index);
        }
        if req.offset == 0 {
            let bytes = Vec::new();
            self.incoming_snapshot = IncomingSnapshot {
                index: req.index,
                bytes,
            };
        }
        let is_next = self.incoming_snapshot.index == req.index
            && self.incoming_snapshot.bytes.len() as u64 == req.offset;
        if !is_next {
            return AppendResult::Refused;
        }
        self.incoming_snapshot.bytes.extend_from_slice(&req.bytes);
        if !req.is_last {
            return AppendResult::NextIndex(req.index);
        }
        let bytes = std::mem::take(&mut self.incoming_snapshot.bytes);
        match Snapshot::decode(&bytes) {
            Some(snapshot) if snapshot.index == req.index => {
                self.install_snapshot(snapshot, bytes);
                AppendResult::Matched(req.index)
            }
            _ => AppendResult::Refused,
        }
    }
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
