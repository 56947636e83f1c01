//! What control processes report of themselves and of each other.

use std::net::SocketAddr;

use laburnumlug::ReplicaId;
use serde::{Deserialize, Serialize};

/// Control process, with or without a replica of the control log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlContact {
    /// Address of its mesh listener.
    pub mesh: SocketAddr,
    /// Address on which it accepts connections from operators.
    pub operators: SocketAddr,
    /// Whether it holds a replica.
    pub holds_replica: bool,
}

/// Control process as another one reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedContact {
    /// The control process.
    pub contact: ControlContact,
    /// Time since a message of it was received by any process, in milliseconds.
    pub age_ms: u64,
}

/// How well a control process can answer operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Readiness {
    /// It holds no replica, or one that does not know yet what is in force.
    Unready,
    /// Its replica has caught up, but is in contact with no leader: a majority can confirm reads, and changes wait.
    CaughtUp,
    /// Its replica has caught up and is in contact with a leader.
    Ready,
}

/// Answer of a control process that is asked which others it knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryReport {
    /// The process that answers.
    pub own: ControlContact,
    /// How well it can answer operators now.
    pub readiness: Readiness,
    /// Index of the newest membership that it knows; 0 for none.
    pub membership: u64,
    /// Voters of that membership.
    pub voters: Vec<ReplicaId>,
    /// Some of the other control processes that it knows.
    pub others: Vec<ReportedContact>,
}
