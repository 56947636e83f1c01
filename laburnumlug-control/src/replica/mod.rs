//! One replica of the control log.

mod config;
mod core;
mod election;
mod follower;
mod leader;
mod leadership;
mod open;
mod peers;
mod read;
mod standing;
mod submit;
mod targets;
mod writer;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use laburnumlug_mesh::{Message, NodeReport, OrderReport, Pool, VotingStatus};
use laburnumlug_operator::{AuditFilter, AuditRecord};

pub use self::config::{PeerReplica, ReplicaConfig};
use self::core::Core;
use self::targets::PublishedTargets;
use crate::command::Command;
use crate::entry::Payload;
use crate::peer::{PeerAnswer, PeerRequest};
use crate::state::{FleetSnapshot, State};
use crate::storage::{Meta, MetaFile};

/// How long a connection to another replica may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How often a proof of leadership is looked for.
const PROOF_INTERVAL: Duration = Duration::from_millis(10);

/// One replica of the control log.
pub struct Replica {
    cfg: ReplicaConfig,
    core: RefCell<Core>,
    /// The other replicas that are known, from the settings, the membership and their own questions.
    peers: RefCell<Vec<PeerReplica>>,
    /// Live targets that this replica has read from the platform.
    targets: RefCell<Option<PublishedTargets>>,
    /// Gateways and when each asked last.
    gateways: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Held while identity, term or vote change, until the change is synced.
    meta: futures_util::lock::Mutex<MetaFile>,
    pool: Pool,
    /// Notified whenever something in `core` changes for which a task may wait.
    changed: Event,
    /// Keeps other processes from the data folder.
    _lock: std::fs::File,
}

/// Why another replica did not answer.
enum CallError {
    /// It has not seen the question.
    NotSent,
    /// It may have seen the question.
    NoAnswer,
}

impl Replica {
    /// Returns the fleet document in force.
    pub fn fleet(&self) -> FleetSnapshot {
        self.core.borrow().state.fleet().clone()
    }

    /// Returns the records of the audit trail that pass `filter`, oldest first.
    pub fn audit(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        self.core.borrow().state.audit().select(filter)
    }

    /// Returns the latest report of each process, by name.
    pub fn nodes(&self) -> Vec<NodeReport> {
        self.core.borrow().state.nodes()
    }

    /// Returns the latest report of an order to each target, by name.
    pub fn orders(&self) -> Vec<OrderReport> {
        self.core.borrow().state.orders()
    }

