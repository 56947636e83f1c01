//! Replication to one other replica, and replacement of voters.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug_mesh::ReplicaId;
use serde_bytes::ByteBuf;

use super::core::{Core, Role};
use super::leadership::Progress;
use super::{PeerReplica, Replica, listen_for, unix_millis};
use crate::entry::{LogIndex, Payload, Term};
use crate::peer::{
    AppendAnswer, AppendRequest, AppendResult, InstallRequest, LeaderHead, PeerAnswer, PeerRequest,
};
use crate::position::Position;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica may take for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two appends to a replica that needs nothing.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a replica may take to sync what it was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a replica may take for a part of a snapshot, whose last one is written as a whole.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after a replica has not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of entries after which a message is sent off.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Most entries in one message.
const MAX_APPEND_ENTRIES: usize = 1024;

/// Bytes of a snapshot that one message carries.
const INSTALL_BYTES: usize = 1024 * 1024;

/// What a replica needs next.
pub(super) enum Step {
    /// It is not known who answers at its address.
    Identify,
    Append(AppendRequest),
    /// It lags behind the first entry that is held.
    Install(LeaderHead),
}

impl Replica {
    /// Replicates to one other replica whenever this one leads.
    pub(super) async fn run_replication(self: Rc<Self>, peer: PeerReplica) {
        loop {
            let changed = self.changed.listen();
            let leads = matches!(self.core.borrow().role, Role::Leader(_));
            if !leads {
                changed.await;
                continue;
            }
            drop(changed);
            let term = self.core.borrow().meta.term;
            if !self.replicate_step(&peer, term).await {
                compio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
            self.wait_for_work(&peer).await;
        }
    }

    /// Tells one other replica again and again that this one leads, whenever it does.
    pub(super) async fn run_heartbeats(self: Rc<Self>, peer: PeerReplica) {
        loop {
            let head = self.core.borrow().head_for(&peer.name);
            if let Some(head) = head {
                self.send_heartbeat(&peer, head).await;
            }
            compio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self, peer: &PeerReplica, head: LeaderHead) {
        let (term, sent_at) = (head.term, Instant::now());
        let heartbeat = PeerRequest::Heartbeat(head);
        let answer = self.call(peer.addr, &heartbeat, HEARTBEAT_TIMEOUT).await;
        let Ok(PeerAnswer::Append(answer)) = answer else {
            return;
        };
        if answer.term > term {
            return self.observe_term(answer.term).await;
        }
        let mut core = self.core.borrow_mut();
        if core.meta.term == term && matches!(answer.result, AppendResult::Heard) {
            core.note_heard(&peer.name, sent_at);
        }
    }

    /// Waits until there is something to send, at most for the idle interval.
    async fn wait_for_work(&self, peer: &PeerReplica) {
        let until = Instant::now() + IDLE_INTERVAL;
        loop {
            let changed = self.changed.listen();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.core.borrow().has_work_for(&peer.name) {
                return;
            }
            listen_for(changed, left).await;
        }
    }

    /// Sends one message; returns whether it was answered.
    async fn replicate_step(&self, peer: &PeerReplica, term: Term) -> bool {
        let step = self.core.borrow().step_for(&peer.name);
        match step {
            None => true,
            Some(Step::Identify) => self.identify(peer, term).await,
            Some(Step::Append(req)) => {
                let sent = Sent {
                    at: Instant::now(),
                    commit: req.commit,
                };
                let question = PeerRequest::Append(req);
                let answer = self.call(peer.addr, &question, ANSWER_TIMEOUT).await;
                self.note_answer(peer, term, sent, answer.ok()).await
            }
            Some(Step::Install(head)) => self.install(peer, head).await,
        }
    }

    async fn identify(&self, peer: &PeerReplica, term: Term) -> bool {
        let sent_at = Instant::now();
        let from = self.core.borrow().meta.replica.clone();
        let hello = PeerRequest::Hello { from };
        let Ok(PeerAnswer::Hello(answer)) = self.call(peer.addr, &hello, HEARTBEAT_TIMEOUT).await
        else {
            return false;
        };
        let mut core = self.core.borrow_mut();
        if core.meta.term == term {
            core.note_identity(&peer.name, answer.replica, sent_at);
        }
        true
    }

    /// Notes an answer; returns whether there was one that helps.
    async fn note_answer(
        &self,
        peer: &PeerReplica,
        term: Term,
        sent: Sent,
        answer: Option<PeerAnswer>,
    ) -> bool {
        let Some(PeerAnswer::Append(answer)) = answer else {
            return false;
        };
        if answer.term > term {
            self.observe_term(answer.term).await;
            return true;
        }
        let is_taken = !matches!(answer.result, AppendResult::Refused);
        let mut core = self.core.borrow_mut();
        if core.meta.term == term {
            core.note_append(&peer.name, sent, &answer);
            core.commit_by_majority();
            core.change_membership(Instant::now(), unix_millis(SystemTime::now()));
        }
        drop(core);
        self.notify();
        is_taken
    }

    /// Sends a snapshot of the present state in parts.
    async fn install(&self, peer: &PeerReplica, head: LeaderHead) -> bool {
        let (index, bytes) = {
            let mut core = self.core.borrow_mut();
            (core.applied, core.snapshot())
        };
        log::info!("sending {} a snapshot of {} bytes", peer.name, bytes.len());
        let parts = bytes.chunks(INSTALL_BYTES).count();
        for (i, part) in bytes.chunks(INSTALL_BYTES).enumerate() {
            let req = InstallRequest {
                head: head.clone(),
                index,
                offset: (i * INSTALL_BYTES) as u64,
                bytes: part.to_vec(),
                is_last: i + 1 == parts,
            };
            if !self.install_part(peer.addr, &peer.name, req).await {
                return false;
            }
        }
        true
    }

    async fn install_part(&self, addr: SocketAddr, name: &str, req: InstallRequest) -> bool {
        let term = req.head.term;
        let sent = Sent {
            at: Instant::now(),
            commit: 0,
        };
        let question = PeerRequest::Install(req);
        let Ok(PeerAnswer::Append(answer)) = self.call(addr, &question, INSTALL_TIMEOUT).await
        else {
            return false;
        };
        if answer.term > term {
            self.observe_term(answer.term).await;
            return false;
        }
        let mut core = self.core.borrow_mut();
        if core.meta.term != term {
            return false;
        }
        match answer.result {
            AppendResult::BeginAt(_) => core.note_heard(name, sent.at),
            _ => core.note_append(name, sent, &answer),
        }
        matches!(
            answer.result,
            AppendResult::BeginAt(_) | AppendResult::Matched(_)
        )
    }
}

/// When a message was sent and what it told.
#[derive(Clone, Copy)]
struct Sent {
    at: Instant,
    commit: LogIndex,
}

impl Core {
    fn progress_mut(&mut self, name: &str) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(name),
            _ => None,
        }
    }

