//! Log replication from the leader to each other replica: heartbeats, appends and snapshots.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug_mesh::ReplicaId;
use serde_bytes::ByteBuf;

use super::core::{Core, ReplicaRole};
use super::leadership::ReplicationProgress;
use super::{PeerReplica, Replica, unix_millis, wait_for_event};
use crate::entry::{LogIndex, Term};
use crate::peer::{
    AppendAnswer, AppendRequest, AppendResult, LeaderHeader, PeerAnswer, PeerRequest,
};
use crate::position::Position;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between two appends to a replica that is up to date.
const IDLE_APPEND_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the answer to an append, which includes the sync of its entries.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait before a retry after a replica did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Wait before the next attempt to reach a replica that is not a voter, which may have ended for good.
const LEARNER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Size of the entries at which an append takes no further entry.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Maximum number of entries in one append.
const MAX_APPEND_ENTRIES: usize = 1024;

/// Next replication step for a replica.
pub(super) enum ReplicationStep {
    /// Ask for the replica's name and incarnation, to which all other messages are addressed.
    Identify,
    Append(AppendRequest),
    /// Send a snapshot: the log no longer holds the entries that the replica lacks, or they take more bytes.
    Install(LeaderHeader),
}

impl Replica {
    /// Replicates the log to one other replica while this replica is the leader, until the other one is removed.
    pub(super) async fn run_replication(
        self: Rc<Self>,
        peer: PeerReplica,
        removed: Rc<Cell<bool>>,
    ) {
        while !removed.get() {
            let changed = self.changed.listen();
            let has_leader_role = matches!(self.core.borrow().role, ReplicaRole::Leader(_));
            if !has_leader_role {
                changed.await;
                continue;
            }
            drop(changed);
            let term = self.core.borrow().meta.term;
            if !self.replicate_step(&peer, term).await {
                let interval = self.core.borrow().retry_interval(&peer.name);
                compio::time::sleep(interval).await;
                continue;
            }
            self.wait_for_work(&peer).await;
        }
    }

