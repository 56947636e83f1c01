//! Messages between gateways.

use std::net::SocketAddr;

use laburnumlug::EngineEvent;
use serde::{Deserialize, Serialize};

/// Message from one gateway to another.
///
/// There are no responses. Only [`GatewayMessage::Alive`] is sent by the gateway that accepted the connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GatewayMessage {
    /// First message on a connection.
    Hello {
        /// Id of the sender, different after each restart of the same gateway.
        sender: u64,
        /// Number of the sender's session, which increases with each connection that it opens.
        #[serde(default)]
        session: u64,
        /// Whether the receiver is to forward the events to the other gateways of its availability zone, and to send
        /// [`GatewayMessage::Alive`] while the connection is open.
        #[serde(default)]
        forwards: bool,
        /// Mesh addresses of control replicas that have recently answered the sender.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        control: Vec<SocketAddr>,
    },
    /// Engine events of the sender, oldest first.
    Engines(Vec<EngineEvent>),
    /// Engine events of the sender, oldest first, and events that it forwards.
    EnginesAndForwarded {
        /// Events of the sender.
        events: Vec<EngineEvent>,
        /// Forwarded events of other gateways; several entries of one gateway are in order.
        forwarded: Vec<ForwardedEvents>,
    },
    /// Keepalive of a gateway that forwards the events of the receiver.
    Alive,
}

/// Engine events of a gateway in another availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedEvents {
    /// Id of the gateway.
    pub sender: u64,
    /// Number of its session.
    pub session: u64,
    /// What happened in the session.
    pub change: SessionChange,
}

/// Change of a gateway's session.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SessionChange {
    /// The session starts. The events describe the complete state of the sender and replace any previous state.
    Begun(Vec<EngineEvent>),
    /// Further events of the session, oldest first.
    Continued(Vec<EngineEvent>),
    /// The session ended because the connection of its sender was closed.
    Ended,
}

#[cfg(test)]
#[path = "gateway_message_tests.rs"]
mod tests;
