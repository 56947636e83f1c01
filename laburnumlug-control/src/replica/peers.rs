//! Discovery of other replicas and the tasks for each of them.

use std::net::SocketAddr;
use std::rc::Rc;

use super::{PeerReplica, Replica};

impl Replica {
    /// Returns the other replicas that are currently known.
    pub(super) fn peers(&self) -> Vec<PeerReplica> {
        self.peers.borrow().clone()
    }

    /// Adds a replica whose name is its mesh address, unless it is already known.
    ///
    /// A replica whose name is not an address can be reached only if the settings give its address.
    pub fn add_peer(self: &Rc<Self>, name: &str) {
        let is_known = name == self.cfg.name || self.peers.borrow().iter().any(|p| p.name == name);
        match name.parse::<SocketAddr>() {
            Ok(addr) if !is_known => {
                log::info!("adding control replica {name}, which the settings do not list");
                self.start_peer(PeerReplica {
                    name: name.to_string(),
                    addr,
                });
            }
            _ => {}
        }
    }

    /// Adds a replica and starts its heartbeat and replication tasks.
    pub(super) fn start_peer(self: &Rc<Self>, peer: PeerReplica) {
        self.peers.borrow_mut().push(peer.clone());
        compio::runtime::spawn(self.clone().run_heartbeats(peer.clone())).detach();
        compio::runtime::spawn(self.clone().run_replication(peer)).detach();
    }

    /// Adds the voters of each new membership to the known replicas.
    pub(super) async fn run_peers(self: Rc<Self>) {
        let mut known = 0;
        loop {
            let changed = self.changed.listen();
            let membership = self.core.borrow().log.membership().clone();
            if membership.index != known {
                known = membership.index;
                for voter in membership.voters.iter() {
                    self.add_peer(&voter.name);
                }
            }
            changed.await;
        }
    }
}
