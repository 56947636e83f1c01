//! Selects the connections over which gateways exchange engine events, and tracks the current session of each sender.

use std::collections::HashMap;
use std::net::SocketAddr;

use laburnumlug::{ListedGateway, ZoneName};

use crate::rendezvous::rendezvous_rank;

/// Maximum number of other gateways to which a gateway sends all its events directly.
pub const MAX_DIRECT_PEERS: usize = 12;

/// Number of gateways that send cached prompts to a newly connected gateway; several, as one of them may be stopping.
const CACHE_CONTENTS_SENDERS: usize = 3;

/// A connection over which a gateway sends its events to another one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ExchangeLink {
    /// Address of the other gateway.
    pub addr: SocketAddr,
    /// Whether the other gateway forwards the events to the gateways of its availability zone.
    pub forwards: bool,
    /// Whether the other gateway is in the availability zone of this one, and so gets the events that this one forwards.
    pub is_same_zone: bool,
}

/// Selects the connections over which the gateway `own` sends its events.
///
/// Up to a number of gateways, there is a direct connection to each of the others. In a larger fleet, there are direct
/// connections to the gateways of the same zone, and one connection to a forwarder in each other zone, which relays the
/// events to the gateways of its zone. Each event is thus sent to each zone once, and the number of connections grows
/// with the size of a zone, not of the fleet.
///
/// Rendezvous hashing balances the senders over the gateways of a zone. A gateway for which `is_usable` returns false is
/// selected as a forwarder only if its whole zone is unusable. Gateways whose zone is unknown run an earlier version that
/// does not forward, so they are connected directly.
pub fn select_exchange_links<F>(
    own: SocketAddr,
    own_zone: &str,
    gateways: &[ListedGateway],
    is_usable: F,
) -> Vec<ExchangeLink>
where
    F: Fn(SocketAddr) -> bool,
{
    let others: Vec<&ListedGateway> = gateways.iter().filter(|other| other.addr != own).collect();
    let is_direct = |zone: &Option<ZoneName>| {
        others.len() <= MAX_DIRECT_PEERS || zone.as_ref().is_none_or(|zone| zone == own_zone)
    };
    let mut links: Vec<ExchangeLink> = others
        .iter()
        .filter(|other| is_direct(&other.zone))
        .map(|other| ExchangeLink {
            addr: other.addr,
            forwards: false,
            is_same_zone: other.zone.as_ref().is_some_and(|zone| zone == own_zone),
        })
        .collect();
    let mut zones: HashMap<&str, Vec<SocketAddr>> = HashMap::new();
    for other in others.iter().filter(|other| !is_direct(&other.zone)) {
        let zone = other.zone.as_deref().unwrap_or_default();
        zones.entry(zone).or_default().push(other.addr);
    }
    let sender = own.to_string();
    let forwarders = zones.into_values().filter_map(|members| {
        let usable = members.iter().copied().filter(|addr| is_usable(*addr));
        let usable: Vec<SocketAddr> = usable.collect();
        let candidates = match usable.is_empty() {
            true => members,
            false => usable,
        };
        let is_first = |addr: &SocketAddr| rendezvous_rank(&sender, addr, &candidates) == 0;
        candidates.iter().copied().find(is_first)
    });
    links.extend(forwarders.map(|addr| ExchangeLink {
        addr,
        forwards: true,
        is_same_zone: false,
    }));
    links
}

/// Returns whether the gateway `own` sends the cached prompts of all engines when it connects to the gateway at `addr`.
///
/// The lists are large, so only a few of the gateways with a direct connection to `addr` send them.
pub fn sends_cache_contents(own: SocketAddr, addr: SocketAddr, gateways: &[ListedGateway]) -> bool {
    let find = |addr: SocketAddr| gateways.iter().find(|gateway| gateway.addr == addr);
    let zone = find(addr).and_then(|gateway| gateway.zone.as_ref());
    let is_small = gateways.len() <= MAX_DIRECT_PEERS + 1;
    let sends_directly = |gateway: &ListedGateway| {
        is_small || zone.is_none() || gateway.zone.is_none() || gateway.zone.as_ref() == zone
    };
    let others = gateways.iter().filter(|gateway| sends_directly(gateway));
    let others = others.map(|gateway| gateway.addr);
    let others: Vec<SocketAddr> = others
        .filter(|other| *other != own && *other != addr)
        .collect();
    find(own).is_none_or(sends_directly)
        && rendezvous_rank(&addr.to_string(), &own, &others) < CACHE_CONTENTS_SENDERS
}

/// Identifies a connection over which events arrive.
pub type PathId = u64;

/// Tracks the current session of each sender and the connection over which it arrives.
///
/// A sender that replaces a connection starts a session with a higher number, which begins with a snapshot of its state.
/// Events of earlier sessions may still arrive over other connections and must be ignored.
#[derive(Clone, Debug, Default)]
pub struct SenderSessions {
    current: HashMap<u64, (u64, PathId)>,
}

impl SenderSessions {
    /// Starts a session and returns true, or returns false if it is older than the current session of the sender.
    pub fn begin(&mut self, sender: u64, session: u64, path: PathId) -> bool {
        let is_outdated = self
            .current
            .get(&sender)
            .is_some_and(|(current, _)| session < *current);
        if !is_outdated {
            self.current.insert(sender, (session, path));
        }
        !is_outdated
    }

    /// Returns whether this is the current session of the sender and arrives over this connection.
    pub fn is_current(&self, sender: u64, session: u64, path: PathId) -> bool {
        self.current.get(&sender) == Some(&(session, path))
    }

    /// Ends a session and returns true, or returns false if it is not the current one.
    pub fn end(&mut self, sender: u64, session: u64, path: PathId) -> bool {
        let ends = self.is_current(sender, session, path);
        if ends {
            self.current.remove(&sender);
        }
        ends
    }

    /// Ends all sessions that arrive over a closed connection, and returns their senders.
    pub fn end_path(&mut self, path: PathId) -> Vec<u64> {
        let ended = self.current.iter().filter(|(_, (_, p))| *p == path);
        let ended: Vec<u64> = ended.map(|(sender, _)| *sender).collect();
        for sender in &ended {
            self.current.remove(sender);
        }
        ended
    }
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
