//! Report of the live targets and the gateways, which control replicas send to nodes.

use std::net::SocketAddr;

use laburnumlug::{ListedGateway, SoftwareRecord, TargetList, ZoneName};
use serde::{Deserialize, Serialize};

/// List of live targets and its age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetsReport {
    /// Time since the replica requested the list from the platform, in milliseconds.
    pub age_ms: u64,
    /// Digest of the list.
    pub digest: u64,
    /// Addresses of the gateways that have requested the list recently.
    pub gateways: Vec<SocketAddr>,
    /// Availability zone of each of them, in the same order; empty from replicas of earlier versions.
    #[serde(default)]
    pub gateway_zones: Vec<Option<ZoneName>>,
    /// The list; `None` if the requester already holds it.
    pub list: Option<TargetList>,
    /// Software versions of each service that has run several; `None` from replicas of earlier versions.
    #[serde(default)]
    pub software: Option<Vec<SoftwareRecord>>,
}

impl TargetsReport {
    /// Returns the gateways with their zones.
    pub fn listed_gateways(&self) -> Vec<ListedGateway> {
        let zones = self.gateway_zones.iter().cloned();
        let gateways = self
            .gateways
            .iter()
            .zip(zones.chain(std::iter::repeat(None)));
        gateways
            .map(|(addr, zone)| ListedGateway { addr: *addr, zone })
            .collect()
    }
}
