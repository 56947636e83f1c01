use super::*;

const MS: Duration = Duration::from_millis(1);

fn streams(count: u32) -> InProgress {
    InProgress {
        requests: count,
        streams: count,
        ..InProgress::default()
    }
}

/// Seven engines of 38 become silent while they decode. They must be doubted before the first request misses its objective
/// by a second, and at once no longer when they answer.
#[test]
fn is_doubted_silent_streams() {
    let start = Instant::now();
    let mut activity = EngineActivity::new(start);
    activity.record_sign(start + 4_400 * MS);
    let is_doubted = |activity: &EngineActivity, at_ms: u32| {
        activity.is_doubted(start + at_ms * MS, start, &streams(3))
    };
    assert!(!is_doubted(&activity, 4_950));
    assert!(is_doubted(&activity, 5_050));
    activity.record_sign(start + 9_600 * MS);
    assert!(!is_doubted(&activity, 9_650));
}

/// An engine prefills 90,000 tokens, which takes 3 s, and other prompts wait behind. It is not silent without a reason.
#[test]
fn is_doubted_long_prompt() {
    let start = Instant::now();
    let activity = EngineActivity::new(start);
    let work = InProgress {
        requests: 4,
        streams: 0,
        oldest_prompt_sent_at: Some(start + 10 * MS),
        longest_prefill: 3_000 * MS,
    };
    assert!(!activity.is_doubted(start + 3_500 * MS, start, &work));
    assert!(activity.is_doubted(start + 3_700 * MS, start, &work));
    // A prompt that arrives at an engine which has had nothing to do starts the time.
    let late = InProgress {
        oldest_prompt_sent_at: Some(start + 60_000 * MS),
        ..work
    };
    assert!(!activity.is_doubted(start + 61_000 * MS, start, &late));
}

/// Idle engines and engines with a single request must not be probed over and over.
#[test]
fn is_doubted_little_in_progress() {
    let start = Instant::now();
    let activity = EngineActivity::new(start);
    let later = start + 60_000 * MS;
    for work in [InProgress::default(), streams(1)] {
        assert!(!activity.is_doubted(later, start, &work));
    }
    // Answers of other gateways show their progress only there.
    let remote = InProgress {
        requests: 9,
        ..InProgress::default()
    };
    assert!(!activity.is_doubted(later, start, &remote));
}

/// Streams that do not progress at an engine whose health check passes must not cause a probe every 600 ms.
#[test]
fn is_doubted_later_after_passed_probes() {
    let start = Instant::now();
    let mut activity = EngineActivity::new(start);
    let mut probes = 0;
    for step in 0..600 {
        let now = start + step * 100 * MS;
        if activity.is_doubted(now, start, &streams(2)) {
            probes += 1;
            activity.record_passed_probe(now);
        }
    }
    assert!(probes <= 10, "{probes}");
}

/// A gateway on a tenth of a core stalls for 2 s. Its engines have not been silent; it has not listened.
#[test]
fn observe_after_own_stall() {
    let start = Instant::now();
    let activity = EngineActivity::new(start);
    let mut window = ObservationWindow::new(start);
    for step in 1..=5 {
        assert_eq!(window.observe(start + step * 100 * MS), start);
    }
    let resumed = start + 2_500 * MS;
    let since = window.observe(resumed);
    assert_eq!(since, resumed);
    assert!(!activity.is_doubted(resumed + 500 * MS, since, &streams(5)));
    assert!(activity.is_doubted(resumed + 700 * MS, since, &streams(5)));
}
