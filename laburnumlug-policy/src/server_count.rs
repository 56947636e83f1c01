//! Decides how many targets of a service are ordered in each availability zone.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use laburnumlug::{Scaling, ZoneName};

use crate::engine_demand::Demand;
use crate::server_forecast::WorkForecast;

/// Minimum start time that is assumed: the list of targets is read every 0.5 s and may lag.
const MIN_START_TIME: Duration = Duration::from_secs(5);

/// Minimum time for which the targets of a zone must stay the same before the first order. Targets appear one by one at startup
/// and during a release.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Number of start times after which a target that has not appeared counts as failed.
const START_TIMES_UNTIL_FAILED: u32 = 2;

/// Share of the present engines above which busy engines mean that callers are refused: work comes unevenly, and engines of
/// one phase do not serve the other.
const REFUSAL_USE: f64 = 0.9;

/// Last order of a number of targets in a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StandingOrder {
    /// Number of targets that was ordered.
    pub desired: u32,
    /// Whether the number was lowered when it last changed.
    pub is_lowering: bool,
    /// Time at which the number changed.
    pub changed_at: Instant,
    /// Time of the order; later than the change if targets failed to start and were ordered again.
    pub ordered_at: Instant,
}

/// Targets of a service in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneTargets {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Number of listed targets that are not leaving.
    pub present: u32,
    /// Number of listed targets that are leaving.
    pub leaving: u32,
    /// Last order, if there was one.
    pub order: Option<StandingOrder>,
}

impl ZoneTargets {
    /// Returns the number that was ordered last; without an order, that of the present targets.
    fn current(&self) -> u32 {
        self.order.map_or(self.present, |order| order.desired)
    }

    /// Returns the number of targets that were ordered and are not listed.
    pub fn missing(&self) -> u32 {
        self.current().saturating_sub(self.present)
    }
}

/// What the number of targets of a service depends on.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad<'a> {
    /// Bounds for each zone, and the start time of a target.
    pub scaling: &'a Scaling,
    /// Time that a leaving target needs for its running work.
    pub drain_time: Duration,
    /// Demand for the engines; unknown for other services.
    pub demand: &'a Demand,
    /// Number of gateways that report the demand.
    pub reporters: usize,
}

impl ServiceLoad<'_> {
    fn start_time(&self) -> Duration {
        Duration::from_millis(self.scaling.boot_ms).max(MIN_START_TIME)
    }

    /// Returns the time for which an order is not reversed.
    fn hold_time(&self) -> Duration {
        self.start_time() + self.drain_time
    }
}

/// Reason for an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReason {
    /// The fleet document allows no other number.
    Bounds,
    /// The service is expected to need this number of targets after the start time.
    Forecast(u32),
    /// Callers are refused; the service is expected to need this number of targets.
    Refusals(u32),
    /// The service has needed at most this number of targets since the last order could have been reversed.
    Surplus(u32),
    /// This number of targets has not appeared by twice the start time.
    FailedStart(u32),
}

impl fmt::Display for OrderReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderReason::Bounds => f.write_str("bounds of the fleet document"),
            OrderReason::Forecast(needed) => write!(f, "forecast: the service needs {needed}"),
            OrderReason::Refusals(needed) => {
                write!(f, "callers are refused: the service needs {needed}")
            }
            OrderReason::Surplus(needed) => write!(f, "surplus: the service needs {needed}"),
            OrderReason::FailedStart(missing) => write!(f, "{missing} did not appear in time"),
        }
    }
}

/// Order of a number of targets in one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Number of targets.
    pub desired: u32,
    /// Number that was in force before.
    pub previous: u32,
    /// Reason for the order.
    pub reason: OrderReason,
}

/// What was observed in one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneHistory {
    present: u32,
    /// Time since which the number of present targets is unchanged.
    unchanged_since: Instant,
    /// Highest number of present targets, at most that in force; fewer present ones were lost.
    peak: u32,
    /// Time since which targets are missing and none is leaving, whose successor may be on its way.
    missing_since: Option<Instant>,
    /// Number of missing targets that were due to appear long ago.
    failed: u32,
}

