//! Peers that sent data on idle connections or answers to other requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long connections to a peer are not reused after it sent unexpected data. A new connection costs a round trip of
/// about a millisecond, while a late copy of an answer on a reused connection costs a request.
const NO_REUSE_TIME: Duration = Duration::from_secs(60);

/// Maximum number of peers that are remembered.
const MAX_PEERS: usize = 1024;

/// Remembers which peers recently sent data that answered no request.
#[derive(Debug, Default)]
pub(crate) struct UnexpectedData {
    peers: RefCell<HashMap<SocketAddr, Instant>>,
}

impl UnexpectedData {
    /// Records that a peer sent unexpected data.
    pub(crate) fn record(&self, now: Instant, peer: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, at| now.saturating_duration_since(*at) < NO_REUSE_TIME);
        if peers.len() >= MAX_PEERS {
            return;
        }
        if peers.insert(peer, now).is_none() {
            log::warn!(
                peer = peer.to_string().as_str();
                "the peer sent data that answers no request: connections to it are not reused for {} s",
                NO_REUSE_TIME.as_secs()
            );
        }
    }

    /// Returns whether a peer sent unexpected data within the last [`NO_REUSE_TIME`].
    pub(crate) fn is_recent(&self, now: Instant, peer: SocketAddr) -> bool {
        let peers = self.peers.borrow();
        let at = peers.get(&peer);
        at.is_some_and(|at| now.saturating_duration_since(*at) < NO_REUSE_TIME)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_recent_expires() {
        let (now, data) = (Instant::now(), UnexpectedData::default());
        let peer = SocketAddr::from(([10, 0, 0, 1], 80));
        data.record(now, peer);
        assert!(data.is_recent(now + NO_REUSE_TIME / 2, peer));
        assert!(!data.is_recent(now + NO_REUSE_TIME, peer));
        assert!(!data.is_recent(now, SocketAddr::from(([10, 0, 0, 2], 80))));
    }
}
