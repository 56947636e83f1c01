use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Any time after the start of the machine.
const START: BootTime = BootTime::from_reading(Duration::from_secs(1000));

/// Time after which no caller resumes a stream.
const MAX_AGE: Duration = Duration::from_secs(8);

fn versions(names: &[&str]) -> BTreeSet<Option<SoftwareVersion>> {
    names.iter().map(|name| Some(name.to_string())).collect()
}

/// Returns the assumed origin at `now` of a process that has read all lists until then and received all reports.
fn origin(history: &mut SoftwareHistory, now: BootTime) -> AssumedOrigin {
    while let Some(listed_at) = history.listed_at.filter(|at| *at < now) {
        history.confirm(now.min(listed_at + SECOND));
    }
    history.assumed_origin(now, MAX_AGE, None)
}

fn assumed(name: &str) -> AssumedOrigin {
    AssumedOrigin::Version(Some(name.to_string()))
}

/// A second version appears. Streams that nobody has reported began at the first one, until none of them is left.
#[test]
fn assumed_origin_after_second_version() {
    let now = START;
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v1"]));
    history.add_record(now, None);
    assert!(!history.needs_origins(now));
    let until = now + 99 * SECOND;
    assert_eq!(origin(&mut history, until), assumed("v1"));
    let mixed_at = now + 100 * SECOND;
    history.update(mixed_at, versions(&["v1", "v2"]));
    assert!(history.needs_origins(mixed_at));
    assert_eq!(origin(&mut history, mixed_at), assumed("v1"));
    history.update(mixed_at + SECOND, versions(&["v1", "v2", "v3"]));
    let last = until + MAX_AGE + (LISTING_SKEW - SECOND);
    assert_eq!(origin(&mut history, last), assumed("v1"));
    let later = until + MAX_AGE + LISTING_SKEW;
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(origin(&mut history, later), unknown);
}

/// The first list already has two versions, as after a restart.
#[test]
fn assumed_origin_from_the_start() {
    let now = START;
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&[]));
    history.update(now, versions(&["v1", "v2"]));
    history.add_record(now, None);
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(origin(&mut history, now), unknown);
    history.update(now, versions(&[]));
    assert!(history.needs_origins(now));
}

/// A release ends and the next one begins.
#[test]
fn assumed_origin_after_next_release() {
    let mut now = START;
    let mut history = SoftwareHistory::default();
    for names in [&["v1"][..], &["v1", "v2"], &["v2"]] {
        history.update(now, versions(names));
        history.add_record(now, None);
        // Targets that have left count as recent for a minute.
        for _ in 0..60 {
            now = now + SECOND;
            history.confirm(now);
        }
    }
    assert_eq!(origin(&mut history, now), assumed("v2"));
    history.update(now + SECOND, versions(&["v2", "v3"]));
    assert_eq!(origin(&mut history, now + SECOND), assumed("v2"));
}

fn record(names: &[&str], unchanged: Duration) -> SoftwareRecord {
    SoftwareRecord {
        service: "engines".to_string(),
        versions: versions(names),
        unchanged_ms: unchanged.as_millis() as u64,
    }
}

/// A process starts after another version has left. It knows of that only from the record of the control replicas, which may
/// also show the versions from before.
#[test]
fn assumed_origin_after_restart() {
    let now = START;
    let window = MAX_AGE + LISTING_SKEW;
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v2"]));
    assert_eq!(origin(&mut history, now), AssumedOrigin::Unknown);
    history.add_record(now, Some(&record(&["v1", "v2"], 100 * SECOND)));
    assert_eq!(origin(&mut history, now), AssumedOrigin::Unknown);
    history.add_record(now, Some(&record(&["v2"], window - SECOND)));
    assert_eq!(origin(&mut history, now), AssumedOrigin::Unknown);
    let later = now + SECOND;
    let mut mixed = history.clone();
    assert_eq!(origin(&mut history, later), assumed("v2"));
    mixed.update(now, versions(&["v2", "v3"]));
    assert_eq!(origin(&mut mixed, now), AssumedOrigin::Unknown);
    assert_eq!(origin(&mut mixed, later), assumed("v2"));
}

