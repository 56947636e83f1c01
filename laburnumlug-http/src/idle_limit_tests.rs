use super::*;

fn peer(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 80).into()
}

fn note_dead(limit: &mut RestLimit, now: Instant, i: u8, rested_ms: u64) {
    limit.note_dead(peer(i), Duration::from_millis(rested_ms));
    limit.note_new(now, peer(i), true);
}

/// Pattern: half of the servers forget connections that rested for 300 ms.
#[test]
fn longest_below_what_was_too_long() {
    let now = Instant::now();
    let mut limit = RestLimit::default();
    assert_eq!(limit.longest(now), None);
    note_dead(&mut limit, now, 1, 900);
    note_dead(&mut limit, now, 1, 800);
    // One server may have restarted.
    assert_eq!(limit.longest(now), None);
    note_dead(&mut limit, now, 2, 400);
    assert_eq!(limit.longest(now), Some(Duration::from_millis(200)));
}

#[test]
fn longest_is_forgotten() {
    let now = Instant::now();
    let mut limit = RestLimit::default();
    note_dead(&mut limit, now, 1, 400);
    note_dead(&mut limit, now, 2, 400);
    assert!(limit.longest(now + MEMORY / 2).is_some());
    assert_eq!(limit.longest(now + MEMORY), None);
}

/// Connections in constant use that break tell nothing about rests.
#[test]
fn note_dead_without_rest() {
    let now = Instant::now();
    let mut limit = RestLimit::default();
    for i in 0..9 {
        note_dead(&mut limit, now, i, 5);
    }
    assert_eq!(limit.longest(now), None);
}

/// Pattern: servers are healthy by their own account and reset each request.
#[test]
fn note_new_that_breaks_too() {
    let now = Instant::now();
    let mut limit = RestLimit::default();
    for i in 0..9 {
        limit.note_dead(peer(i), Duration::from_millis(500));
        limit.note_new(now, peer(i), false);
        limit.note_new(now, peer(i), true);
    }
    assert_eq!(limit.longest(now), None);
}