    /// Calls `read` with the committed state.
    pub(crate) fn with_state<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.core.borrow().state)
    }

    /// Returns the index of the newest logged entry, committed or not, that `concerns` a question whose newest
    /// committed entry is `applied`.
    pub(crate) fn logged_change<F>(&self, applied: u64, concerns: F) -> u64
    where
        F: Fn(&Command) -> bool,
    {
        let core = self.core.borrow();
        let concerned = core.log.from(core.applied + 1).filter(
            |entry| matches!(&entry.payload, Payload::Command(command) if concerns(command)),
        );
        concerned.last().map_or(applied, |entry| entry.index)
    }

    /// Returns whether this replica leads and a majority has answered it recently.
    ///
    /// A frozen leader may still believe so; what it logs then is never committed.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.core.borrow().is_leader(now)
    }

    /// Returns whether a majority confirms after the call began that this replica leads in `term`.
    pub async fn prove_leadership(&self, term: u64, timeout: Duration) -> bool {
        let asked_at = Instant::now();
        let proving = async {
            while !self.core.borrow().is_leader_since(term, asked_at) {
                compio::time::sleep(PROOF_INTERVAL).await;
            }
        };
        compio::time::timeout(timeout, proving).await.is_ok()
    }

    /// Returns whether all that was committed before this replica's process started is applied here.
    ///
    /// Until then the committed state that it shows may be an older one.
    pub fn is_caught_up(&self) -> bool {
        self.core.borrow().caught_up
    }

    /// Returns who answers and whether the answer counts towards a majority.
    pub fn standing(&self) -> VotingStatus {
        let core = self.core.borrow();
        let membership = core.log.membership();
        VotingStatus {
            replica: core.meta.replica.clone(),
            verified: core.is_voter(),
            membership: membership.index,
            voters: membership.voters.to_vec(),
        }
    }

    /// Returns the name of the leader, where this replica knows it.
    pub fn leader(&self) -> Option<String> {
        self.core.borrow().leader.clone()
    }

    /// Returns the term and the index of the last committed entry.
    pub fn progress(&self) -> (u64, u64) {
        let core = self.core.borrow();
        (core.meta.term, core.commit)
    }

    /// Answers another replica; `None` where it must get no answer.
    pub(crate) async fn answer_peer(self: &Rc<Self>, body: &[u8]) -> Option<Message> {
        let req: PeerRequest = ciborium::from_reader(body).ok()?;
        let answer = match req {
            PeerRequest::Hello { from } => {
                self.add_peer(&from.name);
                PeerAnswer::Hello(self.hello(&from))
            }
            PeerRequest::Standing => PeerAnswer::Standing(self.fleet_standing()),
            PeerRequest::Found { cluster, founders } => {
                self.accept_founding(cluster, founders).await.ok()?;
                PeerAnswer::Found
            }
            PeerRequest::Vote(req) => PeerAnswer::Vote(self.vote(req).await?),
            PeerRequest::Heartbeat(head) => PeerAnswer::Append(self.follow_heartbeat(head).await?),
            PeerRequest::Append(req) => PeerAnswer::Append(self.follow_append(req).await?),
            PeerRequest::Install(req) => PeerAnswer::Append(self.follow_install(req).await?),
            PeerRequest::Submit { time_ms, command } => {
                self.submit_for_peer(time_ms, command).await
            }
        };
        Some(encode(&answer))
    }

    /// Asks another replica.
    async fn call(
        &self,
        addr: SocketAddr,
        req: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, CallError> {
        let calling = async {
            let mut conn = self.pool.get(addr).await.map_err(|_| CallError::NotSent)?;
            let sent = conn.send("", &encode(req)).await;
            sent.map_err(|_| CallError::NoAnswer)?;
            match conn.recv().await {
                Ok((_, Message::Replica { body })) => {
                    self.pool.put(addr, conn);
                    ciborium::from_reader(body.as_slice()).map_err(|_| CallError::NoAnswer)
                }
                _ => Err(CallError::NoAnswer),
            }
        };
        match compio::time::timeout(timeout, calling).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoAnswer),
        }
    }

    /// Changes identity, term or vote; the change holds once it is synced.
    async fn change_meta(&self, file: &MetaFile, meta: Meta) -> std::io::Result<()> {
        if self.core.borrow().failed.is_some() {
            return Err(std::io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match file.write(&meta).await {
            Ok(()) => {
                self.core.borrow_mut().meta = meta;
                Ok(())
            }
            Err(err) => {
                self.fail(&err);
                Err(err)
            }
        }
    }

    /// Follows a newer term, of which another replica told.
    async fn observe_term(&self, term: u64) {
        let file = self.meta.lock().await;
        let mut meta = self.core.borrow().meta.clone();
        if term <= meta.term {
            return;
        }
        meta.term = term;
        meta.voted_for = None;
        if self.change_meta(&file, meta).await.is_ok() {
            self.step_down(Instant::now());
        }
    }

    fn step_down(&self, now: Instant) {
        self.core.borrow_mut().step_down(now);
        self.notify();
    }

    /// Stops writing after an error of the disk: what the files hold is not known any more.
    fn fail(&self, err: &std::io::Error) {
        log::error!("the data folder cannot be written, this replica takes no part: {err}");
        self.core.borrow_mut().failed = Some(err.to_string());
        self.step_down(Instant::now());
    }

    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Waits until `ready` holds.
    async fn wait_until<F>(&self, ready: F)
    where
        F: Fn(&Core) -> bool,
    {
        loop {
            let changed = self.changed.listen();
            if ready(&self.core.borrow()) {
                return;
            }
            changed.await;
        }
    }
}

fn encode<T>(message: &T) -> Message
where
    T: serde::Serialize,
{
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).expect("writing to memory does not fail");
    Message::Replica { body }
}

/// Waits for one event, at most for `time`.
async fn listen_for(event: EventListener, time: Duration) {
    let _ = compio::time::timeout(time, event).await;
}

fn unix_millis(now: std::time::SystemTime) -> u64 {
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
