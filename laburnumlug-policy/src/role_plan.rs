//! Plans which engines of a service run prefill and which run decode.

use std::collections::BTreeMap;

use laburnumlug::{LiveTarget, Role, TargetName, ZoneName};

use crate::engine_demand::{Demand, PhaseDemand};

/// Number of slots that the decode engines of an idle service provide for each engine of the service.
const IDLE_SLOTS_PER_ENGINE: f64 = 16.0;

/// Maximum number of slots of an engine that count. The more requests an engine decodes, the longer each step takes, so an
/// engine with more slots does not decode more in time; and with few decode engines, the loss of some overloads the rest.
const MAX_COUNTED_SLOTS: f64 = 64.0;

/// Maximum share of the engines that run decode while a service is idle.
const MAX_IDLE_DECODE_SHARE: f64 = 3.0 / 4.0;

/// Minimum number of decode engines, so that the service survives the loss of one.
const MIN_DECODE_ENGINES: usize = 2;

/// Preferred minimum number of decode engines. With two, the loss of one during a burst leaves too few slots.
const PREFERRED_MIN_DECODE_ENGINES: usize = 3;

/// Maximum share of the engines that run decode to reach [`PREFERRED_MIN_DECODE_ENGINES`].
const MAX_PREFERRED_MIN_SHARE: f64 = 1.0 / 3.0;

/// Ratio of the predicted waiting at the current roles to that at the best roles from which roles change. Engines serve
/// nothing while they change roles, and the mix may swing back.
const MIN_IMPROVEMENT: f64 = 1.25;

/// Share of an engine's time in use up to which its queue is predicted to be stationary.
pub(crate) const MAX_STATIONARY_USE: f64 = 0.8;

/// Share of a decode engine's slots and memory that requests can hold without slowing each other down much. The time
/// that requests hold an engine, and so the demand, grows fast beyond it.
pub(crate) const MAX_DECODE_USE: f64 = 0.6;

/// Number of samples of which one may exceed the engines of a phase without a change of roles.
pub(crate) const SAMPLES_PER_BURST: usize = 8;

/// Maximum share of the engines that keep running decode because an idle service would have as many decode engines.
const MAX_KEPT_DECODE_SHARE: f64 = 1.0 / 3.0;

/// Maximum share of the engines that change roles at once while the service has demand.
const MAX_CHANGING_SHARE: f64 = 1.0 / 6.0;

/// A change of one engine's role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub engine: TargetName,
    /// New role of the engine.
    pub role: Role,
}

/// Returns the role changes that bring one service's engines closer to the best ratio of roles for its demand.
///
/// Engines that are leaving are neither counted nor changed. Decode engines are spread over the availability zones,
/// since transferring a prompt's KV cache is faster within a zone.
pub fn plan_roles(engines: &[LiveTarget], demand: &Demand) -> Vec<RoleChange> {
    let staying: Vec<&LiveTarget> = engines.iter().filter(|engine| !engine.leaving).collect();
    let mut decode_by_zone: BTreeMap<&ZoneName, Vec<&LiveTarget>> = BTreeMap::new();
    let mut prefill_by_zone: BTreeMap<&ZoneName, Vec<&LiveTarget>> = BTreeMap::new();
    for engine in &staying {
        match engine.role {
            Some(Role::Decode) => decode_by_zone.entry(&engine.zone).or_default().push(engine),
            Some(Role::Prefill) => prefill_by_zone
                .entry(&engine.zone)
                .or_default()
                .push(engine),
            _ => {}
        }
    }
    let decode_count: usize = decode_by_zone.values().map(Vec::len).sum();
    let desired = match demand {
        Demand::Unknown => decode_count.max(min_decode_engines(staying.len())),
        Demand::Idle => idle_decode_engines(&staying),
        Demand::Sampled(samples) => next_decode_engines(
            samples,
            decode_count,
            kept_decode_engines(&staying),
            staying.len(),
        ),
    };
    match decode_count > desired {
        true => reassign(decode_by_zone, decode_count - desired, Role::Prefill),
        false => reassign(prefill_by_zone, desired - decode_count, Role::Decode),
    }
}

/// Returns the minimum number of decode engines of a service with this number of engines.
fn min_decode_engines(engines: usize) -> usize {
    let share_of = |share: f64| (engines as f64 * share).round() as usize;
    let preferred = PREFERRED_MIN_DECODE_ENGINES.min(share_of(MAX_PREFERRED_MIN_SHARE));
    preferred.max(MIN_DECODE_ENGINES).min(engines)
}

/// Returns the number of decode engines of a service whose demand is to come.
fn idle_decode_engines(engines: &[&LiveTarget]) -> usize {
    let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
    let count = engines.len() as f64;
    let slots_per_engine = (slots / count.max(1.0)).clamp(1.0, MAX_COUNTED_SLOTS);
    let share = (IDLE_SLOTS_PER_ENGINE / slots_per_engine).min(MAX_IDLE_DECODE_SHARE);
    let desired = (share * count).round() as usize;
    desired.max(min_decode_engines(engines.len()))
}

