//! Targets as the platform's list shows them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::generated::Role;
use crate::id::{ServiceName, TargetName, ZoneName};

/// A running target that was found by discovery.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveTarget {
    /// Identity of this life of the target; another start has another one in most cases.
    pub instance: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is going to stop and gets no new work.
    pub leaving: bool,
    /// Whether its role is being changed, so that it gets no new work.
    #[serde(default)]
    pub changing: bool,
    /// Which part of the work an engine does; `None` for plain servers.
    pub role: Option<Role>,
}

/// All live targets at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetList {
    /// The targets, in any order.
    pub targets: Vec<LiveTarget>,
}
