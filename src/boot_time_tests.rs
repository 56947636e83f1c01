use std::time::Instant;

use super::*;

/// Guards against a clock that runs at another rate than the monotonic one while the machine is not suspended.
#[test]
fn now_advances_with_monotonic_clock() {
    let (boot, monotonic) = (BootTime::now(), Instant::now());
    std::thread::sleep(Duration::from_millis(20));
    let at_least = monotonic.elapsed();
    let passed = BootTime::now().saturating_duration_since(boot);
    assert!(passed >= at_least && passed <= monotonic.elapsed() + Duration::from_millis(5));
}