    /// Sends heartbeats to one other replica while this replica is the leader, until the other one is removed.
    pub(super) async fn run_heartbeats(self: Rc<Self>, peer: PeerReplica, removed: Rc<Cell<bool>>) {
        while !removed.get() {
            let header = self.core.borrow().header_for(&peer.name);
            if let Some(header) = header {
                self.send_heartbeat(&peer, header).await;
            }
            compio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self, peer: &PeerReplica, header: LeaderHeader) {
        let (term, sent_at) = (header.term, Instant::now());
        let heartbeat = PeerRequest::Heartbeat(header);
        let answer = self
            .call_peer(peer.addr, &heartbeat, HEARTBEAT_TIMEOUT)
            .await;
        let Ok(PeerAnswer::Append(answer)) = answer else {
            return;
        };
        if answer.term > term {
            return self.observe_term(answer.term).await;
        }
        let mut core = self.core.borrow_mut();
        if core.meta.term == term && matches!(answer.result, AppendResult::HeartbeatAccepted) {
            core.record_contact(&peer.name, sent_at);
        }
    }

    /// Waits until there is something to send, at most for [`IDLE_APPEND_INTERVAL`].
    async fn wait_for_work(&self, peer: &PeerReplica) {
        let until = Instant::now() + IDLE_APPEND_INTERVAL;
        loop {
            let changed = self.changed.listen();
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.core.borrow().has_work_for(&peer.name) {
                return;
            }
            wait_for_event(changed, remaining).await;
        }
    }

    /// Performs one replication step; returns `false` if it failed and has to be retried.
    async fn replicate_step(&self, peer: &PeerReplica, term: Term) -> bool {
        let step = self.core.borrow().next_step_for(&peer.name);
        match step {
            None => true,
            Some(ReplicationStep::Identify) => self.request_identity(peer, term).await,
            Some(ReplicationStep::Append(req)) => {
                let sent = SentMessage {
                    at: Instant::now(),
                    commit: req.commit,
                };
                let bytes: usize = req.entries.iter().map(|entry| entry.len()).sum();
                self.core.borrow_mut().record_sent(&peer.name, bytes);
                let request = PeerRequest::Append(req);
                let answer = self.call_peer(peer.addr, &request, APPEND_TIMEOUT).await;
                self.handle_append_answer(peer, term, sent, answer.ok())
                    .await
            }
            Some(ReplicationStep::Install(header)) => self.send_snapshot(peer, header).await,
        }
    }

    async fn request_identity(&self, peer: &PeerReplica, term: Term) -> bool {
        let sent_at = Instant::now();
        let from = self.core.borrow().meta.replica.clone();
        let hello = PeerRequest::Hello { from };
        let Ok(PeerAnswer::Hello(answer)) =
            self.call_peer(peer.addr, &hello, HEARTBEAT_TIMEOUT).await
        else {
            return false;
        };
        let mut core = self.core.borrow_mut();
        if core.meta.term == term {
            core.record_identity(&peer.name, answer.replica, sent_at);
        }
        true
    }

    /// Handles the answer to an append; returns `false` if there was none or the append was refused.
    async fn handle_append_answer(
        &self,
        peer: &PeerReplica,
        term: Term,
        sent: SentMessage,
        answer: Option<PeerAnswer>,
    ) -> bool {
        let Some(PeerAnswer::Append(answer)) = answer else {
            return false;
        };
        if answer.term > term {
            self.observe_term(answer.term).await;
            return true;
        }
        let is_accepted = !matches!(answer.result, AppendResult::Refused);
        let mut core = self.core.borrow_mut();
        if core.meta.term == term {
            core.record_append_answer(&peer.name, sent, &answer);
            core.commit_by_majority();
            core.advance_membership(Instant::now(), unix_millis(SystemTime::now()));
        }
        drop(core);
        self.notify();
        is_accepted
    }
}

/// Send time and commit index of a message.
#[derive(Clone, Copy)]
pub(super) struct SentMessage {
    pub(super) at: Instant,
    pub(super) commit: LogIndex,
}

impl Core {
    fn progress_mut(&mut self, name: &str) -> Option<&mut ReplicationProgress> {
        match &mut self.role {
            ReplicaRole::Leader(leadership) => leadership.progress.get_mut(name),
            _ => None,
        }
    }

    /// Returns the wait before a retry after a step for a replica has failed.
    fn retry_interval(&self, name: &str) -> Duration {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return RETRY_INTERVAL;
        };
        let is_identified = leadership.progress.contains_key(name);
        let mut voters = self.log.membership().voters.iter();
        match is_identified || voters.any(|voter| voter.name == name) {
            true => RETRY_INTERVAL,
            false => LEARNER_RETRY_INTERVAL,
        }
    }

    /// Records the identity of a replica and starts its replication at the first entry of the leader's term.
    pub(super) fn record_identity(&mut self, name: &str, replica: ReplicaId, sent_at: Instant) {
        if let ReplicaRole::Leader(leadership) = &mut self.role {
            let progress = ReplicationProgress {
                replica,
                next_index: leadership.first_index,
                match_index: 0,
                last_contact: sent_at,
                acknowledged_commit: 0,
                identified_at: sent_at,
                sent_bytes: 0,
            };
            leadership.progress.insert(name.to_string(), progress);
        }
    }

