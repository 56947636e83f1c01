use super::*;

/// Returns whether a body that sends `bytes` each `interval` ever counts as slow within 10 s.
fn is_ever_slow(bytes: usize, interval: Duration) -> bool {
    let began_at = Instant::now();
    let mut progress = BodyProgress::new(began_at);
    let times = (1..).map(|i| interval * i);
    let mut times = times.take_while(|time| *time < Duration::from_secs(10));
    times.any(|time| {
        let is_slow = progress.slow_bytes(began_at + time).is_some();
        progress.record(began_at + time, bytes);
        is_slow
    })
}

/// Guards against a sound caller on a slow link, 400 KB in 8 s, whose connection is closed for a new one.
#[test]
fn slow_bytes_mobile_caller() {
    assert!(!is_ever_slow(5_000, Duration::from_millis(100)));
    assert!(!is_ever_slow(25_000, Duration::from_millis(500)));
}

/// Guards against clients that keep a connection by a byte now and then.
#[test]
fn slow_bytes_trickle() {
    assert!(is_ever_slow(1, Duration::from_millis(10)));
    assert!(is_ever_slow(1_000, Duration::from_millis(900)));
}

#[test]
fn slow_bytes_stalled_after_burst() {
    let began_at = Instant::now();
    let mut progress = BodyProgress::new(began_at);
    progress.record(began_at + WINDOW / 4, 1 << 20);
    assert_eq!(progress.slow_bytes(began_at + WINDOW / 2), None);
    assert_eq!(progress.slow_bytes(began_at + 3 * WINDOW), Some(0));
}

/// A body gets two windows before it counts as slow.
#[test]
fn slow_bytes_new_body() {
    let began_at = Instant::now();
    let progress = BodyProgress::new(began_at);
    assert_eq!(progress.slow_bytes(began_at + WINDOW), None);
    assert_eq!(progress.slow_bytes(began_at + 2 * WINDOW), Some(0));
}
