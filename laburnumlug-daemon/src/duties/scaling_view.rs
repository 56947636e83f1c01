//! What the leader sees of the targets that it orders, by service and zone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use laburnumlug::{
    FleetDocument, FleetVersion, Scaling, ServiceKind, ServiceName, TargetList, ZoneName,
};
use laburnumlug_control::{FleetSnapshot, LoggedOrder};
use laburnumlug_policy::{Demand, DemandMeter, StandingOrder, ZoneTargets};

/// Time that a target that leaves needs at most, if no route to its service states a timeout.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(30);

/// Service whose targets are ordered.
#[derive(Clone, Debug)]
pub(super) struct ScaledService {
    pub(super) name: ServiceName,
    pub(super) scaling: Scaling,
    /// Longest time until an answer of the service is complete.
    pub(super) drain_time: Duration,
    /// Whether gateways measure the demand for the targets, which they do for engines only.
    is_measured: bool,
}

impl ScaledService {
    /// Returns the demand for the targets; a service whose demand is not measured must not count as idle.
    pub(super) fn demand(&self, now: Instant, meter: &DemandMeter) -> Demand {
        match self.is_measured {
            true => meter.recent_demand(now, &self.name),
            false => Demand::Unknown,
        }
    }
}

/// Services whose targets are ordered, by the fleet document of one version.
#[derive(Debug, Default)]
pub(super) struct ScaledServices {
    version: FleetVersion,
    services: Vec<ScaledService>,
}

impl ScaledServices {
    /// Returns the services of a document, which is parsed once for each version.
    pub(super) fn update(&mut self, fleet: &FleetSnapshot) -> &[ScaledService] {
        if self.version != fleet.version {
            self.version = fleet.version;
            self.services = match serde_json::from_str(&fleet.document) {
                Ok(document) => scaled_services(&document),
                Err(err) => {
                    log::error!("cannot read the fleet document, ordering no targets: {err}");
                    Vec::new()
                }
            };
        }
        &self.services
    }
}

fn scaled_services(document: &FleetDocument) -> Vec<ScaledService> {
    let services = document.services.iter().filter_map(|service| {
        let routes = document.routes.iter();
        let timeouts = routes
            .filter(|route| {
                route
                    .shares
                    .iter()
                    .any(|share| share.service == service.name)
            })
            .map(|route| Duration::from_millis(route.timeout_ms.get()));
        Some(ScaledService {
            name: service.name.clone(),
            scaling: service.scaling.clone()?,
            drain_time: timeouts.max().unwrap_or(DEFAULT_DRAIN_TIME),
            is_measured: service.kind == ServiceKind::Engine,
        })
    });
    services.collect()
}

/// Times of the logged orders by the clock of this process, which does not jump.
#[derive(Debug, Default)]
pub(super) struct OrderTimes {
    /// Time of the change and of the order, by number and whether the order was accepted.
    times: HashMap<(u64, bool), (Instant, Instant)>,
}

impl OrderTimes {
    /// Removes the times of orders that were replaced.
    pub(super) fn retain_orders<'a, O>(&mut self, orders: O)
    where
        O: Iterator<Item = &'a LoggedOrder>,
    {
        let keys: HashSet<(u64, bool)> = orders
            .map(|order| (order.number, order.is_accepted))
            .collect();
        self.times.retain(|key, _| keys.contains(key));
    }

    /// Returns the form of an order for the policy. The ages of orders of earlier leaders are by the wall clock.
    fn standing(&mut self, now: Instant, order: &LoggedOrder) -> StandingOrder {
        let key = (order.number, order.is_accepted);
        let (changed_at, ordered_at) = *self.times.entry(key).or_insert_with(|| {
            (
                instant_of(now, order.changed_ms),
                instant_of(now, order.ordered_ms),
            )
        });
        StandingOrder {
            desired: order.desired,
            is_lowering: order.is_lowering,
            changed_at,
            // Targets do not start before the order is accepted.
            ordered_at: if order.is_accepted { ordered_at } else { now },
        }
    }
}

/// Returns the time of `now` less the age of `unix_ms`; `now` for times in the future.
fn instant_of(now: Instant, unix_ms: u64) -> Instant {
    let at = UNIX_EPOCH + Duration::from_millis(unix_ms);
    let age = SystemTime::now().duration_since(at).unwrap_or_default();
    now.checked_sub(age).unwrap_or(now)
}

/// Returns the targets of a service in each zone that is listed with one, or that was ordered before.
pub(super) fn zone_targets(
    now: Instant,
    service: &str,
    list: &TargetList,
    orders: Option<&BTreeMap<ZoneName, LoggedOrder>>,
    times: &mut OrderTimes,
) -> Vec<ZoneTargets> {
    let rows = || list.targets.iter().filter(|row| row.service == service);
    let mut zones: BTreeSet<&ZoneName> = rows().map(|row| &row.zone).collect();
    zones.extend(orders.into_iter().flat_map(BTreeMap::keys));
    let targets = zones.into_iter().map(|zone| {
        let count = |leaving: bool| {
            let rows = rows().filter(|row| row.zone == *zone && row.leaving == leaving);
            rows.count() as u32
        };
        let order = orders.and_then(|orders| orders.get(zone));
        ZoneTargets {
            zone: zone.clone(),
            present: count(false),
            leaving: count(true),
            order: order.map(|order| times.standing(now, order)),
        }
    });
    targets.collect()
}

#[cfg(test)]
#[path = "scaling_view_tests.rs"]
mod tests;
