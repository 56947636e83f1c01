//! What a control process knows of others, for logs and metrics.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// What a control process knows of others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryStatus {
    /// Number of known replicas.
    pub replicas: usize,
    /// Number of known processes of which this one has received a message itself.
    pub direct: usize,
    /// Number of known processes of which only others have reported.
    pub reported: usize,
    /// Index of the newest membership that is known; 0 for none.
    pub membership: u64,
    /// Time since a replica that was ready last answered, or since the start.
    pub time_without_replica: Duration,
    /// The other processes that the settings name.
    pub seeds: Vec<SeedStatus>,
}

/// What a control process knows of one that its settings name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeedStatus {
    /// Address of its mesh listener.
    pub addr: SocketAddr,
    /// Time since the last message of it; `None` if there was none.
    pub silent_for: Option<Duration>,
    /// Whether it holds a replica; `None` if neither it nor others have stated that.
    pub holds_replica: Option<bool>,
}

impl fmt::Display for SeedStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.holds_replica {
            Some(true) => "replica",
            Some(false) => "no replica",
            None => "unknown",
        };
        match self.silent_for {
            Some(time) => write!(f, "{} ({kind}, {} s ago)", self.addr, time.as_secs()),
            None => write!(f, "{} ({kind}, no message)", self.addr),
        }
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
