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
        software: None,
    }
}

/// Returns engines over three availability zones, the first `decode` of which run decode.
fn fleet(engines: usize, decode: usize, slots: u32) -> Vec<LiveTarget> {
    let role = |i| {
        if i < decode {
            Role::Decode
        } else {
            Role::Prefill
        }
    };
    let engine = |i| LiveTarget {
        slots,
        ..engine(i, i % 3, role(i))
    };
    (0..engines).map(engine).collect()
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

fn sampled(prefill: f64, decode: f64) -> Demand {
    Demand::Sampled(vec![PhaseDemand { prefill, decode }])
}

/// Applies plans until they change nothing, and returns the number of decode engines.
fn settle(mut engines: Vec<LiveTarget>, demand: &Demand) -> usize {
    for _ in 0..=engines.len() {
        let changes = plan_roles(&engines, demand);
        if changes.is_empty() {
            return decode_engines(&engines).len();
        }
        apply(&mut engines, &changes);
    }
    panic!("the plans do not settle");
}

#[test]
fn plan_roles_spreads_over_zones() {
    let mut engines: Vec<LiveTarget> = (0..9)
        .map(|i| engine(i, i % 3, if i < 3 { Role::Prefill } else { Role::Decode }))
        .collect();
    let changes = plan_roles(&engines, &Demand::Idle);
    assert_eq!(changes.len(), 3);
    apply(&mut engines, &changes);
    let mut zones: Vec<&str> = decode_engines(&engines)
        .iter()
        .map(|e| e.zone.as_str())
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, ["zone-0", "zone-1", "zone-2"]);
    assert_eq!(plan_roles(&engines, &Demand::Idle), []);
}

/// With prompts of 17,000 tokens and answers of 15, prefill is the bottleneck and decode engines are idle.
#[test]
fn plan_roles_idle_large_and_small_fleets() {
    for (engines, expected) in [(1, 1), (2, 2), (6, 2), (9, 3), (18, 5), (41, 10), (117, 29)] {
        let settled = settle(fleet(engines, 0, 64), &Demand::Idle);
        assert_eq!(settled, expected, "of {engines}");
    }
}

/// Engines with few slots need a larger share of decode engines for the same number of concurrent answers.
#[test]
fn plan_roles_idle_engines_with_few_slots() {
    for (engines, expected) in [(3, 2), (12, 9), (49, 37)] {
        let settled = settle(fleet(engines, 0, 12), &Demand::Idle);
        assert_eq!(settled, expected, "of {engines}");
    }
}

/// With one decode engine for 16 slots of each of 38 engines with 128, five engines decoded. When two of them were lost,
/// the others were overloaded until roles changed, and most answers were late.
#[test]
fn plan_roles_idle_engines_with_many_slots() {
    let settled = settle(fleet(38, 25, 128), &Demand::Idle);
    assert_eq!(settled, 10);
}

/// Hundreds of short prompts a second, answered from cache, hold slots and need hardly any prefill.
#[test]
fn plan_roles_short_prompts_by_the_hundred() {
    for engines in [3, 12, 49, 117] {
        let scale = engines as f64 / 12.0;
        let settled = settle(
            fleet(engines, engines / 4, 16),
            &sampled(2.0 * scale, 5.0 * scale),
        );
        assert!(
            settled * 100 >= engines * 50 && settled * 100 <= engines * 75,
            "{settled} of {engines}"
        );
    }
}

/// Long prompts with short answers keep prefill engines busy; decode engines hold few requests.
#[test]
fn plan_roles_long_prompts_short_answers() {
    for engines in [9, 41, 117] {
        let scale = engines as f64 / 41.0;
        let settled = settle(
            fleet(engines, engines / 2, 64),
            &sampled(15.0 * scale, 1.3 * scale),
        );
        let share = settled as f64 / engines as f64;
        assert!((0.1..=0.34).contains(&share), "{settled} of {engines}");
    }
}

/// The mix swings around a mean; roles must not swing with it.
#[test]
fn plan_roles_small_change_of_mix() {
    let engines = fleet(41, settle(fleet(41, 10, 64), &sampled(15.0, 2.5)), 64);
    for (prefill, decode) in [(13.0, 2.5), (17.0, 2.5), (15.0, 2.0), (15.0, 3.0)] {
        assert_eq!(plan_roles(&engines, &sampled(prefill, decode)), []);
    }
}

