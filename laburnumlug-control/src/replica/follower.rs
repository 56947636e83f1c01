//! Following a leader.

use std::rc::Rc;
use std::time::Instant;

use super::Replica;
use super::core::{Core, Incoming, Role, Write};
use crate::entry::{Entry, LogIndex};
use crate::peer::{AppendAnswer, AppendRequest, AppendResult, InstallRequest, LeaderHead};
use crate::storage::Snapshot;

impl Replica {
    /// Answers a leader's heartbeat; `None` where this replica must not answer.
    pub(super) async fn follow_heartbeat(&self, head: LeaderHead) -> Option<AppendAnswer> {
        let result = match self.accept_leader(&head).await? {
            true => AppendResult::Heard,
            false => AppendResult::Refused,
        };
        Some(self.append_answer(result))
    }

    /// Answers a leader's append; `None` where this replica must not answer.
    pub(super) async fn follow_append(&self, req: AppendRequest) -> Option<AppendAnswer> {
        if !self.accept_leader(&req.head).await? {
            return Some(self.append_answer(AppendResult::Refused));
        }
        let result = self.core.borrow_mut().take_entries(&req)?;
        self.notify();
        if let AppendResult::Matched(matched) = result {
            self.wait_for_sync(&req.head).await?;
            let mut core = self.core.borrow_mut();
            core.commit_to(req.commit.min(matched));
            core.caught_up |= req.commit <= matched;
            drop(core);
            self.notify();
        }
        Some(self.append_answer(result))
    }

    /// Answers a part of a snapshot; `None` where this replica must not answer.
    pub(super) async fn follow_install(&self, req: InstallRequest) -> Option<AppendAnswer> {
        if !self.accept_leader(&req.head).await? {
            return Some(self.append_answer(AppendResult::Refused));
        }
        let head = req.head.clone();
        let result = self.core.borrow_mut().take_snapshot(req);
        self.notify();
        if let AppendResult::Matched(_) = result {
            self.wait_for_sync(&head).await?;
        }
        Some(self.append_answer(result))
    }

    /// Follows the sender if it leads the newest term; returns whether its message may be taken.
    async fn accept_leader(&self, head: &LeaderHead) -> Option<bool> {
        let file = self.meta.lock().await;
        let mut meta = self.core.borrow().meta.clone();
        let is_other_cluster = meta.cluster.is_some_and(|cluster| cluster != head.cluster);
        let is_ready = self.core.borrow().verified && self.core.borrow().failed.is_none();
        if head.to != meta.replica || is_other_cluster || !is_ready || head.term < meta.term {
            return Some(false);
        }
        if meta.cluster.is_none() || head.term > meta.term || meta.voted_for.is_none() {
            if head.term > meta.term || meta.voted_for.is_none() {
                // A vote for the leader keeps this replica from voting for another in the same term.
                meta.voted_for = Some(head.leader.clone());
            }
            meta.cluster = Some(head.cluster);
            meta.term = head.term;
            self.change_meta(&file, meta).await.ok()?;
        }
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        if matches!(core.role, Role::Leader(_)) {
            core.step_down(now);
        }
        core.role = Role::Follower;
        core.leader = Some(head.leader.name.clone());
        core.heard_at = Some(now);
        core.postpone_election(now);
        Some(true)
    }

    /// Waits until all that is queued is synced; `None` where the term has changed meanwhile.
    async fn wait_for_sync(&self, head: &LeaderHead) -> Option<()> {
        let queued = self.core.borrow().queued_writes;
        self.wait_until(|core| core.synced_writes >= queued || core.failed.is_some())
            .await;
        let core = self.core.borrow();
        let holds =
            core.failed.is_none() && core.meta.term == head.term && core.meta.replica == head.to;
        holds.then_some(())
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
    /// Takes a leader's entries into the log; `None` where they are not understood.
    fn take_entries(&mut self, req: &AppendRequest) -> Option<AppendResult> {
        self.take_seen(req);
        if req.previous_index > self.log.base_index()
            && self.log.term(req.previous_index) != Some(req.previous_term)
        {
            return Some(AppendResult::BeginAt(self.begin_at(req.previous_index)));
        }
        let mut matched = req.previous_index;
        for bytes in &req.entries {
            let entry: Entry = ciborium::from_reader(bytes.as_slice()).ok()?;
            matched = entry.index;
            if !self.take_entry(entry) {
                return None;
            }
        }
        Some(AppendResult::Matched(matched))
    }

    /// Returns the entry from which a leader is to send whose entry at `previous_index` is not held here.
    fn begin_at(&self, previous_index: LogIndex) -> LogIndex {
        let Some(other_term) = self.log.term(previous_index) else {
            return self.log.last_index() + 1;
        };
        // What is committed is equal everywhere. Of what is not, all of a term that differs is passed over at once.
        let mut index = previous_index;
        while index > self.commit + 1 && self.log.term(index - 1) == Some(other_term) {
            index -= 1;
        }
        index
    }

    /// Notes what the leader saw of all replicas; it is written with the entries, or on its own without any.
    fn take_seen(&mut self, req: &AppendRequest) {
        let before = self.seen.clone();
        for (replica, position) in &req.seen {
            self.note_seen(replica, *position);
        }
        if req.entries.is_empty() && self.seen != before {
            for record in self.seen_records() {
                self.write(Write::Record(record));
            }
        }
    }

    /// Takes one entry; returns whether it can be the leader's.
    fn take_entry(&mut self, entry: Entry) -> bool {
        let index: LogIndex = entry.index;
        if index <= self.log.base_index() {
            return true;
        }
        match self.log.term(index) {
            Some(term) if term == entry.term => return true,
            Some(_) if index <= self.commit => {
                log::error!("entry {index} contradicts a committed one, it is not taken");
                return false;
            }
            Some(_) => self.truncate(index),
            None if index != self.log.last_index() + 1 => return false,
            None => {}
        }
        self.append(Rc::new(entry));
        true
    }

    /// Takes one part of a snapshot.
    fn take_snapshot(&mut self, req: InstallRequest) -> AppendResult {
        if req.index <= self.commit {
            return AppendResult::Matched(self.commit);
        }
        if req.offset == 0 {
            let bytes = Vec::new();
            self.incoming = Incoming {
                index: req.index,
                bytes,
            };
        }
        let is_next =
            self.incoming.index == req.index && self.incoming.bytes.len() as u64 == req.offset;
        if !is_next {
            return AppendResult::Refused;
        }
        self.incoming.bytes.extend_from_slice(&req.bytes);
        if !req.is_last {
            return AppendResult::BeginAt(req.index);
        }
        let bytes = std::mem::take(&mut self.incoming.bytes);
        match Snapshot::decode(&bytes) {
            Some(snapshot) if snapshot.index == req.index => {
                self.install(snapshot, bytes);
                AppendResult::Matched(req.index)
            }
            _ => AppendResult::Refused,
        }
    }
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
