//! Running targets as service discovery reports them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::generated::Role;
use crate::id::{ServiceName, SoftwareVersion, TargetName, ZoneName};

/// A running target found by service discovery.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveTarget {
    /// Id of this run of the target; in most cases a restart gets a new id.
    pub instance: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that accepts requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is draining before it stops, and so gets no new work.
    pub leaving: bool,
    /// Whether the target's role is being changed, and so it gets no new work.
    #[serde(default)]
    pub changing: bool,
    /// Inference phases that an engine serves; `None` for plain application servers.
    pub role: Option<Role>,
    /// Version of the software that the target runs, if discovery states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Snapshot of all live targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetList {
    /// The targets, in any order.
    pub targets: Vec<LiveTarget>,
}
