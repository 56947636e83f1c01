use super::*;

fn peer(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 80).into()
}

fn record_sample(limit: &mut IdleLimit, now: Instant, i: u8, idle_ms: u64) {
    limit.record_stale_reuse(peer(i), Duration::from_millis(idle_ms));
    limit.record_new_connection(now, peer(i), true);
}

/// Guards against lost requests when half of the servers drop connections that were idle for 300 ms.
#[test]
fn max_idle_below_shortest_sample() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    assert_eq!(limit.max_idle(now), None);
    record_sample(&mut limit, now, 1, 900);
    record_sample(&mut limit, now, 1, 800);
    // Both samples come from one server, which may have restarted.
    assert_eq!(limit.max_idle(now), None);
    record_sample(&mut limit, now, 2, 400);
    assert_eq!(limit.max_idle(now), Some(Duration::from_millis(200)));
}

#[test]
fn max_idle_after_sample_ttl() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    record_sample(&mut limit, now, 1, 400);
    record_sample(&mut limit, now, 2, 400);
    assert!(limit.max_idle(now + SAMPLE_TTL / 2).is_some());
    assert_eq!(limit.max_idle(now + SAMPLE_TTL), None);
}

/// Broken connections that were in constant use yield no sample.
#[test]
fn record_stale_reuse_without_idle_time() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    for i in 0..9 {
        record_sample(&mut limit, now, i, 5);
    }
    assert_eq!(limit.max_idle(now), None);
}

/// Guards against blaming idle times when servers report themselves healthy but reset every request.
#[test]
fn record_new_connection_broken() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    for i in 0..9 {
        limit.record_stale_reuse(peer(i), Duration::from_millis(500));
        limit.record_new_connection(now, peer(i), false);
        limit.record_new_connection(now, peer(i), true);
    }
    assert_eq!(limit.max_idle(now), None);
}
