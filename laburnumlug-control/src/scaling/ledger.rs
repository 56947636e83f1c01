//! Replicated state of the numbers of targets that are ordered.

use std::collections::BTreeMap;

use laburnumlug::{FleetDocument, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Decision to order a number of targets of a service in a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the zone.
    pub zone: ZoneName,
    /// Number of the order that was the last one when this was decided; 0 if there was none.
    pub replaces: u64,
    /// Number of targets.
    pub desired: u32,
    /// Number of targets that was in force before; the same if targets failed to start and are ordered again.
    pub previous: u32,
    /// Reason for the order.
    pub reason: String,
}

/// Last order of a service and zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedOrder {
    /// Number of the order, in ascending order over all services.
    pub number: u64,
    /// Number of targets.
    pub desired: u32,
    /// Whether the number of targets was lowered when it last changed.
    pub is_lowering: bool,
    /// Reason for the order.
    pub reason: String,
    /// Unix time in milliseconds at which the number of targets changed; that of the acceptance, once it is known.
    pub changed_ms: u64,
    /// Unix time in milliseconds of the order; that of the acceptance, once it is known.
    pub ordered_ms: u64,
    /// Whether the order is known to have been accepted.
    pub is_accepted: bool,
}

/// Last orders of all services and zones.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct ServerLedger {
    last_number: u64,
    orders: BTreeMap<ServiceName, BTreeMap<ZoneName, LoggedOrder>>,
}

impl ServerLedger {
    /// Records an order; returns `false` if it was decided before the last one was known.
    pub(crate) fn order(&mut self, time_ms: u64, change: ServerChange) -> bool {
        let zones = self.orders.entry(change.service).or_default();
        let last = zones.get(&change.zone);
        if last.map_or(0, |last| last.number) != change.replaces {
            return false;
        }
        let repeated = last.filter(|_| change.desired == change.previous);
        self.last_number += 1;
        let order = LoggedOrder {
            number: self.last_number,
            desired: change.desired,
            is_lowering: repeated.map_or(change.desired < change.previous, |last| last.is_lowering),
            reason: change.reason,
            changed_ms: repeated.map_or(time_ms, |last| last.changed_ms),
            ordered_ms: time_ms,
            is_accepted: false,
        };
        zones.insert(change.zone, order);
        true
    }

    /// Records that an order was accepted; returns whether it is the last one and was waiting for that.
    pub(crate) fn acknowledge(&mut self, time_ms: u64, number: u64) -> bool {
        let mut orders = self.orders.values_mut().flat_map(BTreeMap::values_mut);
        let Some(order) = orders.find(|order| order.number == number && !order.is_accepted) else {
            return false;
        };
        // A target starts once the order is accepted, which may be late.
        if order.changed_ms == order.ordered_ms {
            order.changed_ms = time_ms;
        }
        order.ordered_ms = time_ms;
        order.is_accepted = true;
        true
    }

    /// Removes the orders of services that are not ordered by this document.
    pub(crate) fn apply_document(&mut self, document: &FleetDocument) {
        self.orders.retain(|name, _| {
            let mut services = document.services.iter();
            services.any(|service| service.name == *name && service.scaling.is_some())
        });
    }

    /// Returns the last orders by service and zone.
    pub(crate) fn orders(&self) -> &BTreeMap<ServiceName, BTreeMap<ZoneName, LoggedOrder>> {
        &self.orders
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
