//! How long a connection may have rested to be used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long what was learned from a dead connection holds.
const MEMORY: Duration = Duration::from_secs(30);

/// Peers that must have forgotten connections before this is taken for a habit; one alone may have restarted.
const MIN_PEERS: usize = 2;

/// Share of the shortest rest that was too long which is taken to be short enough.
const SAFE_SHARE: f64 = 0.5;

/// Shortest rest that can be blamed for a dead connection.
const MIN_REST: Duration = Duration::from_millis(50);

/// Most dead connections that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Learns from connections that were found dead how long the peers, or what stands before them, keep idle ones.
///
/// Peers may drop idle connections sooner than they state and without notice. What is then sent on them is lost, which
/// costs far more than a new connection, so all peers are taken to do what several were seen to do.
///
/// A peer that breaks new connections, too, tells nothing about rests.
#[derive(Debug, Default)]
pub(crate) struct RestLimit {
    /// Rest of the last connection of each peer that was found dead, until a new connection to it shows why.
    suspects: HashMap<SocketAddr, Duration>,
    /// When a connection was found dead, whose, and how long it had rested.
    dead: Vec<(Instant, SocketAddr, Duration)>,
}

impl RestLimit {
    /// Notes that nothing came back on a connection that was used again after `rested`.
    pub(crate) fn note_dead(&mut self, peer: SocketAddr, rested: Duration) {
        if rested >= MIN_REST && self.suspects.len() < MAX_REMEMBERED {
            self.suspects.insert(peer, rested);
        }
    }

    /// Notes how the first exchange on a new connection ended.
    pub(crate) fn note_new(&mut self, now: Instant, peer: SocketAddr, is_answered: bool) {
        self.dead
            .retain(|(at, _, _)| now.saturating_duration_since(*at) < MEMORY);
        if let Some(rested) = self.suspects.remove(&peer)
            && is_answered
            && self.dead.len() < MAX_REMEMBERED
        {
            self.dead.push((now, peer, rested));
        }
    }

    /// Returns the longest rest after which a connection is used again; `None` where there is no bound.
    pub(crate) fn longest(&self, now: Instant) -> Option<Duration> {
        let recent = || {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
            self.dead.iter().filter(move |dead| is_recent(dead.0))
        };
        let mut peers: Vec<SocketAddr> = recent().map(|dead| dead.1).collect();
        peers.sort_unstable();
        peers.dedup();
        let shortest = recent().map(|dead| dead.2).min()?;
        (peers.len() >= MIN_PEERS).then(|| shortest.mul_f64(SAFE_SHARE))
    }
}

#[cfg(test)]
#[path = "idle_limit_tests.rs"]
mod tests;