/// The mix swings between short and long prompts within seconds, faster than roles change. Slots must suffice for the
/// short prompts' half, as prompts that find no slot are refused.
#[test]
fn plan_roles_mix_swings_faster_than_roles() {
    let halves = [(1.5, 7.5), (3.5, 3.0)];
    let samples = halves.map(|(prefill, decode)| PhaseDemand { prefill, decode });
    let settled = settle(fleet(12, 6, 16), &Demand::Sampled(samples.to_vec()));
    assert!((8..=9).contains(&settled), "{settled} of 12");
}

/// A burst of long prompts for a second, in a load that is steady otherwise, must not take engines away from decode.
#[test]
fn plan_roles_short_burst_of_prefill() {
    let samples = [
        (8.4, 1.6),
        (13.9, 1.8),
        (10.4, 2.2),
        (10.7, 1.9),
        (7.8, 1.8),
        (6.2, 1.8),
        (6.7, 1.4),
        (7.5, 1.3),
        (8.0, 1.8),
        (6.1, 1.6),
        (6.0, 1.2),
    ];
    let samples = samples.map(|(prefill, decode)| PhaseDemand { prefill, decode });
    let demand = Demand::Sampled(samples.to_vec());
    assert_eq!(plan_roles(&fleet(18, 5, 64), &demand), []);
}

/// Decode engines that are lost or leaving must be replaced.
#[test]
fn plan_roles_replaces_lost_decode_engines() {
    for demand in [Demand::Idle, Demand::Unknown, sampled(0.5, 0.1)] {
        let mut engines: Vec<LiveTarget> =
            (0..6).map(|i| engine(i, i % 3, Role::Prefill)).collect();
        engines.push(engine(6, 0, Role::Decode));
        engines[6].leaving = true;
        let changes = plan_roles(&engines, &demand);
        assert_eq!(changes.len(), 2);
        assert!(
            changes
                .iter()
                .all(|change| change.role == Role::Decode && change.engine != "i-6")
        );
    }
}

/// A new leader without samples keeps the roles that its predecessor planned.
#[test]
fn plan_roles_unknown_demand_keeps_roles() {
    assert_eq!(plan_roles(&fleet(12, 8, 16), &Demand::Unknown), []);
    assert_eq!(plan_roles(&fleet(12, 3, 16), &Demand::Unknown), []);
}

/// With demand, only a part of the engines is out of service at once.
#[test]
fn plan_roles_changes_few_engines_at_once() {
    let changes = plan_roles(&fleet(48, 4, 16), &sampled(2.0, 30.0));
    assert_eq!(changes.len(), 8);
}

quickcheck! {
    fn plan_roles_settles(roles: Vec<(bool, u8, bool)>, prefill: u8, decode: u8) -> bool {
        let engines: Vec<LiveTarget> = roles
            .iter()
            .enumerate()
            .map(|(i, (decodes, zone, leaving))| {
                let role = if *decodes { Role::Decode } else { Role::Prefill };
                let leaving = *leaving;
                LiveTarget { leaving, ..engine(i, usize::from(zone % 3), role) }
            })
            .collect();
        let demand = sampled(f64::from(prefill) / 10.0, f64::from(decode) / 10.0);
        settle(engines, &demand);
        true
    }

    fn plan_roles_idle_needs_one_step(roles: Vec<(bool, u8, bool)>) -> bool {
        let mut engines: Vec<LiveTarget> = roles
            .iter()
            .enumerate()
            .map(|(i, (decodes, zone, leaving))| {
                let role = if *decodes { Role::Decode } else { Role::Prefill };
                let leaving = *leaving;
                LiveTarget { leaving, ..engine(i, usize::from(zone % 3), role) }
            })
            .collect();
        let changes = plan_roles(&engines, &Demand::Idle);
        apply(&mut engines, &changes);
        plan_roles(&engines, &Demand::Idle).is_empty()
    }

    /// No split may refuse for lack of slots in one role what the fleet could serve with another.
    fn plan_roles_settled_serves_what_fits(engines: u8, prefill: u16, decode: u16) -> bool {
        let engines = usize::from(engines % 120) + 3;
        let total = f64::from(prefill) + f64::from(decode) + 1.0;
        // The demand fits with room for the rounding to whole engines and for the minimum of decode engines.
        let fits = engines as f64 - 1.0 - MIN_DECODE_ENGINES as f64;
        let part = |demand: u16| f64::from(demand) / total * fits;
        let (prefill, decode) = (part(prefill), part(decode));
        let settled = settle(fleet(engines, engines / 4, 16), &sampled(prefill, decode)) as f64;
        settled >= decode && engines as f64 - settled >= prefill
    }
}
