//! Discovery of other replicas and the tasks for each of them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::Readiness;

use super::core::ReplicaRole;
use super::{PeerReplica, Replica, wait_for_event};
use crate::directory::ReplicaState;

/// Interval between updates of the known replicas from the directory.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a replica is removed that nobody has named since, unless the settings name it or it is a voter.
const PEER_LIFETIME: Duration = Duration::from_secs(60);

/// Known other replica.
pub(super) struct KnownPeer {
    peer: PeerReplica,
    /// When it or another replica last named it.
    named_at: Instant,
    /// Whether it has been removed, so that its tasks end.
    ///
    /// They are not cancelled, as they may be writing a term.
    removed: Rc<Cell<bool>>,
}

impl Replica {
    /// Returns the other replicas that are currently known.
    pub(super) fn peers(&self) -> Vec<PeerReplica> {
        let peers = self.peers.borrow();
        peers.iter().map(|known| known.peer.clone()).collect()
    }

    /// Adds a replica whose name is its mesh address, unless it is already known.
    ///
    /// A replica whose name is not an address can be reached only if the settings give its address.
    pub fn add_peer(self: &Rc<Self>, name: &str) {
        if name == self.cfg.name {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.iter_mut().find(|known| known.peer.name == name) {
            known.named_at = Instant::now();
            return;
        }
        drop(peers);
        if let Ok(addr) = name.parse::<SocketAddr>() {
            log::info!("adding control replica {name}");
            self.start_peer(PeerReplica {
                name: name.to_string(),
                addr,
            });
        }
    }

    /// Adds a replica and starts its heartbeat and replication tasks.
    pub(super) fn start_peer(self: &Rc<Self>, peer: PeerReplica) {
        let removed = Rc::new(Cell::new(false));
        let heartbeats = self.clone().run_heartbeats(peer.clone(), removed.clone());
        let replication = self.clone().run_replication(peer.clone(), removed.clone());
        compio::runtime::spawn(heartbeats).detach();
        compio::runtime::spawn(replication).detach();
        self.peers.borrow_mut().push(KnownPeer {
            peer,
            named_at: Instant::now(),
            removed,
        });
    }

    /// Adds the voters of each new membership and the replicas in the directory to the known replicas, and removes those that
    /// are neither.
    pub(super) async fn run_peers(self: Rc<Self>) {
        let mut known = 0;
        let mut updated_at: Option<Instant> = None;
        loop {
            let changed = self.changed.listen();
            let now = Instant::now();
            let membership = self.core.borrow().log.membership().index;
            let is_due =
                updated_at.is_none_or(|at| now.saturating_duration_since(at) >= UPDATE_INTERVAL);
            if membership != known || is_due {
                known = membership;
                updated_at = Some(now);
                self.update_peers();
            }
            wait_for_event(changed, UPDATE_INTERVAL).await;
        }
    }

    pub(super) fn update_peers(self: &Rc<Self>) {
        let membership = self.core.borrow().log.membership().clone();
        for voter in membership.voters.iter() {
            self.add_peer(&voter.name);
        }
        let Some(directory) = &self.directory else {
            return;
        };
        for addr in directory.replicas() {
            self.add_peer(&addr.to_string());
        }
        let is_voter = |peer: &PeerReplica| membership.voters.iter().any(|v| v.name == peer.name);
        let now = Instant::now();
        self.peers.borrow_mut().retain(|known| {
            let peer = &known.peer;
            let is_recent = now.saturating_duration_since(known.named_at) < PEER_LIFETIME;
            let holds_no_replica = directory.holds_no_replica(peer.addr);
            let is_configured = self.cfg.peers.contains(peer);
            let is_kept = is_voter(peer) || (!holds_no_replica && (is_configured || is_recent));
            if !is_kept {
                log::info!("removing control replica {}, which is no voter", peer.name);
                known.removed.set(true);
            }
            is_kept
        });
    }

    /// Returns what this replica knows of its cluster.
    pub(crate) fn replica_state(&self, now: Instant) -> ReplicaState {
        let core = self.core.borrow();
        let membership = core.log.membership();
        let is_led = match core.role {
            ReplicaRole::Leader(_) => core.is_leader(now),
            _ => core.has_leader(now),
        };
        let readiness = match core.caught_up && core.storage_error.is_none() {
            true if is_led => Readiness::Ready,
            true => Readiness::CaughtUp,
            false => Readiness::Unready,
        };
        ReplicaState {
            readiness,
            is_voter: core.is_voter(),
            membership: membership.index,
            voters: membership.voters.to_vec(),
        }
    }
}