    pub(super) fn has_work_for(&self, name: &str) -> bool {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return true;
        };
        leadership.progress.get(name).is_none_or(|progress| {
            progress.next_index <= self.log.last_index()
                || progress.acknowledged_commit < self.commit_index
        })
    }

    /// Returns the header of messages to a replica, if the identity of the replica is known.
    fn header_for(&self, name: &str) -> Option<LeaderHeader> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return None;
        };
        Some(LeaderHeader {
            cluster: self.meta.cluster?,
            term: self.meta.term,
            leader: self.meta.replica.clone(),
            to: leadership.progress.get(name)?.replica.clone(),
        })
    }

    pub(super) fn next_step_for(&self, name: &str) -> Option<ReplicationStep> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return None;
        };
        let Some(progress) = leadership.progress.get(name) else {
            return Some(ReplicationStep::Identify);
        };
        let header = self.header_for(name)?;
        let previous_index = progress.next_index - 1;
        let previous_term = match self.log.term(previous_index) {
            Some(term) if !self.is_snapshot_smaller(previous_index) => term,
            _ => return Some(ReplicationStep::Install(header)),
        };
        Some(ReplicationStep::Append(AppendRequest {
            header,
            previous_index,
            previous_term,
            entries: self.encoded_entries(progress.next_index),
            commit: self.commit_index,
            observed_positions: self.positions_with_own(),
            silent_voters: self.silent_voters(Instant::now()),
        }))
    }

    /// Returns whether a snapshot takes fewer bytes than the applied entries after `previous_index`.
    ///
    /// Entries that fit into one append are always sent. Applying a snapshot also takes less time, since each change
    /// of the fleet document contains the whole document.
    fn is_snapshot_smaller(&self, previous_index: LogIndex) -> bool {
        let missing = self.log.bytes_between(previous_index, self.applied_index);
        missing > MAX_APPEND_BYTES as u64 && missing > self.state.approximate_bytes()
    }

    fn encoded_entries(&self, from: LogIndex) -> Vec<ByteBuf> {
        let mut encoded = Vec::new();
        let mut total = 0;
        for entry in self.log.entries_from(from).take(MAX_APPEND_ENTRIES) {
            let mut bytes = Vec::new();
            ciborium::into_writer(&**entry, &mut bytes)
                .expect("serializing to a Vec should not fail");
            total += bytes.len();
            encoded.push(ByteBuf::from(bytes));
            if total >= MAX_APPEND_BYTES {
                break;
            }
        }
        encoded
    }

    /// Returns the observed positions of the other replicas and the synced position of this one.
    fn positions_with_own(&self) -> Vec<(ReplicaId, Position)> {
        let own = Position {
            term: self.meta.term,
            last_term: self.log.term(self.durable_index).unwrap_or(0),
            last_index: self.durable_index,
        };
        let others = self
            .observed_positions
            .iter()
            .map(|(replica, position)| (replica.clone(), *position));
        others.chain([(self.meta.replica.clone(), own)]).collect()
    }

    pub(super) fn record_contact(&mut self, name: &str, sent_at: Instant) {
        if let Some(progress) = self.progress_mut(name) {
            progress.last_contact = progress.last_contact.max(sent_at);
        }
    }

    pub(super) fn record_sent(&mut self, name: &str, bytes: usize) {
        if let Some(progress) = self.progress_mut(name) {
            progress.sent_bytes += bytes as u64;
        }
    }

    pub(super) fn record_append_answer(
        &mut self,
        name: &str,
        sent: SentMessage,
        answer: &AppendAnswer,
    ) {
        let commit = self.commit_index;
        let Some(progress) = self.progress_mut(name) else {
            return;
        };
        if progress.replica != answer.replica {
            // Another incarnation of the data folder has answered, so the identity must be requested again.
            if let ReplicaRole::Leader(leadership) = &mut self.role {
                leadership.progress.remove(name);
            }
            return;
        }
        match answer.result {
            AppendResult::Refused | AppendResult::HeartbeatAccepted => return,
            AppendResult::NextIndex(next_index) => progress.next_index = next_index.max(1),
            AppendResult::Matched(match_index) => {
                progress.match_index = progress.match_index.max(match_index);
                progress.next_index = progress.match_index + 1;
                progress.acknowledged_commit = sent.commit.min(commit);
            }
        }
        progress.last_contact = progress.last_contact.max(sent.at);
        let match_index = progress.match_index;
        let position = Position {
            term: answer.term,
            last_term: self.log.term(match_index).unwrap_or(0),
            last_index: match_index,
        };
        self.observe_position(&answer.replica, position);
    }
}
