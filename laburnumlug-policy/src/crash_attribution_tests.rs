use super::*;
use crate::crash_blame::{FIRST_CONTENT_BLOCK_TIME, FIRST_PART_BLOCK_TIME};

const SECOND: Duration = Duration::from_secs(1);

/// First part of all prompts of a route.
const COMMON: PartId = 1;

/// A part that crashes engines.
const HARMFUL: PartId = 2;

fn prompt(parts: &[PartId]) -> Vec<Suspect> {
    parts.iter().copied().map(Suspect::Part).collect()
}

fn crash(engine: &str, at: Instant, parts: &[PartId]) -> TargetCrash {
    TargetCrash {
        target: engine.to_string(),
        at,
        suspects: prompt(parts),
    }
}

fn is_blocked(attribution: &CrashAttribution, now: Instant, parts: &[PartId]) -> bool {
    attribution.blocked(now, &prompt(parts), None).is_some()
}

/// The same part is in prompts of two engines that crash; each engine was beginning other prompts as well.
#[test]
fn record_crash_part_in_two_crashes() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    attribution.record_completion(now, &prompt(&[COMMON]));
    let first = crash("a", now, &[COMMON, HARMFUL, COMMON, 30, 31]);
    assert!(attribution.record_crash(now, first).is_empty());
    let later = now + SECOND;
    let blocked = attribution.record_crash(later, crash("b", later, &[40, COMMON, HARMFUL]));
    assert_eq!(blocked.len(), 1);
    let expected = (Suspect::Part(HARMFUL), 2);
    assert_eq!((blocked[0].suspect, blocked[0].crashes), expected);
    assert!(is_blocked(&attribution, later, &[COMMON, HARMFUL]));
    for sound in [&[COMMON][..], &[COMMON, 30, 31], &[40], &[]] {
        assert!(!is_blocked(&attribution, later, sound), "{sound:?}");
    }
}

/// Engines crash before any request has completed, so the parts that all prompts share are suspected, too.
#[test]
fn record_crash_before_any_completion() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for (i, engine) in ["a", "b", "c"].into_iter().enumerate() {
        let at = now + SECOND * i as u32;
        attribution.record_crash(at, crash(engine, at, &[COMMON, HARMFUL]));
    }
    let later = now + 3 * SECOND;
    assert!(is_blocked(&attribution, later, &[COMMON, HARMFUL]));
    assert!(!is_blocked(&attribution, later, &[COMMON, 50]));
}

#[test]
fn record_completion_ends_block() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for engine in ["a", "b"] {
        attribution.record_crash(now, crash(engine, now, &[60]));
    }
    assert!(is_blocked(&attribution, now, &[60]));
    attribution.record_completion(now, &prompt(&[60]));
    assert!(!is_blocked(&attribution, now, &[60]));
}

/// Half of the engines lose power together. The parts of requests that several of them were beginning are not blocked.
#[test]
fn record_crash_common_cause() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    let parts = [&[70, 71][..], &[72], &[71, 72], &[70], &[], &[]];
    for (i, parts) in parts.into_iter().enumerate() {
        let at = now + Duration::from_millis(10) * i as u32;
        attribution.record_crash(at, crash(&format!("e-{i}"), at, parts));
    }
    assert!(!is_blocked(&attribution, now + SECOND, &[70, 71, 72]));
}

/// Three engines crash at the same time; the gateway that sent the harmful prompt to one of them has been lost.
#[test]
fn record_crash_part_in_most_of_a_group() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for (engine, parts) in [("a", &[HARMFUL][..]), ("b", &[75]), ("c", &[HARMFUL, 76])] {
        attribution.record_crash(now, crash(engine, now, parts));
    }
    assert!(is_blocked(&attribution, now, &[HARMFUL]));
    assert!(!is_blocked(&attribution, now, &[75, 76]));
}

#[test]
fn record_crash_reports_of_several_gateways() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for ms in [0, 5, 300] {
        let at = now + Duration::from_millis(ms);
        attribution.record_crash(at, crash("a", at, &[80]));
    }
    assert!(!is_blocked(&attribution, now + SECOND, &[80]));
    assert_eq!(attribution.crashes().count(), 1);
}

/// A part that was blocked and then crashes another engine is blocked at once, for longer.
#[test]
fn blocked_part_again_after_block() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..2 {
        let at = now + SECOND * i;
        attribution.record_crash(at, crash(&format!("e-{i}"), at, &[HARMFUL]));
    }
    let later = now + SECOND + FIRST_PART_BLOCK_TIME;
    assert!(is_blocked(&attribution, later - SECOND, &[HARMFUL]));
    assert!(!is_blocked(&attribution, later, &[HARMFUL]));
    let blocked = attribution.record_crash(later, crash("c", later, &[HARMFUL]));
    assert_eq!(blocked[0].until, later + 2 * FIRST_PART_BLOCK_TIME);
}

