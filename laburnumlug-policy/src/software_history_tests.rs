use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Time after which no caller resumes a stream.
const MAX_AGE: Duration = Duration::from_secs(8);

fn versions(names: &[&str]) -> BTreeSet<Option<SoftwareVersion>> {
    names.iter().map(|name| Some(name.to_string())).collect()
}

fn assumed(name: &str) -> AssumedOrigin {
    AssumedOrigin::Version(Some(name.to_string()))
}

/// A second version appears. Streams that nobody has reported began at the first one, until none of them is left.
#[test]
fn assumed_origin_after_second_version() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v1"]));
    history.add_record(now, None);
    assert!(!history.needs_origins(now));
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Any);
    let mixed_at = now + 100 * SECOND;
    history.update(mixed_at, versions(&["v1", "v2"]));
    assert!(history.needs_origins(mixed_at));
    assert_eq!(history.assumed_origin(mixed_at, MAX_AGE), assumed("v1"));
    history.update(mixed_at + SECOND, versions(&["v1", "v2", "v3"]));
    let last = mixed_at + MAX_AGE + LISTING_SKEW - SECOND;
    assert_eq!(history.assumed_origin(last, MAX_AGE), assumed("v1"));
    let later = mixed_at + MAX_AGE + LISTING_SKEW;
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(history.assumed_origin(later, MAX_AGE), unknown);
}

/// The first list already has two versions, as after a restart.
#[test]
fn assumed_origin_from_the_start() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&[]));
    history.update(now, versions(&["v1", "v2"]));
    history.add_record(now, None);
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(history.assumed_origin(now, MAX_AGE), unknown);
    history.update(now, versions(&[]));
    assert!(history.needs_origins(now));
}

/// A release ends and the next one begins.
#[test]
fn assumed_origin_after_next_release() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    for names in [&["v1"][..], &["v1", "v2"], &["v2"]] {
        history.update(now, versions(names));
        history.add_record(now, None);
    }
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Any);
    history.update(now + SECOND, versions(&["v2", "v3"]));
    assert_eq!(history.assumed_origin(now + SECOND, MAX_AGE), assumed("v2"));
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
    let now = Instant::now();
    let window = MAX_AGE + LISTING_SKEW;
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v2"]));
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Unknown);
    history.add_record(now, Some(&record(&["v1", "v2"], 100 * SECOND)));
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Unknown);
    history.add_record(now, Some(&record(&["v2"], window - SECOND)));
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Unknown);
    let later = now + SECOND;
    assert_eq!(history.assumed_origin(later, MAX_AGE), AssumedOrigin::Any);
    history.update(now, versions(&["v2", "v3"]));
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Unknown);
    assert_eq!(history.assumed_origin(later, MAX_AGE), assumed("v2"));
}

/// A process starts that gets no record. It knows of all versions only after the longest time that a stream may last.
#[test]
fn assumed_origin_without_record() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    history.update(now, versions(&["v1"]));
    let later = now + MAX_AGE + LISTING_SKEW;
    assert_eq!(
        history.assumed_origin(later - SECOND, MAX_AGE),
        AssumedOrigin::Unknown
    );
    assert_eq!(history.assumed_origin(later, MAX_AGE), AssumedOrigin::Any);
    assert!(history.needs_origins(later));
    assert!(!history.needs_origins(now + UNCERTAIN_TIME));
}
