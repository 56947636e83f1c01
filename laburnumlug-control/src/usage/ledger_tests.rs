use super::*;

fn fix(window: WindowNumber, requests: u64) -> UsageFix {
    UsageFix {
        window,
        counts: CustomerCounts::from([("a".to_string(), requests)]),
    }
}

/// Two leaders may fix one window with different counts; the first must win, also after its report was accepted.
#[test]
fn fix_twice() {
    let mut ledger = UsageLedger::default();
    assert_eq!(ledger.fix(fix(7, 1)), UsageFixOutcome::Fixed);
    assert_eq!(ledger.fix(fix(7, 2)), UsageFixOutcome::AlreadyFixed);
    assert_eq!(ledger.pending_counts(7), Some(&fix(7, 1).counts));
    assert!(ledger.acknowledge(7));
    assert!(!ledger.acknowledge(7));
    assert_eq!(ledger.fix(fix(7, 2)), UsageFixOutcome::AlreadyFixed);
    assert_eq!(ledger.pending().count(), 0);
}

/// The state must stay small over months, and a window whose number was forgotten must not be fixed again.
#[test]
fn acknowledge_many_windows() {
    let mut ledger = UsageLedger::default();
    ledger.fix(fix(3, 1));
    for window in 10..5000 {
        ledger.fix(fix(window, 1));
        ledger.acknowledge(window);
    }
    assert_eq!(ledger.acknowledged.len(), MAX_ACKNOWLEDGED);
    assert_eq!(ledger.fix(fix(11, 2)), UsageFixOutcome::AlreadyFixed);
    assert_eq!(ledger.pending().collect::<Vec<_>>(), [3]);
    assert!(ledger.acknowledge(3));
}

/// An outage of the platform for hours must not exhaust the memory of the replicas.
#[test]
fn fix_while_nothing_is_accepted() {
    let mut ledger = UsageLedger::default();
    let customers = 0..1000;
    let counts: CustomerCounts = customers.map(|i| (i.to_string(), 1)).collect();
    let outcomes = (0..300).map(|window| {
        let counts = counts.clone();
        ledger.fix(UsageFix { window, counts })
    });
    let full = outcomes.filter(|o| *o == UsageFixOutcome::Full).count();
    assert_eq!(full, 100);
    assert!(ledger.acknowledge(0));
    assert_eq!(
        ledger.fix(UsageFix {
            window: 300,
            counts
        }),
        UsageFixOutcome::Fixed
    );
}