/// A restarted process learns of the crashes from another, in any order.
#[test]
fn crashes_restore_blocks() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..3 {
        let at = now + SECOND * i;
        attribution.record_crash(
            at,
            crash(&format!("e-{i}"), at, &[HARMFUL, 90 + u64::from(i)]),
        );
    }
    let mut restarted = CrashAttribution::new(Duration::ZERO);
    let crashes: Vec<TargetCrash> = attribution.crashes().cloned().collect();
    for crash in crashes.into_iter().rev() {
        restarted.record_crash(now + 4 * SECOND, crash);
    }
    let prompt = prompt(&[HARMFUL]);
    let later = now + 5 * SECOND;
    assert!(restarted.blocked(later, &prompt, None).is_some());
    assert_eq!(
        restarted.blocked(later, &prompt, None),
        attribution.blocked(later, &prompt, None)
    );
}

#[test]
fn record_crash_is_bounded() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..1000 {
        let at = now + SECOND * i;
        let parts: Vec<PartId> = (0..1000).map(|part| u64::from(i) * 1000 + part).collect();
        attribution.record_crash(at, crash(&format!("e-{i}"), at, &parts));
    }
    assert_eq!(attribution.crashes().count(), MAX_CRASHES);
    assert!(
        attribution
            .crashes()
            .all(|crash| crash.suspects.len() <= MAX_SUSPECTS)
    );
}

/// Content of a request that crashes each target that runs it.
const REPEATED: ContentId = 2;

fn content_crash(target: &str, at: Instant, contents: &[ContentId]) -> TargetCrash {
    let suspects = contents.iter().copied().map(Suspect::Content);
    TargetCrash {
        target: target.to_string(),
        at,
        suspects: suspects.collect(),
    }
}

fn is_content_blocked(attribution: &CrashAttribution, now: Instant, content: ContentId) -> bool {
    attribution
        .blocked(now, &[Suspect::Content(content)], None)
        .is_some()
}

/// A target crashes that ran only one request: its repeats are refused from the first crash on.
#[test]
fn record_crash_only_request() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    let blocked = attribution.record_crash(now, content_crash("a", now, &[REPEATED]));
    assert_eq!(blocked[0].suspect, Suspect::Content(REPEATED));
    assert!(!is_content_blocked(&attribution, now, 3));
    let end = now + FIRST_CONTENT_BLOCK_TIME;
    assert!(is_content_blocked(&attribution, end - SECOND, REPEATED));
    assert!(!is_content_blocked(&attribution, end, REPEATED));
    attribution.record_crash(end, content_crash("b", end, &[REPEATED]));
    let later = end + 4 * FIRST_CONTENT_BLOCK_TIME;
    assert!(is_content_blocked(&attribution, later, REPEATED));
}

/// Any of several requests may have crashed the target. All are blocked until the second crash tells which it was.
#[test]
fn record_crash_several_requests() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    attribution.record_crash(now, content_crash("a", now, &[REPEATED, 20, 21]));
    for content in [REPEATED, 20, 21] {
        assert!(is_content_blocked(&attribution, now, content));
    }
    let later = now + SECOND;
    attribution.record_crash(later, content_crash("b", later, &[22, REPEATED]));
    assert!(is_content_blocked(&attribution, later, REPEATED));
    for content in [20, 21, 22] {
        assert!(!is_content_blocked(&attribution, later, content));
    }
}

/// A target crashes under more requests than may be refused because of one crash.
#[test]
fn record_crash_many_requests() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    let contents: Vec<ContentId> = (0..20).collect();
    attribution.record_crash(now, content_crash("a", now, &contents));
    for content in contents {
        assert!(!is_content_blocked(&attribution, now, content));
    }
    let later = now + SECOND;
    attribution.record_crash(later, content_crash("b", later, &[REPEATED]));
    assert!(is_content_blocked(&attribution, later, REPEATED));
}

/// Two crashes are explained by a part. The requests that have it are blocked, and those beside them are not.
#[test]
fn record_crash_explained_by_part() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..2 {
        let at = now + SECOND * i;
        let mut crash = content_crash(&format!("t-{i}"), at, &[25 + u64::from(i)]);
        crash.suspects.push(Suspect::Part(HARMFUL));
        attribution.record_crash(at, crash);
    }
    let later = now + SECOND;
    assert!(is_blocked(&attribution, later, &[HARMFUL]));
    assert!(!is_content_blocked(&attribution, later, 25));
    assert!(!is_content_blocked(&attribution, later, 26));
}