    /// Notes who answers at a replica's address; the leader's first entry is its next one.
    pub(super) fn note_identity(&mut self, name: &str, replica: ReplicaId, sent_at: Instant) {
        if let Role::Leader(leadership) = &mut self.role {
            let progress = Progress {
                replica,
                next: leadership.first,
                matched: 0,
                heard_at: sent_at,
                told_commit: 0,
            };
            leadership.progress.insert(name.to_string(), progress);
        }
    }

    pub(super) fn has_work_for(&self, name: &str) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return true;
        };
        leadership.progress.get(name).is_none_or(|progress| {
            progress.next <= self.log.last_index() || progress.told_commit < self.commit
        })
    }

    /// Returns the head of a message, once it is known who answers at the replica's address.
    fn head_for(&self, name: &str) -> Option<LeaderHead> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        Some(LeaderHead {
            cluster: self.meta.cluster?,
            term: self.meta.term,
            leader: self.meta.replica.clone(),
            to: leadership.progress.get(name)?.replica.clone(),
        })
    }

    pub(super) fn step_for(&self, name: &str) -> Option<Step> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let Some(progress) = leadership.progress.get(name) else {
            return Some(Step::Identify);
        };
        let head = self.head_for(name)?;
        let previous_index = progress.next - 1;
        let Some(previous_term) = self.log.term(previous_index) else {
            return Some(Step::Install(head));
        };
        Some(Step::Append(AppendRequest {
            head,
            previous_index,
            previous_term,
            entries: self.encoded_entries(progress.next),
            commit: self.commit,
            seen: self.seen_with_own(),
        }))
    }

    fn encoded_entries(&self, from: LogIndex) -> Vec<ByteBuf> {
        let mut encoded = Vec::new();
        let mut total = 0;
        for entry in self.log.from(from).take(MAX_APPEND_ENTRIES) {
            let mut bytes = Vec::new();
            ciborium::into_writer(&**entry, &mut bytes).expect("writing to memory does not fail");
            total += bytes.len();
            encoded.push(ByteBuf::from(bytes));
            if total >= MAX_APPEND_BYTES {
                break;
            }
        }
        encoded
    }

    /// Returns what was seen of all replicas, this one included.
    fn seen_with_own(&self) -> Vec<(ReplicaId, Position)> {
        let own = Position {
            term: self.meta.term,
            last_term: self.log.term(self.durable).unwrap_or(0),
            last_index: self.durable,
        };
        let others = self
            .seen
            .iter()
            .map(|(replica, position)| (replica.clone(), *position));
        others.chain([(self.meta.replica.clone(), own)]).collect()
    }

    fn note_heard(&mut self, name: &str, sent_at: Instant) {
        if let Some(progress) = self.progress_mut(name) {
            progress.heard_at = progress.heard_at.max(sent_at);
        }
    }

    fn note_append(&mut self, name: &str, sent: Sent, answer: &AppendAnswer) {
        let commit = self.commit;
        let Some(progress) = self.progress_mut(name) else {
            return;
        };
        if progress.replica != answer.replica {
            // Another life of the folder answers; it is asked anew who it is.
            if let Role::Leader(leadership) = &mut self.role {
                leadership.progress.remove(name);
            }
            return;
        }
        match answer.result {
            AppendResult::Refused | AppendResult::Heard => return,
            AppendResult::BeginAt(next) => progress.next = next.max(1),
            AppendResult::Matched(matched) => {
                progress.matched = progress.matched.max(matched);
                progress.next = progress.matched + 1;
                progress.told_commit = sent.commit.min(commit);
            }
        }
        progress.heard_at = progress.heard_at.max(sent.at);
        let matched = progress.matched;
        let position = Position {
            term: answer.term,
            last_term: self.log.term(matched).unwrap_or(0),
            last_index: matched,
        };
        self.note_seen(&answer.replica, position);
    }

    /// Takes the next step of a replacement, if one is due.
    fn change_membership(&mut self, now: Instant, time_ms: u64) {
        if let Some(voters) = self.next_membership(now) {
            let names: Vec<&str> = voters.iter().map(|voter| voter.name.as_str()).collect();
            log::info!("the voters become {}", names.join(", "));
            self.append_own(time_ms, Payload::Members(Rc::new(voters)));
        }
    }
}
