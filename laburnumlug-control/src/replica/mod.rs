//! Replica of the control log: leader election, log replication and reads confirmed by a majority.

mod backup;
mod bootstrap;
mod call;
mod compaction;
mod config;
mod core;
mod election;
mod follower;
mod leadership;
mod open;
mod peers;
mod read;
mod replication;
mod size_limits;
mod snapshot_transfer;
#[cfg(test)]
mod storage_tests;
mod submit;
mod targets;
mod voter_status;
mod writer;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use laburnumlug_mesh::{Message, NodeReport, OrderReport, Pool, Readiness, VotingStatus};
use laburnumlug_operator::{AuditFilter, AuditRecord};
use serde_json::Value;

pub use self::config::{PeerReplica, ReplicaConfig};
use self::core::Core;
use self::peers::KnownPeer;
use self::targets::{GatewayContact, PublishedTargets};
use self::voter_status::PeerAnswers;
pub use self::voter_status::{VoterContacts, VoterStatus};
use crate::command::Command;
use crate::directory::DirectoryService;
use crate::entry::Payload;
use crate::peer::{PeerAnswer, PeerRequest};
use crate::scaling::Scaling;
use crate::state::{FleetSnapshot, State};
use crate::storage::{Meta, MetaFile};
use crate::usage::{DutyHolder, Usage};

/// Timeout for connecting to another replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks whether a majority of the voters has confirmed this leader.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Replica of the control log.
pub struct Replica {
    cfg: ReplicaConfig,
    core: RefCell<Core>,
    /// Known other replicas, from the settings, the membership and their own requests.
    peers: RefCell<Vec<KnownPeer>>,
    /// Last answers of other replicas while this one is not a voter.
    peer_answers: RefCell<PeerAnswers>,
    /// Directory of all control processes; `None` if the settings name all replicas.
    directory: Option<Rc<DirectoryService>>,
    /// Latest target list that this replica has read from the platform.
    targets: RefCell<Option<PublishedTargets>>,
    /// Gateways that have requested the target list recently, by mesh address.
    gateways: RefCell<BTreeMap<SocketAddr, GatewayContact>>,
    /// Locked while the identity, term or vote changes, until the change is synced.
    meta: futures_util::lock::Mutex<MetaFile>,
    pool: Pool,
    /// Usage of customers; `None` if it is not reported.
    usage: Option<Usage>,
    /// Orders of targets; `None` if none are ordered.
    scaling: Option<Scaling>,
    /// Holder of the duties; `None` while this replica does not hold them.
    duty_holder: RefCell<Option<DutyHolder>>,
    /// Notified when a change in `core` may concern a waiting task.
    changed: Event,
    /// Lock that keeps other processes from using the data folder.
    _lock: std::fs::File,
}

impl Replica {
    /// Returns the fleet document in force.
    pub fn fleet(&self) -> FleetSnapshot {
        self.core.borrow().state.fleet().clone()
    }

    /// Returns the audit records that match `filter`, oldest first.
    pub fn audit(&self, filter: &AuditFilter) -> Vec<AuditRecord> {
        self.core.borrow().state.audit().select(filter)
    }

    /// Returns the latest report of each process, sorted by name.
    pub fn nodes(&self) -> Vec<NodeReport> {
        self.core.borrow().state.nodes()
    }

    /// Returns the latest report of an order to each target, sorted by name.
    pub fn orders(&self) -> Vec<OrderReport> {
        self.core.borrow().state.orders()
    }

    /// Returns the usage of customers, if it is reported.
    pub(crate) fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    /// Returns the orders of targets, if any are ordered.
    pub(crate) fn scaling(&self) -> Option<&Scaling> {
        self.scaling.as_ref()
    }

    /// Sets the holder of the duties; `None` while this replica does not hold them.
    pub fn set_duty_holder(&self, holder: Option<DutyHolder>) {
        *self.duty_holder.borrow_mut() = holder;
    }

    /// Returns the duties as the operator interface shows them, or `Null` if there are none.
    pub(crate) fn duties_json(&self, now: Instant) -> Value {
        if self.usage.is_none() && self.scaling.is_none() {
            return Value::Null;
        }
        let holder = self.duty_holder.borrow();
        let mut duties = self.usage_json();
        duties["held"] = holder.as_ref().map(|holder| holder.to_json(now)).into();
        duties["servers"] = self.servers_json();
        duties
    }

