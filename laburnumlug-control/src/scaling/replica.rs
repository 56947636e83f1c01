//! Orders of targets at one replica, and what it sees of them as the leader.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use laburnumlug::{ServiceName, ZoneName};
use serde_json::{Value, json};

use super::LoggedOrder;
use crate::replica::Replica;

/// Targets of a service in a zone, as the leader sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the zone.
    pub zone: ZoneName,
    /// Number of listed targets that are not leaving.
    pub present: u32,
    /// Number of targets that were ordered and are not listed.
    pub starting: u32,
}

/// What this replica has ordered since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ScalingTotals {
    /// Number of orders of this replica that were accepted.
    pub accepted: u64,
    /// Number of calls that are not known to have been accepted.
    pub failed: u64,
}

/// Status and totals of one replica that orders targets.
#[derive(Default)]
pub(crate) struct Scaling {
    servers: RefCell<Vec<ServerStatus>>,
    totals: Cell<ScalingTotals>,
}

impl Replica {
    /// Returns the last order of each service and zone.
    pub fn server_orders(&self) -> BTreeMap<ServiceName, BTreeMap<ZoneName, LoggedOrder>> {
        self.with_state(|state| state.servers().orders().clone())
    }

    /// Returns the numbers of the orders that are not known to have been accepted, in ascending order.
    pub fn pending_server_orders(&self) -> Vec<u64> {
        self.with_state(|state| {
            let orders = state.servers().orders().values().flat_map(BTreeMap::values);
            let pending = orders.filter(|order| !order.is_accepted);
            let mut numbers: Vec<u64> = pending.map(|order| order.number).collect();
            numbers.sort_unstable();
            numbers
        })
    }

    /// Sets what this replica sees of the targets that it orders; empty while it does not lead.
    pub fn set_server_status(&self, servers: Vec<ServerStatus>) {
        if let Some(scaling) = self.scaling() {
            *scaling.servers.borrow_mut() = servers;
        }
    }

    /// Returns what this replica sees of the targets that it orders.
    pub fn server_status(&self) -> Vec<ServerStatus> {
        let scaling = self.scaling();
        scaling.map_or(Vec::new(), |scaling| scaling.servers.borrow().clone())
    }

    /// Records whether an order of this replica is known to have been accepted.
    pub fn record_server_order(&self, is_accepted: bool) {
        if let Some(scaling) = self.scaling() {
            let mut totals = scaling.totals.get();
            match is_accepted {
                true => totals.accepted += 1,
                false => totals.failed += 1,
            }
            scaling.totals.set(totals);
        }
    }

    /// Returns what this replica has ordered since its start, or `None` if it orders no targets.
    pub fn scaling_totals(&self) -> Option<ScalingTotals> {
        Some(self.scaling()?.totals.get())
    }

    /// Returns the ordered targets as the operator interface shows them, or `Null` if none are ordered.
    pub(crate) fn servers_json(&self) -> Value {
        if self.scaling().is_none() {
            return Value::Null;
        }
        let orders = self.server_orders();
        let row = |status: &ServerStatus| {
            let order = orders
                .get(&status.service)
                .and_then(|z| z.get(&status.zone));
            json!({
                "service": status.service,
                "zone": status.zone,
                "present": status.present,
                "starting": status.starting,
                "ordered": order.map(|order| order.desired),
                "reason": order.map(|order| order.reason.as_str()),
                "ordered_ms": order.map(|order| order.ordered_ms),
                "is_accepted": order.map(|order| order.is_accepted),
            })
        };
        self.server_status().iter().map(row).collect()
    }
}
