use super::*;

const SERVICE: &str = "engines";

/// A part that all prompts share.
const COMMON: Suspect = Suspect::Part(1);

const BLOCK_TIME: Duration = Duration::from_secs(30);

fn blocked(now: Instant, suspect: Suspect, crashes: usize) -> BlockedSuspect {
    BlockedSuspect {
        suspect,
        crashes,
        latest_at: now,
        until: now + BLOCK_TIME,
    }
}

/// Returns trials of a service most of whose latest requests have [`COMMON`], and one in four another part.
fn trials() -> SuspectTrials {
    let mut trials = SuspectTrials::new(Duration::ZERO);
    for i in 0..80 {
        let suspects = match i % 4 {
            0 => vec![COMMON, Suspect::Part(2)],
            _ => vec![COMMON],
        };
        trials.record_request(SERVICE, &suspects);
    }
    trials
}

/// Guards against the failure in which the block of what all requests had kept every request out that could have cleared
/// it. One is let through at a time.
#[test]
fn begin_common_suspect() {
    let now = Instant::now();
    let mut trials = trials();
    let blocked = blocked(now, COMMON, 2);
    let id = trials.begin(now, SERVICE, &[blocked]).unwrap();
    assert!(trials.is_tested_by(&COMMON, Some(id)));
    assert!(!trials.is_tested_by(&COMMON, None));
    assert!(trials.begin(now, SERVICE, &[blocked]).is_none());
    assert_eq!(trials.time_blocked(now, &blocked), Some(TRIAL_RETRY_AFTER));
}

/// Two thirds of the latest requests have a part, as those that are refused come back. The others are served, so no trial
/// may cost a target.
#[test]
fn begin_large_minority() {
    let now = Instant::now();
    let mut trials = SuspectTrials::new(Duration::ZERO);
    for i in 0..66 {
        let suspects = if i % 3 == 0 { &[][..] } else { &[COMMON] };
        trials.record_request(SERVICE, suspects);
    }
    let blocked = blocked(now, COMMON, 2);
    assert!(trials.begin(now, SERVICE, &[blocked]).is_none());
}

/// What few requests have stays blocked, as a trial may cost a target.
#[test]
fn begin_rare_suspect() {
    let now = Instant::now();
    let mut trials = trials();
    let rare = blocked(now, Suspect::Part(2), 2);
    let common = blocked(now, COMMON, 2);
    assert!(trials.begin(now, SERVICE, &[rare]).is_none());
    assert!(trials.begin(now, SERVICE, &[common, rare]).is_none());
    assert!(trials.begin(now, "other", &[common]).is_none());
    assert!(trials.begin(now, SERVICE, &[]).is_none());
    assert_eq!(trials.time_blocked(now, &rare), Some(BLOCK_TIME));
    assert_eq!(trials.time_blocked(now + BLOCK_TIME, &rare), None);
}

/// It is not known what most requests have before there are some.
#[test]
fn begin_first_requests() {
    let now = Instant::now();
    let mut trials = SuspectTrials::new(Duration::ZERO);
    for _ in 1..MIN_RECENT_REQUESTS {
        trials.record_request(SERVICE, &[COMMON]);
        let blocked = blocked(now, COMMON, 2);
        assert!(trials.begin(now, SERVICE, &[blocked]).is_none());
    }
}

/// The target of a trial crashes: the suspect costs no further target until its block ends, and then one at a time.
#[test]
fn begin_after_failed_trial() {
    let now = Instant::now();
    let mut trials = trials();
    let id = trials.begin(now, SERVICE, &[blocked(now, COMMON, 2)]);
    let again = blocked(now, COMMON, 3);
    trials.end(now, id.unwrap());
    let later = now + BLOCK_TIME / 2;
    assert!(trials.begin(later, SERVICE, &[again]).is_none());
    assert_eq!(trials.time_blocked(later, &again), Some(BLOCK_TIME / 2));
    let end = now + BLOCK_TIME;
    assert_eq!(trials.time_blocked(end, &again), Some(TRIAL_RETRY_AFTER));
    assert!(trials.begin(end, SERVICE, &[again]).is_some());
    assert!(trials.begin(end, SERVICE, &[again]).is_none());
}

/// A trial whose caller leaves says nothing. The next begins once a crash would be known.
#[test]
fn begin_after_trial_without_result() {
    let now = Instant::now();
    let mut trials = trials();
    let blocked = blocked(now, COMMON, 2);
    let id = trials.begin(now, SERVICE, &[blocked]).unwrap();
    trials.end(now, id);
    assert!(trials.begin(now, SERVICE, &[blocked]).is_none());
    let later = now + TRIAL_PAUSE;
    assert!(trials.begin(later, SERVICE, &[blocked]).is_some());
}

#[test]
fn begin_during_remote_trial() {
    let now = Instant::now();
    let mut trials = trials();
    let blocked = blocked(now, COMMON, 2);
    trials.record_remote(now, COMMON, 2);
    assert!(trials.begin(now, SERVICE, &[blocked]).is_none());
    let later = now + REMOTE_TRIAL_TIME;
    assert!(trials.begin(later, SERVICE, &[blocked]).is_some());
}

/// All gateways learn of a crash, and of the end of a block, at about the same time. The one with the shortest delay goes first.
#[test]
fn begin_after_delay() {
    let now = Instant::now();
    let mut trials = trials();
    trials.delay = Duration::from_millis(300);
    let blocked = blocked(now, COMMON, 2);
    let due = now + trials.delay;
    let before = due - Duration::from_millis(1);
    assert!(trials.begin(before, SERVICE, &[blocked]).is_none());
    let id = trials.begin(due, SERVICE, &[blocked]).unwrap();
    trials.end(due, id);
    let again = BlockedSuspect {
        crashes: 3,
        ..blocked
    };
    assert!(trials.begin(again.until, SERVICE, &[again]).is_none());
    let due = again.until + trials.delay;
    assert!(trials.begin(due, SERVICE, &[again]).is_some());
}

#[test]
fn record_request_is_bounded() {
    let mut trials = SuspectTrials::new(Duration::ZERO);
    for i in 0..10_000 {
        trials.record_request(&format!("s-{i}"), &[COMMON]);
        trials.record_remote(Instant::now(), Suspect::Part(i), 2);
        trials.record_request(SERVICE, &[COMMON]);
    }
    assert!(trials.recent.len() <= MAX_ENTRIES);
    assert!(trials.trials.len() <= MAX_ENTRIES);
    let lengths = trials.recent.values().map(VecDeque::len);
    assert!(lengths.max().unwrap() <= RECENT_REQUESTS);
}
