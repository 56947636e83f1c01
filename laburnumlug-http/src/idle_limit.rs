//! Estimate of how long a connection may be idle and still be reused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a sample counts.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// Distinct peers that must have closed idle connections before the limit applies; a single one may have restarted.
const MIN_PEERS: usize = 2;

/// Fraction of the shortest idle time that proved too long that is still considered safe.
const SAFE_FRACTION: f64 = 0.5;

/// Shortest idle time that can explain a stale connection.
const MIN_IDLE: Duration = Duration::from_millis(50);

/// Maximum number of samples, and of stale connections that wait for confirmation.
const MAX_SAMPLES: usize = 64;

/// Estimates from stale connections how long peers, or middleboxes in front of them, keep idle connections open.
///
/// Peers may drop idle connections without notice and earlier than their `Keep-Alive` header states. A request sent on
/// such a connection is lost, which costs far more than a new connection. So once several peers have done this, the
/// limit applies to all peers.
///
/// A peer that also breaks new connections yields no sample.
#[derive(Debug, Default)]
pub(crate) struct IdleLimit {
    /// Idle time of the last stale connection of each peer, until the first exchange on a new connection to it
    /// confirms or refutes the idle time as the cause.
    unconfirmed: HashMap<SocketAddr, Duration>,
    /// Confirmed stale connections: time of the confirmation, peer and idle time.
    samples: Vec<(Instant, SocketAddr, Duration)>,
}

impl IdleLimit {
    /// Records that a request got no response on a connection that was reused after `idle_for`.
    pub(crate) fn record_stale_reuse(&mut self, peer: SocketAddr, idle_for: Duration) {
        if idle_for >= MIN_IDLE && self.unconfirmed.len() < MAX_SAMPLES {
            self.unconfirmed.insert(peer, idle_for);
        }
    }

    /// Records whether the first request on a new connection was answered.
    pub(crate) fn record_new_connection(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        is_answered: bool,
    ) {
        self.samples
            .retain(|(at, _, _)| now.saturating_duration_since(*at) < SAMPLE_TTL);
        if let Some(idle_for) = self.unconfirmed.remove(&peer)
            && is_answered
            && self.samples.len() < MAX_SAMPLES
        {
            self.samples.push((now, peer, idle_for));
        }
    }

    /// Returns the longest idle time after which a connection may be reused, or `None` if there is no limit.
    pub(crate) fn max_idle(&self, now: Instant) -> Option<Duration> {
        let recent = || {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < SAMPLE_TTL;
            self.samples
                .iter()
                .filter(move |sample| is_recent(sample.0))
        };
        let mut peers: Vec<SocketAddr> = recent().map(|sample| sample.1).collect();
        peers.sort_unstable();
        peers.dedup();
        let shortest = recent().map(|sample| sample.2).min()?;
        (peers.len() >= MIN_PEERS).then(|| shortest.mul_f64(SAFE_FRACTION))
    }
}

#[cfg(test)]
#[path = "idle_limit_tests.rs"]
mod tests;