impl ZoneHistory {
    fn new(now: Instant, present: u32) -> ZoneHistory {
        ZoneHistory {
            present,
            unchanged_since: now,
            peak: present,
            missing_since: None,
            failed: 0,
        }
    }

    fn update(&mut self, now: Instant, targets: &ZoneTargets) {
        if self.present != targets.present {
            self.present = targets.present;
            self.unchanged_since = now;
        }
        self.peak = self.peak.max(self.present).min(targets.current());
        let is_missing = targets.missing() > 0 && targets.leaving == 0;
        self.missing_since = is_missing.then(|| self.missing_since.unwrap_or(now));
        self.failed = self.failed.min(targets.missing());
    }

    /// Returns the number of targets that were present and are not listed any more.
    fn lost(&self, targets: &ZoneTargets) -> u32 {
        self.peak.saturating_sub(self.present + targets.leaving)
    }

    fn condition(&self, targets: &ZoneTargets) -> ZoneCondition {
        let is_half = |count: u32| count > 0 && count * 2 >= targets.current();
        match (is_half(self.failed), is_half(self.lost(targets))) {
            (true, _) => ZoneCondition::Failing,
            (false, true) => ZoneCondition::Lossy,
            (false, false) if self.failed > 0 => ZoneCondition::Impaired,
            (false, false) => ZoneCondition::Good,
        }
    }

    /// Returns whether missing targets count as failed, so that the number is ordered again.
    fn is_overdue(&self, now: Instant, order: Option<StandingOrder>, start_time: Duration) -> bool {
        let (Some(since), Some(order)) = (self.missing_since, order) else {
            return false;
        };
        let waited = now.saturating_duration_since(since.max(order.ordered_at));
        waited >= start_time * START_TIMES_UNTIL_FAILED
    }
}

/// Number of targets of one service, with what the leader of the control log has observed about it.
///
/// The total follows the forecast; it is divided so that orders change as few zones as possible.
#[derive(Clone, Debug, Default)]
pub struct ServerCount {
    forecast: WorkForecast,
    zones: BTreeMap<ZoneName, ZoneHistory>,
}

/// Whether further targets of a zone are likely to start; zones are preferred in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ZoneCondition {
    Good,
    /// Some targets have failed to start.
    Impaired,
    /// Half of the targets were lost and may return.
    Lossy,
    /// Half of the targets have failed to start.
    Failing,
}

/// State of one zone while its order is decided.
struct ZonePlan<'a> {
    targets: &'a ZoneTargets,
    /// Whether the zone may be ordered without an earlier order.
    is_settled: bool,
    /// Number of targets that are present or still expected.
    expected: u32,
    condition: ZoneCondition,
    is_overdue: bool,
    desired: u32,
}

impl ServerCount {
    /// Records what is known at `now` and returns the orders to give.
    ///
    /// With unknown demand, the last number stays, within the bounds. All zones in which the service may have targets must be
    /// given, and an order must be given back as the zone's last one in the next call.
    pub fn plan(
        &mut self,
        now: Instant,
        load: ServiceLoad<'_>,
        zones: &[ZoneTargets],
    ) -> Vec<ServerOrder> {
        let hold_time = load.hold_time();
        self.forecast.record(
            now,
            load.start_time(),
            hold_time,
            load.demand,
            load.reporters,
        );
        let present: u32 = zones.iter().map(|zone| zone.present).sum();
        let newest = self.forecast.newest();
        // A list without any target is wrong, or all machines have stopped and return: further targets bring nothing.
        let is_refusing =
            present > 0 && newest.is_some_and(|(busy, _)| busy > f64::from(present) * REFUSAL_USE);
        let mut plans = self.observe(now, &load, zones, is_refusing);
        // Bounds apply at once, before all other rules.
        let mut reason = OrderReason::Bounds;
        for plan in plans.iter_mut().filter(|plan| plan.is_settled) {
            plan.desired = plan.desired.clamp(load.scaling.min, load.scaling.max);
        }
        if plans
            .iter()
            .all(|plan| plan.desired == plan.targets.current())
        {
            let is_held = |lowering: bool| {
                let mut orders = zones.iter().filter_map(|zone| zone.order);
                orders.any(|order| {
                    order.is_lowering == lowering
                        && now.saturating_duration_since(order.changed_at) < hold_time
                })
            };
            let expected: u32 = plans.iter().map(|plan| plan.expected).sum();
            let max_needed = self.forecast.max_needed(now, hold_time);
            match (newest, max_needed) {
                (Some((_, needed)), _) if needed > expected && (is_refusing || !is_held(true)) => {
                    reason = match is_refusing {
                        true => OrderReason::Refusals(needed),
                        false => OrderReason::Forecast(needed),
                    };
                    raise(&mut plans, needed - expected, load.scaling.max);
                }
                (_, Some(needed)) if needed < expected && !is_held(false) => {
                    reason = OrderReason::Surplus(needed);
                    lower(&mut plans, expected - needed, load.scaling.min);
                }
                _ => {}
            }
        }
        self.orders(&plans, &reason)
    }

