use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests that are accepted after the notice time and cut by the exit.
#[test]
fn accepts_after_notice_time_what_ends_in_time() {
    let now = Instant::now();
    let schedule = ShutdownSchedule::new(now, 8 * SECOND);
    let deadline = now + 20 * SECOND;
    assert!(schedule.accepts(now, deadline));
    assert!(schedule.accepts(now + Duration::from_millis(2749), deadline));
    // The process may have noticed the request to stop late, and the caller have sent its request earlier.
    assert!(!schedule.accepts(now + Duration::from_millis(2750), deadline));
    assert_eq!(schedule.listen_until(), now + 3 * SECOND);
    let later = now + Duration::from_millis(3400);
    assert!(!schedule.accepts(later, deadline));
    assert!(!schedule.accepts(later, schedule.exit_at()));
    assert!(schedule.accepts(later, schedule.give_up_at()));
    assert!(schedule.accepts(later, later + SECOND));
}

/// A request that arrives once others are given up would get no response, however early it ends.
#[test]
fn accepts_nothing_once_given_up() {
    let now = Instant::now();
    for grace_ms in [0, 100, 400, 1000, 8000] {
        let schedule = ShutdownSchedule::new(now, Duration::from_millis(grace_ms));
        let at = schedule.give_up_at();
        assert!(!schedule.accepts(at, at), "{grace_ms}");
        assert!(
            schedule.accept_until() <= schedule.listen_until(),
            "{grace_ms}"
        );
        assert!(schedule.listen_until() <= at, "{grace_ms}");
        assert!(at <= schedule.exit_at(), "{grace_ms}");
        let grace_end = now + Duration::from_millis(grace_ms);
        assert!(schedule.exit_at() <= grace_end, "{grace_ms}");
    }
}

/// Guards against a process that was paused when it was asked to stop, and then accepts requests which its end cuts.
#[test]
fn accepts_less_after_late_notice() {
    let requested_at = Instant::now();
    for delay_ms in [0, 200, 1500, 5000, 9000] {
        let now = requested_at + Duration::from_millis(delay_ms);
        let schedule = ShutdownSchedule::new(now, 8 * SECOND).requested_at(requested_at, now);
        let in_time = ShutdownSchedule::new(requested_at, 8 * SECOND);
        assert_eq!(schedule.accept_until(), in_time.accept_until().max(now));
        assert_eq!(schedule.give_up_at(), in_time.give_up_at().max(now));
        assert!(
            schedule.listen_until() <= schedule.give_up_at(),
            "{delay_ms}"
        );
        assert_eq!(
            schedule.exit_at(),
            in_time.exit_at() + Duration::from_millis(delay_ms)
        );
    }
}
