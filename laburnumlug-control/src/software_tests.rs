use laburnumlug::LiveTarget;

use super::*;

const NOW_MS: u64 = 1_000_000;

/// Returns a list of targets of one service that run these versions.
fn list(versions: &[&str]) -> TargetList {
    let target = |(i, version): (usize, &&str)| LiveTarget {
        instance: format!("i-{i}"),
        service: "engines".to_string(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "z".to_string(),
        slots: 4,
        leaving: false,
        changing: false,
        role: None,
        software: Some(version.to_string()),
    };
    TargetList {
        targets: versions.iter().enumerate().map(target).collect(),
    }
}

/// Records the versions of a list, and returns how long the ledger reports them as unchanged at `NOW_MS`; `None` if it has no
/// entry.
fn unchanged_ms(ledger: &mut SoftwareLedger, time_ms: u64, versions: &[&str]) -> Option<u64> {
    for change in ledger.changes(&list(versions)) {
        assert!(ledger.record(time_ms, change.clone()));
        assert!(!ledger.record(time_ms + 1, change));
    }
    let records = ledger.records(NOW_MS);
    records.first().map(|record| record.unchanged_ms)
}

/// A second version appears, and the first one leaves. What is known of the time since then may not exceed it, also if the
/// clocks of the replicas differ.
#[test]
fn records_last_change() {
    let mut ledger = SoftwareLedger::default();
    assert_eq!(
        unchanged_ms(&mut ledger, NOW_MS - 90_000, &["v1", "v1"]),
        None
    );
    assert_eq!(
        unchanged_ms(&mut ledger, NOW_MS - 80_000, &["v1", "v2"]),
        Some(75_000)
    );
    assert_eq!(
        unchanged_ms(&mut ledger, NOW_MS - 70_000, &["v2", "v1"]),
        Some(75_000)
    );
    assert_eq!(
        unchanged_ms(&mut ledger, NOW_MS - 20_000, &["v2"]),
        Some(15_000)
    );
    assert_eq!(
        ledger.records(NOW_MS)[0].versions,
        [Some("v2".to_string())].into()
    );
    assert_eq!(unchanged_ms(&mut ledger, NOW_MS + 5_000, &["v3"]), Some(0));
}

/// A list that lacks all targets of a service says nothing about its versions.
#[test]
fn changes_of_unlisted_service() {
    let mut ledger = SoftwareLedger::default();
    unchanged_ms(&mut ledger, NOW_MS, &["v1", "v2"]);
    assert!(ledger.changes(&list(&[])).is_empty());
}
