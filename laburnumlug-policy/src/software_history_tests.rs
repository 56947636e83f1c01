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
    assert!(!history.is_mixed());
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Any);
    let mixed_at = now + 100 * SECOND;
    history.update(mixed_at, versions(&["v1", "v2"]));
    assert!(history.is_mixed());
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
    let unknown = AssumedOrigin::Unknown;
    assert_eq!(history.assumed_origin(now, MAX_AGE), unknown);
    history.update(now, versions(&[]));
    assert!(history.is_mixed());
}

/// A release ends and the next one begins.
#[test]
fn assumed_origin_after_next_release() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    for names in [&["v1"][..], &["v1", "v2"], &["v2"]] {
        history.update(now, versions(names));
    }
    assert_eq!(history.assumed_origin(now, MAX_AGE), AssumedOrigin::Any);
    history.update(now + SECOND, versions(&["v2", "v3"]));
    assert_eq!(history.assumed_origin(now + SECOND, MAX_AGE), assumed("v2"));
}
