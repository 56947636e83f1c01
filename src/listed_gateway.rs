//! Gateways as control replicas list them.

use std::net::SocketAddr;

use crate::id::ZoneName;

/// A recently active gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedGateway {
    /// Address at which it receives events from other gateways.
    pub addr: SocketAddr,
    /// Availability zone, or `None` if it is unknown because the gateway runs an earlier version.
    pub zone: Option<ZoneName>,
}