/// Returns the number of decode engines that are kept while the demand for prefill fits beside them. With fewer, answers
/// slow each other down as soon as the mix swings, much more than the demand at present tells.
fn kept_decode_engines(engines: &[&LiveTarget]) -> usize {
    let max = (engines.len() as f64 * MAX_KEPT_DECODE_SHARE).round() as usize;
    let kept = idle_decode_engines(engines).min(max);
    kept.max(min_decode_engines(engines.len()))
}

/// Returns the number of decode engines to plan next: the best one for the demand, or one on the way there from
/// `current`. It is at least `kept`, unless the demand for prefill exceeds the other engines.
fn next_decode_engines(
    samples: &[PhaseDemand],
    current: usize,
    kept: usize,
    engines: usize,
) -> usize {
    let waiting = |decode_engines| predict_waiting(samples, decode_engines, engines);
    let fits = |decode_engines: &usize| fits_in(samples, *decode_engines, engines);
    let min = match (kept..engines).any(|decode_engines| fits(&decode_engines)) {
        true => kept,
        false => min_decode_engines(engines),
    };
    let best = (min..engines.max(min + 1))
        .min_by(|a, b| {
            fits(b)
                .cmp(&fits(a))
                .then(waiting(*a).total_cmp(&waiting(*b)))
        })
        .unwrap_or(min);
    let improves = current < min || waiting(current) > waiting(best) * MIN_IMPROVEMENT;
    let max_changes = (engines as f64 * MAX_CHANGING_SHARE).max(1.0) as usize;
    let next = match improves || (fits(&best) && !fits(&current)) {
        true => best.clamp(current.saturating_sub(max_changes), current + max_changes),
        false => current,
    };
    next.max(min_decode_engines(engines))
}

/// Returns whether the demand keeps no more engines busy than each phase has with this many decode engines, but for a
/// burst in one of [`SAMPLES_PER_BURST`] samples.
fn fits_in(samples: &[PhaseDemand], decode_engines: usize, engines: usize) -> bool {
    let (decode_engines, engines) = (decode_engines as f64, engines as f64);
    let exceeds = |demand: &&PhaseDemand| {
        demand.decode > decode_engines || demand.prefill > engines - decode_engines
    };
    samples.iter().filter(exceeds).count() * SAMPLES_PER_BURST <= samples.len()
}

/// Predicts how many requests wait, on average over the samples, with this many decode engines.
fn predict_waiting(samples: &[PhaseDemand], decode_engines: usize, engines: usize) -> f64 {
    let (decode_engines, engines) = (decode_engines as f64, engines as f64);
    let waiting = samples.iter().map(|demand| {
        waiting_in_phase(demand.decode, decode_engines * MAX_DECODE_USE)
            + waiting_in_phase(demand.prefill, engines - decode_engines)
    });
    waiting.sum::<f64>() / samples.len().max(1) as f64
}

/// Predicts the requests that wait in one phase, with each engine as an M/M/1 queue up to [`MAX_STATIONARY_USE`]; beyond
/// it, as a queue that grows in proportion to the excess.
fn waiting_in_phase(busy: f64, engines: f64) -> f64 {
    let engines = engines.max(f64::MIN_POSITIVE);
    let used = busy / engines;
    let stationary = |used: f64| used * used / (1.0 - used);
    let per_engine = match used <= MAX_STATIONARY_USE {
        true => stationary(used),
        false => {
            let free = 1.0 - MAX_STATIONARY_USE;
            let slope = MAX_STATIONARY_USE * (2.0 - MAX_STATIONARY_USE) / (free * free);
            stationary(MAX_STATIONARY_USE) + slope * (used - MAX_STATIONARY_USE)
        }
    };
    per_engine * engines
}

/// Returns changes of up to `count` engines to `role`, each from the zone with the most remaining candidates.
fn reassign(
    mut zones: BTreeMap<&ZoneName, Vec<&LiveTarget>>,
    count: usize,
    role: Role,
) -> Vec<RoleChange> {
    for engines in zones.values_mut() {
        // Makes the plan deterministic, so that a new leader plans the same changes. Descending, because the last
        // element is taken first.
        engines.sort_by(|a, b| b.instance.cmp(&a.instance));
    }
    let mut changes = Vec::new();
    while changes.len() < count {
        let Some(engine) = zones
            .values_mut()
            .max_by_key(|zone| zone.len())
            .and_then(Vec::pop)
        else {
            break;
        };
        changes.push(RoleChange {
            engine: engine.instance.clone(),
            role,
        });
    }
    changes
}

#[cfg(test)]
#[path = "role_plan_tests.rs"]
mod tests;
