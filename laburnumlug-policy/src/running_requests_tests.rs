use super::*;

const SHARED: Suspect = Suspect::Part(1);

fn request(now: Instant, expected_ms: u64) -> RunningRequest {
    RunningRequest::new(now, vec![SHARED], Duration::from_millis(expected_ms))
}

fn furthest(running: &RunningRequests, now: Instant) -> Option<Progress> {
    let furthest = running.furthest(now, &HashSet::from([SHARED]));
    furthest.get(&SHARED).copied()
}

/// A long prompt that was sent first has got less far than a short one.
#[test]
fn progress_relative_to_expected_time() {
    let now = Instant::now();
    let later = now + Duration::from_millis(300);
    let long = request(now, 1000);
    let short = request(now + Duration::from_millis(100), 200);
    assert!(long.progress(later) < short.progress(later));
}

/// A stream with an event has got further than any without one, however long they have run.
#[test]
fn progress_after_first_event() {
    let now = Instant::now();
    let mut running = RunningRequests::default();
    let id = running.begin(request(now, 10));
    let later = now + Duration::from_secs(3600);
    let waiting = request(now, 0).progress(later);
    running.mark_decoding(later, id);
    assert!(furthest(&running, later).unwrap() >= waiting);
    let begun = running.get(id).unwrap();
    assert!(!begun.has_outlasted_start(later));
    assert!(begun.has_outlasted_start(later + DECODE_START_TIME));
}

/// The requests of a crashed target are no evidence that others do not crash, although their ends are not yet known.
#[test]
fn record_crash_ends_requests() {
    let now = Instant::now();
    let mut running = RunningRequests::default();
    running.begin(request(now, 10));
    let crashed_at = now + Duration::from_millis(5);
    assert!(running.record_crash(crashed_at));
    assert_eq!(furthest(&running, crashed_at), None);
    let later = crashed_at + Duration::from_millis(1);
    running.begin(request(later, 10));
    assert_eq!(furthest(&running, later), Some(0));
    assert!(!running.record_crash(crashed_at));
    assert!(running.record_crash(crashed_at + SAME_CRASH_TIME));
}

/// Guards against the failure in which a part that all prompts share was blocked after two crashes during the first
/// prompts, while requests with it that had got as far ran at the other servers.
#[test]
fn has_been_outlasted_by_targets_as_far() {
    assert!(has_been_outlasted(241, &[120, 242, 250]));
    assert!(has_been_outlasted(241, &[10, 60, 120, 180, 200, 300, 400]));
    assert!(has_been_outlasted(241, &[FIRST_EVENT_PROGRESS; 2]));
    let begun = FIRST_EVENT_PROGRESS + 50;
    assert!(!has_been_outlasted(
        begun,
        &[900, FIRST_EVENT_PROGRESS, begun]
    ));
}

/// All requests were sent at about the same time, and those of the crashed target happen to have been first.
#[test]
fn has_been_outlasted_sent_together() {
    assert!(has_been_outlasted(242, &[241; 7]));
    assert!(has_been_outlasted(1000, &[200, 901, 905, 950]));
}

/// Guards against the failure in which a part that crashes engines when they begin to decode it ended one after the other, as
/// one of its prompts waited for long at a slow engine.
#[test]
fn has_been_outlasted_harmful_part() {
    let mut running: Vec<Progress> = (1..10).map(|i| i * 100).collect();
    assert!(!has_been_outlasted(1050, &running));
    running.push(4000);
    assert!(!has_been_outlasted(1050, &running));
    assert!(!has_been_outlasted(1050, &[300, 4000]));
    assert!(!has_been_outlasted(1050, &[]));
}

/// Earlier versions do not report how far their requests had got.
#[test]
fn has_been_outlasted_unknown_progress() {
    assert!(!has_been_outlasted(
        Progress::MAX,
        &[FIRST_EVENT_PROGRESS; 9]
    ));
}
