use super::*;

const ADDRS: [([u8; 4], u16); 2] = [([10, 0, 0, 1], 80), ([10, 0, 0, 2], 80)];

/// Guards against memory use that grows with each target that ever left.
#[test]
fn record_drops_oldest() {
    let now = Instant::now();
    let mut departed = DepartedTargets::default();
    for i in 0..=MAX_TARGETS as u64 {
        departed.record(now + Duration::from_millis(i), &format!("i-{i}"), None);
    }
    let addr = SocketAddr::from(ADDRS[0]);
    assert!(!departed.contains(&"i-0".to_string(), addr));
    assert!(departed.contains(&"i-1".to_string(), addr));
    departed.record(now + 2 * RETENTION, &"i-new".to_string(), None);
    assert_eq!(departed.names().count(), 1);
}

/// Guards against a new incarnation of a target that is never used.
#[test]
fn contains_other_address() {
    let mut departed = DepartedTargets::default();
    let (name, addrs) = ("a".to_string(), ADDRS.map(SocketAddr::from));
    departed.record(Instant::now(), &name, None);
    assert!(departed.contains(&name, addrs[1]));
    departed.record(Instant::now(), &name, Some(addrs[0]));
    assert!(departed.contains(&name, addrs[0]));
    assert!(!departed.contains(&name, addrs[1]));
}
