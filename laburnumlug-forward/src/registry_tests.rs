use super::*;

fn live_target(instance: &str, leaving: bool) -> LiveTarget {
    LiveTarget {
        instance: instance.to_string(),
        service: "s".to_string(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "z".to_string(),
        slots: 4,
        leaving,
        changing: false,
        role: None,
        software: None,
    }
}

fn list(listings: &[LiveTarget]) -> TargetList {
    TargetList {
        targets: listings.to_vec(),
    }
}

#[test]
fn update_leaving_stays_leaving() {
    let now = Instant::now();
    let mut registry = TargetRegistry::default();
    registry.update(
        now,
        list(&[live_target("a", false), live_target("b", false)]),
    );
    assert_eq!(registry.available_targets("s").len(), 2);
    registry.update(
        now + Duration::from_secs(1),
        list(&[live_target("a", true), live_target("b", false)]),
    );
    registry.update(
        now + Duration::from_secs(2),
        list(&[live_target("a", false), live_target("b", false)]),
    );
    let available = registry.available_targets("s");
    assert_eq!(available.len(), 1);
    assert_eq!(available[0].instance, "b");
}

/// A list lacks a target for a moment. What the target has stated still holds.
#[test]
fn update_missing_target_keeps_its_status() {
    let now = Instant::now();
    let mut registry = TargetRegistry::default();
    registry.update(now, list(&[live_target("a", false)]));
    let target = registry.find("a").unwrap();
    target.status.borrow_mut().record_leaving(now);
    let at = |seconds| now + Duration::from_secs(seconds);
    registry.update(at(1), list(&[]));
    assert!(registry.find("a").is_none());
    registry.update(at(2), list(&[live_target("a", false)]));
    assert!(registry.find("a").unwrap().status.borrow().is_leaving());
    registry.update(at(3), list(&[]));
    registry.update(at(3) + UNLISTED_RETENTION, list(&[]));
    registry.update(at(4) + UNLISTED_RETENTION, list(&[live_target("a", false)]));
    assert!(!registry.find("a").unwrap().status.borrow().is_leaving());
}

#[test]
fn update_older_list() {
    let now = Instant::now();
    let mut registry = TargetRegistry::default();
    registry.update(
        now + Duration::from_secs(1),
        list(&[live_target("a", false)]),
    );
    registry.update(now, list(&[]));
    assert_eq!(registry.available_targets("s").len(), 1);
}

fn handles(now: Instant, roles: &[Role]) -> Vec<Rc<TargetHandle>> {
    let handle = |(i, role): (usize, &Role)| {
        let role = Some(*role);
        let listing = live_target(&format!("i-{i}"), false);
        Rc::new(TargetHandle::new(now, LiveTarget { role, ..listing }))
    };
    roles.iter().enumerate().map(handle).collect()
}

fn names(targets: &[Rc<TargetHandle>]) -> Vec<&str> {
    targets
        .iter()
        .map(|target| target.instance.as_str())
        .collect()
}

/// All decode engines fail within a second while the prefill engines stay healthy. Without the fallback, requests
/// were refused although two ejected engines might have served them.
#[test]
fn selectable_targets_without_decode_engine() {
    let now = Instant::now();
    let targets = handles(
        now,
        &[Role::Prefill, Role::Decode, Role::Decode, Role::Decode],
    );
    for target in &targets[1..3] {
        target.health.borrow_mut().record_failure(now, true);
    }
    assert_eq!(
        names(&selectable_targets(now, targets.clone())),
        ["i-0", "i-3"]
    );
    targets[3].health.borrow_mut().mark_suspected(now);
    assert_eq!(
        names(&selectable_targets(now, targets)),
        ["i-0", "i-1", "i-2"]
    );
}

#[test]
fn selectable_targets_all_suspected() {
    let now = Instant::now();
    let targets = handles(now, &[Role::Decode, Role::Decode]);
    targets[1].health.borrow_mut().mark_suspected(now);
    targets[0]
        .health
        .borrow_mut()
        .mark_suspected(now + Duration::from_secs(1));
    assert_eq!(names(&selectable_targets(now, targets)), ["i-1"]);
}