/// All requests but one of a crash complete later, so that only that one is blocked.
#[test]
fn record_completion_clears_request() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    attribution.record_crash(now, content_crash("a", now, &[REPEATED, 40]));
    attribution.record_completion(now + SECOND, &[Suspect::Content(40)]);
    assert!(!is_content_blocked(&attribution, now + SECOND, 40));
    assert!(is_content_blocked(&attribution, now + SECOND, REPEATED));
}

/// A request that completes now and then is not suspected, although targets that run it crash.
#[test]
fn record_crash_after_completion() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    attribution.record_completion(now, &[Suspect::Content(50)]);
    for i in 1..4 {
        let at = now + SECOND * i;
        attribution.record_crash(at, content_crash(&format!("t-{i}"), at, &[50]));
        assert!(!is_content_blocked(&attribution, at, 50));
    }
}

/// Targets that run one request each lose power together.
#[test]
fn record_crash_common_cause_of_requests() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..3 {
        let at = now + Duration::from_millis(10) * i;
        let crash = content_crash(&format!("t-{i}"), at, &[60 + u64::from(i)]);
        attribution.record_crash(at, crash);
    }
    for content in 60..63 {
        assert!(!is_content_blocked(&attribution, now + SECOND, content));
    }
}

/// Crashes without a known cause do not displace those that a block rests on.
#[test]
fn record_crash_keeps_explained_crashes() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..3 {
        let at = now + SECOND * i;
        attribution.record_crash(at, content_crash(&format!("t-{i}"), at, &[REPEATED]));
    }
    for i in 10..1000 {
        let at = now + SECOND * i;
        attribution.record_crash(at, content_crash(&format!("t-{i}"), at, &[]));
    }
    let later = now + 1000 * SECOND;
    assert!(is_content_blocked(&attribution, later, REPEATED));
}

/// Returns an attribution that blocks [`COMMON`], which all requests for a service have.
fn block_common(now: Instant) -> CrashAttribution {
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    for i in 0..2 {
        attribution.record_crash(now, crash(&format!("e-{i}"), now, &[COMMON]));
    }
    for _ in 0..20 {
        attribution.record_request("s", &prompt(&[COMMON]));
    }
    assert!(is_blocked(&attribution, now, &[COMMON]));
    attribution
}

/// Guards against the failure in which a block kept out all requests that could have ended it: the request that tests what all
/// have is not blocked, and ends the block when it completes.
#[test]
fn begin_trial_completes() {
    let now = Instant::now();
    let mut attribution = block_common(now);
    let suspects = prompt(&[COMMON]);
    let (trial, tested) = attribution.begin_trial(now, "s", &suspects).unwrap();
    assert_eq!(tested, suspects);
    assert_eq!(attribution.blocked(now, &suspects, Some(trial)), None);
    let refused = attribution.blocked(now, &suspects, None).unwrap();
    assert!(refused.until < now + FIRST_PART_BLOCK_TIME);
    attribution.record_completion(now, &suspects);
    assert!(!is_blocked(&attribution, now, &[COMMON]));
    assert!(attribution.begin_trial(now, "s", &suspects).is_none());
}

/// The part that all requests have does crash targets: a trial costs one, and no request is sent until the block ends. From
/// then on one request at a time is.
#[test]
fn begin_trial_crashes() {
    let now = Instant::now();
    let mut attribution = block_common(now);
    let suspects = prompt(&[COMMON]);
    let (trial, _) = attribution.begin_trial(now, "s", &suspects).unwrap();
    let later = now + SECOND;
    attribution.record_crash(later, crash("e-2", later, &[COMMON]));
    attribution.end_trial(later, trial);
    let end = later + 2 * FIRST_PART_BLOCK_TIME;
    for at in [later, end - SECOND] {
        assert!(attribution.begin_trial(at, "s", &suspects).is_none());
        assert!(is_blocked(&attribution, at, &[COMMON]));
    }
    assert!(is_blocked(&attribution, end, &[COMMON]));
    assert!(attribution.begin_trial(end, "s", &suspects).is_some());
    assert!(attribution.begin_trial(end, "s", &suspects).is_none());
}

#[test]
fn is_suspected_unless_cleared() {
    let now = Instant::now();
    let mut attribution = CrashAttribution::new(Duration::ZERO);
    attribution.record_completion(now, &prompt(&[COMMON]));
    attribution.record_crash(now, crash("a", now, &[COMMON, HARMFUL]));
    let (common, harmful) = (Suspect::Part(COMMON), Suspect::Part(HARMFUL));
    assert!(attribution.is_cleared(now, &common) && !attribution.is_suspected(&common));
    assert!(!attribution.is_cleared(now, &harmful) && attribution.is_suspected(&harmful));
}