    /// Calls `read` with the committed state.
    pub(crate) fn with_state<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.core.borrow().state)
    }

    /// Returns the index of the newest logged entry, committed or not, whose command matches `concerns`.
    ///
    /// `applied` is the index of the newest such entry that is applied, which is returned if no later one is logged.
    pub(crate) fn logged_change<F>(&self, applied: u64, concerns: F) -> u64
    where
        F: Fn(&Command) -> bool,
    {
        let core = self.core.borrow();
        let matching = core.log.entries_from(core.applied_index + 1).filter(
            |entry| matches!(&entry.payload, Payload::Command(command) if concerns(command)),
        );
        matching.last().map_or(applied, |entry| entry.index)
    }

    /// Returns whether this replica is the leader and a majority of the voters has answered it recently.
    ///
    /// A replica whose process was suspended may still return `true` after another was elected; the entries that it
    /// appends then are never committed.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.core.borrow().is_leader(now)
    }

    /// Waits until a majority of the voters confirms, by answers to messages sent after the call began, that this
    /// replica leads in `term`; returns `false` if it does not within `timeout`.
    pub async fn confirm_leadership(&self, term: u64, timeout: Duration) -> bool {
        let since = Instant::now();
        let confirming = async {
            while !self.core.borrow().is_leader_since(term, since) {
                compio::time::sleep(LEADERSHIP_CHECK_INTERVAL).await;
            }
        };
        compio::time::timeout(timeout, confirming).await.is_ok()
    }

    /// Returns whether all entries committed before this process started are applied.
    ///
    /// Until then the committed state of this replica may be outdated.
    pub fn is_caught_up(&self) -> bool {
        self.core.borrow().caught_up
    }

    /// Returns the identity of this replica and whether its answers count towards a majority.
    pub fn voting_status(&self) -> VotingStatus {
        let core = self.core.borrow();
        let membership = core.log.membership();
        VotingStatus {
            replica: core.meta.replica.clone(),
            verified: core.is_voter(),
            membership: membership.index,
            voters: membership.voters.to_vec(),
        }
    }

    /// Returns the directory of all control processes, or `None` if the settings name all replicas.
    pub fn directory(&self) -> Option<&Rc<DirectoryService>> {
        self.directory.as_ref()
    }

    /// Returns how well this replica can answer operators.
    pub fn readiness(&self, now: Instant) -> Readiness {
        self.replica_state(now).readiness
    }

    /// Returns the name of the leader if this replica knows it.
    pub fn leader(&self) -> Option<String> {
        self.core.borrow().leader.clone()
    }

    /// Returns the term and the index of the last committed entry.
    pub fn term_and_commit_index(&self) -> (u64, u64) {
        let core = self.core.borrow();
        (core.meta.term, core.commit_index)
    }

    /// Handles a request of another replica; returns `None` if it must not be answered.
    pub(crate) async fn answer_peer(self: &Rc<Self>, body: &[u8]) -> Option<Message> {
        let req: PeerRequest = ciborium::from_reader(body).ok()?;
        let answer = match req {
            PeerRequest::Hello { from } => {
                self.add_peer(&from.name);
                PeerAnswer::Hello(self.hello_answer(&from))
            }
            PeerRequest::FleetLogState => PeerAnswer::FleetLogState(self.fleet_log_state()),
            PeerRequest::Bootstrap {
                cluster,
                initial_voters,
            } => {
                self.accept_bootstrap(cluster, initial_voters).await.ok()?;
                PeerAnswer::Bootstrapped
            }
            PeerRequest::Vote(req) => PeerAnswer::Vote(self.handle_vote(req).await?),
            PeerRequest::Heartbeat(header) => {
                PeerAnswer::Append(self.handle_heartbeat(header).await?)
            }
            PeerRequest::Append(req) => PeerAnswer::Append(self.handle_append(req).await?),
            PeerRequest::Install(req) => PeerAnswer::Append(self.handle_install(req).await?),
            PeerRequest::Submit { time_ms, command } => {
                self.submit_for_peer(time_ms, command).await
            }
        };
        Some(encode(&answer))
    }

    /// Writes and syncs a new identity, term or vote, and then puts it in force.
    async fn change_meta(&self, file: &MetaFile, meta: Meta) -> std::io::Result<()> {
        if self.core.borrow().storage_error.is_some() {
            return Err(std::io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match file.write(&meta).await {
            Ok(()) => {
                self.core.borrow_mut().meta = meta;
                Ok(())
            }
            Err(err) => {
                self.handle_storage_error(&err);
                Err(err)
            }
        }
    }

    /// Adopts a newer term that another replica reported and steps down.
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

    /// Stops voting and replicating after a disk error, until the writer has rewritten the files.
    fn handle_storage_error(&self, err: &std::io::Error) {
        log::error!(
            "cannot write the data folder, this replica stops voting and replicating until it can: {err}"
        );
        self.core.borrow_mut().storage_error = Some(err.to_string());
        self.step_down(Instant::now());
    }

    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Waits until `ready` returns `true`.
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
    ciborium::into_writer(message, &mut body).expect("serializing to a Vec should not fail");
    Message::Replica { body }
}

/// Waits for one event, at most for `timeout`.
async fn wait_for_event(event: EventListener, timeout: Duration) {
    let _ = compio::time::timeout(timeout, event).await;
}

pub(crate) fn unix_millis(now: std::time::SystemTime) -> u64 {
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
