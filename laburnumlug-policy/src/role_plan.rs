//! Plans which engines of a service run prefill and which run decode.

use std::collections::BTreeMap;

use laburnumlug::{LiveTarget, Role, TargetName, ZoneName};

/// Share of a service's engines that run decode. A decode engine generates thousands of tokens per second from prompts
/// that others have prefilled, but prefills prompts itself at only a third of the rate of a dedicated prefill engine.
const DECODE_SHARE: f64 = 1.0 / 4.0;

/// Minimum number of decode engines, so that the service survives the loss of one.
const MIN_DECODE_ENGINES: usize = 2;

/// Preferred minimum number of decode engines. With two, the loss of one during a burst leaves too few slots.
const PREFERRED_MIN_DECODE_ENGINES: usize = 3;

/// Maximum share of the engines that run decode to reach [`PREFERRED_MIN_DECODE_ENGINES`].
const MAX_PREFERRED_MIN_SHARE: f64 = 1.0 / 3.0;

/// A change of one engine's role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub engine: TargetName,
    /// New role of the engine.
    pub role: Role,
}

/// Returns the role changes that bring one service's engines to the desired ratio of roles.
///
/// Engines that are leaving are neither counted nor changed. Decode engines are spread over the availability zones,
/// since transferring a prompt's KV cache is faster within a zone.
pub fn plan_roles(engines: &[LiveTarget]) -> Vec<RoleChange> {
    let staying: Vec<&LiveTarget> = engines.iter().filter(|engine| !engine.leaving).collect();
    let desired = desired_decode_engines(staying.len());
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
    match decode_count > desired {
        true => reassign(decode_by_zone, decode_count - desired, Role::Prefill),
        false => reassign(prefill_by_zone, desired - decode_count, Role::Decode),
    }
}

fn desired_decode_engines(engines: usize) -> usize {
    let share_of = |share: f64| (engines as f64 * share).round() as usize;
    let preferred_min = PREFERRED_MIN_DECODE_ENGINES.min(share_of(MAX_PREFERRED_MIN_SHARE));
    let min_engines = preferred_min.max(MIN_DECODE_ENGINES);
    share_of(DECODE_SHARE).max(min_engines).min(engines)
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
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn engine(i: usize, zone: usize, role: Role) -> LiveTarget {
        LiveTarget {
            instance: format!("i-{i}"),
            service: "s".to_string(),
            addr: "10.0.0.1:80".parse().unwrap(),
            zone: format!("zone-{zone}"),
            slots: 64,
            leaving: false,
            changing: false,
            role: Some(role),
        }
    }

    fn apply(engines: &mut [LiveTarget], changes: &[RoleChange]) {
        for change in changes {
            let engine = engines
                .iter_mut()
                .find(|e| e.instance == change.engine)
                .unwrap();
            engine.role = Some(change.role);
        }
    }

    fn decode_engines(engines: &[LiveTarget]) -> Vec<&LiveTarget> {
        engines
            .iter()
            .filter(|e| e.role == Some(Role::Decode))
            .collect()
    }

    /// With long prompts and short answers, prefill is the bottleneck, so surplus decode engines are reassigned.
    #[test]
    fn plan_roles_spreads_over_zones() {
        let mut engines: Vec<LiveTarget> = (0..9)
            .map(|i| engine(i, i % 3, if i < 3 { Role::Prefill } else { Role::Decode }))
            .collect();
        let changes = plan_roles(&engines);
        assert_eq!(changes.len(), 3);
        apply(&mut engines, &changes);
        let mut zones: Vec<&str> = decode_engines(&engines)
            .iter()
            .map(|e| e.zone.as_str())
            .collect();
        zones.sort_unstable();
        assert_eq!(zones, ["zone-0", "zone-1", "zone-2"]);
        assert_eq!(plan_roles(&engines), []);
    }

    /// With prompts of 17,000 tokens and answers of 15, prefill is the bottleneck and decode engines are idle.
    #[test]
    fn plan_roles_large_and_small_fleets() {
        for (engines, expected) in [(1, 1), (2, 2), (6, 2), (9, 3), (18, 5), (41, 10)] {
            assert_eq!(desired_decode_engines(engines), expected, "of {engines}");
        }
    }

    /// Decode engines that are lost or leaving must be replaced.
    #[test]
    fn plan_roles_replaces_lost_decode_engines() {
        let mut engines: Vec<LiveTarget> =
            (0..6).map(|i| engine(i, i % 3, Role::Prefill)).collect();
        engines.push(engine(6, 0, Role::Decode));
        engines[6].leaving = true;
        let changes = plan_roles(&engines);
        assert_eq!(changes.len(), 2);
        assert!(
            changes
                .iter()
                .all(|change| change.role == Role::Decode && change.engine != "i-6")
        );
    }

    quickcheck! {
        fn plan_roles_needs_one_step(roles: Vec<(bool, u8, bool)>) -> bool {
            let mut engines: Vec<LiveTarget> = roles
                .iter()
                .enumerate()
                .map(|(i, (decodes, zone, leaving))| {
                    let role = if *decodes { Role::Decode } else { Role::Prefill };
                    let leaving = *leaving;
                    LiveTarget { leaving, ..engine(i, usize::from(zone % 3), role) }
                })
                .collect();
            let changes = plan_roles(&engines);
            apply(&mut engines, &changes);
            plan_roles(&engines).is_empty()
        }
    }
}