    /// Updates the histories of the zones and returns the state before any decision.
    fn observe<'a>(
        &mut self,
        now: Instant,
        load: &ServiceLoad<'_>,
        zones: &'a [ZoneTargets],
        is_refusing: bool,
    ) -> Vec<ZonePlan<'a>> {
        let settle_time = match is_refusing {
            true => MIN_SETTLE_TIME,
            false => load.start_time().max(MIN_SETTLE_TIME),
        };
        let observed = zones.iter().map(|targets| {
            let history = self.zones.entry(targets.zone.clone());
            let history = history.or_insert_with(|| ZoneHistory::new(now, targets.present));
            history.update(now, targets);
            let is_overdue = history.is_overdue(now, targets.order, load.start_time());
            if is_overdue {
                history.failed = targets.missing();
            }
            let lost = history.lost(targets);
            // Lost targets often return by themselves, but callers that are refused cannot wait for that.
            let absent = match is_refusing {
                true => history.failed.max(lost),
                false => history.failed,
            };
            let unchanged_for = now.saturating_duration_since(history.unchanged_since);
            ZonePlan {
                targets,
                is_settled: targets.order.is_some() || unchanged_for >= settle_time,
                expected: targets.current().saturating_sub(absent),
                condition: history.condition(targets),
                is_overdue,
                desired: targets.current(),
            }
        });
        observed.collect()
    }

    /// Returns the orders of zones whose number changes or whose targets have failed to start.
    fn orders(&mut self, plans: &[ZonePlan<'_>], reason: &OrderReason) -> Vec<ServerOrder> {
        let mut orders = Vec::new();
        for plan in plans {
            let current = plan.targets.current();
            let reason = match plan.desired == current {
                false => reason.clone(),
                true if plan.is_overdue => OrderReason::FailedStart(plan.targets.missing()),
                true => continue,
            };
            if let (true, Some(history)) = (plan.is_overdue, self.zones.get_mut(&plan.targets.zone))
            {
                // The missing targets start anew; they were not present since.
                history.peak = history.present;
            }
            orders.push(ServerOrder {
                zone: plan.targets.zone.clone(),
                desired: plan.desired,
                previous: current,
                reason,
            });
        }
        orders
    }
}

/// Adds targets to the zones with the fewest; a zone in which targets fail to start gets none.
fn raise(plans: &mut [ZonePlan<'_>], count: u32, max: u32) {
    for _ in 0..count {
        let open = plans.iter_mut().filter(|plan| {
            plan.is_settled && plan.condition != ZoneCondition::Failing && plan.desired < max
        });
        match open.min_by_key(|plan| (plan.condition, plan.desired)) {
            Some(plan) => plan.desired += 1,
            None => break,
        }
    }
}

/// Removes targets from the zones with the most, except those of which half of the targets are missing.
fn lower(plans: &mut [ZonePlan<'_>], count: u32, min: u32) {
    for _ in 0..count {
        let open = plans.iter_mut().filter(|plan| {
            plan.is_settled && plan.condition <= ZoneCondition::Impaired && plan.desired > min
        });
        match open.max_by_key(|plan| plan.desired) {
            Some(plan) => plan.desired -= 1,
            None => break,
        }
    }
}

#[cfg(test)]
#[path = "server_count_tests.rs"]
mod tests;