/// A process starts that gets no record. It knows of all versions only after the longest time that a stream may last.
#[test]
fn assumed_origin_without_record() {
    let now = START;
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v1"]));
    let later = now + MAX_AGE + LISTING_SKEW;
    assert_eq!(origin(&mut history, now + MAX_AGE), AssumedOrigin::Unknown);
    assert_eq!(origin(&mut history, later), assumed("v1"));
    assert!(history.needs_origins(later));
    assert!(!history.needs_origins(now + UNCERTAIN_TIME));
}

/// Returns the history of a process that has known one version for a minute, and the time of its newest list.
fn known_version() -> (SoftwareHistory, BootTime) {
    let mut history = SoftwareHistory::default();
    history.update(START, versions(&["v1"]));
    history.add_record(START, None);
    let listed_at = START + 60 * SECOND;
    assert_eq!(origin(&mut history, listed_at), assumed("v1"));
    (history, listed_at)
}

/// Guards against streams of two versions at a process that is frozen or cut off: its old list shows one version only.
#[test]
fn assumed_origin_by_old_list() {
    let (mut history, listed_at) = known_version();
    let now = listed_at + MAX_LIST_AGE;
    assert!(history.is_current(now));
    assert_eq!(history.assumed_origin(now, MAX_AGE, None), assumed("v1"));
    let now = now + SECOND;
    assert!(!history.is_current(now));
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(history.assumed_origin(now, MAX_AGE, None), unknown);
    history.confirm(now);
    assert_eq!(history.assumed_origin(now, MAX_AGE, None), assumed("v1"));
}

/// Guards against streams of two versions at a process that is back, and learns of the second version late. Reports that were
/// sent since its last list of one version may be missing.
#[test]
fn assumed_origin_by_late_list() {
    let (mut history, listed_at) = known_version();
    let now = listed_at + 4 * SECOND;
    history.update(now, versions(&["v1", "v2"]));
    let unknown = AssumedOrigin::Unknown;
    for missing_at in [listed_at, listed_at + SECOND, now] {
        let assumed_origin = history.assumed_origin(now, MAX_AGE, Some(missing_at));
        assert_eq!(assumed_origin, unknown);
    }
    for missing_at in [None, Some(START)] {
        let assumed_origin = history.assumed_origin(now, MAX_AGE, missing_at);
        assert_eq!(assumed_origin, assumed("v1"));
    }
    assert_eq!(
        origin(&mut history, listed_at + MAX_AGE + LISTING_SKEW),
        unknown
    );
}

/// Guards against streams of two versions when all targets start again under their names with another version: no list shows
/// both.
#[test]
fn assumed_origin_after_replacement() {
    let (mut history, listed_at) = known_version();
    let now = listed_at + SECOND;
    history.update(now, versions(&["v2"]));
    assert_eq!(origin(&mut history, now), AssumedOrigin::Unknown);
    assert!(history.needs_origins(now));
    let later = listed_at + MAX_AGE + LISTING_SKEW;
    assert_eq!(origin(&mut history, later), assumed("v2"));
    assert!(history.needs_origins(later));
    assert!(!history.needs_origins(listed_at + UNCERTAIN_TIME));
}

/// A version may have joined and left while a process had no list. Only the record of the control replicas tells.
#[test]
fn assumed_origin_after_time_without_list() {
    let (mut history, listed_at) = known_version();
    let now = listed_at + MAX_LIST_GAP + SECOND;
    assert!(history.confirm(now));
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(history.assumed_origin(now, MAX_AGE, None), unknown);
    let mut recorded = history.clone();
    recorded.add_record(now, Some(&record(&["v1"], 2 * SECOND)));
    assert_eq!(recorded.assumed_origin(now, MAX_AGE, None), unknown);
    recorded.add_record(now, Some(&record(&["v1"], 60 * SECOND)));
    assert_eq!(recorded.assumed_origin(now, MAX_AGE, None), assumed("v1"));
    history.add_record(now, None);
    assert_eq!(history.assumed_origin(now, MAX_AGE, None), assumed("v1"));
}
