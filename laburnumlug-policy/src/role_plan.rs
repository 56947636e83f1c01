//! Which engines read prompts and which ones answer.

use std::collections::BTreeMap;

use laburnumlug::{LiveTarget, Role, TargetName, ZoneName};

/// Share of a service's engines that answer. An answering engine makes thousands of tokens a second from prompts that
/// others have read, but reads prompts itself at a third of the rate of one that only reads.
const ANSWERING_SHARE: f64 = 1.0 / 4.0;

/// Fewest engines that answer, so that the loss of one stops nothing.
const MIN_ANSWERING: usize = 2;

/// Engines that answer before their share counts: with two, the loss of one under a burst leaves too few slots.
const SPARED_ANSWERING: usize = 3;

/// Largest share of the engines that answer for that reason.
const MOST_SPARED_SHARE: f64 = 1.0 / 3.0;

/// A change of one engine's role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: TargetName,
    /// Its next role.
    pub role: Role,
}

/// Returns the changes that bring one service's engines to the wanted shares of roles.
///
/// Engines that leave count for nothing and are not changed. Answering engines are spread over the availability zones:
/// a prompt moves faster within a zone.
pub fn plan_roles(engines: &[LiveTarget]) -> Vec<RoleChange> {
    let staying: Vec<&LiveTarget> = engines.iter().filter(|engine| !engine.leaving).collect();
    let wanted = wanted_answering(staying.len());
    let mut answering: BTreeMap<&ZoneName, Vec<&LiveTarget>> = BTreeMap::new();
    let mut reading: BTreeMap<&ZoneName, Vec<&LiveTarget>> = BTreeMap::new();
    for engine in &staying {
        match engine.role {
            Some(Role::Decode) => answering.entry(&engine.zone).or_default().push(engine),
            Some(Role::Prefill) => reading.entry(&engine.zone).or_default().push(engine),
            _ => {}
        }
    }
    let count: usize = answering.values().map(Vec::len).sum();
    match count > wanted {
        true => take(answering, count - wanted, Role::Prefill),
        false => take(reading, wanted - count, Role::Decode),
    }
}

fn wanted_answering(engines: usize) -> usize {
    let share_of = |share: f64| (engines as f64 * share).round() as usize;
    let spared = SPARED_ANSWERING.min(share_of(MOST_SPARED_SHARE));
    let fewest = spared.max(MIN_ANSWERING);
    share_of(ANSWERING_SHARE).max(fewest).min(engines)
}

/// Changes `count` engines, each from the zone that has most of them left.
fn take(
    mut zones: BTreeMap<&ZoneName, Vec<&LiveTarget>>,
    count: usize,
    role: Role,
) -> Vec<RoleChange> {
    for engines in zones.values_mut() {
        // Every replica that plans chooses the same engines.
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

    fn answering(engines: &[LiveTarget]) -> Vec<&LiveTarget> {
        engines
            .iter()
            .filter(|e| e.role == Some(Role::Decode))
            .collect()
    }

    /// Pattern: prompts are long and answers short, so reading binds.
    #[test]
    fn plan_roles_spreads_over_zones() {
        let mut engines: Vec<LiveTarget> = (0..9)
            .map(|i| engine(i, i % 3, if i < 3 { Role::Prefill } else { Role::Decode }))
            .collect();
        let changes = plan_roles(&engines);
        assert_eq!(changes.len(), 3);
        apply(&mut engines, &changes);
        let mut zones: Vec<&str> = answering(&engines)
            .iter()
            .map(|e| e.zone.as_str())
            .collect();
        zones.sort_unstable();
        assert_eq!(zones, ["zone-0", "zone-1", "zone-2"]);
        assert_eq!(plan_roles(&engines), []);
    }

    /// Pattern: prompts of 17,000 tokens and answers of 15; reading binds, and answering engines are idle.
    #[test]
    fn plan_roles_large_and_small_fleets() {
        for (engines, expected) in [(1, 1), (2, 2), (6, 2), (9, 3), (18, 5), (41, 10)] {
            assert_eq!(wanted_answering(engines), expected, "of {engines}");
        }
    }

    /// Pattern: answering engines are lost or leave.
    #[test]
    fn plan_roles_replaces_lost_answering_engines() {
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
        fn plan_roles_settles(roles: Vec<(bool, u8, bool)>) -> bool {
            let mut engines: Vec<LiveTarget> = roles
                .iter()
                .enumerate()
                .map(|(i, (answers, zone, leaving))| {
                    let role = if *answers { Role::Decode } else { Role::Prefill };
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
